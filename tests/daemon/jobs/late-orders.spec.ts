import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {OrderResult} from '@bronzebend/core';
import {
	createSessionHarness, eventually, never, unitOf,
} from '../../fixtures/session-harness.js';

const unanswered: OrderResult = {type: 'unknown', cause: 'no answer'};
const unit = unitOf(0);

describe('a start that reached the next life of its worker', () => {
	// The work unit was started elsewhere while the next life was still ending its run.
	it('should keep its work unit until the stopped run has had the time to end there', async () => {
		let stoppedMs = Infinity;
		const harness = createSessionHarness({
			start: async () => unanswered,
			hold: async () => ({type: 'gone', answer: 'status 421'}),
			async stop() {
				stoppedMs = Math.min(stoppedMs, harness.clock.nowMs);
				return {type: 'done'};
			},
		});
		harness.place(unit);
		assert.ok(await eventually(() => stoppedMs < Infinity));
		harness.clock.nowMs = stoppedMs + (200 / 0.98);
		assert.ok(await never(() => harness.ended.length > 0));
		harness.clock.nowMs += 500;
		assert.ok(await eventually(() => harness.ended.length > 0));
		assert.deepEqual(harness.stops, [unit]);
	});

	it('should keep its work unit for a whole lease after the last moment at which the start could have been sent', async () => {
		const harness = createSessionHarness({
			start: async () => unanswered, stop: async () => unanswered, hold: async () => ({type: 'gone', answer: 'status 421'}),
		});
		harness.place(unit);
		assert.ok(await eventually(() => harness.session.isOver()));
		// A relaying keeper may have sent it 2.9 s after it was ordered; the worker shortens its expiry to the longest lease.
		harness.clock.nowMs += 2800 + (10_000 / 0.98);
		assert.ok(await never(() => harness.ended.length > 0));
		harness.clock.nowMs += 2000;
		assert.ok(await eventually(() => harness.ended.length > 0));
	});

	it('should free its work unit once another worker answers at the address', async () => {
		const harness = createSessionHarness({
			start: async () => unanswered, stop: async () => ({type: 'gone', answer: 'status 421'}), hold: async () => ({type: 'gone', answer: 'status 421'}),
		});
		harness.place(unit);
		assert.ok(await eventually(() => harness.stateOf(unit) === 'running' && harness.ended.length > 0));
	});
});
