import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {retryAfterMs} from '@bronzebend/core';

describe('admission', () => {
	it('should take jobs in while the pool works its backlog off in time', () => {
		assert.equal(retryAfterMs({coreMs: 12_000 * 4000, capacityCpu: 4000}), undefined);
	});

	it('should say when the backlog will have drained', () => {
		assert.equal(retryAfterMs({coreMs: 20_000 * 4000, capacityCpu: 4000}), 8000);
	});

	it('should refuse nothing while nobody knows what the pool holds', () => {
		assert.equal(retryAfterMs({coreMs: 20_000 * 4000, capacityCpu: undefined}), undefined);
	});
});
