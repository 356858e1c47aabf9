/** Connections to backend servers: one connection pool for each address. */
import {Pool as UndiciPool} from 'undici';

/** Time limit for opening a connection, in milliseconds. */
const CONNECT_TIMEOUT_MS = 1000;
/** Idle time after which a connection is closed, in milliseconds. */
const KEEP_ALIVE_MS = 4000;
/** Time without use after which a backend server's connection pool is removed, in milliseconds. */
const UNUSED_REMOVAL_MS = 60_000;

type Client = {pool: string; instance: string; client: UndiciPool; usedAtMs: number};

/** Connections of one entry to backend servers. */
export type BackendClients = ReturnType<typeof createBackendClients>;

/** Creates a set without connections. */
export const createBackendClients = (nowMs: () => number) => {
	const clients = new Map<string, Client>();

	return {
		/** Returns the connection pool of a backend server. Tickets limit how many connections are in use. */
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

		/** Returns the number of open connections to each instance of a pool. */
		openOf: (pool: string): Array<{instance: string; open: number}> => [...clients.values()]
			.filter(client => client.pool === pool && client.client.stats.connected > 0)
			.map(({instance, client}) => ({instance, open: client.stats.connected})),

		/** Closes the connection pools of backend servers that have not been used for a long time. */
		async sweep(): Promise<void> {
			const unused = [...clients].filter(([, {client, usedAtMs}]) => nowMs() - usedAtMs > UNUSED_REMOVAL_MS && client.stats.running === 0);
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
