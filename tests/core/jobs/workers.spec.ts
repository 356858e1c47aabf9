import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	createPaceController, createSuspendAwareClock, createWorkerDirectory, createWorkerHealth, createWorkerTrack,
	type WorkerAnnouncement,
} from '@bronzebend/core';
import {
	storeWith, lifeNamed, orderOf, stepOf,
} from '../../fixtures/job-fixtures.js';

const announcementOf = (changes: Partial<WorkerAnnouncement> = {}): WorkerAnnouncement => ({
	id: 'w1', bornMs: 10, seq: 1, pool: 'bench', address: '10.0.0.1:80', zone: 'a', draining: false, coldLeftMs: 0, capacity: {cpu: 1, memoryMb: 1, gpu: 0}, labels: [], ...changes,
});

describe('the worker directory', () => {
	it('should ignore stale announcements', () => {
		const directory = createWorkerDirectory();
		directory.announce(announcementOf({seq: 5}), 0);
		assert.equal(directory.announce(announcementOf({seq: 4, draining: true}), 1), 'stale');
		assert.equal(directory.find('w1')!.draining, false);
	});

	it('should distinguish lives under one worker ID', () => {
		const directory = createWorkerDirectory();
		directory.announce(announcementOf({seq: 5, draining: true}), 0);
		assert.equal(directory.announce(announcementOf({bornMs: 20, seq: 1}), 1), 'new-life');
		assert.equal(directory.announce(announcementOf({bornMs: 10, seq: 6}), 2), 'stale');
		assert.equal(directory.find('w1')!.draining, false);
	});

	it('should not give an address back to an older life on a stale announcement', () => {
		const directory = createWorkerDirectory();
		directory.announce(announcementOf(), 0);
		directory.announce(announcementOf({id: 'w2', bornMs: 30, pool: 'desk'}), 1);
		assert.equal(directory.announce(announcementOf({seq: 9}), 2), 'stale');
		assert.equal(directory.find('w1')!.left, true);
	});

	it('should know the latest life on a machine, in whatever order announcements are received', () => {
		const first = announcementOf({id: 'w1', bornMs: 10, machine: 'm1'});
		const second = announcementOf({
			id: 'w2', bornMs: 20, machine: 'm1', address: '10.0.0.2:80',
		});
		for (const order of [[first, second], [second, first]]) {
			const directory = createWorkerDirectory();
			for (const announcement of order) {
				directory.announce(announcement, 0);
			}

			assert.equal(directory.ofMachine('m1')!.id, 'w2');
			assert.equal(directory.find('w1')!.left, true);
		}
	});

	it('should keep a draining worker draining', () => {
		const directory = createWorkerDirectory();
		directory.announce(announcementOf({seq: 1, draining: true}), 0);
		directory.announce(announcementOf({seq: 2}), 1);
		assert.equal(directory.find('w1')!.draining, true);
	});
});

describe('the health of workers', () => {
	it('should suspect a worker whose runs all fail, and try it again later', () => {
		const health = createWorkerHealth();
		assert.equal(health.failed('w1', 0), false);
		assert.equal(health.failed('w1', 10), true);
		assert.equal(health.isSuspect('w1', 1000), true);
		assert.equal(health.isSuspect('w1', 3000), false);
	});

	it('should not suspect a worker for a few failures among many runs', () => {
		const health = createWorkerHealth();
		for (let run = 0; run < 60; run += 1) {
			if (run % 5 === 0) {
				health.failed('w1', run);
			} else {
				health.done('w1', 1);
			}
		}

		assert.equal(health.isSuspect('w1', 60), false);
	});
});

describe('the pace of work that fills spare capacity', () => {
	it('should be cut at once when a neighbour is disturbed, and raised slowly', () => {
		const store = storeWith([orderOf('a', [stepOf({lasting: true, targetMs: 100})]), orderOf('b', [stepOf({lasting: true, fillsSpare: true})])]);
		const life = lifeNamed('w1');
		const units = ['a', 'b'].map(id => `${id.padEnd(16, '0')}.0.0.0`);
		store.apply({type: 'runs-start', lives: [life], runs: units.map(unit => ({unit, attempt: 1, life: life.life}))});
		const track = createWorkerTrack({
			life: life.life, store, leaseMs: 4000, inherited: true, nowMs: 0,
		});
		const poll = (load: number, nowMs: number) => {
			track.reconcile({
				clockMs: nowMs, finished: [], isCut: false, active: [{
					unit: units[0]!, attempt: 1, checkpoint: '', percent: 100, load,
				}, {
					unit: units[1]!, attempt: 1, checkpoint: '', percent: 100, load: 900,
				}],
			}, nowMs, nowMs);
			const orders = controller.look(track, nowMs);
			for (const order of orders) {
				track.paced(order.unit, order.attempt, order.share);
			}

			return orders.map(order => order.share);
		};

		const controller = createPaceController(store);
		assert.deepEqual(poll(10, 0), []);
		assert.deepEqual(poll(130, 1000), [35]);
		assert.deepEqual(poll(130, 1100), []);
		assert.deepEqual(poll(130, 2000), [12]);
		assert.deepEqual(poll(130, 3000), [0]);
		assert.deepEqual(poll(10, 4000), []);
		assert.deepEqual(poll(10, 7000), [12]);
	});
});

describe('a suspend-aware clock', () => {
	it('should count time during which the monotonic clock stood still', () => {
		let wallMs = 1000;
		let steadyMs = 0;
		const clock = createSuspendAwareClock({wallMs: () => wallMs, monotonicMs: () => steadyMs});
		steadyMs += 10;
		wallMs += 10;
		assert.equal(clock.monotonicMs(), 10);
		wallMs += 4000;
		assert.equal(clock.monotonicMs(), 4010);
		wallMs -= 9000;
		steadyMs += 5;
		assert.equal(clock.monotonicMs(), 4015);
	});
});

describe('announcements shared between keepers', () => {
	it('should contain each worker once, with the age of its latest announcement', () => {
		const directory = createWorkerDirectory();
		directory.announce(announcementOf({seq: 1}), 100);
		directory.announce(announcementOf({seq: 2}), 200);
		assert.deepEqual(directory.takeChanges(250), {heard: [{announcement: announcementOf({seq: 2}), ageMs: 50}], left: []});
		assert.deepEqual(directory.takeChanges(300), {heard: [], left: []});
	});
});
