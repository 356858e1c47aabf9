/**
Messages between processes over TCP: authenticated, length-framed CBOR.

Delivery is best effort: a message may be lost when a connection breaks, and every protocol on top
repeats what matters. Each direction has a connection of its own, owned by its sender.
*/
import {type Buffer} from 'node:buffer';
import net from 'node:net';
import tls from 'node:tls';
import type {Clock} from '@bronzebend/core';
import {createFrameReader, createFrameWriter, type FrameWriter} from './frame-codec.js';
import {
	clientProof, createNonce, handshakeSchema, sameProof, serverProof,
} from './handshake.js';
import {peerMessageSchema, toWireMessage, type PeerMessage} from './messages.js';

/** Unsent bytes to one peer above which messages to it are dropped. */
const MAX_BUFFERED_BYTES = 32 * 1024 * 1024;
/** Messages that wait for a connection to open at most; more are dropped. */
const MAX_QUEUED_MESSAGES = 10_000;
/** Pause before a broken connection is opened again, in milliseconds. */
const RECONNECT_PAUSE_MS = 100;
/** Time in which a connection must be open and proven, in milliseconds. */
const CONNECT_TIMEOUT_MS = 1000;
/** Pause between two pings on an open connection, in milliseconds. */
const PING_MS = 500;
/** Time without a pong after which a connection is taken for silent, in milliseconds; three pings. */
const SILENCE_MS = 1500;
/** Time without messages after which a connection is closed, in milliseconds. */
const IDLE_MS = 15_000;

/** Certificate of the between-process ports, in PEM. */
export type PeerTls = {key: Buffer; cert: Buffer; ca: Buffer};

/** What a network is made of. */
export type PeerNetworkOptions = {
	node: string;
	host: string;
	port: number;
	secret: string;
	tls?: PeerTls;
	clock: Clock;
	/** Address of a node; undefined while unknown. */
	locate(node: string): {host: string; port: number} | undefined;
	onMessage(from: string, message: PeerMessage): void;
	onFault?(what: string, peer: string): void;
};

/** Counts of what went over the wire. */
export type NetworkStats = {bytesSent: number; bytesReceived: number; messagesSent: number; writes: number; dropped: number; rejected: number};

type Outbound = {
	socket: net.Socket;
	writer: FrameWriter;
	ready: boolean;
	queue: PeerMessage[];
	host: string;
	port: number;
	/** When the peer last showed that it reads this connection. */
	heardMs: number;
	usedMs: number;
};

/** Frames that only keep a connection under watch. */
const PING = {type: 'ping'};
const PONG = {type: 'pong'};
const isWatchFrame = (value: unknown, type: string): boolean => (value as {type?: unknown} | null)?.type === type;

/** The messages of one process. */
export type PeerNetwork = Awaited<ReturnType<typeof createPeerNetwork>>;

