import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	earnedBy, fixed, inOrder, ours, playAll,
} from '../../fixtures/heavy-load.js';

describe('callers under the heaviest load (udrtina)', () => {
	it('should get more in their objective than in order of arrival or from fixed pools', () => {
		const earned = earnedBy(playAll('udrtina-twice', ours));
		assert.ok(earned > earnedBy(playAll('udrtina-twice', inOrder)), `${earned}`);
		assert.ok(earned > earnedBy(playAll('udrtina-twice', fixed)), `${earned}`);
	});

	it('should have every job that was taken in done in the end', () => {
		const left = playAll('udrtina-twice', ours).flatMap(result => result.played).filter(played => played.outcome === 'unfinished');
		assert.deepEqual(left, []);
	});
});
