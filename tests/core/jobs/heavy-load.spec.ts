import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {earnedBy, ours, playAll} from '../../fixtures/heavy-load.js';

describe('callers under the heaviest load', () => {
	it('should keep serving while jobs come that can never be done', () => {
		const poisoned = earnedBy(playAll('schaumwerk-poison', ours));
		assert.ok(poisoned > 0.95 * earnedBy(playAll('schaumwerk', ours)), `${poisoned}`);
	});
});
