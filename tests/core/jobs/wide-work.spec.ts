import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {JobStep} from '@bronzebend/core';
import {BOUND_MS, playBusyPool, type BusyPool} from '../../fixtures/busy-pool.js';

const SEEDS = [8, 9];
const lasting = {
	count: 24, perWorker: 1, lasting: true, estimateMs: 100_000,
};
const filling: Partial<JobStep> = {...lasting, fillsSpare: true, resources: {cpu: 9600, memoryMb: 100_000, gpu: 0}};
const serving: Partial<JobStep> = {...lasting, targetMs: 100, resources: {cpu: 9600, memoryMb: 120_000, gpu: 0}};
const wide: Partial<JobStep> = {count: 8, estimateMs: 1300, resources: {cpu: 55_000, memoryMb: 60_000, gpu: 0}};

const gang: Partial<JobStep> = {
	count: 3, gang: true, estimateMs: 1300, resources: {cpu: 40_000, memoryMb: 30_000, gpu: 0},
};

const assertStarted = (pool: Omit<BusyPool, 'seed'>, seeds = SEEDS): void => {
	for (const seed of seeds) {
		const {waitsMs} = playBusyPool({...pool, seed});
		const late = waitsMs.filter(wait => wait === undefined);
		assert.equal(late.length, 0, `${late.length} of ${waitsMs.length} work units did not start within ${BOUND_MS} ms at load ${pool.load}, seed ${seed}`);
	}
};

describe('wide work in a pool that is busy with small jobs', () => {
	for (const load of [0.4, 0.7, 0.9, 1.2]) {
		it(`should start all of a lasting step that fills spare capacity at load ${load}`, () => {
			assertStarted({load, wide: filling});
		});

		it(`should start all of a lasting step that serves users at load ${load}`, () => {
			assertStarted({load, wide: serving});
		});
	}

	for (const load of [0.4, 0.7, 0.9]) {
		it(`should start all work units of a short step at load ${load}`, () => {
			assertStarted({load, wide});
		});
	}

	it('should start a gang whose members find no room at once', () => {
		assertStarted({load: 0.9, wide: gang}, [8, 9, 10, 11]);
	});

	it('should start all of a lasting step under a leader that does not know since when the runs last', () => {
		assertStarted({load: 1.2, wide: serving, knowsStarts: false});
	});

	it('should not wait for a worker whose runs take ten times as long as estimated while others make room', () => {
		assertStarted({load: 0.9, wide: {...serving, count: 10}, overrunShare: 0.02});
	});

	it('should start all of a lasting step that needs most of the pool while some runs take ten times as long as estimated (seed 9)', () => {
		assertStarted({load: 0.9, wide: serving, overrunShare: 0.02}, [9]);
	});
});
