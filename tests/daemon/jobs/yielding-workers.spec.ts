import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createJobStore, createWorkerDirectory} from '@bronzebend/core';
import {createYieldingWorkers, silentLogs} from '@bronzebend/daemon';
import {lifeNamed} from '../../fixtures/job-fixtures.js';

describe('a worker that yields', () => {
	it('should take new work again once the choice is no longer renewed', () => {
		let nowMs = 0;
		const directory = createWorkerDirectory();
		directory.announce({
			...lifeNamed('w1'), seq: 1, draining: false, coldLeftMs: 0, clockMs: nowMs,
		}, nowMs);
		const yielding = createYieldingWorkers({
			store: createJobStore(), directory, clock: {monotonicMs: () => nowMs, wallMs: () => nowMs}, log: silentLogs('test'),
		});
		yielding.choose(new Map([['bench', 1]]));
		assert.equal(yielding.has(lifeNamed('w1').life), true);
		nowMs = 900;
		yielding.choose(new Map([['bench', 1]]));
		nowMs = 1800;
		assert.equal(yielding.has(lifeNamed('w1').life), true);
		nowMs = 2000;
		assert.equal(yielding.has(lifeNamed('w1').life), false);
	});
});
