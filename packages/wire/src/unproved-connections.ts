/** Connections whose other end has not proved the cluster secret yet; the oldest is closed when there are too many. */
import type net from 'node:net';

/** Maximum number of connections that are not proved at once. A proof takes a round trip, so that nodes hold few at a time. */
export const MAX_UNPROVED = 256;
/** Size limit of a frame from a sender that has not proved the cluster secret, in bytes; a proof has a few hundred. */
export const MAX_UNPROVED_FRAME_BYTES = 4096;

const endOf = (socket: net.Socket): string => `${socket.remoteAddress}:${socket.remotePort}`;

/** Creates the list of a listener. `onDropped` is called for each connection that is closed for another one. */
export const createUnprovedConnections = (onDropped: (address: string) => void) => {
	/** In the order of their opening, by the client's end: with TLS the proof comes on another socket object than the one that was accepted. */
	const unproved = new Map<string, net.Socket>();

	return {
		add(socket: net.Socket): void {
			const end = endOf(socket);
			unproved.set(end, socket);
			socket.once('close', () => {
				if (unproved.get(end) === socket) {
					unproved.delete(end);
				}
			});
			if (unproved.size > MAX_UNPROVED) {
				const [oldestEnd, oldest] = unproved.entries().next().value!;
				unproved.delete(oldestEnd);
				onDropped(oldest.remoteAddress ?? 'unknown');
				oldest.destroy();
			}
		},
		/** Notes that the other end of a connection has proved the secret. */
		prove(socket: net.Socket): void {
			unproved.delete(endOf(socket));
		},
		count: () => unproved.size,
	};
};
