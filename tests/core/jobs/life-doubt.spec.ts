import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {mayHaveEnded, type LifeEvidence} from '@bronzebend/core';
import {lifeNamed} from '../../fixtures/job-fixtures.js';

const {life} = lifeNamed('w1');
const evidence: LifeEvidence = {
	listed: undefined,
	listReadMs: -Infinity,
	order: {holder: 'n1', atMs: 0, life},
	orderSettledMs: 500,
};

describe('a life that an order of an earlier leader names', () => {
	it('should get work within 6 s if it reports on while the platform returns no list', () => {
		const doubted = [400, 1000, 2000, 3000, 4000, 5000, 6000, 7000].filter(receivedMs => mayHaveEnded({life, receivedMs}, evidence));
		assert.ok(doubted.includes(1000), `${doubted.join(' ')}`);
		assert.ok(!doubted.includes(6000), `${doubted.join(' ')}`);
	});

	it('should get no work while its last report is older than the order', () => {
		assert.equal(mayHaveEnded({life, receivedMs: 400}, evidence), true);
		assert.equal(mayHaveEnded({life: lifeNamed('w2').life, receivedMs: 400}, evidence), false);
	});
});
