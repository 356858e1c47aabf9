import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	type EndProof, type HoldResult, type JobStore, type OrderResult, type StartOrder, type WorkerLists,
} from '@bronzebend/core';
import {
	createJobMetrics, createWorkerSession, silentLogs, type WorkerPort, type WorkerSession,
} from '@bronzebend/daemon';
import {
	storeWith, lifeNamed, orderOf, stepOf,
} from '../../fixtures/job-fixtures.js';

const unit = `${'a'.padEnd(16, '0')}.0.0.0`;
const life = lifeNamed('w1');

/** Waits in steps of real time until a condition holds; gives up after 400 steps. */
const waitUntil = async (isDone: () => boolean): Promise<void> => {
	for (let turn = 0; turn < 400 && !isDone(); turn += 1) {
		// Each turn lets one timer of the session fire.

		await new Promise(resolve => {
			setTimeout(resolve, 10);
		});
	}
};

const started: OrderResult = {type: 'done'};
const active = {
	unit, attempt: 1, checkpoint: '', percent: 100, load: 0,
};

const restarted: EndProof = {type: 'newer-life', newerLife: 'w1@2', newerAddress: '127.0.0.1:1'};

/** Lists of a worker, or the whole result of a poll. */
type Polled = Partial<WorkerLists> | Exclude<HoldResult, {type: 'lists'}>;

const setUp = (lists: () => Polled, startResult: OrderResult = started, stopResult: () => OrderResult = () => ({type: 'done'})) => {
	const store: JobStore = storeWith([orderOf('a', [stepOf({lasting: true})])]);
	const calls = {
		holds: 0, starts: [] as StartOrder[], stops: 0, failed: [] as string[], unreachable: 0, livesOver: 0, ended: [] as EndProof[], proofs: [] as EndProof[],
	};
	let leads = true;
	let nowMs = 1000;
	const port: WorkerPort = {
		async hold() {
			calls.holds += 1;
			nowMs += 10;
			// Simulates the latency of a worker.
			await new Promise(resolve => {
				setTimeout(resolve, 2);
			});
			const polled = lists();
			if ('type' in polled) {
				return polled;
			}

			return {
				type: 'lists', lists: {
					clockMs: nowMs, active: [], finished: [], isCut: false, ...polled,
				},
			};
		},
		async start(order) {
			calls.starts.push(order);
			return startResult;
		},
		async stop() {
			calls.stops += 1;
			return stopResult();
		},
		pace: async () => ({type: 'done'}),
		close: () => undefined,
	};
	const session: WorkerSession = createWorkerSession({
		life,
		store,
		port,
		fence: 1,
		leaseMs: 4000,
		maxLeaseMs: 10_000,
		maxStopMs: 200,
		inherited: false,
		hasEarlierLife: false,
		announcedClock: {clockMs: 1000, receivedMs: 1000},
		clock: {wallMs: () => nowMs, monotonicMs: () => nowMs},
		log: silentLogs('test'),
		metrics: createJobMetrics(),
		async recordEnds(of, over, proof) {
			calls.proofs.push(proof);
			store.apply({
				type: 'runs-over', life: of, runs: over, atMs: nowMs,
			});
			return true;
		},
		onPolled: () => undefined,
		onStartAccepted: () => undefined,
		onRunSeen: () => undefined,
		onStartFailed(_start, reason) {
			calls.failed.push(reason);
		},
		onUnreachable() {
			calls.unreachable += 1;
		},
		onLifeOver() {
			calls.livesOver += 1;
		},
		onEnded(_life, proof) {
			calls.ended.push(proof);
		},
		isLeading: () => leads,
	});
	const begin = (): void => {
		store.apply({type: 'runs-start', lives: [life], runs: [{unit, attempt: 1, life: life.life}]});
		session.start({unit, attempt: 1, life: life.life}, undefined);
	};

	return {
		store, calls, session, begin, lead(value: boolean): void {
			leads = value;
		},
		/** Lets time pass on the session's clock, in milliseconds. */
		pass(milliseconds: number): void {
			nowMs += milliseconds;
		},
	};
};

