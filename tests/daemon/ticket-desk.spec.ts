import assert from 'node:assert/strict';
import {setImmediate} from 'node:timers/promises';
import {describe, it} from 'node:test';
import {createTicketDesk, createView, type TicketAnswer} from '@bronzebend/daemon';
import type {PeerMessage} from '@bronzebend/wire';

const POOL = {
	kind: 'pool' as const, name: 'p', service: 's', capacity: {instances: 1, slotsPerInstance: 1}, availability: {maxOut: 0}, spare: false,
};

/** A desk with a view whose lease ends after two seconds, on a clock that stands still until told. */
const createBench = (epoch = 1) => {
	const view = createView();
	const sent: PeerMessage[] = [];
	let nowMs = 0;
	let seq = 0;
	const assign = (nextEpoch: number): void => {
		seq += 1;
		view.take({
			type: 'heartbeat-reply', seq, sentAtMs: nowMs, leaseMs: 2000, viewVersion: 1, view: {
				type: 'full', to: 1, declarations: [POOL], withdrawn: [],
			}, cluster: {
				version: String(seq), assignments: [{pool: 'p', node: `d${nextEpoch}`, epoch: nextEpoch}], nodes: [], placements: [],
			}, dispatch: [],
		});
	};

	assign(epoch);
	const desk = createTicketDesk({
		node: 'n1',
		view,
		nowMs: () => nowMs,
		send(_, message) {
			sent.push(message);
		},
		openConnections: () => [],
	});
	desk.onViewChange();
	let answer: TicketAnswer | undefined;
	const controller = new AbortController();
	void desk.acquire({
		requestId: 'r1', pool: 'p', team: 't', queue: 'q', startByMs: 60_000, tried: [],
	}, controller.signal).then(value => {
		answer = value;
	});
	const requestsOf = (type: string): number => sent.filter(message => message.type === 'dispatch' && message.request.type === type).length;

	return {
		desk,
		assign,
		requestsOf,
		async answer(): Promise<TicketAnswer | undefined> {
			await setImmediate();
			return answer;
		},
		pass(milliseconds: number): void {
			nowMs += milliseconds;
		},
		ticket(ticketEpoch: number, reportSeq: number): void {
			desk.receive('p', ticketEpoch, {
				type: 'ticket', ticket: {
					ticketId: `p:t:${ticketEpoch}:1`, requestId: 'r1', entry: 'n1', instance: 'i1', address: 'http://i1', epoch: ticketEpoch, reportSeq,
				},
			});
		},
		stop(): void {
			controller.abort();
			desk.stop();
		},
	};
};

describe('ticket desk', () => {
	it('should take a ticket in time', async () => {
		const bench = createBench();
		bench.ticket(1, 2);
		const answer = await bench.answer();
		bench.stop();
		assert.equal(answer?.type, 'ticket');
	});

	it('should give a ticket back that arrives after its view lease ended, as after a pause of the process', async () => {
		const bench = createBench();
		bench.pass(2500);
		bench.ticket(1, 2);
		const answer = await bench.answer();
		const releases = bench.requestsOf('release');
		bench.stop();
		assert.equal(answer, undefined);
		assert.equal(releases, 1);
	});

	it('should give a ticket of an earlier dispatcher back, and ask the new one', async () => {
		const bench = createBench();
		const asked = bench.requestsOf('enqueue');
		bench.assign(2);
		bench.desk.onViewChange();
		bench.ticket(1, 9);
		const answer = await bench.answer();
		const askedAgain = bench.requestsOf('enqueue');
		bench.stop();
		assert.equal(answer, undefined);
		assert.equal(askedAgain, asked + 1);
	});

	it('should give a ticket back whose dispatcher has not seen its last reports', async () => {
		const bench = createBench();
		for (const epoch of [2, 3]) {
			bench.assign(epoch);
			bench.desk.onViewChange();
		}

		bench.ticket(3, 1);
		const answer = await bench.answer();
		bench.stop();
		assert.equal(answer, undefined);
	});
});