/** Listens for peers and connects to them as messages need it. */
export const createPeerNetwork = async (options: PeerNetworkOptions) => {
	const {node, secret, clock} = options;
	const outbound = new Map<string, Outbound>();
	const retryAtMs = new Map<string, number>();
	const inbound = new Set<net.Socket>();
	const stats: NetworkStats = {
		bytesSent: 0, bytesReceived: 0, messagesSent: 0, writes: 0, dropped: 0, rejected: 0,
	};
	let closed = false;

	const fault = (what: string, peer: string): void => {
		stats.rejected += 1;
		options.onFault?.(what, peer);
	};

	const deliver = (from: string, value: unknown): void => {
		const result = peerMessageSchema.safeParse(value);
		if (result.success) {
			options.onMessage(from, result.data);
		} else {
			fault(`invalid message: ${result.error.issues[0]?.path.join('.') ?? ''} ${result.error.issues[0]?.message ?? ''}`, from);
		}
	};

	/** Calls back with each value that arrives; ends the connection on a bad frame. */
	const readFrames = (socket: net.Socket, onValue: (value: unknown) => void): void => {
		const reader = createFrameReader();
		socket.on('data', chunk => {
			stats.bytesReceived += chunk.length;
			try {
				for (const value of reader.push(chunk)) {
					onValue(value);
				}
			} catch (error) {
				fault(String(error), socket.remoteAddress ?? 'unknown');
				socket.destroy();
			}
		});
		socket.on('error', () => {
			socket.destroy();
		});
	};

	const accept = (socket: net.Socket): void => {
		inbound.add(socket);
		socket.setNoDelay(true);
		socket.on('close', () => {
			inbound.delete(socket);
		});
		const nonce = createNonce();
		const writer = createFrameWriter();
		let peer: string | undefined;
		const timer = setTimeout(() => {
			if (peer === undefined) {
				socket.destroy();
			}
		}, CONNECT_TIMEOUT_MS);
		timer.unref();
		readFrames(socket, value => {
			if (peer !== undefined) {
				if (isWatchFrame(value, PING.type)) {
					socket.write(writer.encode(PONG));
					return;
				}

				deliver(peer, value);
				return;
			}

			const parsed = handshakeSchema.safeParse(value);
			if (!parsed.success || parsed.data.type !== 'proof' || !sameProof(parsed.data.proof, clientProof(secret, nonce, parsed.data.nonce, parsed.data.node))) {
				fault('wrong cluster secret', socket.remoteAddress ?? 'unknown');
				socket.destroy();
				return;
			}

			peer = parsed.data.node;
			socket.write(writer.encode({type: 'accepted', node, proof: serverProof(secret, nonce, parsed.data.nonce, node)}));
		});
		socket.write(writer.encode({type: 'challenge', nonce}));
	};

	const listener = options.tls
		? tls.createServer({...options.tls, requestCert: true, rejectUnauthorized: true}, accept)
		: net.createServer(accept);
	await new Promise<void>((resolve, reject) => {
		listener.once('error', reject);
		listener.listen(options.port, options.host, resolve);
	});

	const drop = (to: string, connection: Outbound): void => {
		connection.socket.destroy();
		if (outbound.get(to) === connection) {
			stats.dropped += connection.queue.length;
			outbound.delete(to);
			retryAtMs.set(to, clock.monotonicMs() + RECONNECT_PAUSE_MS);
		}
	};

	const write = (connection: Outbound, message: PeerMessage): void => {
		const {socket, writer} = connection;
		connection.usedMs = clock.monotonicMs();
		const frame = writer.encode(toWireMessage(message));
		stats.messagesSent += 1;
		stats.bytesSent += frame.length;
		if (socket.writableCorked === 0) {
			// What is sent to a peer in one turn of the event loop leaves in one write.
			socket.cork();
			setImmediate(() => {
				stats.writes += 1;
				socket.uncork();
			});
		}

		socket.write(frame);
	};

	const prove = (to: string, connection: Outbound): void => {
		const clientNonce = createNonce();
		let serverNonce = '';
		readFrames(connection.socket, value => {
			if (connection.ready && isWatchFrame(value, PONG.type)) {
				connection.heardMs = clock.monotonicMs();
				return;
			}

			const parsed = handshakeSchema.safeParse(value);
			if (parsed.success && parsed.data.type === 'challenge' && serverNonce === '') {
				serverNonce = parsed.data.nonce;
				connection.socket.write(connection.writer.encode({
					type: 'proof', node, nonce: clientNonce, proof: clientProof(secret, serverNonce, clientNonce, node),
				}));
				return;
			}

			if (!parsed.success || parsed.data.type !== 'accepted' || !sameProof(parsed.data.proof, serverProof(secret, serverNonce, clientNonce, parsed.data.node))) {
				fault('peer failed to prove the cluster secret', to);
				drop(to, connection);
				return;
			}

			connection.ready = true;
			connection.heardMs = clock.monotonicMs();
			for (const message of connection.queue) {
				write(connection, message);
			}

			connection.queue = [];
		});
	};

	const connect = (to: string): Outbound | undefined => {
		const address = options.locate(to);
		if (!address || closed || clock.monotonicMs() < (retryAtMs.get(to) ?? -Infinity)) {
			return undefined;
		}

		const socket = options.tls ? tls.connect({...options.tls, ...address, checkServerIdentity: () => undefined}) : net.connect(address);
		socket.setNoDelay(true);
		const connection: Outbound = {
			socket, writer: createFrameWriter(), ready: false, queue: [], heardMs: 0, usedMs: clock.monotonicMs(), ...address,
		};
		outbound.set(to, connection);
		const timer = setTimeout(() => {
			if (!connection.ready) {
				drop(to, connection);
			}
		}, CONNECT_TIMEOUT_MS);
		timer.unref();
		socket.on('close', () => {
			drop(to, connection);
		});
		prove(to, connection);
		return connection;
	};

	const connectionTo = (to: string): Outbound | undefined => {
		const existing = outbound.get(to);
		const address = options.locate(to);
		if (existing && address && (existing.host !== address.host || existing.port !== address.port)) {
			drop(to, existing);
			retryAtMs.delete(to);
			return connect(to);
		}

		return existing ?? connect(to);
	};

	/** Pings open connections; drops the silent ones, which nothing else would show. */
	const watch = (): void => {
		const nowMs = clock.monotonicMs();
		for (const [to, connection] of outbound) {
			const isIdle = nowMs - connection.usedMs > IDLE_MS;
			if (isIdle || (connection.ready && nowMs - connection.heardMs > SILENCE_MS)) {
				if (!isIdle) {
					options.onFault?.('silent connection', to);
				}

				drop(to, connection);
				retryAtMs.delete(to);
			} else if (connection.ready) {
				connection.socket.write(connection.writer.encode(PING));
			}
		}
	};

	const watchTimer = setInterval(watch, PING_MS);
	watchTimer.unref();

	return {
		stats,

		/** Sends a message, or drops it where the peer cannot be reached now. */
		send(to: string, message: PeerMessage): void {
			if (to === node) {
				setImmediate(() => {
					if (!closed) {
						options.onMessage(node, message);
					}
				});
				return;
			}

			const connection = connectionTo(to);
			if (!connection || connection.socket.writableLength > MAX_BUFFERED_BYTES || connection.queue.length >= MAX_QUEUED_MESSAGES) {
				stats.dropped += 1;
				return;
			}

			if (connection.ready) {
				write(connection, message);
			} else {
				connection.queue.push(message);
			}
		},

		port: (): number => (listener.address() as net.AddressInfo).port,

		async close(): Promise<void> {
			closed = true;
			clearInterval(watchTimer);
			for (const connection of outbound.values()) {
				connection.socket.destroy();
			}

			for (const socket of inbound) {
				socket.destroy();
			}

			await new Promise<void>(resolve => {
				listener.close(() => {
					resolve();
				});
			});
		},
	};
};
