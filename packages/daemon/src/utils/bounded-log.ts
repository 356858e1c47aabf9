/**
Structured logs on standard output that never block the process.

Each kind of line has a rate limit; the number of omitted lines is logged once a second. While the
reader of the output is slow, lines wait in a bounded buffer; once it is full, lines are dropped and counted.
*/
import {write as writeFile} from 'node:fs';
import type {Clock} from '@bronzebend/core';
import winston from 'winston';
import Transport from 'winston-transport';
import type {LogFactory, LogFields} from './log.js';

/** Limit of lines of one kind per second. A busy leader writes a few hundred lines per second in all. */
const LINES_PER_SECOND = 60;
/** Limit of lines of one kind per second, for levels that report failures. */
const FAILURE_LINES_PER_SECOND = 200;
/** Limit of the buffer for a slow reader, in bytes. */
const MAX_WAITING_BYTES = 512 * 1024;
/** Pause before the next write if the reader accepts nothing, in milliseconds. */
const RETRY_MS = 20;
const STDOUT = 1;
const SECOND_MS = 1000;

/** Writes bytes without blocking. Calls back with the number of bytes written, or with the error. */
export type ByteSink = (bytes: Uint8Array, callback: (error: NodeJS.ErrnoException | null, written: number) => void) => void;

/** Writes to standard output, in a thread of Node's pool. */
export const standardOutput: ByteSink = (bytes, callback) => {
	writeFile(STDOUT, bytes, callback);
};

/** Creates a bounded buffer in front of a sink. */
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

/** Limits the lines of each kind per second and counts those over the limit. */
export const createLineLimiter = (clock: Clock) => {
	let secondStartMs = clock.monotonicMs();
	let counts = new Map<string, number>();

	return {
		/** Returns true if a line may be written. When a new second has begun, calls `report` for each kind that exceeded its limit in the last one. */
		admits(kind: string, limit: number, report: (kind: string, leftOut: number) => void): boolean {
			const nowMs = clock.monotonicMs();
			if (nowMs - secondStartMs >= SECOND_MS) {
				const ended = counts;
				counts = new Map();
				secondStartMs = nowMs;
				for (const [countedKey, count] of ended) {
					const [name, allowed] = countedKey.split('\n');
					if (count > Number(allowed)) {
						report(name!, count - Number(allowed));
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

/** Creates the bounded logs of one process. */
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
