import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {openStorage} from '@bronzebend/replica';
import {createMemoryDisk} from '../fixtures/memory-disk.js';
import {createReplicaGroup, type ReplicaGroup} from '../fixtures/replica-group.js';

const NAMES = ['a', 'b', 'c', 'd', 'e'];
/** Duration for which a disk is full, in milliseconds. */
const FULL_MS = 3000;

const publish = async (group: ReplicaGroup, names: string[], count: number): Promise<void> => {
	for (let step = 0; step < count; step += 1) {
		const instance = `i${names.length}`;
		// Each change is published after the previous one.
		const outcome = await group.propose({type: 'place', instance, pool: 'p'});
		if (outcome) {
			names.push(instance);
		}
	}
};

const nodeThatLeads = (group: ReplicaGroup): string | undefined => group.names().find(name => group.of(name).replica.hasLease());

const fillDisk = (group: ReplicaGroup, name: string): void => {
	group.diskOf(name).setCapacity(0);
};

const freeDisk = (group: ReplicaGroup, name: string): void => {
	group.diskOf(name).setCapacity(Infinity);
};

describe('full disks', () => {
	for (const order of ['followers and leader in a fixed order', 'always the leader']) {
		it(`should leave no replica behind when they are full one after another: ${order}`, async () => {
			const group = createReplicaGroup(21, 20);
			await group.form(NAMES);
			const acknowledged: string[] = [];
			await publish(group, acknowledged, 5);
			for (const turn of NAMES) {
				const name = order === 'always the leader' ? nodeThatLeads(group) ?? turn : turn;
				fillDisk(group, name);
				await group.run(FULL_MS);
				await publish(group, acknowledged, 25);
				freeDisk(group, name);
				await group.run(1000);
			}

			const before = acknowledged.length;
			await publish(group, acknowledged, 10);
			assert.equal(acknowledged.length, before + 10, 'every change is acknowledged once all disks have room');
			await group.run(2000);
			assert.deepEqual(group.fatal, []);
			for (const name of NAMES) {
				assert.equal(group.of(name).replica.isDiskFull(), false, name);
				assert.deepEqual(acknowledged.filter(instance => !group.of(name).placed().includes(instance)), [], name);
			}
		});
	}

	it('should let a replica that receives a snapshot wait for room, and serve the snapshot afterwards', async () => {
		const group = createReplicaGroup(22, 20);
		await group.form(['a', 'b', 'c']);
		const acknowledged: string[] = [];
		await publish(group, acknowledged, 5);
		const lagging = group.names().find(name => name !== nodeThatLeads(group))!;
		group.kill(lagging);
		await publish(group, acknowledged, 60);
		fillDisk(group, lagging);
		await group.start(lagging);
		await group.run(FULL_MS);
		assert.deepEqual(group.fatal, [], 'the process stays up while its disk is full');
		freeDisk(group, lagging);
		await group.run(2000);
		await publish(group, acknowledged, 5);
		await group.run(200);
		assert.deepEqual(group.fatal, []);
		assert.deepEqual(acknowledged.filter(instance => !group.of(lagging).placed().includes(instance)), []);
		group.kill(lagging);
		group.diskOf(lagging).loseUnsynced({keep: 0});
		await group.start(lagging);
		await group.run(500);
		assert.deepEqual(acknowledged.filter(instance => !group.of(lagging).placed().includes(instance)), []);
	});

	it('should not answer a proposal that waits while a replica stops with "disk full"', async () => {
		const group = createReplicaGroup(23, 1000);
		await group.form(['a', 'b', 'c']);
		const leader = await group.elect();
		let code: unknown;
		const name = nodeThatLeads(group)!;
		const release = group.diskOf(name).stall();
		void leader.propose({type: 'place', instance: 'x', pool: 'p'}).catch(() => undefined);
		void leader.propose({type: 'place', instance: 'y', pool: 'p'}).catch((error: unknown) => {
			({code} = error as {code: unknown});
		});
		group.kill(name);
		release();
		await group.run(100);
		assert.notEqual(code, undefined);
		assert.notEqual(code, 'disk-full');
	});

	it('should keep a log usable if a full disk also refuses to cut the incomplete record', async () => {
		const memory = createMemoryDisk();
		let isFull = false;
		const refuse = (): void => {
			if (isFull) {
				throw Object.assign(new Error('disk is full'), {code: 'ENOSPC'});
			}
		};

		const storage = await openStorage({
			...memory.disk,
			async append(name, data) {
				if (isFull) {
					await memory.disk.append(name, data.subarray(0, Math.floor(data.length / 2)));
				}

				refuse();
				await memory.disk.append(name, data);
			},
			async truncate(name, length) {
				refuse();
				await memory.disk.truncate(name, length);
			},
		});
		await storage.form([], new Uint8Array());
		await storage.save([{type: 'hard-state', hardState: {term: 1, votedFor: 'a'}}]);
		isFull = true;
		await assert.rejects(storage.save([{type: 'hard-state', hardState: {term: 2, votedFor: 'b'}}]), {code: 'disk-full'});
		await assert.rejects(storage.save([{type: 'hard-state', hardState: {term: 2, votedFor: 'b'}}]), {code: 'disk-full'});
		isFull = false;
		await storage.save([{type: 'hard-state', hardState: {term: 3, votedFor: 'c'}}]);
		const reopened = await openStorage(memory.disk);
		assert.equal(reopened.tornBytes, 0);
		assert.deepEqual(reopened.restored().hardState, {term: 3, votedFor: 'c'});
	});
});
