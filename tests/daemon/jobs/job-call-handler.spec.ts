import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	createBegunJobs, createRunEstimates, type CallTarget, type JobOutcome,
} from '@bronzebend/core';
import {createJobCallHandler, createJobMetrics, silentLogs} from '@bronzebend/daemon';
import {orderOf, stepOf, storeWith} from '../../fixtures/job-fixtures.js';

const ID = 'a'.repeat(16);
const TARGET: CallTarget = {host: 'desk.example', path: `/quotes/${ID}`, key: 'key-north'};

/** A call handler whose commits wait until `commitAll` is called, with a pool that has fallen short meanwhile. */
const createHandler = () => {
	const store = storeWith([]);
	store.apply({type: 'group-whole'});
	const waiting: Array<() => void> = [];
	let capacity = 100_000_000;
	let nowMs = 0;
	const handler = createJobCallHandler({
		store,
		begunJobs: createBegunJobs(store),
		estimates: createRunEstimates(),
		clock: {wallMs: () => nowMs, monotonicMs: () => nowMs},
		log: silentLogs('test'),
		metrics: createJobMetrics(),
		propose: async command => new Promise<JobOutcome>(resolve => {
			waiting.push(() => {
				resolve(store.apply(command));
			});
		}),
		isLeading: () => true,
		roomOf: () => ({present: {cpu: capacity, memoryMb: 1_000_000, gpu: 0}, obtainable: {cpu: 0, memoryMb: 0, gpu: 0}}),
		dataCentres: {list: () => ['a'], isComplete: () => true},
		announce: () => undefined,
		leave: () => undefined,
		onAccepted: () => undefined,
		maxHeldWork: () => 100,
		requestPass: () => undefined,
	});
	const {steps, spec, times, startAtMs, intervalMs} = orderOf(ID, [stepOf({count: 4, estimateMs: 1000})]);
	return {
		store,
		begunJobs: createBegunJobs(store),
		submit: async (path = TARGET.path, {count, key}: {count?: number; key?: string} = {}) => handler.answer({
			type: 'submit', target: {...TARGET, path, key: key ?? TARGET.key}, job: {
				steps: count === undefined ? steps : [stepOf({count, estimateMs: 1})], spec, times, startAtMs, intervalMs,
			},
		}),
		/** Fills the pool with work that takes hours, so that new jobs are refused. */
		overload(): void {
			capacity = 1;
			nowMs += 1000;
			store.apply({type: 'submit', order: orderOf('b', [stepOf({count: 1000, estimateMs: 60_000})]), atMs: 0});
		},
		commitAll(): void {
			for (const commit of waiting.splice(0)) {
				commit();
			}
		},
		proposals: () => waiting.length,
	};
};

describe('a job that is submitted again while its acceptance is being committed', () => {
	it('should not be refused as not accepted, as it may yet run', async () => {
		const handler = createHandler();
		const first = handler.submit();
		handler.overload();
		const other = await handler.submit(`/quotes/${'c'.repeat(16)}`);
		assert.equal(other.type, 'rejected', 'the pool is overloaded');
		const again = handler.submit();
		handler.commitAll();
		const answers = await Promise.all([first, again]);
		assert.deepEqual(answers.map(answer => answer.type), ['accepted', 'accepted']);
		assert.ok(handler.store.job(ID));
	});

	it('should be committed once', async () => {
		const handler = createHandler();
		const calls = [handler.submit(), handler.submit(), handler.submit()];
		assert.equal(handler.proposals(), 1);
		handler.commitAll();
		const answers = await Promise.all(calls);
		assert.deepEqual(answers.map(answer => answer.type), ['accepted', 'accepted', 'accepted']);
	});
});

describe('a job that is large beside what the keepers hold', () => {
	// Guards against keepers that run out of memory because jobs whose acceptance is being committed do not count yet.
	it('should be refused before it is proposed, also beside jobs that are being committed, and not at the cost of other workspaces', async () => {
		const handler = createHandler();
		const pathOf = (number: number): string => `/quotes/${String(number).repeat(16)}`;
		const first = handler.submit(pathOf(1), {count: 40});
		const second = await handler.submit(pathOf(2), {count: 4});
		assert.deepEqual([second.type, 'reason' in second && second.reason, handler.proposals()], ['rejected', 'held-work', 1]);
		const other = handler.submit(pathOf(3), {count: 4, key: 'key-south'});
		handler.commitAll();
		const answers = await Promise.all([first, other]);
		assert.deepEqual(answers.map(({type}) => type), ['accepted', 'accepted']);
		const again = await handler.submit(pathOf(2), {count: 4});
		assert.equal(again.type, 'rejected');
	});
});
