import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createMachineGroup} from '../../fixtures/machine-group.js';

describe('the machine controller', () => {
	it('should not send an order that waited for a connection until another holder took over', async () => {
		const group = createMachineGroup({answerMs: 1500});
		group.lead('one');
		await group.pass(1000);
		group.lead('two');
		await group.pass(12_000);
		group.stop();
		assert.deepEqual(group.conflictingOrders(), []);
		assert.deepEqual(group.machinesWithoutOrder(), []);
	});

	it('should not send an order long after its commit, even if the same holder still leads', async () => {
		const group = createMachineGroup({answerMs: 1500});
		group.lead('one');
		await group.pass(3400);
		group.lead('two');
		await group.pass(12_000);
		group.stop();
		assert.deepEqual(group.conflictingOrders(), []);
		assert.deepEqual(group.machinesWithoutOrder(), []);
	});

	for (const wallAheadMs of [10_000, -10_000]) {
		it(`should wait until another holder's order is old enough, even if its wall clock is ${wallAheadMs} ms ahead`, async () => {
			const group = createMachineGroup({answerMs: 1500, wallAheadMs});
			group.lead('one');
			await group.pass(1000);
			group.lead('two');
			await group.pass(12_000);
			group.stop();
			assert.deepEqual(group.conflictingOrders(), []);
		});
	}

	// Guards against two machines down in a wave of one at a time, since the order of the leader before is still on its way.
	for (const next of ['two', 'one']) {
		it(`should count an order of an earlier term that the platform has not carried out yet, when ${next === 'one' ? 'the same keeper' : 'another keeper'} leads next`, async () => {
			const group = createMachineGroup({answerMs: 1500, cap: 1, transitMs: 1000});
			group.list('m1', 'moving');
			group.lead('one');
			for (let check = 0; check < 400 && group.sent() === 0; check += 1) {
				await group.pass(5);
			}

			group.list('m1', 'up');
			group.lead(next);
			await group.pass(20_000);
			group.stop();
			assert.equal(group.mostDown(), 1);
			assert.ok(group.arrivals.length > 2);
		});
	}
});
