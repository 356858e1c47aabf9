/** Fake backend server: answers requests, and announces itself with the requests in flight. */
import {Buffer} from 'node:buffer';
import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';

/** Interval between two announcements, in milliseconds. */
const ANNOUNCE_MS = 1000;

/** Delay between the first half of a truncated answer and the close of its connection, in milliseconds. */
const CUT_AFTER_MS = 20;

/** Behaviour of a fake backend server; may be changed while it runs. */
export type FakeBackendBehaviour = {
	/** Processing time of a request, in milliseconds. */
	workMs: number;
	/** Answers every request with this status, without delay. */
	failWith?: number;
	/** Closes the connection after half of the answer body. */
	cutAnswers?: boolean;
	/** Sends answers chunked, without a content length. */
	chunked?: boolean;
};

/** Options of a fake backend server. */
export type FakeBackendOptions = {
	service: string;
	instance: string;
	dataCentre?: string;
	rack?: string;
	slots: number;
	connections?: number;
	announceKey: string;
	/** Caller-facing addresses of the entries, used in rotation as a load balancer does. */
	entries: readonly string[];
	behaviour?: Partial<FakeBackendBehaviour>;
	/** Called when work on a request starts. */
	onRun?(id: string, req: IncomingMessage): void;
	/** Called with the ticket when work on a request ends. */
	onEnd?(ticket: string): void;
};

/** A running fake backend server. */
export type FakeBackend = Awaited<ReturnType<typeof startFakeBackend>>;

/** Starts a fake backend server on a free loopback port. */
export const startFakeBackend = async (options: FakeBackendOptions) => {
	const behaviour: FakeBackendBehaviour = {workMs: 5, ...options.behaviour};
	const inFlight = new Set<string>();
	let leaving = false;
	let nextEntry = 0;
	let handled = 0;
	let maxInFlight = 0;

	const readAll = async (req: IncomingMessage): Promise<Buffer> => {
		const chunks: Buffer[] = [];
		for await (const chunk of req as AsyncIterable<Buffer>) {
			chunks.push(chunk);
		}

		return Buffer.concat(chunks);
	};

	const answer = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
		const ticket = String(req.headers['bronzebend-ticket'] ?? `direct-${handled}`);
		handled += 1;
		inFlight.add(ticket);
		maxInFlight = Math.max(maxInFlight, inFlight.size);
		options.onRun?.(String(req.headers['x-request-id'] ?? ''), req);
		try {
			const body = await readAll(req);
			if (behaviour.failWith !== undefined) {
				res.writeHead(behaviour.failWith);
				res.end('failed');
				return;
			}

			await new Promise(resolve => {
				setTimeout(resolve, behaviour.workMs);
			});
			const text = JSON.stringify({
				instance: options.instance, method: req.method, path: req.url, bytes: body.length, requestId: req.headers['x-request-id'],
			});
			res.writeHead(200, {'content-type': 'application/json', ...(behaviour.chunked ? {} : {'content-length': Buffer.byteLength(text)})});
			if (behaviour.cutAnswers) {
				res.write(text.slice(0, text.length / 2), () => {
					setTimeout(() => {
						res.destroy();
					}, CUT_AFTER_MS);
				});
				return;
			}

			res.end(text);
		} catch {
			res.destroy();
		} finally {
			inFlight.delete(ticket);
			options.onEnd?.(ticket);
		}
	};

	const server = http.createServer((req, res) => {
		void answer(req, res);
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const {port} = server.address() as AddressInfo;

	const announce = async (): Promise<number> => {
		const entry = options.entries[nextEntry % options.entries.length]!;
		nextEntry += 1;
		try {
			const response = await fetch(`${entry}/bronzebend/v1/announce`, {
				method: 'POST',
				headers: {authorization: `Bearer ${options.announceKey}`},
				body: JSON.stringify({
					service: options.service,
					instance: options.instance,
					dataCentre: options.dataCentre,
					rack: options.rack,
					address: `http://127.0.0.1:${port}`,
					slots: options.slots,
					connections: options.connections ?? 64,
					leaving,
					inFlight: [...inFlight],
				}),
				signal: AbortSignal.timeout(800),
			});
			await response.arrayBuffer();
			return response.status;
		} catch {
			return 0;
		}
	};

	const timer = setInterval(() => {
		void announce();
	}, ANNOUNCE_MS);

	return {
		behaviour,
		announce,
		url: `http://127.0.0.1:${port}`,
		handled: () => handled,
		maxInFlight: () => maxInFlight,
		inFlight: () => inFlight.size,

		/** Announces that the instance is leaving; requests that still arrive are answered. */
		async leave(): Promise<void> {
			leaving = true;
			await announce();
		},

		async stop(): Promise<void> {
			clearInterval(timer);
			server.closeAllConnections();
			await new Promise<void>(resolve => {
				server.close(() => {
					resolve();
				});
			});
		},
	};
};
