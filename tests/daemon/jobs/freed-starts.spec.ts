import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	activeRun, createSessionHarness, eventually, listsOf, unitOf,
} from '../../fixtures/session-harness.js';

describe('a start that got no answer, and whose run was freed once its worker had confirmed a stop', () => {
	// The next life knows nothing of that stop; its ID is the same, and the expiry lies ahead of its clock.
	it('should be stopped on the next life too while it may still be under way', async () => {
		const [freed, other] = [unitOf(0), unitOf(1)];
		let hasRestarted = false;
		const harness = createSessionHarness({
			units: 2,
			start: async ({unit}) => (unit === freed ? {type: 'unknown', cause: 'no result', isCarrierLost: true} : {type: 'done'}),
			hold: async () => (hasRestarted ? {type: 'gone', answer: 'born 2'} : listsOf({clockMs: harness.clock.nowMs, active: [activeRun(other)]})),
		});
		harness.place(freed);
		harness.place(other);
		assert.ok(await eventually(() => harness.stateOf(freed) === 'idle'));
		const stopsBefore = harness.stops.length;
		hasRestarted = true;
		assert.ok(await eventually(() => {
			// The next life has the time of a stop to end the run.
			harness.clock.nowMs += 50;
			return harness.ended.length > 0;
		}));
		assert.deepEqual(harness.stops.slice(stopsBefore), [freed]);
	});
});
