import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	lifeOf, MachineStates, type JobStore, type Machine, type WorkerLife,
} from '@bronzebend/core';
import type {MachinePort} from '@bronzebend/daemon';
import {
	lifeNamed, manifestOf, orderOf, stepOf, storeWith,
} from '../../fixtures/job-fixtures.js';
import {createLeaderHarness, waitUntilTrue} from '../../fixtures/leader-harness.js';

const WORKER = lifeNamed('w1', {address: '10.0.0.1:80', machine: 'm1'});
const OTHER = lifeNamed('other', {address: '10.0.0.9:80'});
const UNIT = `${'a'.padEnd(16, '0')}.0.0.0`;
/** A pool that no manifest names. */
const UNNAMED_POOL = 'unnamed';

const waitMs = async (milliseconds: number): Promise<void> => new Promise(resolve => {
	setTimeout(resolve, milliseconds);
});

const storeWithLastingRun = (): JobStore => {
	const store = storeWith([orderOf('a', [stepOf({lasting: true})])], manifestOf({pools: [{name: 'bench', guardsCapacity: true, standby: false}]}));
	store.apply({
		type: 'wave', wave: {
			number: 1, machines: ['m1'], deadlineMs: Date.now() + 100_000, cap: 1, begun: [], completed: false,
		},
	});
	return store;
};

const announce = async ({work}: ReturnType<typeof createLeaderHarness>, life: WorkerLife): Promise<unknown> => work.answer({
	type: 'announce', announcement: {
		...life, seq: 2, draining: false, coldLeftMs: 0, clockMs: performance.now(),
	},
});

const attemptOf = (store: JobStore): number => store.find(UNIT)!.unit.attempt;

describe('a run whose worker runs on', () => {
	it('should not be started again when a report under its ID names a pool that the manifest does not have', async () => {
		const store = storeWithLastingRun();
		const harness = createLeaderHarness(store, {lives: [WORKER]});
		await waitUntilTrue(() => harness.running.size === 1);
		// The worker's lists name its run.
		await waitMs(100);
		await announce(harness, OTHER);
		const bornMs = WORKER.bornMs + 5;
		await announce(harness, {
			...WORKER, bornMs, life: lifeOf(WORKER.id, bornMs), pool: UNNAMED_POOL,
		});
		await waitMs(700);
		harness.work.stop();
		assert.deepEqual([harness.starts.length, attemptOf(store)], [1, 1]);
	});

	it('should not be started again when a list after an order has a second entry of its machine, in a pool that the manifest does not have', async () => {
		const machine: Machine = {
			name: 'm1', pool: 'bench', state: MachineStates.up, zone: 'a', labels: ['kind'], capacity: WORKER.capacity, workerId: WORKER.id,
		};
		let ordered = 0;
		const port: MachinePort = {
			list: async () => ({machines: ordered > 0 ? [machine, {...machine, pool: UNNAMED_POOL, workerId: 'w9'}] : [machine], unreadable: []}),
			move: async () => ({type: 'rejected', reason: 'impossible'}),
			async upkeep(_machine, _wave, {maySend}) {
				if (!maySend()) {
					return {type: 'withheld'};
				}

				ordered += 1;
				return {type: 'unknown', cause: 'no answer'};
			},
		};
		const store = storeWithLastingRun();
		const harness = createLeaderHarness(store, {lives: [WORKER], machines: port});
		await waitUntilTrue(() => ordered > 0 && harness.running.size === 1);
		await announce(harness, OTHER);
		await waitMs(900);
		harness.work.stop();
		assert.ok(ordered > 0);
		assert.deepEqual([harness.starts.length, attemptOf(store)], [1, 1]);
	});
});
