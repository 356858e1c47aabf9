/** Relay between the processes of a soak: each connection from one to another passes through it, and may be cut without notice, delayed or reset. */
import net from 'node:net';

/** What happens to bytes from some hosts to others while the effect lasts. */
export type LinkEffect = {
	from: readonly string[];
	to: readonly string[];
	/** Bytes wait until the effect is over, as packets do that are sent again. */
	blocks?: boolean;
	delayMs?: number;
};

/** One direction of a connection. */
type Flow = {
	from: string;
	to: string;
	chunks: Array<{atMs: number; chunk: Uint8Array}>;
	lastMs: number;
	timer?: NodeJS.Timeout;
	/** The sender has closed its end; the receiver learns it once the bytes pass. */
	isOver: boolean;
	/** Nothing passes any more, neither bytes nor the end of the connection. */
	isSilent: boolean;
	deliver(chunk: Uint8Array): void;
	finish(): void;
};

type Connection = {flows: Flow[]; close(): void};

/** Longest first line, which names the two hosts. */
const MAX_LINE_BYTES = 100;
const LINE_END = 10;

export type Relay = Awaited<ReturnType<typeof startRelay>>;

/** Starts the relay; a program that connects through it first sends a line with its own host and the other's. */
export const startRelay = async ({host, port, peerPort}: {host: string; port: number; peerPort: number}) => {
	const effects = new Map<number, LinkEffect>();
	const connections = new Set<Connection>();
	/** Connections that open once their first packet passes. */
	const unopened = new Map<Connection, () => void>();

	const effectsOn = ({from, to}: {from: string; to: string}): LinkEffect[] => [...effects.values()].filter(effect => effect.from.includes(from) && effect.to.includes(to));
	const isBlocked = (link: {from: string; to: string}): boolean => effectsOn(link).some(effect => effect.blocks);

	const pump = (flow: Flow): void => {
		clearTimeout(flow.timer);
		if (isBlocked(flow)) {
			return;
		}

		const nowMs = performance.now();
		while (flow.chunks.length > 0 && flow.chunks[0]!.atMs <= nowMs) {
			flow.deliver(flow.chunks.shift()!.chunk);
		}

		if (flow.chunks.length > 0) {
			flow.timer = setTimeout(pump, Math.max(1, flow.chunks[0]!.atMs - nowMs), flow);
		} else if (flow.isOver) {
			flow.finish();
		}
	};

	const push = (flow: Flow, chunk: Uint8Array): void => {
		if (flow.isSilent) {
			return;
		}

		const delayMs = Math.max(0, ...effectsOn(flow).map(effect => effect.delayMs ?? 0));
		flow.lastMs = Math.max(flow.lastMs, performance.now() + delayMs);
		flow.chunks.push({atMs: flow.lastMs, chunk});
		pump(flow);
	};

	const end = (flow: Flow, connection: Connection): void => {
		if (unopened.has(connection)) {
			connection.close();
			return;
		}

		if (flow.isSilent) {
			return;
		}

		flow.isOver = true;
		if (isBlocked(flow)) {
			// Nothing is sent again for a connection that its sender has given up.
			flow.chunks = [];
		}

		pump(flow);
	};

	const join = (dialer: net.Socket, from: string, to: string, rest: Uint8Array): void => {
		const target = new net.Socket();
		const destroyLater = (socket: net.Socket) => () => {
			socket.destroySoon();
			if (dialer.destroyed && target.destroyed) {
				connections.delete(connection);
			}
		};

		const flowTo = (socket: net.Socket, ends: {from: string; to: string}): Flow => ({
			...ends, chunks: [], lastMs: 0, isOver: false, isSilent: false, finish: destroyLater(socket),
			deliver(chunk) {
				socket.write(chunk);
			},
		});
		const there = flowTo(target, {from, to});
		const back = flowTo(dialer, {from: to, to: from});
		const connection: Connection = {
			flows: [there, back],
			close() {
				connections.delete(connection);
				unopened.delete(connection);
				dialer.resetAndDestroy();
				target.resetAndDestroy();
			},
		};
		connections.add(connection);
		target.setNoDelay(true);
		for (const [socket, flow] of [[dialer, there], [target, back]] as const) {
			socket.on('data', chunk => {
				push(flow, chunk);
			});
			socket.on('error', () => undefined);
			socket.on('close', () => {
				end(flow, connection);
			});
		}

		const open = (): void => {
			if (!isBlocked(there)) {
				unopened.delete(connection);
				target.connect(peerPort, to);
			}
		};

		unopened.set(connection, open);
		open();
		if (rest.length > 0) {
			push(there, rest);
		}
	};

	const accept = (dialer: net.Socket): void => {
		dialer.setNoDelay(true);
		dialer.on('error', () => undefined);
		dialer.once('data', chunk => {
			const length = chunk.subarray(0, MAX_LINE_BYTES).indexOf(LINE_END);
			const [from, to] = new TextDecoder().decode(chunk.subarray(0, length)).split(' ');
			if (from !== undefined && to !== undefined) {
				join(dialer, from, to, chunk.subarray(length + 1));
			}
		});
	};

	const update = (): void => {
		for (const open of unopened.values()) {
			open();
		}

		for (const flow of [...connections].flatMap(({flows}) => flows)) {
			pump(flow);
		}
	};

	const server = net.createServer(accept);
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, host, resolve);
	});

	return {
		begin(id: number, effect: LinkEffect): void {
			effects.set(id, effect);
		},

		end(id: number): void {
			effects.delete(id);
			update();
		},

		/** Makes the open connections between two hosts lose all that is sent from now on, without a notice to either end; new connections work. */
		silence(host: string, other: string): void {
			for (const connection of [...connections].filter(each => !unopened.has(each))) {
				const {from, to} = connection.flows[0]!;
				if ((from === host && to === other) || (from === other && to === host)) {
					for (const flow of connection.flows) {
						clearTimeout(flow.timer);
						flow.chunks = [];
						flow.isSilent = true;
					}
				}
			}
		},

		/** Resets the open connections of some hosts at both ends. */
		reset(hosts: readonly string[]): void {
			for (const connection of connections) {
				if (hosts.includes(connection.flows[0]!.from) || hosts.includes(connection.flows[0]!.to)) {
					connection.close();
				}
			}
		},

		close(): void {
			server.close();
			for (const connection of connections) {
				connection.close();
			}
		},
	};
};
