import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	parseUnitName, type JobStep, type RunStart, type SchedulableWorker,
} from '@bronzebend/core';
import fc from 'fast-check';
import {
	drawFailingPool, FOREVER, playFailingPool, workersOf, type FailingPool, type RunFate,
} from '../../fixtures/failing-pool.js';
import {orderOf, stepOf} from '../../fixtures/job-fixtures.js';

const audit = (changes: Partial<JobStep> = {}): JobStep => stepOf({
	count: 26, perWorker: 1, lasting: true, resources: {cpu: 12_150, memoryMb: 17_232, gpu: 0}, ...changes,
});

/** Work unit 8 of the job fails after 0.9 s up to `most` times; all others last. */
const failingUnit = (most: number) => {
	let failures = 0;
	return ({unit}: RunStart): RunFate => {
		const mayFail = parseUnitName(unit)!.index === 8 && failures < most;
		failures += mayFail ? 1 : 0;
		return mayFail ? {tookMs: 900, how: 'failed'} : FOREVER;
	};
};

const playOne = (step: JobStep, workers: SchedulableWorker[], changes: Partial<FailingPool> = {}) => playFailingPool({
	orders: [{order: orderOf('b', [step], {workspace: undefined}), atMs: 0}], workers, fateOf: failingUnit(12), endMs: 60_000, ...changes,
});

describe('work that failed on some workers', () => {
	for (const count of [27, 28, 30, 32]) {
		it(`should start again when only workers on which it failed are free of its step, with ${count} workers`, () => {
			assert.deepEqual(playOne(audit(), workersOf(count)).stuck, []);
		});
	}

	it('should start again when only workers on which it failed are below the limit of two of its step', () => {
		assert.deepEqual(playOne(audit({count: 14, perWorker: 2}), workersOf(9)).stuck, []);
	});

	it('should start again when the policy allows no other workers that are free of its step', () => {
		const approved = new Set(workersOf(11).map(({life}) => life));
		assert.deepEqual(playOne(audit({count: 9}), workersOf(30), {approved: () => approved}).stuck, []);
	});

	it('should start again when no other workers with its label are free of its step', () => {
		assert.deepEqual(playOne(audit({count: 9, label: 'gauge'}), workersOf(30, number => (number < 11 ? ['gauge'] : []))).stuck, []);
	});

	it('should start again when only workers on which it failed have room', () => {
		const {stuck} = playOne(audit({count: 9, resources: {cpu: 1000, memoryMb: 70_000, gpu: 0}, perWorker: undefined}), workersOf(20), {
			orders: [
				{order: orderOf('a', [audit({count: 9, resources: {cpu: 1000, memoryMb: 70_000, gpu: 0}})], {workspace: undefined}), atMs: 0},
				{order: orderOf('b', [audit({count: 9, resources: {cpu: 1000, memoryMb: 70_000, gpu: 0}})], {workspace: undefined}), atMs: 100},
			],
		});
		assert.deepEqual(stuck, []);
	});

	it('should be tried on a suspect when all workers with its label are under suspicion and have room', () => {
		let runs = 0;
		const fateOf = (): RunFate => {
			runs += 1;
			return {tookMs: 100, how: runs <= 12 ? 'failed' : 'done'};
		};

		const {stuck} = playOne(stepOf({label: 'gauge'}), workersOf(6, number => (number < 2 ? ['gauge'] : [])), {fateOf});
		assert.deepEqual(stuck, []);
	});

	for (const seed of [107, 221]) {
		it(`should start within 6 s if it lasts, although only suspects have places and the pool is busy, with seed ${seed}`, () => {
			assert.deepEqual(playFailingPool(drawFailingPool(seed, 0.1, 6 + (seed % 35))).stuck, []);
		});
	}

	it('should be tried on a suspect that still runs other work', () => {
		const long = stepOf({
			count: 2, perWorker: 1, label: 'gauge', estimateMs: 20_000,
		});
		const fateOf = ({unit}: RunStart): RunFate => (unit.startsWith('a') ? {tookMs: 20_000, how: 'done'} : {tookMs: 100, how: 'failed'});
		const orders = [
			{order: orderOf('a', [long], {workspace: undefined}), atMs: 0},
			{order: orderOf('b', [stepOf({label: 'gauge'})], {workspace: undefined}), atMs: 100},
		];
		const {stuck} = playOne(long, workersOf(6, number => (number < 2 ? ['gauge'] : [])), {orders, fateOf});
		assert.deepEqual(stuck, []);
	});

	it('should be tried on suspects in time when eight jobs have no other workers', () => {
		const orders = Array.from({length: 8}, (_, number) => ({order: orderOf(`${number}b`, [stepOf({label: 'gauge'})], {workspace: undefined}), atMs: 0}));
		const {stuck} = playOne(stepOf(), workersOf(6, number => (number < 2 ? ['gauge'] : [])), {orders, fateOf: () => ({tookMs: 1000, how: 'failed'})});
		assert.deepEqual(stuck.map(({unit}) => unit), []);
	});

	it('should not start more than once a second in the long run when it fails at once on every worker', () => {
		const {starts} = playOne(audit({count: 2, perWorker: undefined}), workersOf(6), {fateOf: () => ({tookMs: 100, how: 'failed'})});
		assert.ok(Math.max(...starts.values()) <= 60, `${Math.max(...starts.values())} starts in 60 s`);
	});

	it('should not start more than once a second in the long run when it fails at once on each of 40 workers', () => {
		const {starts} = playOne(audit({count: 2, perWorker: undefined}), workersOf(40), {fateOf: () => ({tookMs: 100, how: 'failed'}), endMs: 120_000});
		assert.ok(Math.max(...starts.values()) <= 120, `${Math.max(...starts.values())} starts in 120 s`);
	});

	it('should start within 3 s, or 6 s if it lasts, whatever else rules workers out, while half of the pool is free', () => {
		fc.assert(fc.property(fc.integer({min: 1, max: 1_000_000}), fc.constantFrom(0.1, 0.4), fc.integer({min: 6, max: 40}), (seed, failureShare, count) => {
			const {stuck} = playFailingPool(drawFailingPool(seed, failureShare, count));
			assert.deepEqual(stuck, []);
		}), {seed: 45, numRuns: 150});
	});
});
