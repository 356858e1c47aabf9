import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	defaultStrategy, earnedShare, simulateAllSeeds, withoutYields,
} from '../../fixtures/heavy-load.js';

describe('callers while each turn alone asks for more than the fleet', () => {
	it('should be served in a turn that begins while another pool works off its backlog', () => {
		const earned = earnedShare(simulateAllSeeds('schaumwerk-outgrown', defaultStrategy));
		const held = earnedShare(simulateAllSeeds('schaumwerk-outgrown', withoutYields));
		assert.ok(earned > 1.05 * held, `${earned} and ${held}`);
	});

	it('should lose no work when workers yield, and see every accepted job finish', () => {
		const results = simulateAllSeeds('schaumwerk-outgrown', defaultStrategy);
		assert.deepEqual(results.map(result => result.lostCoreSeconds), results.map(() => 0));
		assert.deepEqual(results.flatMap(result => result.played).filter(played => played.outcome === 'unfinished'), []);
	});
});
