/** Header fields as RFC 9110 has them: what passes, what stays, what marks a request. */
import type {IncomingHttpHeaders} from 'node:http';
import {BronzebendError} from '@bronzebend/core';

/** Fields of bronzebend's own. */
export const fields = {
	requestId: 'x-request-id',
	idempotencyKey: 'idempotency-key',
	/** `yes` or `no`; overrides what the method says. */
	idempotent: 'bronzebend-idempotent',
	/** Longest wait for a whole answer, in milliseconds. */
	deadlineMs: 'bronzebend-deadline-ms',
	/** Ticket ID, for backend servers to report while they work. */
	ticket: 'bronzebend-ticket',
	/** `not-run` on a 503 of a backend server that did not run the request. */
	execution: 'bronzebend-execution',
} as const;

const hopByHop = new Set(['connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade']);
const ownRequestFields = new Set(['authorization', 'expect', 'host', fields.deadlineMs, fields.idempotent, fields.ticket]);
const ownResponseFields = new Set<string>([fields.execution, fields.requestId]);

const idempotentMethods = new Set(['GET', 'HEAD', 'OPTIONS', 'TRACE', 'PUT', 'DELETE']);

/** A field of the request has a value that is not allowed. */
export class BadFieldError extends BronzebendError {
	override readonly name = 'BadFieldError';
}

const connectionTokens = (headers: IncomingHttpHeaders): Set<string> => new Set((headers.connection ?? '').split(',').map(token => token.trim().toLowerCase()));

/** Name and value pairs of a raw header list. */
export const rawPairs = (raw: readonly string[]): Array<[string, string]> => raw
	.map((name, index): [string, string] => [name, raw[index + 1]!])
	.filter((_, index) => index % 2 === 0);

/** Request fields that go on to the backend server, as a flat list. */
export const forwardedRequestFields = (raw: readonly string[], headers: IncomingHttpHeaders): string[] => {
	const named = connectionTokens(headers);
	return rawPairs(raw).flatMap(([name, value]) => {
		const lower = name.toLowerCase();
		return hopByHop.has(lower) || ownRequestFields.has(lower) || named.has(lower) || lower === 'traceparent' || lower === fields.requestId ? [] : [name, value];
	});
};

/** Response fields that go on to the caller, as pairs. */
export const forwardedResponseFields = (raw: readonly string[], headers: IncomingHttpHeaders): Array<[string, string]> => {
	const named = connectionTokens(headers);
	return rawPairs(raw).filter(([name]) => {
		const lower = name.toLowerCase();
		return !hopByHop.has(lower) && !ownResponseFields.has(lower) && !named.has(lower);
	});
};

/** Whether the request may be run more than once. */
export const isIdempotent = (method: string, headers: IncomingHttpHeaders): boolean => {
	const mark = headers[fields.idempotent];
	if (mark === undefined) {
		return idempotentMethods.has(method);
	}

	if (mark !== 'yes' && mark !== 'no') {
		throw new BadFieldError('bad-field', `Cannot read ${fields.idempotent}: use "yes" or "no".`);
	}

	return mark === 'yes';
};

/** Time that the request has, bounded by its queue, in milliseconds. */
export const deadlineOf = (headers: IncomingHttpHeaders, queue: {defaultDeadlineMs: number; maxDeadlineMs: number}): number => {
	const text = headers[fields.deadlineMs];
	if (text === undefined) {
		return queue.defaultDeadlineMs;
	}

	const value = Number(text);
	if (!Number.isInteger(value) || value <= 0) {
		throw new BadFieldError('bad-field', `Cannot read ${fields.deadlineMs}: use a whole number of milliseconds above 0.`);
	}

	return Math.min(value, queue.maxDeadlineMs);
};

/** The secret of a Bearer authorization; undefined where there is none. */
export const bearerSecret = (headers: IncomingHttpHeaders): string | undefined => {
	const match = /^bearer +([\w\-.~+/]+=*)$/i.exec(headers.authorization ?? '');
	return match?.[1];
};
