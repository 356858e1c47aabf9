import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	createJobStore, type CallTarget, type JobAnswer, type JobStore, type JobStoreSnapshot,
} from '@bronzebend/core';
import {createLeaderHarness, waitUntilTrue} from '../../fixtures/leader-harness.js';
import {
	lifeNamed, orderOf, stepOf, storeWith,
} from '../../fixtures/job-fixtures.js';

const ID = 'a'.padEnd(16, '0');
const QUEUE = '/quotes/';

/** What a caller is shown of a queue and of its job. */
const look = async (work: {answer: ReturnType<typeof createLeaderHarness>['work']['answer']}) => {
	const target = (path: string): CallTarget => ({host: 'desk.example', path, key: 'key-north'});
	const [queue, job]: JobAnswer[] = [await work.answer({type: 'look', target: target(QUEUE)}), await work.answer({type: 'look', target: target(`${QUEUE}${ID}`)})];
	return {pending: queue?.type === 'pending' ? queue.count : undefined, state: job?.type === 'state' ? job.state : undefined};
};

const PENDING = {pending: 1, state: 'queued'};
const BEGUN = {pending: 0, state: 'running'};
const one = (): JobStore => storeWith([orderOf('a', [stepOf({lasting: true})])]);

describe('a job', () => {
	// Guards against a start that is recorded and reaches no worker being shown as the beginning of its job.
	for (const [name, start] of [
		['is silent', async () => new Promise<never>(() => {
			// Never resolves.
		})],
		['answers nothing', async () => ({type: 'unknown', cause: 'no answer'} as const)],
		['cannot be reached', async () => ({type: 'unsent', cause: 'no connection'} as const)],
		['rejects the start', async () => ({type: 'rejected', reason: 'no-room'} as const)],
	] as const) {
		it(`should be shown as pending while its worker ${name}`, async () => {
			const {starts, work} = createLeaderHarness(one(), {start, hold: () => undefined});
			await waitUntilTrue(() => starts.length > 0);
			const shown = await look(work);
			work.stop();
			assert.deepEqual(shown, PENDING);
		});
	}

	it('should be shown as pending between the attempts to start it on one silent worker after another', async () => {
		const store = one();
		const lives = ['w1', 'w2', 'w3'].map(id => lifeNamed(id));
		const {starts, work} = createLeaderHarness(store, {lives, start: async () => ({type: 'rejected', reason: 'no-room'})});
		const shown: unknown[] = [];
		for (let attempts = 1; attempts <= 3; attempts += 1) {
			await waitUntilTrue(() => starts.length >= attempts);
			shown.push(await look(work));
		}

		work.stop();
		assert.deepEqual(shown, [PENDING, PENDING, PENDING]);
	});

	it('should be shown as begun once its worker accepts the start', async () => {
		const {running, work} = createLeaderHarness(one());
		await waitUntilTrue(() => running.size === 1);
		const shown = await look(work);
		work.stop();
		assert.deepEqual(shown, BEGUN);
	});

	it('should be shown as begun once its worker lists a run whose start got no answer', async () => {
		const store = one();
		const {starts, running, work} = createLeaderHarness(store, {
			async start({unit, attempt}) {
				running.set(unit, attempt);
				return {type: 'unknown', cause: 'answer lost'};
			},
		});
		await waitUntilTrue(() => starts.length > 0);
		let shown = await look(work);
		for (let turn = 0; turn < 100 && shown.state !== 'running'; turn += 1) {
			await new Promise(resolve => {
				setTimeout(resolve, 10);
			});
			shown = await look(work);
		}

		work.stop();
		assert.deepEqual(shown, BEGUN);
	});

	it('should be recorded as begun within a second, so that a new leader shows it before its worker answers', async () => {
		const store = one();
		const {running, work} = createLeaderHarness(store);
		await waitUntilTrue(() => running.size === 1);
		await waitUntilTrue(() => store.job(ID)?.hasBegun === true);
		work.stop();
		const next = createLeaderHarness(store, {term: 2, silent: 'w1'});
		const shown = await look(next.work);
		next.work.stop();
		assert.deepEqual(shown, BEGUN);
	});

	it('should be shown as begun by a new leader whose predecessor did not record it, once its worker lists the run', async () => {
		const store = one();
		const {starts, running, work} = createLeaderHarness(store);
		await waitUntilTrue(() => running.size === 1);
		work.stop();
		const [start] = starts;
		const restored = createJobStore({...store.snapshot(), jobs: store.snapshot().jobs.map(job => ({...job, hasBegun: false}))});
		const next = createLeaderHarness(restored, {term: 2});
		next.running.set(start!.unit, start!.attempt);
		await waitUntilTrue(() => restored.job(ID)?.hasBegun === true);
		const shown = await look(next.work);
		next.work.stop();
		assert.deepEqual(shown, BEGUN);
	});

	it('should be read from a snapshot of the code before, which does not say whether it has begun', () => {
		const store = storeWith([orderOf('a', [stepOf({count: 2})]), orderOf('b')]);
		const unit = `${ID}.0.0.0`;
		store.apply({type: 'runs-start', lives: [lifeNamed('w1')], runs: [{unit, attempt: 1, life: lifeNamed('w1').life}]});
		store.apply({
			type: 'runs-over', life: lifeNamed('w1').life, atMs: 0, runs: [{
				unit, attempt: 1, how: 'done', checkpoint: '',
			}],
		});
		const {jobs, ...rest} = structuredClone(store.snapshot());
		const before = {...rest, jobs: jobs.map(({hasBegun, ...job}) => job)} as unknown as JobStoreSnapshot;
		const restored = createJobStore(before);
		assert.deepEqual([...restored.openJobs()].map(job => job.hasBegun), [true, false]);
	});
});
