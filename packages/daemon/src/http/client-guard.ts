/** Bounds what the clients of all HTTP servers of a process hold, and closes connections where a limit is reached. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {Clock} from '@bronzebend/core';
import type {Log} from '../utils/log.js';
import {createBodyBuffer, createBufferPool, type BodyBuffer} from './body-buffer.js';
import {defaultClientLimits, PROGRESS_TIMEOUT_MS, type ClientLimits} from './client-limits.js';
import {chooseForRoom} from './room.js';

/** Reasons for which a connection is closed. */
export const giveUpReasons = {
	connections: 'connections',
	requests: 'requests',
	bodyBytes: 'body-bytes',
	smallChunks: 'small-chunks',
	requestsAhead: 'requests-ahead',
	bodyStalled: 'body-stalled',
	answerNotTaken: 'answer-not-taken',
	headersLate: 'headers-late',
} as const;
export type GiveUpReason = typeof giveUpReasons[keyof typeof giveUpReasons];

/** Interval between checks of progress, in milliseconds. */
const SWEEP_MS = 1000;
/** Chunks of a body below this size, in bytes, cost more time for their number than for their bytes. */
const SMALL_CHUNK_BYTES = 64;
/** Small chunks per second above which reading from a connection pauses: of the connection itself, and of all; 50,000 take an eighth of a second. */
const SMALL_CHUNKS_PER_CONNECTION = 1000;
const SMALL_CHUNKS_PER_PROCESS = 50_000;
/** Connections that may be paused at once, and the interval at which the next one reads on, in milliseconds. One read is 64 KB, up to 11,000 chunks. */
const MAX_PAUSED = 8;
const RESUME_MS = 60;

/** Capacity up to which a body gets room before larger ones that are being received, in bytes. */
const SMALL_BODY_BYTES = 16_384;
/** Time by which connections that have sent nothing since the last check rank before all others, in milliseconds; longer than any process runs. */
const IDLE_RANK_MS = 1e12;

/** A request from the arrival of its head until its answer is taken. `body` is undefined where the handler reads the body itself. */
export type Exchange = {
	req: IncomingMessage;
	res: ServerResponse;
	expectsContinue: boolean;
	body: BodyBuffer | undefined;
	isReceived: boolean;
	isTooLarge: boolean;
	isStarted: boolean;
	receivedBytes: number;
	arrivedMs: number;
};

/** A connection of a client. Its requests are in the order of their arrival; the first one may be in the hands of its handler. */
export type Connection = {
	server: string;
	address: string;
	socket: Socket;
	exchanges: Exchange[];
	/** Whether the client waits for this process. */
	readonly isServed: boolean;
	isClosed: boolean;
	isPaused: boolean;
	/** Whether no byte was read between the last two checks. */
	isIdle: boolean;
	bodyBytes: number;
	smallChunks: number;
	/** Monotonic time of the last completed step: opened, or an answer taken. */
	stepMs: number;
	bytesRead: number;
	readMs: number;
	bytesTaken: number;
	takenMs: number;
	headersTimeoutMs: number;
	/** Monotonic time since which an unfinished head has been seen. */
	headMs: number | undefined;
	/** Bytes that had been read at the last completed step. */
	stepBytes: number;
};

/** Options of a guard. */
export type ClientGuardOptions = {
	clock: Clock;
	log: Log;
	/** Returns the limits in force. */
	limits?(): ClientLimits;
	/** Called for each connection that is closed. */
	onGivenUp?(server: string, reason: GiveUpReason): void;
};

/** Guard of one process. */
export type ClientGuard = ReturnType<typeof createClientGuard>;

