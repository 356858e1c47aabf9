import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createCatalogue, diffCatalogues, type Declaration} from '@bronzebend/core';
import {openStorage} from '@bronzebend/replica';
import {createReplicaGroup, type ReplicaGroup} from '../fixtures/replica-group.js';

const SNAPSHOT_INTERVAL = 20;
const NAMES = ['a', 'b', 'c'];

const createGroup = async (): Promise<ReplicaGroup> => {
	const group = createReplicaGroup(7, SNAPSHOT_INTERVAL);
	await group.form(NAMES);
	const catalogue = createCatalogue(['east', 'west', 'south'].map((dataCentre): Declaration => ({
		kind: 'instance', name: `i-${dataCentre}`, region: 'home', dataCentre, rack: 'r', pool: 'p',
	})));
	await group.propose({
		type: 'publish', publicationId: 'p', base: 0, contentDigest: catalogue.digest(), delta: diffCatalogues(createCatalogue([]), catalogue), author: 'x', atMs: 1,
	});
	return group;
};

const evacuate = async (group: ReplicaGroup, dataCentre: string): Promise<void> => {
	assert.deepEqual(await group.propose({type: 'evacuate', dataCentre, atMs: 2}), {type: 'evacuation', outcome: {type: 'accepted', changed: true}});
};

/** Cuts the power of all replicas at once, then starts them. Returns the index up to which each disk held a snapshot. */
const restartAll = async (group: ReplicaGroup): Promise<number[]> => {
	for (const name of NAMES) {
		group.kill(name);
		group.diskOf(name).loseUnsynced({keep: 0});
	}

	const storages = await Promise.all(NAMES.map(async name => openStorage(group.diskOf(name).disk)));
	const snapshots = storages.map(storage => storage.snapshot()!.index);
	await Promise.all(NAMES.map(async name => group.start(name)));
	await group.elect();
	await group.run(500);
	return snapshots;
};

const assertEvacuated = (group: ReplicaGroup, expected: string[]): void => {
	for (const name of group.names()) {
		assert.deepEqual(group.of(name).evacuated(), expected, name);
	}
};

describe('recovery of acknowledged evacuations', () => {
	it('should find them in the log after the loss of all power', async () => {
		const group = await createGroup();
		await evacuate(group, 'east');
		await evacuate(group, 'west');
		await group.propose({type: 'end-evacuation', dataCentre: 'east', atMs: 3});
		await restartAll(group);
		assertEvacuated(group, ['west']);
	});

	it('should find them in a snapshot after the loss of all power', async () => {
		const group = await createGroup();
		await evacuate(group, 'east');
		for (let index = 0; index < 2 * SNAPSHOT_INTERVAL; index += 1) {
			await group.propose({type: 'place', instance: `later-${index}`, pool: 'p'});
		}

		await group.run(500);
		const snapshots = await restartAll(group);
		assert.ok(snapshots.every(index => index > SNAPSHOT_INTERVAL), 'the snapshots hold the command');
		assertEvacuated(group, ['east']);
	});

	it('should keep them when the leader is lost right after the acknowledgement, and acknowledge a repetition to the next leader', async () => {
		const group = await createGroup();
		await evacuate(group, 'east');
		const leader = group.names().find(name => group.of(name).replica.hasLease())!;
		group.kill(leader);
		assert.deepEqual(await group.propose({type: 'evacuate', dataCentre: 'east', atMs: 9}), {type: 'evacuation', outcome: {type: 'accepted', changed: false}});
		await group.run(500);
		assertEvacuated(group, ['east']);
	});

	it('should not acknowledge one at a leader that has lost the other replicas, and agree on it once they are back', async () => {
		const group = await createGroup();
		const leader = await group.elect();
		const name = group.names().find(item => group.of(item).replica === leader)!;
		const others = NAMES.filter(item => item !== name);
		for (const other of others) {
			group.kill(other);
		}

		const answers: unknown[] = [];
		const proposal = leader.propose({type: 'evacuate', dataCentre: 'east', atMs: 2}).then(outcome => {
			answers.push(outcome);
		}).catch(() => undefined);
		await group.run(3000);
		assert.deepEqual(answers, []);
		assert.equal(leader.hasLease(), false, 'it no longer answers nodes and operators');
		assert.deepEqual(group.of(name).evacuated(), []);
		await Promise.all(others.map(async other => group.start(other)));
		const result = await group.propose({type: 'evacuate', dataCentre: 'east', atMs: 9});
		assert.ok(result?.type === 'evacuation' && result.outcome.type === 'accepted');
		await group.run(500);
		assertEvacuated(group, ['east']);
		await proposal;
	});
});
