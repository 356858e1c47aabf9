import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createRandom} from '@bronzebend/core';
import type {WorkerRun} from '@bronzebend/utils/platform-stand-ins';
import {findViolations, type JobRecord} from '@bronzebend/utils/soak/ledger';
import {drawFaults} from '@bronzebend/utils/soak/schedule';

const runOf = (changes: Partial<WorkerRun>): WorkerRun => ({
	task: 'j.0.0.0', attempt: 1, worker: 'w-1', startMs: 0, endMs: 10, how: 'done', end: 'noted', ...changes,
});
const jobOf = (statuses: number[], lastState?: string): JobRecord => ({
	id: 'j', statuses, lastState, isCancelled: false,
});
const rulesOf = (jobs: JobRecord[], runs: WorkerRun[], versions = [1, 1]): string[] => findViolations({
	jobs, runs, acknowledgedVersion: versions[0]!, readVersion: versions[1]!,
}).map(({rule}) => rule);

describe('the ledger of a soak', () => {
	it('should find each broken promise', () => {
		assert.deepEqual(rulesOf([jobOf([504, 200], 'running')], []), ['accepted-job-lost']);
		assert.deepEqual(rulesOf([jobOf([429, 503])], [runOf({})]), ['refused-job-ran']);
		assert.deepEqual(rulesOf([], [runOf({endMs: Infinity}), runOf({attempt: 2, startMs: 5})]), ['two-runs-at-once']);
		assert.deepEqual(rulesOf([], [runOf({attempt: 2, startMs: 20}), runOf({})]), ['run-again-after-its-end']);
		assert.deepEqual(rulesOf([], [], [3, 2]), ['manifest-older']);
	});

	it('should allow what is allowed', () => {
		assert.deepEqual(rulesOf([jobOf([504, 200], 'completed'), jobOf([503, 0])], [runOf({})]), []);
		assert.deepEqual(rulesOf([], [runOf({end: 'lapsed'}), runOf({attempt: 2, startMs: 20})]), []);
		assert.deepEqual(rulesOf([], [runOf({how: 'failed'}), runOf({attempt: 2, startMs: 20})]), []);
	});

	it('should draw the same faults from a seed, with one process away at a time', () => {
		const draw = () => drawFaults(createRandom(7), {
			keepers: ['k1', 'k2', 'k3'], entries: ['e1'], workers: 3, lengthMs: 60_000,
		});
		assert.deepEqual(draw(), draw());
		const away = draw().filter(fault => 'process' in fault);
		assert.ok(away.length > 3);
		assert.ok(away.slice(1).every((fault, index) => fault.atMs >= away[index]!.atMs + away[index]!.forMs));
	});
});
