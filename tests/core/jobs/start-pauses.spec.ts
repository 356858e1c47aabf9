import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createStartPauses} from '@bronzebend/core';

describe('pauses of starts', () => {
	it('should end after an unanswered start once the worker answers another call', () => {
		const pauses = createStartPauses();
		pauses.unanswered('w1', 0);
		assert.equal(pauses.isPaused('w1', 100), true);
		pauses.answered('w1');
		assert.equal(pauses.isPaused('w1', 100), false);
	});

	it('should last while the worker answers nothing', () => {
		const pauses = createStartPauses();
		pauses.unanswered('w1', 0);
		pauses.answered('w2');
		assert.deepEqual([1400, 1600].map(nowMs => pauses.isPaused('w1', nowMs)), [true, false]);
	});

	it('should last on a worker that answers other calls and none of several starts', () => {
		const pauses = createStartPauses();
		for (let start = 0; start < 3; start += 1) {
			pauses.answered('w1');
			pauses.unanswered('w1', 0);
		}

		pauses.answered('w1');
		assert.equal(pauses.isPaused('w1', 1400), true);
		pauses.accepted('w1');
		pauses.unanswered('w1', 2000);
		pauses.answered('w1');
		assert.equal(pauses.isPaused('w1', 2100), false);
	});

	it('should last after a rejected start and a lost connection, whatever the worker answers', () => {
		const pauses = createStartPauses();
		pauses.rejected('w1', 0);
		pauses.unreachable('w2', 0);
		pauses.answered('w1');
		pauses.answered('w2');
		assert.deepEqual([pauses.isPaused('w1', 200), pauses.isPaused('w1', 400)], [true, false]);
		assert.deepEqual([pauses.isPaused('w2', 1400), pauses.isPaused('w2', 1600)], [true, false]);
	});

	it('should keep the pause after a rejected start when the worker answers another call', () => {
		const pauses = createStartPauses();
		pauses.unanswered('w1', 0);
		pauses.rejected('w1', 100);
		pauses.answered('w1');
		assert.deepEqual([pauses.isPaused('w1', 300), pauses.isPaused('w1', 500)], [true, false]);
	});

	it('should not become shorter with another failure', () => {
		const pauses = createStartPauses();
		pauses.unreachable('w1', 0);
		pauses.rejected('w1', 100);
		assert.equal(pauses.isPaused('w1', 1400), true);
	});
});
