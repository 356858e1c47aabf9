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

	it('should give a pool without workers other machines while some refuse to move', async () => {
		const group = createMachineGroup({
			answerMs: 20, cap: 0, isStandby: true, busy: ['m1', 'm2'],
		});
		group.lead('one');
		await group.pass(2500);
		group.stop();
		assert.deepEqual(group.arrivals.filter(order => !order.isRefused).map(order => order.machine), ['m3']);
		assert.ok(group.refusedOrders() <= 4, `${group.refusedOrders()} orders were refused`);
	});

	it('should give the others of a wave their upkeep while some of its machines refuse, and those afterwards', async () => {
		const group = createMachineGroup({
			answerMs: 20, cap: 2, busy: ['m1', 'm2'], busyMs: 6000,
		});
		group.lead('one');
		await group.pass(6000);
		const withoutUpkeep = group.machinesWithoutOrder();
		await group.pass(3000);
		group.stop();
		assert.deepEqual(withoutUpkeep, ['m1', 'm2']);
		assert.deepEqual(group.machinesWithoutOrder(), []);
		assert.ok(group.refusedOrders() <= 8, `${group.refusedOrders()} orders were refused`);
	});

	it('should give no order to machines whose workers drain', async () => {
		const group = createMachineGroup({
			answerMs: 20, cap: 2, busy: ['m1', 'm2'], draining: ['m1', 'm2'],
		});
		group.lead('one');
		await group.pass(6000);
		group.stop();
		assert.deepEqual(group.machinesWithoutOrder(), ['m1', 'm2']);
		assert.equal(group.refusedOrders(), 0);
	});
});
