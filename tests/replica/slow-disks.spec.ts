import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createReplicaGroup} from '../fixtures/replica-group.js';

const NAMES = ['a', 'b', 'c', 'd', 'e'];
const STEP_MS = 100;

describe('a group whose disks are all slow', () => {
	// Guards against a leader that loses its lease because its followers confirm contact only after a sync.
	for (const syncMs of [300, 1000, 3000]) {
		it(`should keep its leader, and the lease, while each sync takes ${syncMs} ms`, async () => {
			const group = createReplicaGroup(31, 1000);
			await group.form(NAMES);
			const leader = await group.elect();
			const term = leader.raft.term();
			group.slowDisks(syncMs);
			const commitIndex = leader.raft.commitIndex();
			for (let atMs = 0; atMs < 20_000; atMs += STEP_MS) {
				leader.propose({type: 'place', instance: `i${atMs}`, pool: 'p'}).catch(() => undefined);
				await group.run(STEP_MS);
				assert.ok(leader.hasLease(), `the lease is lost after ${atMs} ms`);
			}

			assert.equal(leader.raft.term(), term);
			assert.ok(leader.raft.commitIndex() > commitIndex, 'changes are committed');
			assert.deepEqual(group.fatal, []);
		});
	}
});
