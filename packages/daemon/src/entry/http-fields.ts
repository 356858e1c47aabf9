/** HTTP header fields (RFC 9110): which are forwarded, which are removed, and which control a request. */
import type {IncomingHttpHeaders} from 'node:http';
import {BronzebendError} from '@bronzebend/core';

/** Header fields that bronzebend reads or writes. */
export const fields = {
	requestId: 'x-request-id',
	idempotencyKey: 'idempotency-key',
	/** `yes` or `no`; overrides the method's idempotency. */
	idempotent: 'bronzebend-idempotent',
	/** Time limit for the whole answer, in milliseconds. */
	deadlineMs: 'bronzebend-deadline-ms',
	/** Ticket ID, which a backend server lists in its announcements while it works on the request. */
	ticket: 'bronzebend-ticket',
	/** A backend server sets this to `not-run` on a 503 response if it did not run the request. */
	execution: 'bronzebend-execution',
} as const;

const hopByHop = new Set(['connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade']);
const ownRequestFields = new Set(['authorization', 'expect', 'host', fields.deadlineMs, fields.idempotent, fields.ticket]);
const ownResponseFields = new Set<string>([fields.execution, fields.requestId]);

const idempotentMethods = new Set(['GET', 'HEAD', 'OPTIONS', 'TRACE', 'PUT', 'DELETE']);

/** A header field of the request has an invalid value. */
export class BadFieldError extends BronzebendError {
	override readonly name = 'BadFieldError';
}

const connectionTokens = (headers: IncomingHttpHeaders): Set<string> => new Set((headers.connection ?? '').split(',').map(token => token.trim().toLowerCase()));

/** Converts a flat list of names and values into pairs. */
export const rawPairs = (raw: readonly string[]): Array<[string, string]> => raw
	.map((name, index): [string, string] => [name, raw[index + 1]!])
	.filter((_, index) => index % 2 === 0);

/** Returns the request fields to forward to the backend server, as a flat list. */
export const forwardedRequestFields = (raw: readonly string[], headers: IncomingHttpHeaders): string[] => {
	const named = connectionTokens(headers);
	return rawPairs(raw).flatMap(([name, value]) => {
		const lower = name.toLowerCase();
		return hopByHop.has(lower) || ownRequestFields.has(lower) || named.has(lower) || lower === 'traceparent' || lower === fields.requestId ? [] : [name, value];
	});
};

/** Returns the response fields to forward to the caller, as pairs. */
export const forwardedResponseFields = (raw: readonly string[], headers: IncomingHttpHeaders): Array<[string, string]> => {
	const named = connectionTokens(headers);
	return rawPairs(raw).filter(([name]) => {
		const lower = name.toLowerCase();
		return !hopByHop.has(lower) && !ownResponseFields.has(lower) && !named.has(lower);
	});
};

/**
Whether the request may be run more than once.

@throws {BadFieldError} The header field has a value other than `yes` and `no`.
*/
export const isIdempotent = (method: string, headers: IncomingHttpHeaders): boolean => {
	const mark = headers[fields.idempotent];
	if (mark === undefined) {
		return idempotentMethods.has(method);
	}

	if (mark !== 'yes' && mark !== 'no') {
		throw new BadFieldError('bad-field', `Invalid value of header field ${fields.idempotent}: use "yes" or "no".`);
	}

	return mark === 'yes';
};

/**
Returns the time limit of the request, bounded by its queue, in milliseconds.

@throws {BadFieldError} The header field is not a whole number above 0.
*/
export const deadlineOf = (headers: IncomingHttpHeaders, queue: {defaultDeadlineMs: number; maxDeadlineMs: number}): number => {
	const text = headers[fields.deadlineMs];
	if (text === undefined) {
		return queue.defaultDeadlineMs;
	}

	const value = Number(text);
	if (!Number.isInteger(value) || value <= 0) {
		throw new BadFieldError('bad-field', `Invalid value of header field ${fields.deadlineMs}: use a whole number of milliseconds above 0.`);
	}

	return Math.min(value, queue.maxDeadlineMs);
};

/** Returns the secret of a Bearer `authorization` field, or undefined if there is none. */
export const bearerSecret = (headers: IncomingHttpHeaders): string | undefined => {
	const match = /^bearer +([\w\-.~+/]+=*)$/i.exec(headers.authorization ?? '');
	return match?.[1];
};
