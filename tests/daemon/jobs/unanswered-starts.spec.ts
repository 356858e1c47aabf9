import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {lifeNamed, orderOf, storeWith} from '../../fixtures/job-fixtures.js';
import {createLeaderHarness, waitUntilTrue} from '../../fixtures/leader-harness.js';

/** Time within which a worker in contact must get more work, in milliseconds; far below the pause of a silent worker. */
const NEXT_START_MS = 700;

describe('a worker that left one start without an answer and has answered polls since', () => {
	// Where a few percent of the starts got no answer, a third of a pool with waiting work was out of use.
	it('should get more work without the pause of a silent worker', async () => {
		const store = storeWith([orderOf('a')]);
		const [lost] = [`${'a'.padEnd(16, '0')}.0.0.0`];
		const harness = createLeaderHarness(store, {
			lives: [lifeNamed('w1')],
			start: async ({unit}) => (unit === lost ? {type: 'unknown', cause: 'no answer'} : {type: 'done'}),
		});
		try {
			await waitUntilTrue(() => harness.starts.length > 0);
			store.apply({type: 'submit', order: orderOf('b'), atMs: 0});
			const submittedMs = performance.now();
			await waitUntilTrue(() => harness.starts.some(({unit}) => unit.startsWith('b')));
			assert.ok(performance.now() - submittedMs < NEXT_START_MS, `started after ${Math.round(performance.now() - submittedMs)} ms`);
		} finally {
			harness.work.stop();
		}
	});
});
