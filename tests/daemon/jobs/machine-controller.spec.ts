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
});
