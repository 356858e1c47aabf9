import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createJobStore, createRunEstimates, createWorkerDirectory} from '@bronzebend/core';
import {createDrainingWorkers, silentLogs} from '@bronzebend/daemon';
import {lifeNamed} from '../../fixtures/job-fixtures.js';

const {life} = lifeNamed('w1');
const createDraining = (clock: {nowMs: number}) => {
	const directory = createWorkerDirectory();
	directory.announce({
		...lifeNamed('w1'), seq: 1, draining: false, coldLeftMs: 0, clockMs: 0,
	}, 0);
	return createDrainingWorkers({
		store: createJobStore(), directory, estimates: createRunEstimates(), clock: {monotonicMs: () => clock.nowMs, wallMs: () => clock.nowMs}, log: silentLogs('test'), trackOf: () => undefined,
	});
};

describe('a worker that drains for a move', () => {
	it('should take work again as soon as it is needed', () => {
		const draining = createDraining({nowMs: 0});
		draining.choose(new Map([['bench', 1]]), new Set([life]));
		assert.equal(draining.has(life), true);
		draining.choose(new Map(), new Set([life]));
		assert.equal(draining.has(life), false);
	});

	// Guards against workers that stay without work when the platform gives no list of machines and no step renews the choice.
	it('should take work again once the choice is no longer renewed', () => {
		const clock = {nowMs: 0};
		const draining = createDraining(clock);
		draining.choose(new Map([['bench', 1]]), new Set([life]));
		clock.nowMs = 900;
		draining.choose(new Map([['bench', 1]]), new Set([life]));
		clock.nowMs = 1800;
		assert.equal(draining.has(life), true);
		clock.nowMs = 2000;
		assert.equal(draining.has(life), false);
	});

	it('should not be one that is out of use for another cause', () => {
		const draining = createDraining({nowMs: 0});
		draining.choose(new Map([['bench', 1]]), new Set());
		assert.equal(draining.has(life), false);
	});
});
