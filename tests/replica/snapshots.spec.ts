import assert from 'node:assert/strict';
import {setImmediate} from 'node:timers/promises';
import {describe, it} from 'node:test';
import {createReplicaGroup, type ReplicaGroup} from '../fixtures/replica-group.js';

const SNAPSHOT_INTERVAL = 20;
/** Event loop rounds that a sync takes on a slow disk; changes are made in each of them. */
const SYNC_ROUNDS = 4;
/** Duration for which a disk hangs, in milliseconds; several election timeouts. */
const HANG_MS = 3000;

const nodeThatLeads = (group: ReplicaGroup): string => group.names().find(name => group.of(name).replica.hasLease())!;

const named = (prefix: string, count: number): string[] => Array.from({length: count}, (_, index) => `${prefix}${index}`);

/** Places instances one after another, and checks that each placement is acknowledged. */
const place = async (group: ReplicaGroup, prefix: string, count: number): Promise<void> => {
	for (const instance of named(prefix, count)) {
		// Each change is made after the previous one.
		assert.ok(await group.propose({type: 'place', instance, pool: 'p'}), instance);
	}
};

describe('snapshots', () => {
	for (const [title, file] of [['a snapshot of its own hangs on its disk', 'snapshot.new'], ['its disk hangs and a snapshot is due', undefined]] as const) {
		it(`should remain leader and commit through the other replicas while ${title}`, async () => {
			const group = createReplicaGroup(31, SNAPSHOT_INTERVAL);
			await group.form(['a', 'b', 'c']);
			await place(group, 'before', 5);
			const name = nodeThatLeads(group);
			const leader = group.of(name).replica;
			const term = leader.raft.term();
			const release = group.diskOf(name).stall(file);
			await place(group, 'meanwhile', 2 * SNAPSHOT_INTERVAL);
			await group.run(HANG_MS);
			assert.equal(leader.hasLease(), true);
			release();
			await place(group, 'after', 2 * SNAPSHOT_INTERVAL);
			await group.run(500);
			assert.equal(leader.raft.term(), term, 'no other replica stood for election');
			assert.deepEqual(group.fatal, []);
			for (const other of group.names()) {
				assert.equal(group.of(other).placed().length, 5 + (4 * SNAPSHOT_INTERVAL), other);
			}

			group.kill(name);
			group.diskOf(name).loseUnsynced({keep: 0});
			await group.start(name);
			await group.run(1500);
			assert.equal(group.of(name).placed().length, 5 + (4 * SNAPSHOT_INTERVAL));
		});
	}

	it('should keep every acknowledged change through a crash at each disk operation, with changes made while a snapshot is saved', async () => {
		const count = 60;

		/** Proposes a change in each round of the event loop; returns those that are acknowledged. */
		const proposeAll = async (group: ReplicaGroup): Promise<string[]> => {
			const leader = await group.elect();
			const acknowledged: string[] = [];
			for (const instance of named('i', count)) {
				void leader.propose({type: 'place', instance, pool: 'p'}).then(() => acknowledged.push(instance)).catch(() => undefined);
				// With a tick, proposals do not wait for the disk.
				leader.tick();
				await setImmediate();
			}

			await group.run(1000);
			return acknowledged;
		};

		const createGroup = async (): Promise<ReplicaGroup> => {
			const group = createReplicaGroup(32, 5);
			await group.form(['a']);
			await group.elect();
			group.diskOf('a').slowDown(SYNC_ROUNDS);
			return group;
		};

		const reference = await createGroup();
		const before = reference.diskOf('a').operations();
		const all = await proposeAll(reference);
		assert.equal(all.length, count);
		for (let operation = before + 1; operation <= reference.diskOf('a').operations(); operation += 1) {
			for (const leftover of [{keep: 0}, {keep: 0.5}, {keep: 1}]) {
				const group = await createGroup();
				group.diskOf('a').crashAtOperation(operation);
				const acknowledged = await proposeAll(group);
				group.kill('a');
				group.diskOf('a').loseUnsynced(leftover);
				await group.start('a');
				await group.elect();
				const lost = acknowledged.filter(instance => !group.of('a').placed().includes(instance));
				assert.deepEqual(lost, [], `crash at ${operation}, keep ${leftover.keep}`);
			}
		}
	});
});
