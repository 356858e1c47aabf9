import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createMachineGroup} from '../../fixtures/machine-group.js';

describe('the care of machines', () => {
	it('should not send an order that waited for a connection until another holder gives the next one', async () => {
		const group = createMachineGroup({answerMs: 1500});
		group.lead('one');
		await group.pass(1000);
		group.lead('two');
		await group.pass(12_000);
		group.stop();
		assert.deepEqual(group.turnsTooClose(), []);
		assert.deepEqual(group.untouched(), []);
	});

	it('should not send an order long after its record while the same holder still leads', async () => {
		const group = createMachineGroup({answerMs: 1500});
		group.lead('one');
		await group.pass(3400);
		group.lead('two');
		await group.pass(12_000);
		group.stop();
		assert.deepEqual(group.turnsTooClose(), []);
		assert.deepEqual(group.untouched(), []);
	});

	for (const wallAheadMs of [10_000, -10_000]) {
		it(`should wait for another holder's order to age though its wall clock is ${wallAheadMs} ms ahead`, async () => {
			const group = createMachineGroup({answerMs: 1500, wallAheadMs});
			group.lead('one');
			await group.pass(1000);
			group.lead('two');
			await group.pass(12_000);
			group.stop();
			assert.deepEqual(group.turnsTooClose(), []);
		});
	}
});
