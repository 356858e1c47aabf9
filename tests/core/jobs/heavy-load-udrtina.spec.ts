import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	earnedBy, fixed, inOrder, ours, playAll,
} from '../../fixtures/heavy-load.js';

describe('callers under the heaviest load (udrtina)', () => {
	it('should get more jobs, by worth, within their objective than with first-come-first-served order or fixed pools', () => {
		const earned = earnedBy(playAll('udrtina-twice', ours));
		assert.ok(earned > earnedBy(playAll('udrtina-twice', inOrder)), `${earned}`);
		assert.ok(earned > earnedBy(playAll('udrtina-twice', fixed)), `${earned}`);
	});

	it('should see every accepted job finish', () => {
		const left = playAll('udrtina-twice', ours).flatMap(result => result.played).filter(played => played.outcome === 'unfinished');
		assert.deepEqual(left, []);
	});
});