describe('a worker session', () => {
	it('should keep renewing leases after the leader briefly lost its own', async () => {
		const {calls, session, begin, lead} = setUp(() => ({
			active: [{
				unit, attempt: 1, checkpoint: '', percent: 100, load: 0,
			}],
		}));
		begin();
		await waitUntil(() => calls.holds > 3);
		lead(false);
		// Longer than any pause of the session, so that it has noticed the loss.
		await new Promise(resolve => {
			setTimeout(resolve, 200);
		});
		const before = calls.holds;
		lead(true);
		await waitUntil(() => calls.holds > before + 3);
		session.close();
		assert.ok(calls.holds > before + 3);
	});

	it('should find that a start which could not be sent never began', async () => {
		const {store, calls, session, begin, lead} = setUp(() => ({}));
		lead(false);
		begin();
		lead(true);
		await waitUntil(() => store.find(unit)!.unit.state === 'idle');
		session.close();
		assert.equal(calls.starts.length, 0);
		assert.equal(store.find(unit)!.unit.state, 'idle');
		assert.ok(calls.stops > 0);
	});

	// Its runs were started elsewhere at once, while they went on behind a cut that refuses connections.
	it('should keep the runs of a worker that refuses connections until its lease is over', async () => {
		let isCut = false;
		const {calls, session, begin, pass} = setUp(() => (isCut ? {type: 'unsent', cause: 'connection refused'} : {active: [active]}));
		begin();
		await waitUntil(() => calls.holds > 2);
		isCut = true;
		await waitUntil(() => calls.unreachable > 3);
		pass(3500);
		await waitUntil(() => calls.unreachable > 6);
		assert.deepEqual([calls.ended, session.isOver()], [[], false]);
		pass(1000);
		await waitUntil(() => session.isOver());
		assert.deepEqual(calls.ended.map(proof => [proof.type, 'cause' in proof && proof.cause]), [['lease-over', 'connection refused']]);
	});

	it('should keep renewing leases after an unexpected error of a poll', async () => {
		let errors = 0;
		const {calls, session, begin} = setUp(() => {
			errors += 1;
			if (errors === 3) {
				throw new TypeError('an error of this test');
			}

			return {active: [active]};
		});
		begin();
		await waitUntil(() => calls.holds > 6);
		session.close();
		assert.ok(calls.holds > 6);
		assert.deepEqual(calls.ended, []);
	});

	it('should give up a start that was not sent at once, and count it against the worker only if that was the reason', async () => {
		for (const isCarrierLost of [true, false]) {
			const {store, calls, session, begin} = setUp(() => ({}), {type: 'unsent', cause: 'connection refused', isCarrierLost});
			begin();
			await waitUntil(() => store.find(unit)!.unit.state === 'idle');
			session.close();
			assert.deepEqual([store.find(unit)!.unit.state, calls.failed, calls.stops], ['idle', isCarrierLost ? [] : ['unsent'], 0]);
		}
	});

	// Overloaded keepers sent polls late, and sound workers got no work for that.
	it('should not take a worker for unreachable because a poll left too late', async () => {
		const {calls, session, begin} = setUp(() => (calls.holds === 2 ? {type: 'unsent', cause: 'withheld', isCarrierLost: true} : {active: [active]}));
		begin();
		await waitUntil(() => calls.holds > 4);
		session.close();
		assert.deepEqual([calls.holds > 4, calls.unreachable, calls.ended], [true, 0, []]);
	});

	// Starts under way to a worker reached its next life, which has the same ID, while their work units ran elsewhere.
	for (const [what, restart] of [
		['reports', (session: WorkerSession) => {
			session.declareRestarted(restarted);
		}],
		['answers a poll', () => undefined],
	] as const) {
		it(`should free a run that was never listed only after the worker's next life has confirmed its stop, if that life ${what}`, async () => {
			let isRestarted = false;
			let stopResult: OrderResult = {type: 'unknown', cause: 'no answer'};
			const lists = (): Polled => (isRestarted && what === 'answers a poll' ? {type: 'gone', answer: 'status 421'} : {});
			const {store, calls, session, begin, pass} = setUp(lists, {type: 'unknown', cause: 'no answer'}, () => stopResult);
			begin();
			await waitUntil(() => calls.holds > 1);
			isRestarted = true;
			restart(session);
			await waitUntil(() => calls.stops > 3);
			assert.deepEqual([session.isOver(), calls.livesOver, calls.ended, store.find(unit)!.unit.state], [true, 1, [], 'running']);
			stopResult = {type: 'done'};
			const before = calls.stops;
			await waitUntil(() => calls.stops > before);
			assert.deepEqual([calls.ended, store.find(unit)!.unit.state], [[], 'running']);
			pass(500);
			await waitUntil(() => calls.ended.length > 0);
			assert.equal(calls.ended.length, 1);
		});
	}

	it('should free a run that was listed as soon as the worker has begun another life', async () => {
		const {store, calls, session, begin} = setUp(() => ({active: [active]}), started, () => ({type: 'unknown', cause: 'no answer'}));
		begin();
		await waitUntil(() => session.track.runs.get(unit)?.isListed === true);
		session.declareRestarted(restarted);
		await waitUntil(() => calls.ended.length > 0);
		assert.deepEqual([calls.ended, calls.stops, store.find(unit)!.unit.state], [[restarted], 0, 'idle']);
		assert.deepEqual(calls.proofs, [restarted]);
	});

	it('should not report a failed start if the call was lost by its relay', async () => {
		for (const isCarrierLost of [true, false]) {
			const {store, calls, session, begin} = setUp(() => ({}), {type: 'unknown', cause: 'no result', isCarrierLost});
			begin();

			await waitUntil(() => store.find(unit)!.unit.state === 'idle');
			session.close();
			assert.deepEqual(calls.failed, isCarrierLost ? [] : ['no-answer']);
			assert.ok(calls.stops > 0);
			assert.equal(store.find(unit)!.unit.state, 'idle');
		}
	});
});
