import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createLogWrites, type Log} from '@bronzebend/daemon';

describe('the record of writes to the log', () => {
	// Guards against a keeper whose slow disk is seen nowhere while the group has no leader for that cause.
	it('should log slow writes at a bounded rate, and remember the slowest one for some seconds', () => {
		let nowMs = 0;
		const lines: Array<[string, unknown]> = [];
		const write = (message: string, fields?: unknown): void => {
			lines.push([message, fields]);
		};

		const log: Log = {
			error: write, warn: write, info: write, debug: write,
		};
		const writes = createLogWrites({clock: {monotonicMs: () => nowMs, wallMs: () => nowMs}, log, metrics: undefined});
		const wroteAt = (atMs: number, tookMs: number): void => {
			nowMs = atMs;
			writes.wrote(tookMs);
		};

		wroteAt(100, 20);
		assert.deepEqual([lines.length, writes.slowestMs()], [0, 20]);
		wroteAt(1000, 400);
		wroteAt(1500, 300);
		wroteAt(2000, 20);
		assert.deepEqual(lines, [['Writes to the log are slow.', {writes: 1, slowestMs: 400}]]);
		assert.equal(writes.slowestMs(), 400);
		wroteAt(6200, 600);
		assert.deepEqual(lines.slice(1), [['Writes to the log are slow.', {writes: 2, slowestMs: 600}]]);
		wroteAt(12_000, 20);
		assert.deepEqual([lines.length, writes.slowestMs()], [2, 20]);
		nowMs = 20_000;
		assert.equal(writes.slowestMs(), 0);
	});
});
