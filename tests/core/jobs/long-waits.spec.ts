import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {findLongWaits, type SchedulableWorker, type WorkerLife} from '@bronzebend/core';
import {
	storeWith, lifeNamed, manifestOf, orderOf, stepOf,
} from '../../fixtures/job-fixtures.js';

const worker: SchedulableWorker & WorkerLife = {...lifeNamed('w1'), slowness: 1};
const large = stepOf({resources: {cpu: 3000, memoryMb: 100, gpu: 0}});

const reasonFor = (step: ReturnType<typeof stepOf>, workers: SchedulableWorker[], manifest = manifestOf()): string | undefined => {
	const store = storeWith([orderOf('a', [step])], manifest);
	return findLongWaits({store, workers, wallMs: 10_000})[0]?.reason;
};

describe('long waits', () => {
	it('should report the reason why a job has not started', () => {
		const [north, south] = manifestOf().workspaces;
		const limited = manifestOf({workspaces: [{...north!, cap: {cpu: 500, memoryMb: 0, gpu: 0}}, south!]});
		assert.equal(reasonFor(large, []), 'no-worker');
		assert.equal(reasonFor(stepOf({label: 'rack-2'}), [worker]), 'no-label');
		assert.equal(reasonFor(stepOf({resources: {cpu: 9000, memoryMb: 100, gpu: 0}}), [worker]), 'too-large');
		assert.equal(reasonFor(large, [worker], limited), 'workspace-limit');
		assert.equal(reasonFor(large, [worker]), 'not-placed');
	});

	it('should distinguish a full pool from a job that was not placed', () => {
		const store = storeWith([orderOf('a', [large]), orderOf('b', [large])]);
		store.apply({type: 'runs-start', lives: [worker], runs: [{unit: `${'a'.padEnd(16, '0')}.0.0.0`, attempt: 1, life: worker.life}]});
		const [wait, ...others] = findLongWaits({store, workers: [worker], wallMs: 10_000});
		assert.equal(wait?.reason, 'no-room');
		assert.equal(wait?.jobs, 1);
		assert.equal(wait?.unit, `${'b'.padEnd(16, '0')}.0.0.0`);
		assert.deepEqual(others, []);
	});

	it('should not report jobs that were accepted recently', () => {
		const store = storeWith([orderOf('a', [large])]);
		assert.deepEqual(findLongWaits({store, workers: [], wallMs: 1000}), []);
	});
});
