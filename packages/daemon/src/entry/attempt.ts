/** One attempt to run a request at a backend server, streamed in both directions. */
import {Buffer} from 'node:buffer';
import type {IncomingHttpHeaders, ServerResponse} from 'node:http';
import type {Readable} from 'node:stream';
import {ticketOutcomes, type TicketOutcome} from '@bronzebend/core';
import type {Dispatcher, Pool as UndiciPool} from 'undici';
import {fields, forwardedResponseFields} from './http-fields.js';

/** Result of an attempt. */
export type AttemptResult = {
	outcome: TicketOutcome;
	/** True if a status line was sent to the caller, so that no other answer is possible. */
	answered: boolean;
	/** Present if the whole answer was passed on to the caller. */
	status?: number;
	contentType?: string;
	/** Whole body, if it is small enough to be kept. */
	body?: Uint8Array;
	timedOut: boolean;
	ranMs: number;
};

/** Options of an attempt. */
export type AttemptOptions = {
	client: UndiciPool;
	method: string;
	path: string;
	headers: string[];
	body: Readable | Uint8Array | null;
	res: ServerResponse;
	/** Header fields that the entry adds to the answer. */
	answerFields: Record<string, string>;
	signal: AbortSignal;
	/** Abort reason that marks a passed deadline. */
	deadlineReason: unknown;
	/** Size limit of a response body to keep, in bytes; 0 keeps none. */
	keepBytes: number;
	nowMs(): number;
};

const SERVER_FAILURES = new Set([500, 502, 503, 504]);

/** Sends the request and streams the answer to the caller. Never rejects. */
export const runAttempt = async (options: AttemptOptions): Promise<AttemptResult> => new Promise(resolve => {
	const {res, signal, nowMs, keepBytes} = options;
	const startedAtMs = nowMs();
	let mayHaveSent = false;
	let answered = false;
	let status = 0;
	let refused = false;
	let headers: IncomingHttpHeaders = {};
	let keptChunks: Uint8Array[] | undefined = keepBytes > 0 ? [] : undefined;
	let keptBytes = 0;
	let control: Dispatcher.DispatchController | undefined;
	let settled = false;

	const onAbort = (): void => {
		if (control) {
			control.abort(signal.reason instanceof Error ? signal.reason : new Error('aborted', {cause: signal.reason}));
			return;
		}

		// The request still waits for a connection, so nothing has been sent. onRequestStart aborts it later.
		finish(ticketOutcomes.notRun);
	};

	const finish = (outcome: TicketOutcome, extra: Partial<AttemptResult> = {}): void => {
		if (settled) {
			return;
		}

		settled = true;
		signal.removeEventListener('abort', onAbort);
		resolve({
			outcome, answered, timedOut: signal.aborted && signal.reason === options.deadlineReason, ranMs: nowMs() - startedAtMs, ...extra,
		});
	};

	const keep = (chunk: Buffer): void => {
		keptBytes += chunk.length;
		if (keptBytes > keepBytes) {
			keptChunks = undefined;
		}

		keptChunks?.push(chunk);
	};

	const handler: Dispatcher.DispatchHandler = {
		onRequestStart(controller) {
			control = controller;
			if (settled || signal.aborted) {
				controller.abort(new Error('aborted before the request was sent'));
				return;
			}

			mayHaveSent = true;
		},

		onResponseStart(controller, statusCode, responseHeaders) {
			if (statusCode < 200) {
				return;
			}

			status = statusCode;
			headers = responseHeaders;
			refused = statusCode === 503 && responseHeaders[fields.execution] === 'not-run';
			if (refused) {
				return;
			}

			answered = true;
			const raw = (controller.rawHeaders as Buffer[] | undefined)?.map(String) ?? [];
			for (const [name, value] of forwardedResponseFields(raw, responseHeaders)) {
				res.appendHeader(name, value);
			}

			for (const [name, value] of Object.entries(options.answerFields)) {
				res.setHeader(name, value);
			}

			res.writeHead(statusCode);
			res.flushHeaders();
		},

		onResponseData(controller, chunk) {
			if (refused) {
				return;
			}

			keep(chunk);
			if (!res.write(chunk)) {
				controller.pause();
				res.once('drain', () => {
					controller.resume();
				});
			}
		},

		onResponseEnd() {
			if (refused) {
				finish(ticketOutcomes.notRun);
				return;
			}

			res.end();
			finish(SERVER_FAILURES.has(status) ? ticketOutcomes.failed : ticketOutcomes.ok, {
				status,
				contentType: headers['content-type'],
				body: keptChunks && new Uint8Array(Buffer.concat(keptChunks)),
			});
		},

		onResponseError() {
			if (answered) {
				// Close the connection, so that the caller sees a broken answer and not a truncated one that looks complete.
				res.destroy();
			}

			finish(mayHaveSent ? ticketOutcomes.unknown : ticketOutcomes.notRun);
		},
	};

	if (signal.aborted) {
		finish(ticketOutcomes.notRun);
		return;
	}

	signal.addEventListener('abort', onAbort, {once: true});
	try {
		options.client.dispatch({
			method: options.method,
			path: options.path,
			headers: options.headers,
			body: options.body,
		}, handler);
	} catch {
		finish(ticketOutcomes.notRun);
	}
});
