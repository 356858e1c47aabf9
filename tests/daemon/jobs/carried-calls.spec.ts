import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	groupBy, unpackCalls, type CarriedCall, type HoldResult, type OrderResult,
} from '@bronzebend/core';
import {
	createCallCarrier, createCarriedCalls, silentLogs, type WorkerPort,
} from '@bronzebend/daemon';
import type {PeerMessage} from '@bronzebend/wire';
import fc from 'fast-check';
import {lifeNamed} from '../../fixtures/job-fixtures.js';

type Batch = {to: string; calls: CarriedCall[]};

const pause = async (milliseconds: number): Promise<void> => new Promise(resolve => {
	setTimeout(resolve, milliseconds);
});

const done: OrderResult = {type: 'done'};
const lists: HoldResult = {type: 'lists', lists: {clockMs: 1, active: [], finished: []}};
const resultsIn = (message: PeerMessage) => (message.type === 'worker-results' ? message.results : []);
const stopOf = (number: number) => ({unit: `unit-${number}`, attempt: 1, fence: 3});

const portOf = (calls: string[]): WorkerPort => ({
	async hold() {
		calls.push('hold');
		return lists;
	},
	async start() {
		calls.push('start');
		return done;
	},
	async stop() {
		calls.push('stop');
		return done;
	},
	async pace() {
		calls.push('pace');
		return done;
	},
	close: () => undefined,
});

const setUp = (live: string[]) => {
	const batches: Batch[] = [];
	const specs: string[][] = [];
	const own: string[] = [];
	const state = {live, nowMs: 1000};
	const calls = createCarriedCalls({
		clock: {wallMs: () => state.nowMs, monotonicMs: () => state.nowMs},
		log: silentLogs('test'),
		term: 3,
		direct: () => portOf(own),
		liveKeepers: () => state.live,
		send(to, message) {
			if (message.type === 'worker-calls') {
				batches.push({to, calls: unpackCalls(message.batch)});
				specs.push(message.batch.specs);
			}
		},
	});
	const answer = (batch: Batch): void => {
		calls.receive(batch.calls.map(({id, call}) => ({id, result: call.type === 'hold' ? lists : done})));
	};

	return {
		calls, batches, specs, own, state, answer, worker: (number: number) => calls.connect(lifeNamed(`w${number}`)),
	};
};

