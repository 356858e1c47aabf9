import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createWorkerDirectory, lifeOf, type WorkerAnnouncement} from '@bronzebend/core';
import {createUsableWorkers} from '@bronzebend/daemon';

const REPORT_MS = 1000;

const announcementOf = (id: string, changes: Partial<WorkerAnnouncement> = {}): WorkerAnnouncement => ({
	id, bornMs: 1, seq: 1, pool: 'bench', address: `${id}:80`, zone: 'a', draining: false, coldLeftMs: 0, capacity: {cpu: 4000, memoryMb: 4000, gpu: 0}, labels: [], ...changes,
});

describe('usable workers', () => {
	it('should count the workers of a pool that take no work by cause', () => {
		const directory = createWorkerDirectory();
		directory.announce(announcementOf('silent'), 0);
		directory.announce(announcementOf('emptied', {zone: 'b'}), 5000);
		for (const id of ['free', 'left', 'mute', 'ill', 'late', 'moved', 'moved-too', 'moves-soon']) {
			directory.announce(announcementOf(id), 5000);
		}

		directory.announce(announcementOf('drains', {draining: true}), 5000);
		directory.announce(announcementOf('elsewhere', {pool: 'spare', draining: true}), 5000);
		directory.leave('left', 1);
		const workers = createUsableWorkers({
			clock: {monotonicMs: () => 5000, wallMs: () => 5000},
			store: {isEvacuated: dataCentre => dataCentre === 'b', evacuationWithdrawnMs: () => undefined},
			directory,
			reportMs: REPORT_MS,
			fleet: {isReachable: life => life !== lifeOf('mute', 1)},
			monitor: {heldBack: life => (life === lifeOf('ill', 1) ? 'suspect' : (life === lifeOf('late', 1) ? 'paused' : undefined)), slowness: () => 1},
			machines: () => ({mayTakeWork: ({id}) => !id.startsWith('moved'), isDraining: life => life === lifeOf('moves-soon', 1)}),
		});
		assert.deepEqual(workers.list().map(({id}) => id), ['free']);
		assert.deepEqual([...workers.lives()], [lifeOf('free', 1), lifeOf('moves-soon', 1)]);
		assert.deepEqual(workers.outOfUse('bench')?.split(' ').toSorted(), ['draining-for-move:1', 'draining:1', 'evacuated:1', 'left:1', 'machine:2', 'paused:1', 'silent:1', 'suspect:1', 'unreachable:1']);
		assert.equal(workers.outOfUse('spare'), 'draining:1');
		assert.equal(workers.outOfUse('other'), undefined);
		assert.deepEqual(workers.evacuated().map(({id}) => id), ['emptied']);
	});

	// Guards against work that goes first to workers which are still slow after their start.
	it('should count a cold worker as slow after the withdrawal of an evacuation only, until its time has passed', () => {
		const directory = createWorkerDirectory();
		directory.announce(announcementOf('cold', {coldLeftMs: 3000}), 1000);
		directory.announce(announcementOf('warm'), 1000);
		const slownessAt = (nowMs: number, withdrawnMs: number | undefined): number[] => createUsableWorkers({
			clock: {monotonicMs: () => nowMs, wallMs: () => 900_000 + nowMs},
			store: {isEvacuated: () => false, evacuationWithdrawnMs: () => withdrawnMs},
			directory,
			reportMs: 10_000,
			fleet: {isReachable: () => true},
			monitor: {heldBack: () => undefined, slowness: () => 1},
			machines: () => undefined,
		}).list().map(({slowness}) => slowness);
		assert.deepEqual(slownessAt(2000, undefined), [1, 1]);
		const [cold, warm] = slownessAt(2000, 901_500);
		assert.ok(cold! > 2, 'slow enough that others are taken first');
		assert.equal(warm, 1);
		assert.deepEqual(slownessAt(4000, 901_500), [1, 1], 'warm by then');
		assert.deepEqual(slownessAt(2000, 800_000), [1, 1], 'withdrawn long ago');
	});
});
