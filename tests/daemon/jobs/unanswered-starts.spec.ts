import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createLeaderHarness, waitUntilTrue} from '../../fixtures/leader-harness.js';
import {
	lifeNamed, orderOf, stepOf, storeWith,
} from '../../fixtures/job-fixtures.js';

/** Time after an unanswered start in which a worker that answers its polls must get other work, in milliseconds. */
const MAX_PAUSE_MS = 600;

describe('a worker that answers its polls', () => {
	for (const [name, outcome] of [['got no answer', 'unknown'], ['could not be sent', 'unsent']] as const) {
		it(`should get new work soon after a start on it ${name}`, async () => {
			const lost = 'a'.padEnd(16, '0');
			const store = storeWith([orderOf('a', [stepOf({lasting: true})])]);
			const {starts, running, work} = createLeaderHarness(store, {
				lives: [lifeNamed('w1')],
				async start({unit, attempt}) {
					if (unit.startsWith(lost) && attempt === 1) {
						return {type: outcome, cause: 'no answer'};
					}

					running.set(unit, attempt);
					return {type: 'done'};
				},
			});
			await waitUntilTrue(() => starts.length === 1);
			const failedMs = performance.now();
			store.apply({type: 'submit', order: orderOf('b'), atMs: Date.now()});
			await waitUntilTrue(() => starts.some(({unit}) => unit.startsWith('b')));
			const tookMs = performance.now() - failedMs;
			work.stop();
			assert.ok(tookMs < MAX_PAUSE_MS, `${Math.round(tookMs)} ms`);
		});
	}
});
