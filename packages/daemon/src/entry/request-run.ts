/** The course of one admitted request: tickets, claim, tries, retries. */
import {Buffer} from 'node:buffer';
import {randomUUID} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {Transform, type Readable} from 'node:stream';
import {
	MAX_RECORDED_BODY_BYTES, ticketOutcomes, type Clock, type Queue, type RetryBudget, type Ticket,
} from '@bronzebend/core';
import type {Metrics} from '../utils/metrics.js';
import type {RequestTrace} from '../utils/tracing.js';
import {runAttempt, type AttemptResult} from './attempt.js';
import type {BackendClients} from './backend-clients.js';
import type {ClaimDesk, ClaimWish} from './claim-desk.js';
import {fields, forwardedRequestFields} from './http-fields.js';
import {
	executions, problemOfRefusal, problems, type Problem,
} from './problem.js';
import type {TicketDesk} from './ticket-desk.js';

/** Tries of one request at most. */
const MAX_TRIES = 3;
/** Largest request body that is kept for a retry, in bytes. */
const MAX_KEPT_BODY_BYTES = 65_536;

/** A request that passed admission. */
export type AdmittedRequest = {
	req: IncomingMessage;
	res: ServerResponse;
	requestId: string;
	queue: Queue;
	team: string;
	/** Digest of the key; undefined on open queues. */
	digest: string | undefined;
	method: string;
	idempotent: boolean;
	/** Latest time for a whole answer, on the monotonic clock. */
	endsAtMs: number;
	idempotencyKey: string | undefined;
	/** True where the caller waits for "100 Continue" before it sends the body. */
	sendContinue: boolean;
	controller: AbortController;
	/** Ends the wait for a ticket. */
	waitController?: AbortController;
	/** True once the key was withdrawn. */
	withdrawn?: boolean;
	trace: RequestTrace;
};

/** How a request ended. */
export type RequestEnd = {type: 'answered'} | {type: 'cut'} | {type: 'cancelled'} | {type: 'problem'; problem: Problem};

/** What the course of a request needs. */
export type RequestRunOptions = {
	tickets: TicketDesk;
	clients: BackendClients;
	claims: ClaimDesk;
	clock: Clock;
	metrics: Metrics;
	budgetOf(pool: string): RetryBudget;
	recheck(queue: Queue, digest: string | undefined): Problem | undefined;
};

type Body = {type: 'none'} | {type: 'kept'; bytes: Uint8Array} | {type: 'stream'; stream: Readable; used: boolean};
type Course = {request: AdmittedRequest; body: Body | undefined; tried: string[]; mayHaveRun: boolean; claim: ClaimWish | undefined; last: AttemptResult | undefined};

const DEADLINE = Symbol('deadline');
const TOO_LARGE = Symbol('body too large');

const asProblem = (problem: Problem): RequestEnd => ({type: 'problem', problem});

/** Passes a body on and fails it where it grows too large. */
const limitBody = (request: AdmittedRequest): Readable => {
	let bytes = 0;
	const limiter = new Transform({
		transform(chunk: Buffer, _encoding, callback) {
			bytes += chunk.length;
			if (bytes > request.queue.maxBodyBytes) {
				request.controller.abort(TOO_LARGE);
			}

			callback(null, chunk);
		},
	});
	request.req.on('error', error => {
		limiter.destroy(error);
	});
	request.req.on('aborted', () => {
		limiter.destroy(new Error('the caller went away'));
	});
	limiter.on('error', () => undefined);
	return request.req.pipe(limiter);
};

const openBody = (request: AdmittedRequest): Body => {
	const {req} = request;
	const length = req.headers['content-length'];
	if (length === undefined && req.headers['transfer-encoding'] === undefined) {
		return {type: 'none'};
	}

	if (request.sendContinue) {
		request.res.writeContinue();
	}

	return {type: 'stream', stream: limitBody(request), used: false};
};

