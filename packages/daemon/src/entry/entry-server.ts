/** The callers' port: admits requests, waits for tickets and streams requests to backend servers. */
import {Buffer} from 'node:buffer';
import {randomUUID} from 'node:crypto';
import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import https from 'node:https';
import type {AddressInfo} from 'node:net';
import type {Duplex} from 'node:stream';
import {
	createRetryBudget, keyPurposes, sha256Hex, type Clock, type Queue, type RetryBudget,
} from '@bronzebend/core';
import type {ClientGuard} from '../http/client-guard.js';
import {guardedServerOptions, guardServer, type TOO_LARGE} from '../http/guarded-server.js';
import type {NodeAgent} from '../node/node-agent.js';
import type {Log} from '../utils/log.js';
import type {Metrics} from '../utils/metrics.js';
import type {Tracing} from '../utils/tracing.js';
import {ANNOUNCE_PATH, createAnnouncements, MAX_ANNOUNCEMENT_BYTES} from './announcements.js';
import {type BackendClients} from './backend-clients.js';
import {createClaimClient} from './claim-client.js';
import {
	BadFieldError, bearerSecret, deadlineOf, fields, isIdempotent,
} from './http-fields.js';
import {problems, type Problem} from './problem.js';
import {createRequestRunner, type AdmittedRequest} from './request-runner.js';
import type {TicketClient} from './ticket-client.js';

/** Size limit of a request head, in bytes. */
const MAX_HEAD_BYTES = 32_768;
/** Time limit for receiving a request head, in milliseconds. */
const HEAD_TIMEOUT_MS = 30_000;
/** Idle time after which a caller's connection is closed, in milliseconds. Responses announce it to callers. */
const KEEP_ALIVE_MS = 5000;
/** Time after `KEEP_ALIVE_MS` in which a request that was sent before may still arrive, in milliseconds. */
const KEEP_ALIVE_MARGIN_MS = 1000;
/** Interval between checks while draining, in milliseconds. */
const DRAIN_POLL_MS = 20;
/** Interval between sweeps of unused connections, in milliseconds. */
const SWEEP_MS = 30_000;

/** Options of an entry server. */
export type EntryServerOptions = {
	host: string;
	port: number;
	tls?: {key: Buffer; cert: Buffer};
	agent: NodeAgent;
	tickets: TicketClient;
	clients: BackendClients;
	clock: Clock;
	log: Log;
	guard: ClientGuard;
	metrics: Metrics;
	tracing: Tracing;
};

/** The server of the callers' port of one entry. */
export type EntryServer = Awaited<ReturnType<typeof createEntryServer>>;

type Admission = {type: 'admitted'; queue: Queue; team: string; digest: string | undefined} | {type: 'refused'; problem: Problem; queue?: Queue};

const writeProblem = (res: ServerResponse, problem: Problem, requestId: string): void => {
	if (res.headersSent) {
		res.destroy();
		return;
	}

	const {retryAfterMs, ...document} = problem;
	res.setHeader('content-type', 'application/problem+json');
	res.setHeader(fields.requestId, requestId);
	if (retryAfterMs !== undefined) {
		res.setHeader('retry-after', String(Math.max(1, Math.ceil(retryAfterMs / 1000))));
	}

	if (problem.status === 401) {
		res.setHeader('www-authenticate', 'Bearer');
	}

	res.writeHead(problem.status);
	res.end(JSON.stringify({...document, requestId}));
};

const waitWhile = async (condition: () => Promise<boolean>): Promise<void> => {
	// Checks run one after another.
	// eslint-disable-next-line no-await-in-loop
	while (await condition()) {
		// eslint-disable-next-line no-await-in-loop
		await new Promise(resolve => {
			setTimeout(resolve, DRAIN_POLL_MS);
		});
	}
};

const rawProblem = (problem: Problem): string => {
	const body = JSON.stringify(problem);
	return `HTTP/1.1 ${problem.status} ${problem.title}\r\ncontent-type: application/problem+json\r\ncontent-length: ${Buffer.byteLength(body)}\r\nconnection: close\r\n\r\n${body}`;
};

