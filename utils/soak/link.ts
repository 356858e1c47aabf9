/** The link between one stand-in worker and the system: a TCP listener that can refuse, reset, hold up and lose. */
import {Buffer} from 'node:buffer';
import net from 'node:net';
import {Duplex} from 'node:stream';

/** Direction of bytes: orders go down, answers and reports go up. */
type Direction = 'down' | 'up';

/** What a fault does to a link while it lasts. */
export type LinkEffect = {
	/** New connections are refused. */
	refuses?: boolean;
	/** Open connections are reset when the effect begins. */
	resets?: boolean;
	/** Bytes in these directions wait until the effect ends. */
	blocks?: readonly Direction[];
	/** What becomes of the bytes that waited. */
	after?: 'lost' | 'late';
	/** Bytes are delayed by this time, in milliseconds. */
	delayMs?: number;
	/** Share of the connections whose bytes are delayed; all if absent. */
	delayedShare?: number;
	/** Direction in which bytes are delayed; both if absent. */
	delays?: Direction;
	/** Share of the starts after which the connection is reset at once. */
	resetsAfterStart?: number;
	/** Reports of the worker are lost as well. */
	stopsReports?: boolean;
};

/** Time in which the worker reads the last bytes of a connection that has ended, in milliseconds. */
const HANDOVER_MS = 20;

type Queue = {chunks: Array<{atMs: number; chunk: Uint8Array}>; lastMs: number; timer?: NodeJS.Timeout; deliver(chunk: Uint8Array): void; finish?: () => void};

type Connection = {luck: number; queues: Record<Direction, Queue>; reset(): void};

export type Link = Awaited<ReturnType<typeof createLink>>;

/**
Creates a link.

@param onConnection Receives the worker's end of each connection.
*/
export const createLink = async ({host, port, random, onConnection}: {host: string; port: number; random: () => number; onConnection: (stream: Duplex) => void}) => {
	const effects = new Set<LinkEffect>();
	const connections = new Set<Connection>();
	let server: net.Server | undefined;

	const isBlocked = (direction: Direction): boolean => [...effects].some(effect => effect.blocks?.includes(direction));

	const delayOf = (connection: Connection, direction: Direction): number => Math.max(0, ...[...effects]
		.filter(effect => connection.luck < (effect.delayedShare ?? 1) && (effect.delays ?? direction) === direction)
		.map(effect => effect.delayMs ?? 0));

	const pump = (queue: Queue, direction: Direction): void => {
		clearTimeout(queue.timer);
		if (isBlocked(direction)) {
			return;
		}

		const nowMs = performance.now();
		while (queue.chunks.length > 0 && queue.chunks[0]!.atMs <= nowMs) {
			queue.deliver(queue.chunks.shift()!.chunk);
		}

		if (queue.chunks.length > 0) {
			queue.timer = setTimeout(pump, Math.max(1, queue.chunks[0]!.atMs - nowMs), queue, direction);
		} else {
			queue.finish?.();
		}
	};

	const push = (connection: Connection, direction: Direction, chunk: Uint8Array): void => {
		const queue = connection.queues[direction];
		const atMs = Math.max(queue.lastMs, performance.now() + delayOf(connection, direction));
		queue.lastMs = atMs;
		queue.chunks.push({atMs, chunk});
		pump(queue, direction);
	};

	const accept = (socket: net.Socket): void => {
		let isOpen = true;
		const inner = new Duplex({
			allowHalfOpen: false,
			// The bytes are pushed as they arrive.
			read() {}, // eslint-disable-line @typescript-eslint/no-empty-function
			write(chunk: Uint8Array, _encoding, callback) {
				push(connection, 'up', chunk);
				callback();
			},
			destroy(err, callback) {
				connections.delete(connection);
				socket.destroySoon();
				callback(err);
			},
		});
		const connection: Connection = {
			luck: random(),
			queues: {
				down: {
					chunks: [], lastMs: 0, deliver(chunk) {
						if (!inner.destroyed) {
							inner.push(chunk);
						}
					},
				},
				up: {
					chunks: [], lastMs: 0, deliver(chunk) {
						if (isOpen) {
							socket.write(chunk);
						}
					},
				},
			},
			reset() {
				isOpen = false;
				socket.resetAndDestroy();
				inner.destroy();
			},
		};
		connections.add(connection);
		socket.setNoDelay(true);
		socket.on('data', chunk => {
			const share = Math.max(0, ...[...effects].map(effect => effect.resetsAfterStart ?? 0));
			const isReset = share > 0 && Buffer.from(chunk).includes('/run-start') && random() < share;
			// The worker gets the order; only its answer is lost.
			isOpen &&= !isReset;
			push(connection, 'down', chunk);
			if (isReset) {
				socket.resetAndDestroy();
			}
		});
		const finish = (): void => {
			isOpen = false;
			connection.queues.down.finish = () => {
				setTimeout(() => inner.destroy(), HANDOVER_MS);
			};

			// What arrived before the end is still carried out.
			setImmediate(pump, connection.queues.down, 'down');
		};

		socket.on('error', finish);
		socket.on('close', finish);
		inner.on('error', finish);
		onConnection(inner);
	};

	const listen = async (): Promise<void> => {
		const next = net.createServer(accept);
		server = next;
		await new Promise<void>((resolve, reject) => {
			next.once('error', reject);
			next.listen(port, host, 512, resolve);
		});
	};

	const resetAll = (): void => {
		for (const connection of connections) {
			connection.reset();
		}
	};

	const pumpAll = (): void => {
		for (const {queues} of connections) {
			pump(queues.down, 'down');
			pump(queues.up, 'up');
		}
	};

	await listen();

	return {
		/** Begins an effect; returns a function that ends it. */
		async begin(effect: LinkEffect): Promise<() => Promise<void>> {
			effects.add(effect);
			if (effect.refuses && server) {
				const closing = server;
				server = undefined;
				closing.close();
			}

			if (effect.resets) {
				resetAll();
			}

			return async () => {
				effects.delete(effect);
				if (effect.blocks && effect.after === 'lost') {
					resetAll();
				}

				if (!server && ![...effects].some(each => each.refuses)) {
					await listen();
				}

				pumpAll();
			};
		},

		/** Resets the open connections, as the end of the worker's process does. */
		reset: resetAll,
		/** What becomes of a report that the worker sends now. */
		reportFate(): 'sent' | 'unanswered' | 'lost' | 'late' {
			const upward = [...effects].filter(effect => effect.stopsReports ?? effect.blocks?.includes('up'));
			if (upward.length > 0) {
				return upward.every(effect => effect.after === 'late') ? 'late' : 'lost';
			}

			return isBlocked('down') ? 'unanswered' : 'sent';
		},
		close(): void {
			server?.close();
			server = undefined;
			resetAll();
		},
	};
};