describe('calls that other keepers make for the leader', () => {
	it('should go in one message to each keeper, spread evenly', async () => {
		const {calls, batches, worker, own, answer} = setUp(['a', 'b']);
		const results = Array.from({length: 20}, async (_, number) => worker(number).stop(stopOf(number)));
		await pause(20);
		assert.deepEqual(batches.map(({to}) => to).sort(), ['a', 'b']);
		assert.deepEqual(batches.map(batch => batch.calls.length), [10, 10]);
		for (const batch of batches) {
			answer(batch);
		}

		assert.deepEqual(new Set(await Promise.all(results)), new Set([done]));
		assert.equal(own.length, 0);
		calls.close();
	});

	it('should tell a job\'s spec once in a message, however many of its work units start', async () => {
		const {calls, batches, specs, worker} = setUp(['a']);
		const startOf = (spec: string) => ({
			unit: 'unit', attempt: 1, spec, expiresMs: 1, fence: 3, checkpoint: '',
		});
		const results = [1, 2, 3, 4].map(async number => worker(number).start(startOf(number < 4 ? 'first' : 'second')));
		await pause(10);
		assert.deepEqual(specs, [['first', 'second']]);
		assert.deepEqual(batches[0]!.calls.map(({call}) => call.type === 'start' && call.order.spec), ['first', 'first', 'first', 'second']);
		calls.close();
		await Promise.all(results);
	});

	it('should stay with one keeper for each worker', async () => {
		const {calls, batches, worker, answer} = setUp(['a', 'b', 'c']);
		const ports = [1, 2, 3, 4, 5, 6].map(number => worker(number));
		for (let round = 0; round < 4; round += 1) {
			const results = ports.map(async port => port.hold({fence: 3, ackSeq: 0, waitMs: 0}));

			await pause(10);
			for (const batch of batches.slice(-3)) {
				answer(batch);
			}

			await Promise.all(results);
		}

		const keepers = groupBy(batches.flatMap(batch => batch.calls.map(call => ({to: batch.to, life: call.worker.life}))), ({life}) => life);
		assert.ok([...keepers.values()].every(uses => new Set(uses.map(({to}) => to)).size === 1));
		calls.close();
	});

	it('should be made by the leader itself where no other keeper answers', async () => {
		const {calls, batches, worker, own} = setUp([]);
		assert.deepEqual(await worker(1).stop(stopOf(1)), done);
		assert.deepEqual([own, batches.length], [['stop'], 0]);
		calls.close();
	});

	it('should be unknown at once where their keeper has gone, and go on through another', async () => {
		const {calls, batches, worker, state, answer} = setUp(['a']);
		const port = worker(1);
		const lost = port.stop(stopOf(1));
		await pause(10);
		state.live = ['b'];
		const result = await lost;
		assert.ok(result.type === 'unknown' && result.isCarrierLost);
		const next = port.stop(stopOf(1));
		await pause(10);
		assert.deepEqual(batches.map(({to}) => to), ['a', 'b']);
		answer(batches[1]!);
		assert.deepEqual(await next, done);
		calls.close();
	});

	it('should leave out a keeper that answers heartbeats and no calls', async () => {
		const {calls, batches, worker, state, own} = setUp(['a']);
		const port = worker(1);
		const lost = port.stop(stopOf(1));
		await pause(10);
		state.nowMs += 1000;
		const result = await lost;
		assert.ok(result.type === 'unknown' && result.isCarrierLost);
		await port.stop(stopOf(1));
		assert.deepEqual([own, batches.length], [['stop'], 1]);
		state.nowMs += 1100;
		await pause(110);
		const again = port.stop(stopOf(1));
		await pause(10);
		assert.equal(batches.length, 2);
		calls.close();
		await again;
	});

	it('should go on through another keeper at once where theirs stops in order', async () => {
		const {calls, batches, worker} = setUp(['a', 'b']);
		const port = worker(1);
		const refused = port.stop(stopOf(1));
		await pause(10);
		const [first] = batches as [Batch];
		calls.receive([{id: first.calls[0]!.id, result: {type: 'unknown', cause: 'the keeper stops', isCarrierLost: true}}]);
		await refused;
		const next = port.stop(stopOf(1));
		await pause(10);
		assert.deepEqual(batches.map(({to}) => to === first.to), [true, false]);
		calls.close();
		await next;
	});

	it('should give a keeper that comes back its share of the workers', async () => {
		const {calls, batches, worker, state, answer} = setUp(['a']);
		const ports = Array.from({length: 60}, (_, number) => worker(number));
		const round = async (): Promise<void> => {
			const from = batches.length;
			const results = ports.map(async port => port.hold({fence: 3, ackSeq: 0, waitMs: 0}));
			await pause(10);
			for (const batch of batches.slice(from)) {
				answer(batch);
			}

			await Promise.all(results);
		};

		await round();
		state.live = ['a', 'b'];
		await pause(80);
		await round();
		await round();
		const last = batches.slice(-2);
		assert.deepEqual(last.map(({to}) => to).sort(), ['a', 'b']);
		assert.ok(last.every(batch => batch.calls.length >= 20), `${last.map(batch => batch.calls.length).join(' and ')} of 60 workers`);
		calls.close();
	});

	it('should each end once, with its own result or as unknown, whatever is lost, late or comes twice', async () => {
		await fc.assert(fc.asyncProperty(fc.array(fc.record({fate: fc.constantFrom('carried', 'lost', 'late', 'twice'), worker: fc.nat(5)}), {minLength: 1, maxLength: 40}), async plan => {
			const {calls, batches, worker, state} = setUp(['a', 'b']);
			const results = plan.map(async (entry, number) => worker(entry.worker).stop(stopOf(number)));
			await pause(10);
			const fateOf = ({call}: CarriedCall) => plan[Number(call.type === 'stop' && call.order.unit.slice('unit-'.length))]!.fate;
			const sent = batches.flatMap(batch => batch.calls);
			const report = (...fates: string[]): void => {
				calls.receive(sent.filter(call => fates.includes(fateOf(call))).map(({id}) => ({id, result: done})));
			};

			report('carried', 'twice');
			report('twice');
			state.nowMs += 1000;
			const outcomes = await Promise.all(results);
			report('late');
			calls.close();
			assert.deepEqual(outcomes.map(({type}) => type), plan.map(({fate}) => (fate === 'carried' || fate === 'twice' ? 'done' : 'unknown')));
		}), {numRuns: 15});
	});
});

