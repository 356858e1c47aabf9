import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	activeRun, createSessionHarness, eventually, listsOf, never, unitOf,
} from '../../fixtures/session-harness.js';
import {lifeNamed, orderOf, storeWith} from '../../fixtures/job-fixtures.js';

describe('the lease of a worker that has started again under its ID', () => {
	// A poll meant for the earlier life had extended it to the longest lease, counted on the new clock; seed 108 of the soak.
	it('should not be taken for over while a call meant for the earlier life may have extended it', async () => {
		for (const inherited of [false, true]) {
			let isSilent = false;
			const harness = createSessionHarness({
				inherited,
				hasEarlierLife: true,
				hold: async () => (isSilent ? {type: 'unknown', cause: 'no response'} : listsOf({clockMs: harness.clock.nowMs, active: [activeRun(unitOf(0))]})),
			});
			harness.place(unitOf(0));
			assert.ok(await eventually(() => harness.holds.length > 2));
			isSilent = true;
			harness.clock.nowMs += 9900;
			assert.ok(await never(() => harness.ended.length > 0));
			harness.clock.nowMs += 4000;
			assert.ok(await eventually(() => harness.ended.length > 0));
			assert.deepEqual(harness.ended, ['lease-over']);
		}
	});

	it('should be known from the runs that were recorded for the earlier life', () => {
		const [first, second] = [lifeNamed('w1'), {...lifeNamed('w1'), life: 'w1@2', bornMs: 2}];
		const store = storeWith([orderOf('a')]);
		store.apply({type: 'runs-start', lives: [first], runs: [{unit: unitOf(0), attempt: 1, life: first.life}]});
		assert.deepEqual([store.hasOtherLife(first), store.hasOtherLife(second), store.hasOtherLife(lifeNamed('w2'))], [false, true, false]);
	});
});
