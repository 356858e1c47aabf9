import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {retryAfterMs} from '@bronzebend/core';

describe('admission', () => {
	it('should accept jobs while the pool can process its backlog in time', () => {
		assert.equal(retryAfterMs({coreMs: 12_000 * 4000, capacityCpu: 4000}), undefined);
	});

	it('should return the delay after which the backlog will have drained', () => {
		assert.equal(retryAfterMs({coreMs: 20_000 * 4000, capacityCpu: 4000}), 8000);
	});

	it('should reject no job while the capacity of the pool is unknown', () => {
		assert.equal(retryAfterMs({coreMs: 20_000 * 4000, capacityCpu: undefined}), undefined);
	});
});
