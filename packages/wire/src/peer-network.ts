/**
Messages between processes over TCP: authenticated, length-framed CBOR.

Delivery is best effort: a message may be lost when a connection breaks, so protocols on top repeat
important messages. Each direction has its own connection, opened by the sender.
*/
import net from 'node:net';
import tls from 'node:tls';
import {createAnnouncedAddresses} from './announced-addresses.js';
import {
	createFrameReader, createFrameWriter, MAX_FRAME_BYTES, type FrameWriter,
} from './frame-codec.js';
import {
	clientProof, createNonce, handshakeSchema, proofsMatch, serverProof,
} from './handshake.js';
import {createPing, isKeepAliveFrame, PONG} from './keep-alive.js';
import {peerMessageSchema, toWireMessage, type PeerMessage} from './messages.js';
import type {NetworkStats, PeerNetworkOptions} from './peer-network-options.js';
import {createUnprovedConnections, MAX_UNPROVED_FRAME_BYTES} from './unproved-connections.js';

/** Unsent bytes to one peer above which messages to it are dropped. */
const MAX_BUFFERED_BYTES = 32 * 1024 * 1024;
/** Maximum number of messages queued while a connection opens; further ones are dropped. */
const MAX_QUEUED_MESSAGES = 10_000;
/** Delay before reconnecting after a connection broke, in milliseconds. */
const RECONNECT_DELAY_MS = 100;
/** Time within which a connection must be open and authenticated, in milliseconds. */
const CONNECT_TIMEOUT_MS = 1000;
/** Interval between pings on an open connection, in milliseconds. */
const PING_INTERVAL_MS = 500;
/** Time without a pong after which a connection is dropped, in milliseconds; three ping intervals. */
const PONG_TIMEOUT_MS = 1500;
/** Time without sent messages after which a connection is closed, in milliseconds. */
const IDLE_TIMEOUT_MS = 15_000;

type Outbound = {
	socket: net.Socket;
	writer: FrameWriter;
	ready: boolean;
	queue: PeerMessage[];
	host: string;
	port: number;
	/** Monotonic time of the last pong, or of the completed handshake, in milliseconds. */
	lastContactMs: number;
	lastSentMs: number;
};

/** Peer network of one process. */
export type PeerNetwork = Awaited<ReturnType<typeof createPeerNetwork>>;

