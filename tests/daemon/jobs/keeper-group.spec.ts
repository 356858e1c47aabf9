import assert from 'node:assert/strict';
import {
	afterEach, beforeEach, describe, it,
} from 'node:test';
import {createKeeperGroup, type KeeperGroup} from '../../fixtures/keeper-group.js';

const FIRST = ['k1:1', 'k2:1', 'k3:1'];
describe('the voters of a keeper group', {timeout: 60_000}, () => {
	let group: KeeperGroup;

	const others = (...nodes: string[]): string[] => group.nodes().filter(node => !nodes.includes(node));
	const areVoters = (nodes: readonly string[]): boolean => group.voters().join(' ') === nodes.toSorted((left, right) => left.localeCompare(right)).join(' ');

	const add = async (node: string): Promise<void> => {
		await group.start(node);
		assert.ok(await group.holds(() => group.voters().includes(node)), `${node} is no voter`);
	};

	beforeEach(async () => {
		group = await createKeeperGroup(3, FIRST);
		await group.form();
	});

	afterEach(async () => {
		await group.close();
	});

	it('should include a keeper that lost its disk, under its new identity only', async () => {
		const lost = others(group.leader()!.view().leader!)[0]!;
		await group.wipe(lost);
		await group.start(lost);
		assert.ok(await group.holds(() => areVoters(FIRST) && group.members().length === 3), group.voters().join(' '));
	});

	it('should not include keepers that resigned, when two resign at once and one of them leads', async () => {
		await add('k4:1');
		await add('k5:1');
		const leader = group.leader()!.view().leader!;
		const leaving = [leader, others(leader)[0]!];
		const results = await Promise.all(leaving.map(async node => {
			group.keeper(node).transferLeadership();
			return group.keeper(node).resign(5000);
		}));
		assert.deepEqual(results, ['left', 'left']);
		await Promise.all(leaving.map(async node => group.stop(node)));
		assert.ok(await group.holds(() => areVoters(group.nodes())), group.voters().join(' '));
	});

	it('should keep the vote of a keeper that resigns from a group of its target size, since it may be a restart', async () => {
		const node = others(group.leader()!.view().leader!)[0]!;
		assert.equal(await group.keeper(node).resign(5000), 'kept');
		await group.stop(node);
		await group.start(node);
		assert.ok(await group.holds(() => areVoters(FIRST)));
	});

	it('should not wait for the leader beyond the limit given', async () => {
		await add('k4:1');
		const node = others(group.leader()!.view().leader!)[0]!;
		group.cut(node);
		const startedMs = Date.now();
		assert.equal(await group.keeper(node).resign(500), 'unanswered');
		assert.ok(Date.now() - startedMs < 1500);
	});
});