/** Reads a small body before the request waits, so that a slow sender holds no slot; undefined where it is not small. */
const readSmallBody = async (request: AdmittedRequest, leftMs: number): Promise<Body | undefined> => {
	const {req} = request;
	const length = Number(req.headers['content-length'] ?? Infinity);
	if (length > MAX_KEPT_BODY_BYTES) {
		return undefined;
	}

	if (request.sendContinue) {
		request.res.writeContinue();
	}

	const timer = setTimeout(() => {
		req.destroy();
	}, leftMs);
	try {
		const chunks: Buffer[] = [];
		for await (const chunk of req as AsyncIterable<Buffer>) {
			chunks.push(chunk);
		}

		return {type: 'kept', bytes: Buffer.concat(chunks)};
	} finally {
		clearTimeout(timer);
	}
};

/** Creates the courses of requests. */
export const createRequestRun = (options: RequestRunOptions) => {
	const {tickets, clients, claims, clock, metrics} = options;

	const waitForTicket = async ({request, tried, mayHaveRun}: Course): Promise<Ticket | RequestEnd> => {
		const {queue} = request;
		const startedAtMs = clock.monotonicMs();
		const span = request.trace.child('queue wait', {pool: queue.pool});
		const waitController = new AbortController();
		request.waitController = waitController;
		const answer = await tickets.acquire({
			requestId: randomUUID(), pool: queue.pool, team: request.team, queue: queue.name, startByMs: request.endsAtMs, tried,
		}, AbortSignal.any([request.controller.signal, waitController.signal]));
		metrics.queueWait.observe({queue: queue.name}, (clock.monotonicMs() - startedAtMs) / 1000);
		span.end({answer: answer.type, dispatcher: answer.type === 'ticket' ? `${queue.pool}:${answer.ticket.epoch}` : ''});
		const execution = mayHaveRun ? executions.unknown : executions.notRun;
		switch (answer.type) {
			case 'ticket': {
				return answer.ticket;
			}

			case 'refused': {
				return asProblem(problemOfRefusal(answer.reason, answer.retryAfterMs, execution));
			}

			case 'cancelled': {
				return request.withdrawn ? asProblem({...problems.wrongKey, execution}) : {type: 'cancelled'};
			}
		}
	};

	/** Claims the request once; a ticket is held meanwhile. */
	const claimOnce = async (course: Course): Promise<RequestEnd | undefined> => {
		const {request} = course;
		if (course.claim !== undefined || request.idempotent || request.idempotencyKey === undefined) {
			return undefined;
		}

		const wish: ClaimWish = {
			team: request.team, idempotencyKey: request.idempotencyKey, method: request.method, path: request.req.url ?? '/', attemptId: randomUUID(),
		};
		const span = request.trace.child('claim');
		try {
			const outcome = await claims.claim(wish);
			span.end({outcome: outcome.type});
			switch (outcome.type) {
				case 'granted': {
					course.claim = wish;
					return undefined;
				}

				case 'answered': {
					return replay(request, outcome.answer);
				}

				case 'in-progress':
				case 'unknown': {
					return asProblem(problems.outcomeUnknown);
				}

				case 'key-reused': {
					return asProblem(problems.keyReused);
				}
			}
		} catch {
			span.end({outcome: 'unavailable'});
			// The claim may stand although no answer came; nothing ran under it.
			void claims.finish(wish, undefined);
			return asProblem({...problems.claimUnavailable, retryAfterMs: 1000});
		}
	};

	const replay = ({res, requestId}: AdmittedRequest, answer: {status: number; contentType?: string; body?: Uint8Array}): RequestEnd => {
		if (answer.body === undefined) {
			return asProblem(problems.answerNotKept);
		}

		if (answer.contentType !== undefined) {
			res.setHeader('content-type', answer.contentType);
		}

		res.setHeader(fields.requestId, requestId);
		res.setHeader('bronzebend-replayed', 'yes');
		res.writeHead(answer.status);
		res.end(answer.body);
		return {type: 'answered'};
	};

	const tryOnce = async (course: Course, ticket: Ticket): Promise<AttemptResult> => {
		const {request} = course;
		const {queue} = request;
		course.body ??= openBody(request);
		const {body} = course;
		const deadline = new AbortController();
		const timer = setTimeout(() => {
			deadline.abort(DEADLINE);
		}, Math.max(0, request.endsAtMs - clock.monotonicMs()));
		const span = request.trace.child('backend server', {instance: ticket.instance, try: course.tried.length + 1});
		const extra = Object.entries({[fields.requestId]: request.requestId, [fields.ticket]: ticket.ticketId, ...span.fields()});
		if (body.type === 'stream') {
			body.used = true;
		}

		const result = await runAttempt({
			client: clients.clientOf(queue.pool, ticket.instance, ticket.address),
			method: request.method,
			path: request.req.url ?? '/',
			headers: [...forwardedRequestFields(request.req.rawHeaders, request.req.headers), ...extra.flat()],
			body: body.type === 'none' ? null : (body.type === 'kept' ? body.bytes : body.stream),
			res: request.res,
			answerFields: {[fields.requestId]: request.requestId},
			signal: AbortSignal.any([request.controller.signal, deadline.signal]),
			deadlineReason: DEADLINE,
			keepBytes: course.claim ? MAX_RECORDED_BODY_BYTES : 0,
			nowMs: () => clock.monotonicMs(),
		});
		clearTimeout(timer);
		span.end({outcome: result.outcome});
		return result;
	};

	/** Whether another try is allowed after this one. */
	const mayRetry = (course: Course, result: AttemptResult): boolean => {
		const {request, body} = course;
		const provablyNotRun = result.outcome === ticketOutcomes.notRun;
		const isSafe = provablyNotRun || (request.idempotent && result.outcome === ticketOutcomes.unknown);
		const canResend = body?.type !== 'stream' || !body.used;
		const isOver = result.answered || request.controller.signal.aborted || result.timedOut || course.tried.length >= MAX_TRIES;
		return isSafe && canResend && !isOver && options.budgetOf(request.queue.pool).withdraw(clock.monotonicMs());
	};

	const endOf = (course: Course, result: AttemptResult): RequestEnd => {
		if (result.answered) {
			return {type: result.status === undefined ? 'cut' : 'answered'};
		}

		const {signal} = course.request.controller;
		if (signal.aborted) {
			const tooLarge = signal.reason === TOO_LARGE;
			return tooLarge ? asProblem({...problems.bodyTooLarge, execution: executions.unknown}) : {type: 'cancelled'};
		}

		if (course.mayHaveRun) {
			return asProblem(result.timedOut ? problems.backendTimeout : problems.backendCut);
		}

		return asProblem({...problems.unreachable, retryAfterMs: 1000});
	};

	const runTries = async (course: Course): Promise<RequestEnd> => {
		const {request} = course;
		const {queue} = request;
		for (;;) {
			// Tries follow one another.
			// eslint-disable-next-line no-await-in-loop
			const ticket = await waitForTicket(course);
			if (!('ticketId' in ticket)) {
				return ticket;
			}

			// eslint-disable-next-line no-await-in-loop
			const ended = await claimOnce(course);
			const problem = options.recheck(queue, request.digest);
			if (ended ?? problem) {
				tickets.release(queue.pool, ticket.ticketId, ticketOutcomes.unused, 0);
				return ended ?? asProblem({...problem!, execution: course.mayHaveRun ? executions.unknown : executions.notRun});
			}

			// eslint-disable-next-line no-await-in-loop
			const result = await tryOnce(course, ticket);
			tickets.release(queue.pool, ticket.ticketId, result.outcome, result.ranMs);
			course.tried.push(ticket.instance);
			course.last = result;
			course.mayHaveRun ||= result.outcome !== ticketOutcomes.notRun;
			if (!mayRetry(course, result)) {
				return endOf(course, result);
			}

			metrics.retries.inc({pool: queue.pool});
		}
	};

	return {
		/** Runs a request to its end. The caller writes the problem, if that is the end. */
		async run(request: AdmittedRequest): Promise<RequestEnd> {
			const course: Course = {
				request, body: undefined, tried: [], mayHaveRun: false, claim: undefined, last: undefined,
			};
			options.budgetOf(request.queue.pool).deposit();
			try {
				course.body = await readSmallBody(request, request.endsAtMs - clock.monotonicMs());
			} catch {
				return {type: 'cancelled'};
			}

			const end = await runTries(course);
			if (course.claim) {
				const result = course.mayHaveRun ? course.last : undefined;
				void claims.finish(course.claim, result);
			}

			return end;
		},
	};
};
