import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	earnedShare, withoutMoves, firstComeFirstServed, defaultStrategy, simulateAllSeeds,
} from '../../fixtures/heavy-load.js';

describe('callers under the heaviest load (schaumwerk)', () => {
	it('should get more jobs, by worth, within their objective than with first-come-first-served order or fixed pools', () => {
		const earned = earnedShare(simulateAllSeeds('schaumwerk-twice', defaultStrategy));
		assert.ok(earned > earnedShare(simulateAllSeeds('schaumwerk-twice', firstComeFirstServed)), `${earned}`);
		assert.ok(earned > earnedShare(simulateAllSeeds('schaumwerk-twice', withoutMoves)), `${earned}`);
	});

	it('should see every accepted job finish', () => {
		const left = simulateAllSeeds('schaumwerk-twice', defaultStrategy).flatMap(result => result.played).filter(played => played.outcome === 'unfinished');
		assert.deepEqual(left, []);
	});

	it('should lose no work when machines move', () => {
		const results = simulateAllSeeds('schaumwerk-twice', defaultStrategy);
		assert.deepEqual(results.map(result => result.lostCoreSeconds), results.map(() => 0));
	});
});
