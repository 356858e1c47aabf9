import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	createRandom, LATE_FACTOR, objectiveOf, type JobOrder, type JobStore, type SchedulableWorker, type SchedulingInput,
} from '@bronzebend/core';
import {
	manifestOf, orderOf, queueOf, stepOf, storeWith,
} from '../../fixtures/job-fixtures.js';
import {planPass, recordStarts, workersIn} from '../../fixtures/pool-fixtures.js';

/** A job of one work unit that takes all of a worker for a second: its objective is 2,200 ms, and it is useless after 6,600 ms. */
const jobOf = (id: string, changes: Partial<JobOrder> = {}, width = 1): JobOrder => orderOf(id, [stepOf({count: width, resources: {cpu: 4000, memoryMb: 100, gpu: 0}})], changes);

const startedJobs = (store: JobStore, workers: readonly SchedulableWorker[], changes: Partial<SchedulingInput>): string[] => planPass(store, workers, changes).starts.map(({unit}) => unit.slice(0, unit.indexOf('0')));

/** Submits jobs at different times. */
const submitAt = (store: JobStore, jobs: ReadonlyArray<readonly [order: JobOrder, atMs: number]>): JobStore => {
	for (const [order, atMs] of jobs) {
		store.apply({type: 'submit', order, atMs});
	}

	return store;
};

describe('the order of jobs in a pool that is short of room', () => {
	// Guards against late jobs that wait behind jobs with time to spare until their results are useless.
	it('should start a late job that is about to become useless before one that can still be in time', () => {
		const store = submitAt(storeWith([]), [[jobOf('b'), 5400], [jobOf('a'), 0]]);
		assert.deepEqual(startedJobs(store, workersIn('bench', 1), {wallMs: 5500}), ['a']);
		assert.deepEqual(startedJobs(store, workersIn('bench', 1), {wallMs: 5500, order: 'tiers'}), ['b']);
	});

	// Guards against a backlog of late jobs that delays the jobs of the next turn.
	it('should start a job that can be in time before a late one that still has time', () => {
		const store = submitAt(storeWith([]), [[jobOf('b'), 2900], [jobOf('a'), 0]]);
		assert.deepEqual(startedJobs(store, workersIn('bench', 1), {wallMs: 3000}), ['b']);
	});

	// Guards against room spent on jobs whose results are worth nothing while others can be served.
	it('should start a job that is past its use last', () => {
		const store = submitAt(storeWith([]), [[jobOf('a'), 0], [jobOf('b'), 5000]]);
		assert.deepEqual(startedJobs(store, workersIn('bench', 1), {wallMs: 8000}), ['b']);
	});

	// Guards against one large job that makes several small ones late.
	it('should delay the job with the most work if not all can be in time', () => {
		const store = submitAt(storeWith([]), [[jobOf('a', {}, 6), 0], ...['b', 'c', 'd', 'e'].map(id => [jobOf(id), 10] as const)]);
		assert.deepEqual(startedJobs(store, workersIn('bench', 2), {wallMs: 100}), ['b', 'c']);
		assert.deepEqual(startedJobs(store, workersIn('bench', 2), {wallMs: 100, order: 'tiers'}), ['a', 'a']);
	});

	// Guards against a job of priority 1 that displaces one of priority 0 because it has less work.
	it('should delay jobs of the lower priority first', () => {
		const manifest = manifestOf({queues: [queueOf(), queueOf({name: 'bulk', pathPrefix: '/bulk/', priority: 1})]});
		const store = submitAt(storeWith([], manifest), [[jobOf('a', {}, 3), 0], ...['b', 'c', 'd'].map(id => [jobOf(id, {queue: 'bulk'}), 0] as const)]);
		assert.deepEqual(startedJobs(store, workersIn('bench', 2), {wallMs: 100}), ['a', 'a']);
	});

	// Guards against an order that changes where nothing waits: there the cost of a delay is no question.
	it('should plan the same as before while all ready work has room', () => {
		for (let seed = 1; seed <= 50; seed += 1) {
			const random = createRandom(seed);
			const orders = Array.from({length: 12}, (_, number): readonly [JobOrder, number] => [
				orderOf(`${(number + 16).toString(16)}c`, [stepOf({count: 1 + Math.floor(3 * random()), resources: {cpu: 100 * Math.floor(8 * random()), memoryMb: 100, gpu: 0}})]), Math.floor(8000 * random()),
			]);
			const store = submitAt(storeWith([]), orders);
			const workers = workersIn('bench', 8);
			assert.deepEqual(planPass(store, workers, {wallMs: 8000}), planPass(store, workers, {wallMs: 8000, order: 'tiers'}), `seed ${seed}`);
		}
	});

	// Guards against a division by the capacity of a pool of which no worker is known, as after a change of leader.
	it('should order the jobs of a pool without workers as in other pools', () => {
		const store = submitAt(storeWith([]), [[jobOf('a'), 0], [jobOf('b'), 10]]);
		const pass = planPass(store, []);
		assert.deepEqual(pass.starts, []);
		assert.equal(pass.waiting.get('bench'), 2);
	});

	// Guards against an overload in which large jobs are never served because small ones keep arriving.
	for (const load of [1.5, 3.5]) {
		it(`should serve the largest tenth, and the fifth below it, at least half as often as all jobs at ${load} times what the pool can do`, () => {
			for (const seed of [1, 2, 3]) {
				const random = createRandom(seed);
				const store = storeWith([]);
				const workers = workersIn('bench', 10);
				// The pool can do a work unit in 100 ms; work arrives for 12 s.
				const arrivals: Array<{order: JobOrder; width: number; atMs: number}> = [];
				for (let atMs = 0; atMs < 12_000; atMs += arrivals.at(-1)!.width * 100 / load) {
					const width = 1 + Math.floor(20 * (random() ** 3));
					arrivals.push({order: jobOf(`${(arrivals.length + 4096).toString(16)}c`, {}, width), width, atMs});
				}

				let runs: Array<{unit: string; attempt: number; life: string; endMs: number}> = [];
				for (let wallMs = 0; wallMs < 30_000; wallMs += 50) {
					submitAt(store, arrivals.filter(({atMs}) => atMs > wallMs - 50 && atMs <= wallMs).map(({order}) => [order, wallMs] as const));
					for (const {unit, attempt, life} of runs.filter(({endMs}) => endMs <= wallMs)) {
						store.apply({
							type: 'runs-over', life, atMs: wallMs, runs: [{
								unit, attempt, how: 'done', checkpoint: '',
							}],
						});
					}

					runs = runs.filter(({endMs}) => endMs > wallMs);
					const pass = planPass(store, workers, {wallMs});
					recordStarts(store, workers, pass);
					runs.push(...pass.starts.map(start => ({...start, endMs: wallMs + 1000})));
				}

				const jobs = arrivals.map(({order, width}) => ({width, job: store.job(order.id)!})).toSorted((left, right) => left.width - right.width);
				const served = (from: number, to: number): number => {
					const list = jobs.slice(Math.floor(from * jobs.length), Math.floor(to * jobs.length));
					return list.filter(({job}) => job.endedAtMs > 0 && job.endedAtMs - job.acceptedAtMs <= LATE_FACTOR * objectiveOf(job)).length / list.length;
				};

				assert.ok(served(0.9, 1) >= served(0, 1) / 2, `seed ${seed}: ${served(0.9, 1)} of the largest tenth, ${served(0, 1)} of all`);
				assert.ok(served(0.7, 0.9) >= served(0, 1) / 2, `seed ${seed}: ${served(0.7, 0.9)} of the fifth below, ${served(0, 1)} of all`);
			}
		});
	}
});
