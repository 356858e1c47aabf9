import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	groupBy, unpackCalls, type RelayedCall, type RelayedResult, type HoldResult, type OrderResult,
} from '@bronzebend/core';
import {
	createCallRelay, createRelayedCalls, silentLogs, type WorkerPort,
} from '@bronzebend/daemon';
import type {ClockReading, PeerMessage} from '@bronzebend/wire';
import fc from 'fast-check';
import {lifeNamed} from '../../fixtures/job-fixtures.js';

type Batch = {to: string; calls: RelayedCall[]; sendBy?: ClockReading};

/** Amount by which the other keepers' clocks are ahead of the leader's, in milliseconds. */
const KEEPER_AHEAD_MS = 5000;

const pause = async (milliseconds: number): Promise<void> => new Promise(resolve => {
	setTimeout(resolve, milliseconds);
});

/** Waits until a number of messages with calls was sent; gives up after 400 checks. */
const sentBatches = async (batches: readonly Batch[], count: number): Promise<void> => {
	for (let check = 0; check < 400 && batches.length < count; check += 1) {
		await pause(5);
	}
};

/** Waits until the messages after some others hold a number of calls; gives up after 400 checks. */
const sentCalls = async (batches: readonly Batch[], from: number, count: number): Promise<void> => {
	const isSent = (): boolean => batches.slice(from).reduce((sum, {calls}) => sum + calls.length, 0) >= count;
	for (let check = 0; check < 400 && !isSent(); check += 1) {
		await pause(5);
	}
};

const done: OrderResult = {type: 'done'};
const lists: HoldResult = {
	type: 'lists', lists: {
		clockMs: 1, active: [], finished: [], isCut: false,
	},
};
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
	const directCalls: string[] = [];
	const state = {live, nowMs: 1000};
	const calls = createRelayedCalls({
		clock: {wallMs: () => state.nowMs, monotonicMs: () => state.nowMs},
		log: silentLogs('test'),
		term: 3,
		direct: () => portOf(directCalls),
		liveKeepers: () => state.live,
		send(to, message) {
			if (message.type !== 'worker-calls') {
				return;
			}

			if (message.batch.calls.length === 0) {
				queueMicrotask(() => {
					calls.receive(to, [], readingOf(to));
				});
				return;
			}

			batches.push({to, calls: unpackCalls(message.batch), sendBy: message.sendBy});
			specs.push(message.batch.specs);
		},
	});
	const readingOf = (keeper: string): ClockReading => ({process: `process of ${keeper}`, clockMs: state.nowMs + KEEPER_AHEAD_MS});
	const receive = (from: string, results: RelayedResult[]): void => {
		calls.receive(from, results, readingOf(from));
	};

	const answer = (batch: Batch): void => {
		receive(batch.to, batch.calls.map(({id, call}) => ({id, result: call.type === 'hold' ? lists : done})));
	};

	return {
		calls, batches, specs, directCalls, state, answer, receive, worker: (number: number) => calls.connect(lifeNamed(`w${number}`)),
	};
};

