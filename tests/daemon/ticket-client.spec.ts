import assert from 'node:assert/strict';
import {setImmediate} from 'node:timers/promises';
import {describe, it} from 'node:test';
import {createTicketClient, createView, type TicketAnswer} from '@bronzebend/daemon';
import type {PeerMessage} from '@bronzebend/wire';

const POOL = {
	kind: 'pool' as const, name: 'p', service: 's', capacity: {instances: 1, slotsPerInstance: 1}, availability: {maxOut: 0}, spare: false,
};

/** A ticket client with one waiting request, a manual clock, and a view whose lease ends after two seconds. */
const createFixture = (epoch = 1) => {
	const view = createView();
	const sent: PeerMessage[] = [];
	let nowMs = 0;
	let seq = 0;
	const assign = (nextEpoch: number): void => {
		seq += 1;
		view.applyReply({
			type: 'heartbeat-reply', seq, sentAtMs: nowMs, leaseMs: 2000, viewVersion: 1, view: {
				type: 'full', to: 1, declarations: [POOL], withdrawn: [],
			}, cluster: {
				version: String(seq), assignments: [{pool: 'p', node: `d${nextEpoch}`, epoch: nextEpoch}], nodes: [], placements: [],
			}, dispatch: [],
		});
	};

	assign(epoch);
	const client = createTicketClient({
		node: 'n1',
		view,
		nowMs: () => nowMs,
		send(_, message) {
			sent.push(message);
		},
		openConnections: () => [],
	});
	client.onViewChange();
	let answer: TicketAnswer | undefined;
	const controller = new AbortController();
	void client.acquire({
		requestId: 'r1', pool: 'p', team: 't', queue: 'q', startByMs: 60_000, tried: [],
	}, controller.signal).then(value => {
		answer = value;
	});
	const requestsOf = (type: string): number => sent.filter(message => message.type === 'dispatch' && message.request.type === type).length;

	return {
		desk: client,
		assign,
		requestsOf,
		async answer(): Promise<TicketAnswer | undefined> {
			await setImmediate();
			return answer;
		},
		advance(milliseconds: number): void {
			nowMs += milliseconds;
		},
		ticket(ticketEpoch: number, reportSeq: number): void {
			client.receive('p', ticketEpoch, {
				type: 'ticket', ticket: {
					ticketId: `p:t:${ticketEpoch}:1`, requestId: 'r1', entry: 'n1', instance: 'i1', address: 'http://i1', epoch: ticketEpoch, reportSeq,
				},
			});
		},
		stop(): void {
			controller.abort();
			client.stop();
		},
	};
};

describe('ticket client', () => {
	it('should accept a ticket that arrives in time', async () => {
		const fixture = createFixture();
		fixture.ticket(1, 2);
		const answer = await fixture.answer();
		fixture.stop();
		assert.equal(answer?.type, 'ticket');
	});

	it('should return a ticket that arrives after the view lease ended, such as after a pause of the process', async () => {
		const fixture = createFixture();
		fixture.advance(2500);
		fixture.ticket(1, 2);
		const answer = await fixture.answer();
		const releases = fixture.requestsOf('release');
		fixture.stop();
		assert.equal(answer, undefined);
		assert.equal(releases, 1);
	});

	it('should return a ticket of an earlier dispatcher and request one from the new dispatcher', async () => {
		const fixture = createFixture();
		const asked = fixture.requestsOf('enqueue');
		fixture.assign(2);
		fixture.desk.onViewChange();
		fixture.ticket(1, 9);
		const answer = await fixture.answer();
		const askedAgain = fixture.requestsOf('enqueue');
		fixture.stop();
		assert.equal(answer, undefined);
		assert.equal(askedAgain, asked + 1);
	});

	it('should return a ticket whose dispatcher has not received the latest reports', async () => {
		const fixture = createFixture();
		for (const epoch of [2, 3]) {
			fixture.assign(epoch);
			fixture.desk.onViewChange();
		}

		fixture.ticket(3, 1);
		const answer = await fixture.answer();
		fixture.stop();
		assert.equal(answer, undefined);
	});
});
