import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {findLongWaits, type SchedulableWorker, type WorkerLife} from '@bronzebend/core';
import {
	bookWith, lifeNamed, manifestOf, orderOf, stepOf,
} from '../../fixtures/job-fixtures.js';

const worker: SchedulableWorker & WorkerLife = {...lifeNamed('w1'), slowness: 1};
const large = stepOf({resources: {cpu: 3000, memoryMb: 100, gpu: 0}});

const reasonFor = (step: ReturnType<typeof stepOf>, workers: SchedulableWorker[], manifest = manifestOf()): string | undefined => {
	const book = bookWith([orderOf('a', [step])], manifest);
	return findLongWaits({book, workers, wallMs: 10_000})[0]?.reason;
};

describe('long waits', () => {
	it('should name what keeps a job from its workers', () => {
		const [north, south] = manifestOf().workspaces;
		const limited = manifestOf({workspaces: [{...north!, cap: {cpu: 500, memoryMb: 0, gpu: 0}}, south!]});
		assert.equal(reasonFor(large, []), 'no-worker');
		assert.equal(reasonFor(stepOf({label: 'rack-2'}), [worker]), 'no-label');
		assert.equal(reasonFor(stepOf({resources: {cpu: 9000, memoryMb: 100, gpu: 0}}), [worker]), 'too-large');
		assert.equal(reasonFor(large, [worker], limited), 'workspace-limit');
		assert.equal(reasonFor(large, [worker]), 'not-placed');
	});

	it('should tell a full pool from a job that was passed over', () => {
		const book = bookWith([orderOf('a', [large]), orderOf('b', [large])]);
		book.apply({type: 'runs-start', lives: [worker], runs: [{unit: `${'a'.padEnd(16, '0')}.0.0.0`, attempt: 1, life: worker.life}]});
		const [wait, ...others] = findLongWaits({book, workers: [worker], wallMs: 10_000});
		assert.equal(wait?.reason, 'no-room');
		assert.equal(wait?.jobs, 1);
		assert.equal(wait?.unit, `${'b'.padEnd(16, '0')}.0.0.0`);
		assert.deepEqual(others, []);
	});

	it('should say nothing of jobs that came lately', () => {
		const book = bookWith([orderOf('a', [large])]);
		assert.deepEqual(findLongWaits({book, workers: [], wallMs: 1000}), []);
	});
});
