/**
Structured logs on standard output that never hold up the process.

Each kind of line has a rate; what is left out is counted and told once a second. Lines wait in a
bounded buffer while the reader is slow, and are dropped, and counted, past that.
*/
import {write as writeFile} from 'node:fs';
import type {Clock} from '@bronzebend/core';
import winston from 'winston';
import Transport from 'winston-transport';
import type {LogFactory, LogFields} from './log.js';

/** Lines of one kind in a second; a busy leader writes a few hundred in all. */
const LINES_PER_SECOND = 60;
/** Lines of a kind that explains a failure, in a second. */
const FAILURE_LINES_PER_SECOND = 200;
/** Bytes that wait for a slow reader at most. */
const MAX_WAITING_BYTES = 512 * 1024;
/** Pause after a reader took nothing, in milliseconds. */
const RETRY_MS = 20;
const STDOUT = 1;
const SECOND_MS = 1000;

/** Takes bytes without blocking; calls back with what was taken or why not. */
export type ByteSink = (bytes: Uint8Array, callback: (error: NodeJS.ErrnoException | null, written: number) => void) => void;

/** Standard output, written by the thread pool. */
export const standardOutput: ByteSink = (bytes, callback) => {
	writeFile(STDOUT, bytes, callback);
};

/** A bounded buffer in front of a sink. */
export const createLineBuffer = (sink: ByteSink, maxBytes = MAX_WAITING_BYTES) => {
	let waiting: string[] = [];
	let waitingBytes = 0;
	let dropped = 0;
	let isWriting = false;

	const flush = (): void => {
		if (isWriting || waiting.length === 0) {
			return;
		}

		isWriting = true;
		const lines = waiting;
		waiting = [];
		waitingBytes = 0;
		if (dropped > 0) {
			lines.push(`${JSON.stringify({
				level: 'warn', part: 'log', message: 'Dropped lines for a slow reader.', dropped,
			})}\n`);
			dropped = 0;
		}

		writeAll(new TextEncoder().encode(lines.join('')));
	};

	const writeAll = (bytes: Uint8Array): void => {
		sink(bytes, (error, written) => {
			const rest = bytes.subarray(error ? 0 : written);
			if (error && error.code !== 'EAGAIN') {
				dropped += 1;
			} else if (rest.length > 0) {
				setTimeout(writeAll, error ? RETRY_MS : 0, rest).unref();
				return;
			}

			isWriting = false;
			flush();
		});
	};

	return {
		add(line: string): void {
			if (waitingBytes + line.length > maxBytes) {
				dropped += 1;
				return;
			}

			waiting.push(line);
			waitingBytes += line.length;
			flush();
		},
		waitingBytes: () => waitingBytes,
		dropped: () => dropped,
	};
};

/** Limits lines of each kind and counts what is left out. */
export const createLineLimiter = (clock: Clock) => {
	let sinceMs = clock.monotonicMs();
	let counts = new Map<string, number>();

	return {
		/** True where a line may be written; `report` gets what an ended second left out. */
		admits(kind: string, limit: number, report: (kind: string, leftOut: number) => void): boolean {
			const nowMs = clock.monotonicMs();
			if (nowMs - sinceMs >= SECOND_MS) {
				const ended = counts;
				counts = new Map();
				sinceMs = nowMs;
				for (const [each, count] of ended) {
					const [name, most] = each.split('\n');
					if (count > Number(most)) {
						report(name!, count - Number(most));
					}
				}
			}

			const key = `${kind}\n${limit}`;
			const count = (counts.get(key) ?? 0) + 1;
			counts.set(key, count);
			return count <= limit;
		},
	};
};

/** Creates the logs of one process. */
export const createBoundedLogs = (options: {node: string; clock: Clock; level: string; sink?: ByteSink}): LogFactory => {
	const buffer = createLineBuffer(options.sink ?? standardOutput);
	const limiter = createLineLimiter(options.clock);
	const transport = new Transport({
		log(info: Record<string | symbol, unknown>, next: () => void) {
			buffer.add(`${String(info[Symbol.for('message')])}\n`);
			next();
		},
	});
	const logger = winston.createLogger({
		level: options.level,
		format: winston.format.combine(winston.format.timestamp(), winston.format.json()),
		transports: [transport],
	});

	return part => {
		const write = (level: string, limit: number) => (sentence: string, fields: LogFields = {}): void => {
			if (!logger.isLevelEnabled(level)) {
				return;
			}

			const line = (message: string, more: LogFields): void => {
				logger.log({
					node: options.node, part, ...more, level, message,
				});
			};

			const isAdmitted = limiter.admits(`${part}: ${sentence}`, limit, (kind, leftOut) => {
				line('Left out lines.', {kind, leftOut});
			});
			if (isAdmitted) {
				line(sentence, fields);
			}
		};

		return {
			error: write('error', FAILURE_LINES_PER_SECOND),
			warn: write('warn', FAILURE_LINES_PER_SECOND),
			info: write('info', LINES_PER_SECOND),
			debug: write('debug', LINES_PER_SECOND),
		};
	};
};
