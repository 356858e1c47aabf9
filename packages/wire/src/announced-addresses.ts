/**
Addresses at which the nodes at the other end of open connections listen, by their own statement.

A node needs them to answer a node that neither its settings nor its view name yet. They come in the pings, which earlier
versions answer whatever fields they have.
*/
import type net from 'node:net';
import {z} from 'zod';

const pingSchema = z.object({
	listensAt: z.strictObject({host: z.string().min(1).max(253), port: z.number().int().min(1).max(65_535)}),
});

/** Creates the addresses of one process. */
export const createAnnouncedAddresses = () => {
	const byNode = new Map<string, {socket: net.Socket; host: string; port: number}>();

	return {
		/** Takes the address in a ping from an authenticated node, if there is a valid one. It is forgotten when the connection closes. */
		heard(node: string, socket: net.Socket, ping: unknown): void {
			const result = pingSchema.safeParse(ping);
			if (result.success) {
				byNode.set(node, {socket, ...result.data.listensAt});
			}
		},

		/** Forgets what came over a connection, but not what the node announced over a later one. */
		forget(node: string, socket: net.Socket): void {
			if (byNode.get(node)?.socket === socket) {
				byNode.delete(node);
			}
		},

		of(node: string): {host: string; port: number} | undefined {
			const entry = byNode.get(node);
			return entry && {host: entry.host, port: entry.port};
		},
	};
};
