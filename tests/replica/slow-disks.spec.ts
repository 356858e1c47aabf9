import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createReplicaGroup} from '../fixtures/replica-group.js';

const NAMES = ['a', 'b', 'c', 'd', 'e'];
/** Time within which the operators' platform expects a change to be acknowledged in calm, in milliseconds. */
const ACK_MS = 4000;
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

	// Guards against elections that begin anew before the votes are on disk, so that no term ever gets a leader.
	for (const [seed, syncMs] of [[1, 300], [2, 500], [3, 500], [4, 700], [5, 700]] as const) {
		it(`should have a leader again, in time for a change to be acknowledged, after it lost one where each sync takes ${syncMs} ms (seed ${seed})`, async () => {
			const group = createReplicaGroup(seed, 1000);
			await group.form(NAMES);
			await group.elect();
			group.slowDisks(syncMs);
			const lost = group.names().find(name => group.of(name).replica.hasLease())!;
			await group.propose({type: 'place', instance: 'before', pool: 'p'});
			group.kill(lost);
			await group.run(ACK_MS);
			assert.ok(group.leader(), `no leader after ${ACK_MS} ms; terms ${group.names().map(name => group.of(name).replica.raft.term()).join(' ')}`);
			assert.deepEqual(group.fatal, []);
		});
	}
});