describe('a keeper that makes calls for the leader', () => {
	const setUpCarrier = (connect: () => WorkerPort) => {
		const sent: Array<{to: string; message: PeerMessage}> = [];
		const state = {term: 3};
		const carrier = createCallCarrier({
			clock: {wallMs: () => 0, monotonicMs: () => 0},
			log: silentLogs('test'),
			connect,
			term: () => state.term,
			send(to, message) {
				sent.push({to, message});
			},
		});
		const batch = (term: number, count: number): PeerMessage & {type: 'worker-calls'} => ({
			type: 'worker-calls', term, batch: {specs: [], calls: Array.from({length: count}, (_, id) => ({id, worker: lifeNamed(`w${id}`), call: {type: 'stop', order: stopOf(id)}}))},
		});

		return {
			sent, state, carrier, batch,
		};
	};

	it('should send the results of a moment in one message', async () => {
		const calls: string[] = [];
		const {sent, carrier, batch} = setUpCarrier(() => portOf(calls));
		carrier.receive('leader', batch(3, 12));
		await pause(30);
		assert.equal(calls.length, 12);
		assert.deepEqual(sent.map(({to, message}) => [to, resultsIn(message).length]), [['leader', 12]]);
		carrier.close();
	});

	it('should make no calls of a leader whose term is over', async () => {
		const calls: string[] = [];
		const {sent, carrier, batch, state} = setUpCarrier(() => portOf(calls));
		state.term = 4;
		carrier.receive('old', batch(3, 2));
		carrier.receive('new', batch(5, 1));
		carrier.receive('old', batch(4, 2));
		await pause(30);
		assert.deepEqual([calls.length, sent.map(({to}) => to)], [1, ['new']]);
		carrier.close();
	});

	it('should not tell a new leader what became of its predecessor\'s calls', async () => {
		const {sent, carrier, batch} = setUpCarrier(() => ({
			...portOf([]), async stop() {
				await pause(20);
				return done;
			},
		}));
		carrier.receive('old', batch(3, 2));
		await pause(10);
		carrier.receive('new', batch(4, 1));
		await pause(60);
		assert.deepEqual(sent.map(({to, message}) => [to, resultsIn(message).length]), [['new', 1]]);
		carrier.close();
	});

	it('should hand calls back once it stops', async () => {
		const calls: string[] = [];
		const {sent, carrier, batch} = setUpCarrier(() => portOf(calls));
		carrier.drain();
		carrier.receive('leader', batch(3, 2));
		await pause(30);
		assert.deepEqual([calls.length, sent.flatMap(({message}) => resultsIn(message)).map(({result}) => result.type === 'unknown' && result.isCarrierLost)], [0, [true, true]]);
		carrier.close();
	});

	it('should report a worker that cannot be connected to as unknown', async () => {
		const {sent, carrier, batch} = setUpCarrier(() => {
			throw new TypeError('Invalid URL');
		});
		carrier.receive('leader', batch(3, 1));
		await pause(30);
		assert.deepEqual(sent.flatMap(({message}) => resultsIn(message)), [{id: 0, result: {type: 'unknown', cause: 'TypeError: Invalid URL'}}]);
		carrier.close();
	});
});
