import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {setImmediate} from 'node:timers/promises';
import {createBoundedLogs, createLineBuffer, type ByteSink} from '@bronzebend/daemon';

const manualClock = () => {
	let nowMs = 0;
	return {
		wallMs: () => nowMs,
		monotonicMs: () => nowMs,
		advance(milliseconds: number): void {
			nowMs += milliseconds;
		},
	};
};

const collect = (): {sink: ByteSink; text(): string} => {
	let text = '';
	return {
		sink(bytes, callback) {
			text += new TextDecoder().decode(bytes);
			callback(null, bytes.length);
		},
		text: () => text,
	};
};

describe('bounded logs', () => {
	it('should write one structured line for each entry', async () => {
		const out = collect();
		createBoundedLogs({
			node: 'n1', clock: manualClock(), level: 'info', sink: out.sink,
		})('desk').info('Job accepted.', {job: 'a'});
		await setImmediate();
		const line = JSON.parse(out.text()) as Record<string, unknown>;
		assert.deepEqual([line.node, line.part, line.message, line.job], ['n1', 'desk', 'Job accepted.', 'a']);
	});

	it('should limit the rate of one kind of line, count the omitted lines, and keep other kinds', async () => {
		const clock = manualClock();
		const out = collect();
		const log = createBoundedLogs({
			node: 'n1', clock, level: 'info', sink: out.sink,
		})('desk');
		for (let line = 0; line < 500; line += 1) {
			log.info('Job accepted.', {job: String(line)});
		}

		log.warn('Job not committed.', {job: 'x'});
		clock.advance(1100);
		log.info('Job accepted.', {job: 'last'});
		await setImmediate();
		const lines = out.text().trim().split('\n').map(line => JSON.parse(line) as Record<string, unknown>);
		assert.equal(lines.filter(line => line.message === 'Job accepted.').length, 61);
		assert.equal(lines.filter(line => line.message === 'Job not committed.').length, 1);
		assert.deepEqual(lines.filter(line => line.message === 'Left out lines.').map(line => line.leftOut), [440]);
	});

	it('should drop lines and stay within its limit while the reader accepts nothing', () => {
		const calls: Array<(error: null, written: number) => void> = [];
		const buffer = createLineBuffer((_bytes, callback) => {
			calls.push(callback);
		}, 1000);
		for (let line = 0; line < 1000; line += 1) {
			buffer.add(`${'x'.repeat(50)}\n`);
		}

		assert.equal(calls.length, 1);
		assert.ok(buffer.waitingBytes() <= 1000);
		assert.ok(buffer.dropped() > 900);
	});

	it('should write the rest after a partial write', async () => {
		let text = '';
		const buffer = createLineBuffer((bytes, callback) => {
			const part = bytes.subarray(0, 4);
			text += new TextDecoder().decode(part);
			callback(null, part.length);
		});
		buffer.add('0123456789\n');
		for (let turn = 0; turn < 50 && text.length < 11; turn += 1) {
			await new Promise(resolve => {
				setTimeout(resolve, 1);
			});
		}

		assert.equal(text, '0123456789\n');
	});
});
