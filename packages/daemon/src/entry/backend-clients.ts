/** Connections to backend servers: one pool of them for each address. */
import {Pool as UndiciPool} from 'undici';

/** Time in which a connection must be open, in milliseconds. */
const CONNECT_TIMEOUT_MS = 1000;
/** Idle time after which a connection is closed, in milliseconds. */
const KEEP_ALIVE_MS = 4000;
/** Time without use after which a backend server is forgotten, in milliseconds. */
const FORGET_MS = 60_000;

type Client = {pool: string; instance: string; client: UndiciPool; usedAtMs: number};

/** The connections of one entry. */
export type BackendClients = ReturnType<typeof createBackendClients>;

/** Creates an empty set of connections. */
export const createBackendClients = (nowMs: () => number) => {
	const clients = new Map<string, Client>();

	return {
		/** The connections to a backend server. Tickets bound how many are in use. */
		clientOf(pool: string, instance: string, address: string): UndiciPool {
			const id = `${pool} ${instance} ${address}`;
			const existing = clients.get(id);
			if (existing) {
				existing.usedAtMs = nowMs();
				return existing.client;
			}

			const client = new UndiciPool(address, {
				pipelining: 1,
				connect: {timeout: CONNECT_TIMEOUT_MS},
				keepAliveTimeout: KEEP_ALIVE_MS,
				headersTimeout: 0,
				bodyTimeout: 0,
				maxHeaderSize: 65_536,
			});
			clients.set(id, {
				pool, instance, client, usedAtMs: nowMs(),
			});
			return client;
		},

		/** Open connections by instance. */
		openOf: (pool: string): Array<{instance: string; open: number}> => [...clients.values()]
			.filter(client => client.pool === pool && client.client.stats.connected > 0)
			.map(({instance, client}) => ({instance, open: client.stats.connected})),

		/** Closes connections to backend servers that are long unused. */
		async sweep(): Promise<void> {
			const unused = [...clients].filter(([, {client, usedAtMs}]) => nowMs() - usedAtMs > FORGET_MS && client.stats.running === 0);
			for (const [id] of unused) {
				clients.delete(id);
			}

			await Promise.all(unused.map(async ([, {client}]) => client.close()));
		},

		async stop(): Promise<void> {
			await Promise.all([...clients.values()].map(async ({client}) => client.destroy()));
		},
	};
};
