/** Runs an admitted request: acquires tickets, claims it, sends it to backend servers and retries. */
import {type Buffer} from 'node:buffer';
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
import type {ClaimClient, ClaimRequest} from './claim-client.js';
import {fields, forwardedRequestFields} from './http-fields.js';
import {
	executions, problemOfRefusal, problems, type Problem,
} from './problem.js';
import type {TicketClient} from './ticket-client.js';

/** Maximum number of attempts per request. */
const MAX_ATTEMPTS = 3;
/** Size limit of a request body that is buffered for retries, in bytes. */
const MAX_BUFFERED_BODY_BYTES = 65_536;

/** A request that passed admission. */
export type AdmittedRequest = {
	req: IncomingMessage;
	res: ServerResponse;
	requestId: string;
	queue: Queue;
	team: string;
	/** Digest of the caller's key; undefined on open queues. */
	digest: string | undefined;
	method: string;
	idempotent: boolean;
	/** Deadline of the whole answer, on the monotonic clock. */
	endsAtMs: number;
	idempotencyKey: string | undefined;
	/** True if the caller waits for "100 Continue" before it sends the body. */
	sendContinue: boolean;
	controller: AbortController;
	/** Aborts the wait for a ticket. */
	waitController?: AbortController;
	/** True once the caller's key was withdrawn. */
	withdrawn?: boolean;
	trace: RequestTrace;
};

/** How a request ended; `cut` means that the answer broke off after its status line was sent. */
export type RequestEnd = {type: 'answered'} | {type: 'cut'} | {type: 'cancelled'} | {type: 'problem'; problem: Problem};

/** Options of the request runner. */
export type RequestRunnerOptions = {
	tickets: TicketClient;
	clients: BackendClients;
	claims: ClaimClient;
	clock: Clock;
	metrics: Metrics;
	budgetOf(pool: string): RetryBudget;
	recheck(queue: Queue, digest: string | undefined): Problem | undefined;
};

type Body = {type: 'none'} | {type: 'kept'; bytes: Uint8Array} | {type: 'stream'; stream: Readable; used: boolean};
type RequestState = {request: AdmittedRequest; body: Body | undefined; tried: string[]; mayHaveRun: boolean; claim: ClaimRequest | undefined; lastResult: AttemptResult | undefined};

const DEADLINE = Symbol('deadline');
const TOO_LARGE = Symbol('body too large');

const asProblem = (problem: Problem): RequestEnd => ({type: 'problem', problem});

/** Passes the request body on, and aborts the request if the body exceeds the queue's limit. */
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
		limiter.destroy(new Error('the caller closed the connection'));
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

/** Buffers a small body before the request waits for a ticket, so that a slow sender occupies no slot. Returns undefined for other bodies. */
const readSmallBody = async (request: AdmittedRequest, leftMs: number): Promise<Body | undefined> => {
	const {req} = request;
	const length = Number(req.headers['content-length'] ?? Infinity);
	if (length > MAX_BUFFERED_BODY_BYTES) {
		return undefined;
	}

	if (request.sendContinue) {
		request.res.writeContinue();
	}

	const timer = setTimeout(() => {
		req.destroy();
	}, leftMs);
	try {
		// Node reads exactly the announced length; a list of chunks would take many times that from a client that sends single bytes.
		const bytes = new Uint8Array(length);
		let size = 0;
		for await (const chunk of req as AsyncIterable<Uint8Array>) {
			bytes.set(chunk, size);
			size += chunk.length;
		}

		return {type: 'kept', bytes};
	} finally {
		clearTimeout(timer);
	}
};

