import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createWorkerDirectory, type WorkerDirectory} from '@bronzebend/core';
import {lifeNamed, orderOf, storeWith} from '../../fixtures/job-fixtures.js';
import {createLeaderHarness, waitUntilTrue} from '../../fixtures/leader-harness.js';

const LEAVING = lifeNamed('leaving', {address: '10.0.0.1:80'});
const STAYING = lifeNamed('staying', {address: '10.0.0.2:80'});
const announcementOf = (life: typeof LEAVING, seq: number, draining: boolean) => ({
	...life, seq, draining, coldLeftMs: 0, clockMs: performance.now(),
});

/** Lives that may get work at a keeper which knows the workers only from what the leader passed on. */
const inUse = (directory: WorkerDirectory): string[] => directory.list().filter(entry => !entry.left && !entry.draining).map(entry => entry.life);

describe('a keeper that may lead next', () => {
	for (const how of ['leaves', 'drains'] as const) {
		it(`should know within 0.3 s of its acknowledgement that a worker ${how}`, async () => {
			const follower = createWorkerDirectory();
			const leader = createLeaderHarness(storeWith([]), {
				lives: [LEAVING, STAYING],
				shareWorkers(changes) {
					follower.applyChanges(changes, performance.now());
				},
			});
			await waitUntilTrue(() => inUse(follower).length === 2);
			const answer = how === 'leaves'
				? await leader.work.answer({type: 'leave', id: LEAVING.id, bornMs: LEAVING.bornMs})
				: await leader.work.answer({type: 'announce', announcement: announcementOf(LEAVING, 2, true)});
			assert.equal(answer.type, 'noted');
			await new Promise(resolve => {
				setTimeout(resolve, 300);
			});
			leader.work.stop();
			assert.deepEqual(inUse(follower), [STAYING.life]);
		});
	}

	it('should start nothing on a worker that left under the leader before it', async () => {
		const store = storeWith([]);
		const first = createLeaderHarness(store, {
			lives: [LEAVING, STAYING], node: 'n1',
			shareWorkers(changes) {
				second.directory.applyChanges(changes, performance.now());
			},
		});
		const second = createLeaderHarness(store, {lives: [], node: 'n2', term: 2});
		second.setLeading(false);
		await waitUntilTrue(() => second.directory.list().length === 2);
		await first.work.answer({type: 'leave', id: LEAVING.id, bornMs: LEAVING.bornMs});
		await new Promise(resolve => {
			setTimeout(resolve, 300);
		});
		first.work.stop();
		second.setLeading(true);
		for (const number of [1, 2, 3, 4, 5, 6]) {
			store.apply({type: 'submit', order: orderOf(`${number}`), atMs: Date.now()});
		}

		await waitUntilTrue(() => second.startedOn.length >= 3);
		second.work.stop();
		assert.deepEqual([...new Set(second.startedOn)], [STAYING.life]);
	});

	it('should still take up a life that an announcement passed on late is newer than', () => {
		const directory = createWorkerDirectory();
		directory.applyChanges({heard: [{announcement: announcementOf(LEAVING, 1, false), ageMs: 0}], left: [LEAVING.life]}, 0);
		const reborn = {...LEAVING, bornMs: 2, life: 'leaving@2'};
		directory.applyChanges({heard: [{announcement: announcementOf(reborn, 1, false), ageMs: 0}], left: [LEAVING.life]}, 10);
		assert.deepEqual(inUse(directory), ['leaving@2']);
	});
});
