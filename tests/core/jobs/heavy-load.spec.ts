import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {earnedBy, ours, playAll} from '../../fixtures/heavy-load.js';

describe('callers under the heaviest load', () => {
	it('should still be served while jobs arrive that can never complete', () => {
		const poisoned = earnedBy(playAll('schaumwerk-poison', ours));
		assert.ok(poisoned > 0.95 * earnedBy(playAll('schaumwerk', ours)), `${poisoned}`);
	});
});