/** Creates the request runner. */
export const createRequestRunner = (options: RequestRunnerOptions) => {
	const {tickets, clients, claims, clock, metrics} = options;

	const waitForTicket = async ({request, tried, mayHaveRun}: RequestState): Promise<Ticket | RequestEnd> => {
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

	/** Claims the request if it needs a claim and has none yet. The ticket stays held meanwhile. */
	const claimOnce = async (state: RequestState): Promise<RequestEnd | undefined> => {
		const {request} = state;
		if (state.claim !== undefined || request.idempotent || request.idempotencyKey === undefined) {
			return undefined;
		}

		const claimRequest: ClaimRequest = {
			team: request.team, idempotencyKey: request.idempotencyKey, method: request.method, path: request.req.url ?? '/', attemptId: randomUUID(),
		};
		const span = request.trace.child('claim');
		try {
			const outcome = await claims.claim(claimRequest);
			span.end({outcome: outcome.type});
			switch (outcome.type) {
				case 'granted': {
					state.claim = claimRequest;
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
			// The claim may have been committed although no answer came. Release it, since nothing ran under it.
			void claims.finish(claimRequest, undefined);
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

	const attemptOnce = async (state: RequestState, ticket: Ticket): Promise<AttemptResult> => {
		const {request} = state;
		const {queue} = request;
		state.body ??= openBody(request);
		const {body} = state;
		const deadline = new AbortController();
		const timer = setTimeout(() => {
			deadline.abort(DEADLINE);
		}, Math.max(0, request.endsAtMs - clock.monotonicMs()));
		const span = request.trace.child('backend server', {instance: ticket.instance, try: state.tried.length + 1});
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
			keepBytes: state.claim ? MAX_RECORDED_BODY_BYTES : 0,
			nowMs: () => clock.monotonicMs(),
		});
		clearTimeout(timer);
		span.end({outcome: result.outcome});
		return result;
	};

	/** Whether another attempt is allowed after this one. Takes it from the retry budget. */
	const mayRetry = (state: RequestState, result: AttemptResult): boolean => {
		const {request, body} = state;
		const provablyNotRun = result.outcome === ticketOutcomes.notRun;
		const isSafe = provablyNotRun || (request.idempotent && result.outcome === ticketOutcomes.unknown);
		const canResend = body?.type !== 'stream' || !body.used;
		const isOver = result.answered || request.controller.signal.aborted || result.timedOut || state.tried.length >= MAX_ATTEMPTS;
		return isSafe && canResend && !isOver && options.budgetOf(request.queue.pool).withdraw(clock.monotonicMs());
	};

	const endOf = (state: RequestState, result: AttemptResult): RequestEnd => {
		if (result.answered) {
			return {type: result.status === undefined ? 'cut' : 'answered'};
		}

		const {signal} = state.request.controller;
		if (signal.aborted) {
			const tooLarge = signal.reason === TOO_LARGE;
			return tooLarge ? asProblem({...problems.bodyTooLarge, execution: executions.unknown}) : {type: 'cancelled'};
		}

		if (state.mayHaveRun) {
			return asProblem(result.timedOut ? problems.backendTimeout : problems.backendCut);
		}

		return asProblem({...problems.unreachable, retryAfterMs: 1000});
	};

	const runAttempts = async (state: RequestState): Promise<RequestEnd> => {
		const {request} = state;
		const {queue} = request;
		for (;;) {
			// Attempts run one after another.
			// eslint-disable-next-line no-await-in-loop
			const ticket = await waitForTicket(state);
			if (!('ticketId' in ticket)) {
				return ticket;
			}

			// eslint-disable-next-line no-await-in-loop
			const ended = await claimOnce(state);
			const problem = options.recheck(queue, request.digest);
			if (ended ?? problem) {
				tickets.release(queue.pool, ticket.ticketId, ticketOutcomes.unused, 0);
				return ended ?? asProblem({...problem!, execution: state.mayHaveRun ? executions.unknown : executions.notRun});
			}

			// eslint-disable-next-line no-await-in-loop
			const result = await attemptOnce(state, ticket);
			tickets.release(queue.pool, ticket.ticketId, result.outcome, result.ranMs);
			state.tried.push(ticket.instance);
			state.lastResult = result;
			state.mayHaveRun ||= result.outcome !== ticketOutcomes.notRun;
			if (!mayRetry(state, result)) {
				return endOf(state, result);
			}

			metrics.retries.inc({pool: queue.pool});
		}
	};

	return {
		/** Runs a request to its end. If the result is a problem, the caller of this function must write it. */
		async run(request: AdmittedRequest): Promise<RequestEnd> {
			const state: RequestState = {
				request, body: undefined, tried: [], mayHaveRun: false, claim: undefined, lastResult: undefined,
			};
			options.budgetOf(request.queue.pool).deposit();
			try {
				state.body = await readSmallBody(request, request.endsAtMs - clock.monotonicMs());
			} catch {
				return {type: 'cancelled'};
			}

			const end = await runAttempts(state);
			if (state.claim) {
				const result = state.mayHaveRun ? state.lastResult : undefined;
				void claims.finish(state.claim, result);
			}

			return end;
		},
	};
};
