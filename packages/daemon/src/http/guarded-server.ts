/** Puts an HTTP server under the guard of its process: handlers of one connection run one after another, on bounded bodies. */
import type http from 'node:http';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type https from 'node:https';
import type {Socket} from 'node:net';
import type {Duplex} from 'node:stream';
import {
	giveUpReasons, type ClientGuard, type Connection, type Exchange,
} from './client-guard.js';
import {
	GuardedRequest, GuardedResponse, isDead, noBody,
} from './guarded-messages.js';
import {HEADERS_TIMEOUT_MS, MAX_WAITING_REQUESTS} from './client-limits.js';

/** Bytes past the limit of a body that are read and discarded, so that the client receives the answer and not a connection reset. */
const MAX_DISCARDED_BYTES = 1_048_576;

/** Body above its limit. */
export const TOO_LARGE = Symbol('too large');

/** Settings that a guarded server must be created with. The guard answers requests without a host header, since those that Node answers itself are not bounded. Bodies are bounded by their progress. */
export const guardedServerOptions = {
	requireHostHeader: false, requestTimeout: 0, connectionsCheckingInterval: 1000, IncomingMessage: GuardedRequest, ServerResponse: GuardedResponse,
} as const;

/** Options of a guarded server. */
export type GuardedServerOptions = {
	/** Name of the server in metrics. */
	name: string;
	guard: ClientGuard;
	/** Time in which a head must be complete from its first bytes on, in milliseconds. */
	headersTimeoutMs?: number;
	/** Returns the longest body of a request, or undefined if the handler reads the body itself. */
	maxBodyBytes(req: IncomingMessage): number | undefined;
	/** Answers a request. It must not throw. `body` is valid until the answer is taken, and empty where the handler reads it itself. */
	handle(req: IncomingMessage, res: ServerResponse, body: Uint8Array | typeof TOO_LARGE, expectsContinue: boolean): void;
	/** Answers a request with an expectation other than `100-continue`. */
	refuseExpectation?(res: ServerResponse): void;
	/** Response to bytes that are no request, as raw HTTP. */
	rawRefusal?(error: Error & {code?: string}): string;
};

const EMPTY = new Uint8Array(0);
const defaultRefusals: Record<string, string> = {HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large', ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout'};

const endOfPeer = (socket: Socket): string => `${socket.remoteAddress}:${socket.remotePort}`;

const hasBody = (req: IncomingMessage): boolean => req.headers['transfer-encoding'] !== undefined || (req.headers['content-length'] ?? '0') !== '0';

/** Answers all requests of a server with the handler of `options`. */
export const guardServer = (server: http.Server | https.Server, options: GuardedServerOptions): void => {
	const {guard, name} = options;
	const known = new WeakMap<Duplex, Connection>();
	/** Connections whose TLS handshake is not over, by the client's end. */
	const handshakes = new Map<string, Connection>();

	const advance = (connection: Connection): void => {
		const exchange = connection.exchanges[0];
		if (connection.isClosed || !exchange || exchange.isStarted || !exchange.isReceived) {
			return;
		}

		const {req, res} = exchange;
		exchange.isStarted = true;
		if (exchange.isTooLarge && !req.complete) {
			// The rest of the body is not read, so that no further request can be found on the connection.
			res.shouldKeepAlive = false;
		}

		if (req.headers.host === undefined && req.httpVersion === '1.1') {
			res.writeHead(400, {connection: 'close'}).end();
			return;
		}

		options.handle(req, res, exchange.isTooLarge ? TOO_LARGE : (exchange.body?.content() ?? EMPTY), exchange.expectsContinue);
	};

	const receive = (connection: Connection, exchange: Exchange, maxBytes: number): void => {
		const {req} = exchange;
		const body = guard.createBody();
		exchange.body = body;
		const complete = (): void => {
			if (!exchange.isReceived) {
				exchange.isReceived = true;
				advance(connection);
			}
		};

		const add = (chunk: Uint8Array): boolean => {
			if (connection.isClosed || exchange.isReceived) {
				return true;
			}

			exchange.receivedBytes += chunk.length;
			const mayRead = guard.noteChunk(connection, chunk.length);
			if (exchange.receivedBytes <= maxBytes) {
				guard.keep(connection, body, chunk);
				return mayRead;
			}

			if (!exchange.isTooLarge) {
				exchange.isTooLarge = true;
				guard.dropBody(connection, body);
			}

			if (exchange.receivedBytes > maxBytes + MAX_DISCARDED_BYTES) {
				complete();
			}

			return mayRead;
		};

		(req as GuardedRequest).sink = {add, end: complete};
	};

	const onRequest = (req: IncomingMessage, res: ServerResponse, expectsContinue: boolean): void => {
		const connection = isDead(req) ? undefined : known.get(req.socket);
		if (!connection || connection.isClosed) {
			req.socket.destroy();
			return;
		}

		const exchange: Exchange = {
			req, res, expectsContinue, body: undefined, isReceived: true, isTooLarge: false, isStarted: false, receivedBytes: 0, arrivedMs: guard.nowMs(),
		};
		guard.begin(connection, exchange);
		if (connection.exchanges.length > MAX_WAITING_REQUESTS + 1) {
			guard.giveUp(connection, giveUpReasons.requestsAhead);
		}

		if (connection.isClosed) {
			return;
		}

		res.once('close', () => {
			if (connection.exchanges[0] === exchange) {
				guard.end(connection);
				advance(connection);
			}
		});
		const maxBytes = options.maxBodyBytes(req);
		if (maxBytes !== undefined && hasBody(req)) {
			exchange.isReceived = false;
			receive(connection, exchange, maxBytes);
			if (expectsContinue) {
				res.writeContinue();
			}
		} else if (maxBytes !== undefined) {
			(req as GuardedRequest).sink = noBody;
		}

		advance(connection);
	};

	const track = (socket: Socket, connection: Connection): void => {
		known.set(socket, connection);
		connection.socket = socket;
		socket.on('close', () => {
			handshakes.delete(endOfPeer(socket));
			guard.release(connection);
		});
	};

	server.prependListener('connection', (socket: Socket) => {
		const connection = guard.open(name, socket, options.headersTimeoutMs ?? HEADERS_TIMEOUT_MS);
		track(socket, connection);
		if ('setSecureContext' in server) {
			handshakes.set(endOfPeer(socket), connection);
		}
	});
	server.prependListener('secureConnection', (socket: Socket) => {
		const connection = handshakes.get(endOfPeer(socket));
		handshakes.delete(endOfPeer(socket));
		if (connection) {
			track(socket, connection);
		}
	});
	server.on('request', (req: IncomingMessage, res: ServerResponse) => {
		onRequest(req, res, false);
	});
	server.on('checkContinue', (req: IncomingMessage, res: ServerResponse) => {
		onRequest(req, res, true);
	});
	server.on('checkExpectation', (req: IncomingMessage, res: ServerResponse) => {
		res.shouldKeepAlive = false;
		if (options.refuseExpectation) {
			options.refuseExpectation(res);
		} else {
			res.writeHead(417).end();
		}
	});
	server.on('clientError', (error: Error & {code?: string}, socket: Duplex) => {
		const connection = known.get(socket);
		if (!socket.writable || error.code === 'ECONNRESET' || (connection?.exchanges.length ?? 0) > 0) {
			socket.destroy();
			return;
		}

		socket.end(options.rawRefusal?.(error) ?? `HTTP/1.1 ${defaultRefusals[error.code ?? ''] ?? '400 Bad Request'}\r\nconnection: close\r\n\r\n`, () => {
			socket.destroy();
		});
	});
};
