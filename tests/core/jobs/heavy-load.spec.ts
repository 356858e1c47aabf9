import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {earnedShare, defaultStrategy, simulateAllSeeds} from '../../fixtures/heavy-load.js';

describe('callers under the heaviest load', () => {
	it('should still be served while jobs arrive that can never complete', () => {
		const poisoned = earnedShare(simulateAllSeeds('schaumwerk-poison', defaultStrategy));
		assert.ok(poisoned > 0.95 * earnedShare(simulateAllSeeds('schaumwerk', defaultStrategy)), `${poisoned}`);
	});
});
