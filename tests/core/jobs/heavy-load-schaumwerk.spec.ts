import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	earnedBy, fixed, inOrder, ours, playAll,
} from '../../fixtures/heavy-load.js';

describe('callers under the heaviest load (schaumwerk)', () => {
	it('should get more jobs, by worth, within their objective than with first-come-first-served order or fixed pools', () => {
		const earned = earnedBy(playAll('schaumwerk-twice', ours));
		assert.ok(earned > earnedBy(playAll('schaumwerk-twice', inOrder)), `${earned}`);
		assert.ok(earned > earnedBy(playAll('schaumwerk-twice', fixed)), `${earned}`);
	});

	it('should see every accepted job finish', () => {
		const left = playAll('schaumwerk-twice', ours).flatMap(result => result.played).filter(played => played.outcome === 'unfinished');
		assert.deepEqual(left, []);
	});

	it('should lose no work when machines move', () => {
		const results = playAll('schaumwerk-twice', ours);
		assert.deepEqual(results.map(result => result.lostCoreSeconds), results.map(() => 0));
	});
});