describe('calls relayed by other keepers', () => {
	it('should be sent in one message per keeper, spread evenly', async () => {
		const {calls, batches, worker, directCalls, answer} = setUp(['a', 'b']);
		const results = Array.from({length: 20}, async (_, number) => worker(number).stop(stopOf(number)));
		await sentBatches(batches, 2);
		assert.deepEqual(batches.map(({to}) => to).sort(), ['a', 'b']);
		assert.deepEqual(batches.map(batch => batch.calls.length), [10, 10]);
		for (const batch of batches) {
			answer(batch);
		}

		assert.deepEqual(new Set(await Promise.all(results)), new Set([done]));
		assert.equal(directCalls.length, 0);
		calls.close();
	});

	it('should contain a job\'s spec once per message, however many of its work units start', async () => {
		const {calls, batches, specs, worker} = setUp(['a']);
		const startOf = (spec: string) => ({
			unit: 'unit', attempt: 1, spec, expiresMs: 1, fence: 3, checkpoint: '',
		});
		const results = [1, 2, 3, 4].map(async number => worker(number).start(startOf(number < 4 ? 'first' : 'second')));
		await sentBatches(batches, 1);
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

			await sentBatches(batches, 3 * (round + 1));
			for (const batch of batches.slice(-3)) {
				answer(batch);
			}

			await Promise.all(results);
		}

		const keepers = groupBy(batches.flatMap(batch => batch.calls.map(call => ({to: batch.to, life: call.worker.life}))), ({life}) => life);
		assert.ok([...keepers.values()].every(uses => new Set(uses.map(({to}) => to)).size === 1));
		calls.close();
	});

	it('should expire on their keeper\'s clock before the leader gives them up', async () => {
		const {calls, batches, worker, state, answer} = setUp(['a']);
		const port = worker(1);
		const results = [port.stop(stopOf(1))];
		await sentBatches(batches, 1);
		state.nowMs += 100;
		answer(batches[0]!);
		results.push(port.stop(stopOf(2)));
		await sentBatches(batches, 2);
		assert.deepEqual(batches.map(({sendBy}) => sendBy), [1000, 1100].map(nowMs => ({process: 'process of a', clockMs: nowMs + KEEPER_AHEAD_MS + 900})));
		calls.close();
		await Promise.all(results);
	});

	it('should be made by the leader itself if no other keeper answers', async () => {
		const {calls, batches, worker, directCalls} = setUp([]);
		assert.deepEqual(await worker(1).stop(stopOf(1)), done);
		assert.deepEqual([directCalls, batches.length], [['stop'], 0]);
		calls.close();
	});

	it('should become unknown at once if their keeper is gone, and then go through another', async () => {
		const {calls, batches, worker, state, answer} = setUp(['a']);
		const port = worker(1);
		const lost = port.stop(stopOf(1));
		await sentBatches(batches, 1);
		state.live = ['b'];
		const result = await lost;
		assert.ok(result.type === 'unknown' && result.isCarrierLost);
		const next = port.stop(stopOf(1));
		await sentBatches(batches, 2);
		assert.deepEqual(batches.map(({to}) => to), ['a', 'b']);
		answer(batches[1]!);
		assert.deepEqual(await next, done);
		calls.close();
	});

	it('should not go through a keeper that answers heartbeats but no calls', async () => {
		const {calls, batches, worker, state, directCalls} = setUp(['a']);
		const port = worker(1);
		const lost = port.stop(stopOf(1));
		await sentBatches(batches, 1);
		state.nowMs += 1000;
		const result = await lost;
		assert.ok(result.type === 'unknown' && result.isCarrierLost);
		await port.stop(stopOf(1));
		assert.deepEqual([directCalls, batches.length], [['stop'], 1]);
		state.nowMs += 1100;
		await pause(110);
		const again = port.stop(stopOf(1));
		await sentBatches(batches, 2);
		assert.equal(batches.length, 2);
		calls.close();
		await again;
	});

	it('should wait longer for starts, which queue at a keeper that answers other calls', async () => {
		const {calls, worker, state, receive} = setUp(['a']);
		const outcomes: OrderResult[] = [];
		void worker(1).start({
			unit: 'unit', attempt: 1, spec: '', expiresMs: 1, fence: 3, checkpoint: '',
		}).then(result => {
			outcomes.push(result);
		});
		await pause(20);
		for (let turn = 0; turn < 2; turn += 1) {
			state.nowMs += 800;
			receive('a', []);
			await pause(60);
		}

		assert.deepEqual(outcomes, []);
		state.nowMs += 1350;
		await pause(60);
		assert.deepEqual(outcomes.map(({type}) => type), ['unknown']);
		calls.close();
	});

	it('should go through another keeper at once after theirs shuts down cleanly', async () => {
		const {calls, batches, worker, receive} = setUp(['a', 'b']);
		const port = worker(1);
		const refused = port.stop(stopOf(1));
		await sentBatches(batches, 1);
		const [first] = batches as [Batch];
		receive(first.to, [{id: first.calls[0]!.id, result: {type: 'unknown', cause: 'the keeper is shutting down', isCarrierLost: true}}]);
		await refused;
		const next = port.stop(stopOf(1));
		await sentBatches(batches, 2);
		assert.deepEqual(batches.map(({to}) => to === first.to), [true, false]);
		calls.close();
		await next;
	});

	it('should give a returning keeper its share of the workers', async () => {
		const {calls, batches, worker, state, answer} = setUp(['a']);
		const ports = Array.from({length: 60}, (_, number) => worker(number));
		const round = async (): Promise<void> => {
			const from = batches.length;
			const results = ports.map(async port => port.hold({fence: 3, ackSeq: 0, waitMs: 0}));
			await sentCalls(batches, from, ports.length);
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

	it('should each be resolved once, with its own result or as unknown, despite lost, late and duplicate results', async () => {
		await fc.assert(fc.asyncProperty(fc.array(fc.record({fate: fc.constantFrom('carried', 'lost', 'late', 'twice'), worker: fc.nat(5)}), {minLength: 1, maxLength: 40}), async plan => {
			const {calls, batches, worker, state, receive} = setUp(['a', 'b']);
			const results = plan.map(async (entry, number) => worker(entry.worker).stop(stopOf(number)));
			await sentCalls(batches, 0, plan.length);
			const fateOf = ({call}: RelayedCall) => plan[Number(call.type === 'stop' && call.order.unit.slice('unit-'.length))]!.fate;
			const sent = batches.flatMap(batch => batch.calls);
			const report = (...fates: string[]): void => {
				receive('a', sent.filter(call => fates.includes(fateOf(call))).map(({id}) => ({id, result: done})));
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

describe('a keeper that relays calls for the leader', () => {
	const setUpRelay = (connect: () => WorkerPort) => {
		const sent: Array<{to: string; message: PeerMessage}> = [];
		const state = {term: 1, nowMs: 0};
		const relay = createCallRelay({
			clock: {wallMs: () => 0, monotonicMs: () => state.nowMs},
			log: silentLogs('test'),
			connect,
			term: () => state.term,
			send(to, message) {
				sent.push({to, message});
			},
		});
		// A batch without calls asks the relay for a reading of its clock.
		relay.receive('first', {type: 'worker-calls', term: 1, batch: {specs: [], calls: []}});
		const {message} = sent.pop()!;
		const {process, clockMs} = (message as PeerMessage & {type: 'worker-results'}).reading;
		state.term = 3;
		const batch = (term: number, count: number): PeerMessage & {type: 'worker-calls'} => ({
			type: 'worker-calls', term, sendBy: {process, clockMs: clockMs + 900}, batch: {specs: [], calls: Array.from({length: count}, (_, id) => ({id, worker: lifeNamed(`w${id}`), call: {type: 'stop', order: stopOf(id)}}))},
		});

		return {
			sent, state, relay, batch,
		};
	};

	it('should send results that arrive together in one message', async () => {
		const calls: string[] = [];
		const {sent, relay, batch} = setUpRelay(() => portOf(calls));
		relay.receive('leader', batch(3, 12));
		await pause(30);
		assert.equal(calls.length, 12);
		assert.deepEqual(sent.map(({to, message}) => [to, resultsIn(message).length]), [['leader', 12]]);
		relay.close();
	});

	it('should drop calls of a leader whose term has ended', async () => {
		const calls: string[] = [];
		const {sent, relay, batch, state} = setUpRelay(() => portOf(calls));
		state.term = 4;
		relay.receive('old', batch(3, 2));
		relay.receive('new', batch(5, 1));
		relay.receive('old', batch(4, 2));
		await pause(30);
		assert.deepEqual([calls.length, sent.map(({to}) => to)], [1, ['new']]);
		relay.close();
	});

	it('should not send a new leader the results of its predecessor\'s calls', async () => {
		const {sent, relay, batch} = setUpRelay(() => ({
			...portOf([]), async stop() {
				await pause(20);
				return done;
			},
		}));
		relay.receive('old', batch(3, 2));
		await pause(10);
		relay.receive('new', batch(4, 1));
		for (let turn = 0; turn < 100 && sent.length === 0; turn += 1) {
			await pause(10);
		}

		await pause(60);
		assert.deepEqual(sent.map(({to, message}) => [to, resultsIn(message).length]), [['new', 1]]);
		relay.close();
	});

	// Orders that waited in a paused keeper reached the next life of a worker with the same ID.
	it('should make no call that arrives after its leader has given it up, or that was meant for an earlier process', async () => {
		const calls: string[] = [];
		const {sent, relay, batch, state} = setUpRelay(() => portOf(calls));
		const late = batch(3, 2);
		const misdirected = {...batch(3, 1), sendBy: {process: 'an earlier process', clockMs: Infinity}};
		state.nowMs = 901;
		relay.receive('leader', late);
		relay.receive('leader', misdirected);
		await pause(30);
		assert.deepEqual([calls, sent.flatMap(({message}) => resultsIn(message)).map(({result}) => result.type)], [[], ['unsent', 'unsent', 'unsent']]);
		relay.close();
	});

	it('should return calls without making them once it is draining', async () => {
		const calls: string[] = [];
		const {sent, relay, batch} = setUpRelay(() => portOf(calls));
		relay.drain();
		relay.receive('leader', batch(3, 2));
		await pause(30);
		assert.deepEqual([calls.length, sent.flatMap(({message}) => resultsIn(message)).map(({result}) => result.type === 'unknown' && result.isCarrierLost)], [0, [true, true]]);
		relay.close();
	});

	it('should report a worker that cannot be connected to as unknown', async () => {
		const {sent, relay, batch} = setUpRelay(() => {
			throw new TypeError('Invalid URL');
		});
		relay.receive('leader', batch(3, 1));
		await pause(30);
		assert.deepEqual(sent.flatMap(({message}) => resultsIn(message)), [{id: 0, result: {type: 'unknown', cause: 'TypeError: Invalid URL'}}]);
		relay.close();
	});
});
