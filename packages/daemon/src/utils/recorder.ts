/** Records the dispatchers' events as a trace for `bronzebend replay`. The recorded requests contain no secrets. */
import {createWriteStream} from 'node:fs';
import {
	TRACE_SCHEMA_VERSION, type Declaration, type DispatchEvent, type TraceEvent, type TraceHeader,
} from '@bronzebend/core';

/** Writes a trace. */
export type Recorder = {
	open(event: Omit<TraceEvent & {type: 'open-dispatcher'}, 'type'>): void;
	dispatch(pool: string, epoch: number, event: DispatchEvent, nowMs: number): void;
	stop(): Promise<void>;
};

/** Options of the recorder: the file, its size limit in bytes, and the node's name. */
export type RecorderOptions = {file: string; maxBytes: number; node: string};

const noDeclarations: Declaration[] = [];

/** Starts a trace. It ends once the next event would exceed `maxBytes`. */
export const createRecorder = ({file, maxBytes, node}: RecorderOptions): Recorder => {
	const stream = createWriteStream(file, {mode: 0o600});
	let bytes = 0;
	let isFull = false;

	const write = (line: TraceEvent | TraceHeader): void => {
		const text = `${JSON.stringify(line)}\n`;
		if (isFull) {
			return;
		}

		if (bytes + text.length > maxBytes) {
			isFull = true;
			stream.write(`${JSON.stringify({type: 'end', atMs: 'atMs' in line ? line.atMs : 0, reason: 'size'})}\n`);
			return;
		}

		bytes += text.length;
		stream.write(text);
	};

	write({
		type: 'header',
		schema: TRACE_SCHEMA_VERSION,
		seed: 0,
		deployment: node,
		declarations: noDeclarations,
		outcomes: [
			{type: 'slots-not-exceeded', words: 'Work lands within the slots of healthy instances.'},
			{type: 'one-ticket-a-request', words: 'No ticket is given twice.'},
		],
	});

	return {
		open(event) {
			write({type: 'open-dispatcher', ...event});
		},
		dispatch(pool, epoch, event, nowMs) {
			if (event.type !== 'tick' && event.type !== 'lease') {
				write({
					type: 'dispatch', atMs: nowMs, pool, epoch, event,
				});
				return;
			}

			// JSON has no -Infinity, so the lease of a released pool is written as ending at 0.
			const finite = event.type === 'lease' ? {...event, untilMs: Math.max(0, event.untilMs)} : event;
			write({
				type: 'dispatch', atMs: nowMs, pool, epoch, event: finite,
			});
		},
		async stop() {
			await new Promise<void>(resolve => {
				stream.end(() => {
					resolve();
				});
			});
		},
	};
};