/** Creates the guard of a process. */
export const createClientGuard = (options: ClientGuardOptions) => {
	const {clock, log} = options;
	const defaults = defaultClientLimits();
	const limits = options.limits ?? (() => defaults);
	const pool = createBufferPool();
	const connections = new Set<Connection>();
	const paused: Connection[] = [];
	const tally = new Map<string, number>();
	let bodyBytes = 0;
	let requests = 0;
	let closingRequests = 0;
	let smallChunks = 0;
	let resumeTimer: NodeJS.Timeout | undefined;

	/** Releases all that a connection holds. */
	const release = (connection: Connection): void => {
		if (connection.isClosed) {
			return;
		}

		connection.isClosed = true;
		connections.delete(connection);
		bodyBytes -= connection.bodyBytes;
		requests -= connection.exchanges.length;
		connection.bodyBytes = 0;
		for (const exchange of connection.exchanges) {
			exchange.body?.clear();
		}

		connection.exchanges = [];
	};

	const giveUp = (connection: Connection, reason: GiveUpReason): void => {
		if (connection.isClosed) {
			return;
		}

		// Node keeps the requests of a destroyed connection until its socket is closed.
		const count = connection.exchanges.length;
		closingRequests += count;
		connection.socket.once('close', () => {
			closingRequests -= count;
		});
		release(connection);
		connection.socket.destroy();
		const key = `${connection.server}: ${reason}`;
		tally.set(key, (tally.get(key) ?? 0) + 1);
		options.onGivenUp?.(connection.server, reason);
	};

	const makeRoom = (isOver: () => boolean, reason: GiveUpReason, held: (connection: Connection) => number): void => {
		while (isOver()) {
			const chosen = chooseForRoom(connections, held, connection => connection.stepMs);
			if (!chosen) {
				return;
			}

			giveUp(chosen, reason);
		}
	};

	/** Makes room for a body that grows. Of connections that all send, the one whose body is large and wants more is closed, so that the rest of it need not be read. */
	const makeRoomForBody = (growing: Connection, capacity: number): void => {
		while (bodyBytes > limits().bodyBytes) {
			const chosen = chooseForRoom(connections, connection => connection.bodyBytes, connection => connection.isIdle ? connection.stepMs - IDLE_RANK_MS : connection.stepMs);
			if (!chosen) {
				return;
			}

			const isGrowing = !chosen.isIdle && chosen.address === growing.address && !growing.isClosed && capacity > SMALL_BODY_BYTES;
			giveUp(isGrowing ? growing : chosen, giveUpReasons.bodyBytes);
		}
	};

	const resumeNext = (): void => {
		resumeTimer = undefined;
		let connection = paused.shift();
		while (connection?.isClosed) {
			connection = paused.shift();
		}

		if (connection) {
			connection.isPaused = false;
			connection.smallChunks = 0;
			connection.socket.resume();
		}

		if (paused.length > 0) {
			resumeTimer = setTimeout(resumeNext, RESUME_MS);
		}
	};

	const pause = (connection: Connection): void => {
		connection.isPaused = true;
		paused.push(connection);
		resumeTimer ??= setTimeout(resumeNext, RESUME_MS);
		const open = paused.filter(other => !other.isClosed);
		if (open.length > MAX_PAUSED) {
			const chosen = chooseForRoom(open, () => 1, other => other.bodyBytes);
			giveUp(chosen!, giveUpReasons.smallChunks);
			paused.splice(0, paused.length, ...open.filter(other => !other.isClosed));
		}
	};

	const sweepConnection = (connection: Connection, nowMs: number): void => {
		const {socket, exchanges} = connection;
		connection.smallChunks = 0;
		connection.isIdle = socket.bytesRead === connection.bytesRead && !connection.isPaused;
		if (!connection.isIdle) {
			connection.bytesRead = socket.bytesRead;
			connection.readMs = nowMs;
		}

		const bytesTaken = socket.bytesWritten - socket.writableLength;
		if (bytesTaken !== connection.bytesTaken || socket.writableLength === 0) {
			connection.bytesTaken = bytesTaken;
			connection.takenMs = nowMs;
		}

		// Node measures the time for the first head from the opening of the connection, which may stay idle for longer.
		const hasPartOfHead = exchanges.length === 0 && socket.bytesRead > connection.stepBytes;
		connection.headMs = hasPartOfHead ? connection.headMs ?? nowMs : undefined;
		if (connection.headMs !== undefined && nowMs - connection.headMs > connection.headersTimeoutMs) {
			giveUp(connection, giveUpReasons.headersLate);
			return;
		}

		const last = exchanges.at(-1);
		const isReceiving = last !== undefined && !last.req.complete && last.req.readableLength === 0 && (last.body !== undefined || !last.expectsContinue);
		if (isReceiving && nowMs - Math.max(connection.readMs, last.arrivedMs) > PROGRESS_TIMEOUT_MS) {
			giveUp(connection, giveUpReasons.bodyStalled);
		} else if (nowMs - connection.takenMs > PROGRESS_TIMEOUT_MS) {
			giveUp(connection, giveUpReasons.answerNotTaken);
		}
	};

	const sweep = (): void => {
		const nowMs = clock.monotonicMs();
		smallChunks = 0;
		pool.shrink();
		for (const connection of connections) {
			sweepConnection(connection, nowMs);
		}

		if (tally.size > 0) {
			log.warn('Closed connections of clients.', {
				reasons: [...tally].map(([key, count]) => `${key} ${count}`).join(', '), connections: connections.size, requests, bodyBytes,
			});
			tally.clear();
		}
	};

	const sweepTimer = setInterval(sweep, SWEEP_MS);
	sweepTimer.unref();

	return {
		giveUp,
		release,
		held: () => ({connections: connections.size, requests, bodyBytes}),

		/** Takes a new connection in; closes one if there are too many. */
		open(server: string, socket: Socket, headersTimeoutMs: number): Connection {
			const nowMs = clock.monotonicMs();
			const connection: Connection = {
				server, address: socket.remoteAddress ?? '', socket, exchanges: [], isClosed: false, isPaused: false, isIdle: false, bodyBytes: 0, smallChunks: 0,
				stepMs: nowMs, bytesRead: 0, readMs: nowMs, bytesTaken: 0, takenMs: nowMs, headersTimeoutMs, headMs: undefined, stepBytes: 0,
				get isServed() {
					const first = this.exchanges[0];
					return first?.isStarted === true && !first.res.writableEnded;
				},
			};
			connections.add(connection);
			makeRoom(() => connections.size > limits().connections, giveUpReasons.connections, () => 1);
			return connection;
		},

		/** Adds a request to its connection; closes a connection if there are too many requests. */
		begin(connection: Connection, exchange: Exchange): void {
			connection.exchanges.push(exchange);
			requests += 1;
			if (requests + closingRequests > 2 * limits().requests) {
				giveUp(connection, giveUpReasons.requests);
				return;
			}

			makeRoom(() => requests > limits().requests, giveUpReasons.requests, other => other.exchanges.length);
		},

		/** Removes the first request of a connection, whose answer has been taken. */
		end(connection: Connection): void {
			if (connection.isClosed) {
				return;
			}

			const exchange = connection.exchanges.shift();
			requests -= 1;
			this.dropBody(connection, exchange?.body);
			connection.stepBytes = connection.socket.bytesRead;
			connection.stepMs = clock.monotonicMs();
		},

		/** Creates the buffer of a body. Of all memory for bodies at most half as much as may be in use is kept free for the next ones. */
		createBody: (): BodyBuffer => createBodyBuffer(pool, () => limits().bodyBytes / 2),

		/** Adds a chunk to a body; returns false if the connection was closed to make room. */
		keep(connection: Connection, body: BodyBuffer, chunk: Uint8Array): boolean {
			const grownBy = body.capacityAfter(chunk.length) - body.capacity();
			connection.bodyBytes += grownBy;
			bodyBytes += grownBy;
			if (grownBy > 0) {
				makeRoomForBody(connection, body.capacityAfter(chunk.length));
			}

			if (connection.isClosed) {
				return false;
			}

			body.add(chunk);
			return true;
		},

		dropBody(connection: Connection, body: BodyBuffer | undefined): void {
			if (body) {
				connection.bodyBytes -= body.capacity();
				bodyBytes -= body.capacity();
				body.clear();
			}
		},

		/** Counts a chunk of a body; returns whether its connection may be read on. Connections that send many small chunks are read in turns. */
		noteChunk(connection: Connection, length: number): boolean {
			if (length >= SMALL_CHUNK_BYTES || connection.isPaused) {
				return !connection.isPaused;
			}

			connection.smallChunks += 1;
			smallChunks += 1;
			if (connection.smallChunks > SMALL_CHUNKS_PER_CONNECTION || smallChunks > SMALL_CHUNKS_PER_PROCESS) {
				pause(connection);
			}

			return !connection.isPaused;
		},

		nowMs: () => clock.monotonicMs(),

		stop(): void {
			clearInterval(sweepTimer);
			clearTimeout(resumeTimer);
		},
	};
};
