/** The nodes that send heartbeats to the leader. */
import type {DispatchReport, Heartbeat, NodeAddress} from '@bronzebend/wire';
import {NODE_REMOVAL_TIMEOUT_MS, NODE_LIVENESS_TIMEOUT_MS} from './timings.js';

/** State of a node, from its latest heartbeat. */
export type KnownNode = {
	address: NodeAddress;
	run: string;
	isEntry: boolean;
	draining: boolean;
	lastHeartbeatAtMs: number;
	viewVersion: number;
	dispatch: ReadonlyMap<string, DispatchReport>;
};

/** Directory of the nodes for one leadership. */
export type NodeDirectory = ReturnType<typeof createNodeDirectory>;

/** Creates an empty directory. */
export const createNodeDirectory = () => {
	const nodes = new Map<string, KnownNode>();

	return {
		find: (node: string) => nodes.get(node),
		list: (): KnownNode[] => [...nodes.values()],
		names: (): string[] => [...nodes.keys()],
		isLive: (node: string, nowMs: number): boolean => nowMs - (nodes.get(node)?.lastHeartbeatAtMs ?? -Infinity) < NODE_LIVENESS_TIMEOUT_MS,

		/** Records a heartbeat. Returns true if the node is new or its address changed. */
		recordHeartbeat(heartbeat: Heartbeat, nowMs: number): boolean {
			const {address} = heartbeat;
			const previous = nodes.get(address.node);
			nodes.set(address.node, {
				address,
				run: heartbeat.run,
				isEntry: heartbeat.isEntry,
				draining: heartbeat.draining,
				lastHeartbeatAtMs: nowMs,
				viewVersion: heartbeat.viewVersion,
				dispatch: new Map(heartbeat.dispatch.map(report => [report.pool, report])),
			});
			return previous?.address.host !== address.host || previous.address.port !== address.port;
		},

		/** Removes nodes that have sent no heartbeat for a long time. Returns true if any were removed. */
		removeSilent(nowMs: number): boolean {
			const silent = [...nodes].filter(([, known]) => nowMs - known.lastHeartbeatAtMs > NODE_REMOVAL_TIMEOUT_MS);
			for (const [node] of silent) {
				nodes.delete(node);
			}

			return silent.length > 0;
		},
	};
};