/** Starts the callers' port. */
export const createEntryServer = async (options: EntryServerOptions) => {
	const {agent, tickets, clients, clock, log, metrics, tracing} = options;
	const {view} = agent;
	const claims = createClaimClient(agent, error => {
		log.warn('Could not record the outcome of a claimed request; a resend will not be run again.', {reason: String(error)});
	});
	const announcements = createAnnouncements({
		view,
		nowMs: () => clock.monotonicMs(),
		announce: (pool, announcement) => tickets.announce(pool, {type: 'announce', announcement}),
	});
	const budgets = new Map<string, RetryBudget>();
	const running = new Set<AdmittedRequest>();
	let stopping = false;

	const budgetOf = (pool: string): RetryBudget => {
		const budget = budgets.get(pool) ?? createRetryBudget(clock.monotonicMs());
		budgets.set(pool, budget);
		return budget;
	};

	/** Checks that a request may still start: the view is fresh and its key is valid. Returns the problem if not. */
	const recheck = (queue: Queue, digest: string | undefined): Problem | undefined => {
		if (queue.access.type === 'open') {
			return undefined;
		}

		if (!view.isFresh(clock.monotonicMs())) {
			return {...problems.staleView, retryAfterMs: 1000};
		}

		return digest !== undefined && view.isKeyGood(digest, keyPurposes.submit) ? undefined : problems.wrongKey;
	};

	const admit = (req: IncomingMessage): Admission => {
		const path = (req.url ?? '/').split('?', 1)[0]!;
		if (view.version() === 0) {
			return {type: 'refused', problem: {...problems.staleView, retryAfterMs: 1000}};
		}

		const queue = view.queueOfPath(path);
		if (!queue) {
			return {type: 'refused', problem: problems.unknownQueue};
		}

		if (queue.access.type === 'open') {
			return {
				type: 'admitted', queue, team: queue.access.team, digest: undefined,
			};
		}

		const secret = bearerSecret(req.headers);
		if (secret === undefined) {
			return {type: 'refused', problem: problems.missingKey, queue};
		}

		const digest = sha256Hex(secret);
		const problem = recheck(queue, digest);
		if (problem) {
			return {type: 'refused', problem, queue};
		}

		const team = view.findKey(digest)?.team;
		if (team === undefined || !queue.access.teams.includes(team)) {
			return {type: 'refused', problem: problems.wrongTeam, queue};
		}

		return {
			type: 'admitted', queue, team, digest,
		};
	};

	const requestRunner = createRequestRunner({
		tickets, clients, claims, clock, metrics, budgetOf, recheck,
	});

	const prepare = (req: IncomingMessage, res: ServerResponse, requestId: string, sendContinue: boolean): AdmittedRequest | Problem => {
		const admission = admit(req);
		if (admission.type === 'refused') {
			return admission.problem;
		}

		const {queue, team, digest} = admission;
		if (Number(req.headers['content-length'] ?? 0) > queue.maxBodyBytes) {
			return problems.bodyTooLarge;
		}

		try {
			const method = req.method ?? 'GET';
			return {
				req, res, requestId, queue, team, digest, method,
				idempotent: isIdempotent(method, req.headers),
				endsAtMs: clock.monotonicMs() + deadlineOf(req.headers, queue),
				idempotencyKey: req.headers[fields.idempotencyKey] as string | undefined,
				sendContinue,
				controller: new AbortController(),
				trace: tracing.startRequest(req.headers, {'request.id': requestId, queue: queue.name, team}),
			};
		} catch (error) {
			if (error instanceof BadFieldError) {
				return {...problems.badHeader, detail: error.message};
			}

			throw error;
		}
	};

	const serve = async (req: IncomingMessage, res: ServerResponse, sendContinue: boolean): Promise<void> => {
		const receivedId = req.headers[fields.requestId];
		const requestId = typeof receivedId === 'string' && /^[\w\-.:/+=]{1,128}$/.test(receivedId) ? receivedId : randomUUID();
		if (stopping) {
			res.setHeader('connection', 'close');
		}

		const prepared = prepare(req, res, requestId, sendContinue);
		if ('type' in prepared) {
			metrics.requests.inc({queue: '', outcome: prepared.type});
			writeProblem(res, prepared, requestId);
			return;
		}

		running.add(prepared);
		const onClose = (): void => {
			if (!res.writableFinished) {
				prepared.controller.abort(new Error('the caller closed the connection'));
			}
		};

		res.once('close', onClose);
		const startedAtMs = clock.monotonicMs();
		try {
			const end = await requestRunner.run(prepared);
			if (end.type === 'problem') {
				writeProblem(res, end.problem, requestId);
			}

			const outcome = end.type === 'problem' ? end.problem.type : end.type;
			metrics.requests.inc({queue: prepared.queue.name, outcome});
			metrics.answerTime.observe({queue: prepared.queue.name}, (clock.monotonicMs() - startedAtMs) / 1000);
			prepared.trace.end({outcome}, end.type !== 'answered');
			log.debug('Request ended.', {
				requestId, traceId: prepared.trace.traceId, queue: prepared.queue.name, team: prepared.team, outcome,
			});
		} finally {
			running.delete(prepared);
		}
	};

	const onRequest = (req: IncomingMessage, res: ServerResponse, body: Uint8Array | typeof TOO_LARGE, sendContinue: boolean): void => {
		res.on('error', () => {
			res.destroy();
		});
		if (req.url === ANNOUNCE_PATH) {
			announcements.handle(req, res, body);
			return;
		}

		serve(req, res, sendContinue).catch((error: unknown) => {
			log.error('Unexpected error while handling a request; closing the connection.', {reason: String(error instanceof Error ? error.stack : error)});
			res.destroy();
		});
	};

	const limits = {
		...guardedServerOptions, keepAliveTimeout: KEEP_ALIVE_MS, maxHeaderSize: MAX_HEAD_BYTES, headersTimeout: HEAD_TIMEOUT_MS, insecureHTTPParser: false,
	};
	const server = options.tls ? https.createServer({...limits, ...options.tls}) : http.createServer(limits);
	guardServer(server, {
		name: 'callers',
		guard: options.guard,
		headersTimeoutMs: HEAD_TIMEOUT_MS,
		// All other bodies are streamed to backend servers.
		maxBodyBytes: req => req.url === ANNOUNCE_PATH ? MAX_ANNOUNCEMENT_BYTES : undefined,
		handle: onRequest,
		refuseExpectation(res) {
			writeProblem(res, problems.expectation, randomUUID());
		},
		rawRefusal: error => rawProblem(error.code === 'HPE_HEADER_OVERFLOW' ? problems.headTooLarge : problems.badFraming),
	});
	server.on('upgrade', (req: IncomingMessage, socket: Duplex) => {
		socket.end(rawProblem(problems.upgrade), () => {
			socket.destroy();
		});
	});
	const countConnections = async (): Promise<number> => new Promise(resolve => {
		server.getConnections((error, count) => {
			resolve(error ? 0 : count);
		});
	});
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(options.port, options.host, resolve);
	});
	const {port} = server.address() as AddressInfo;
	const sweeper = setInterval(() => {
		void clients.sweep();
	}, SWEEP_MS);

	return {
		port: (): number => port,
		running: (): number => running.size,

		/** Aborts the waits of requests whose key was withdrawn. */
		onViewChange(): void {
			for (const request of running) {
				const problem = recheck(request.queue, request.digest);
				if (problem?.status === 401) {
					request.withdrawn = true;
					request.waitController?.abort();
				}
			}
		},

		/**
		Closes each connection after its next response. Waits until all connections are closed, then until
		all running requests have ended. An idle connection is closed only after the announced keep-alive
		time, since the caller may reuse it until then and a request may be on its way.

		@param timeoutMs Longest wait for running requests, in milliseconds.
		*/
		async drain(timeoutMs: number): Promise<void> {
			stopping = true;
			const startedAtMs = clock.monotonicMs();
			const idleEndsAtMs = startedAtMs + KEEP_ALIVE_MS + KEEP_ALIVE_MARGIN_MS;
			const endsAtMs = Math.max(idleEndsAtMs, startedAtMs + timeoutMs);
			await waitWhile(async () => clock.monotonicMs() < idleEndsAtMs && await countConnections() > 0);
			server.close();
			await waitWhile(async () => running.size > 0 && clock.monotonicMs() < endsAtMs);
		},

		async stop(): Promise<void> {
			clearInterval(sweeper);
			server.closeAllConnections();
			server.close();
			await clients.stop();
		},
	};
};
