import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	type JobStore, type OrderResult, type StartOrder, type WorkerLists,
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

const setUp = (lists: () => Partial<WorkerLists>, startResult: OrderResult = started) => {
	const store: JobStore = storeWith([orderOf('a', [stepOf({lasting: true})])]);
	const calls = {
		holds: 0, starts: [] as StartOrder[], stops: 0, failed: [] as string[],
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
			return {
				type: 'lists', lists: {
					clockMs: nowMs, active: [], finished: [], ...lists(),
				},
			};
		},
		async start(order) {
			calls.starts.push(order);
			return startResult;
		},
		async stop() {
			calls.stops += 1;
			return {type: 'done'};
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
		inherited: false,
		announcedClock: {clockMs: 1000, receivedMs: 1000},
		clock: {wallMs: () => nowMs, monotonicMs: () => nowMs},
		log: silentLogs('test'),
		metrics: createJobMetrics(),
		async recordEnds(of, over) {
			store.apply({
				type: 'runs-over', life: of, runs: over, atMs: nowMs,
			});
			return true;
		},
		onPolled: () => undefined,
		onStartFailed(_start, reason) {
			calls.failed.push(reason);
		},
		onEnded: () => undefined,
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