/** Listens for peers, and connects to a peer when a message to it is sent. */
export const createPeerNetwork = async (options: PeerNetworkOptions) => {
	const {node, secret, clock} = options;
	const outbound = new Map<string, Outbound>();
	const retryAtMs = new Map<string, number>();
	const inbound = new Set<net.Socket>();
	const announced = createAnnouncedAddresses();
	const stats: NetworkStats = {
		bytesSent: 0, bytesReceived: 0, messagesSent: 0, writes: 0, dropped: 0, rejected: 0,
	};
	let closed = false;

	const reportFault = (reason: string, peer: string): void => {
		stats.rejected += 1;
		options.onFault?.(reason, peer);
	};

	const deliver = (from: string, value: unknown): void => {
		const result = peerMessageSchema.safeParse(value);
		if (result.success) {
			options.onMessage(from, result.data);
		} else {
			reportFault(`invalid message: ${result.error.issues[0]?.path.join('.') ?? ''} ${result.error.issues[0]?.message ?? ''}`, from);
		}
	};

	/** Calls `onValue` with each received value; destroys the connection on a bad frame. */
	const readFrames = (socket: net.Socket, isProved: () => boolean, onValue: (value: unknown) => void): void => {
		const reader = createFrameReader(() => isProved() ? MAX_FRAME_BYTES : MAX_UNPROVED_FRAME_BYTES);
		socket.on('data', chunk => {
			stats.bytesReceived += chunk.length;
			try {
				for (const value of reader.push(chunk)) {
					onValue(value);
				}
			} catch (error) {
				reportFault(String(error), socket.remoteAddress ?? 'unknown');
				socket.destroy();
			}
		});
		socket.on('error', () => {
			socket.destroy();
		});
	};

	const unproved = createUnprovedConnections(address => {
		reportFault('too many connections that have not proved the cluster secret', address);
	});

	const accept = (socket: net.Socket): void => {
		inbound.add(socket);
		socket.setNoDelay(true);
		socket.on('close', () => {
			inbound.delete(socket);
			if (peer !== undefined) {
				announced.forget(peer, socket);
			}
		});
		const nonce = createNonce();
		const writer = createFrameWriter();
		let peer: string | undefined;
		let pongAtMs = -Infinity;
		const sendPong = (): void => {
			pongAtMs = clock.monotonicMs();
			socket.write(writer.encode(PONG));
		};

		const timer = setTimeout(() => {
			if (peer === undefined) {
				socket.destroy();
			}
		}, CONNECT_TIMEOUT_MS);
		timer.unref();
		readFrames(socket, () => peer !== undefined, value => {
			if (peer !== undefined) {
				if (isKeepAliveFrame(value, 'ping')) {
					announced.heard(peer, socket, value);
					sendPong();
					return;
				}

				deliver(peer, value);
				return;
			}

			const parsed = handshakeSchema.safeParse(value);
			if (!parsed.success || parsed.data.type !== 'proof' || !proofsMatch(parsed.data.proof, clientProof(secret, nonce, parsed.data.nonce, parsed.data.node))) {
				reportFault('wrong cluster secret', socket.remoteAddress ?? 'unknown');
				socket.destroy();
				return;
			}

			peer = parsed.data.node;
			unproved.prove(socket);
			socket.write(writer.encode({type: 'accepted', node, proof: serverProof(secret, nonce, parsed.data.nonce, node)}));
		});
		socket.on('data', () => {
			// While a long frame arrives, the pings behind it do not.
			if (peer !== undefined && clock.monotonicMs() - pongAtMs > PING_INTERVAL_MS) {
				sendPong();
			}
		});
		socket.write(writer.encode({type: 'challenge', nonce}));
	};

	const listener = options.tls
		? tls.createServer({...options.tls, requestCert: true, rejectUnauthorized: true}, accept)
		: net.createServer(accept);
	listener.prependListener('connection', unproved.add);
	await new Promise<void>((resolve, reject) => {
		listener.once('error', reject);
		listener.listen(options.port, options.host, resolve);
	});

	const port = (): number => (listener.address() as net.AddressInfo).port;
	const locate = (to: string): {host: string; port: number} | undefined => options.locate(to) ?? announced.of(to);
	const ping = ({socket, writer}: Outbound): boolean => socket.write(writer.encode(createPing(options.advertise, port())));

	const dropConnection = (to: string, connection: Outbound): void => {
		connection.socket.destroy();
		if (outbound.get(to) === connection) {
			stats.dropped += connection.queue.length;
			outbound.delete(to);
			retryAtMs.set(to, clock.monotonicMs() + RECONNECT_DELAY_MS);
		}
	};

	const write = (connection: Outbound, message: PeerMessage): void => {
		const {socket, writer} = connection;
		connection.lastSentMs = clock.monotonicMs();
		const frame = writer.encode(toWireMessage(message));
		stats.messagesSent += 1;
		stats.bytesSent += frame.length;
		if (socket.writableCorked === 0) {
			// All messages to a peer in one turn of the event loop go out in one write.
			socket.cork();
			setImmediate(() => {
				stats.writes += 1;
				socket.uncork();
			});
		}

		socket.write(frame);
	};

	const authenticate = (to: string, connection: Outbound): void => {
		const clientNonce = createNonce();
		let serverNonce = '';
		readFrames(connection.socket, () => connection.ready, value => {
			if (connection.ready && isKeepAliveFrame(value, 'pong')) {
				connection.lastContactMs = clock.monotonicMs();
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

			if (!parsed.success || parsed.data.type !== 'accepted' || !proofsMatch(parsed.data.proof, serverProof(secret, serverNonce, clientNonce, parsed.data.node))) {
				reportFault('peer failed to prove the cluster secret', to);
				dropConnection(to, connection);
				return;
			}

			connection.ready = true;
			connection.lastContactMs = clock.monotonicMs();
			// Before the first message, which the peer may answer at once.
			ping(connection);
			for (const message of connection.queue) {
				write(connection, message);
			}

			connection.queue = [];
		});
	};

	const connect = (to: string): Outbound | undefined => {
		const address = locate(to);
		if (!address || closed || clock.monotonicMs() < (retryAtMs.get(to) ?? -Infinity)) {
			return undefined;
		}

		const socket = options.tls ? tls.connect({...options.tls, ...address, checkServerIdentity: () => undefined}) : net.connect(address);
		socket.setNoDelay(true);
		const connection: Outbound = {
			socket, writer: createFrameWriter(), ready: false, queue: [], lastContactMs: 0, lastSentMs: clock.monotonicMs(), ...address,
		};
		outbound.set(to, connection);
		const timer = setTimeout(() => {
			if (!connection.ready) {
				dropConnection(to, connection);
			}
		}, CONNECT_TIMEOUT_MS);
		timer.unref();
		socket.on('close', () => {
			dropConnection(to, connection);
		});
		authenticate(to, connection);
		return connection;
	};

	const connectionTo = (to: string): Outbound | undefined => {
		const existing = outbound.get(to);
		const address = locate(to);
		if (existing && address && (existing.host !== address.host || existing.port !== address.port)) {
			dropConnection(to, existing);
			retryAtMs.delete(to);
			return connect(to);
		}

		return existing ?? connect(to);
	};

	/** Pings open connections and drops those without pongs; no other mechanism detects a silent peer. */
	const checkConnections = (): void => {
		const nowMs = clock.monotonicMs();
		for (const [to, connection] of outbound) {
			const isIdle = nowMs - connection.lastSentMs > IDLE_TIMEOUT_MS;
			if (isIdle || (connection.ready && nowMs - connection.lastContactMs > PONG_TIMEOUT_MS)) {
				if (!isIdle) {
					options.onFault?.('connection dropped: peer does not answer pings', to);
				}

				dropConnection(to, connection);
				retryAtMs.delete(to);
			} else if (connection.ready) {
				ping(connection);
			}
		}
	};

	const keepAliveTimer = setInterval(checkConnections, PING_INTERVAL_MS);
	keepAliveTimer.unref();

	return {
		stats,

		/** Sends a message; drops it if the peer is unreachable or too much is buffered for it. */
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

		port,
		/** Returns the address to which messages to a node go; undefined while unknown. */
		locate,

		async close(): Promise<void> {
			closed = true;
			clearInterval(keepAliveTimer);
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
