/** The nodes that the leader hears from. */
import type {DispatchReport, Heartbeat, NodeAddress} from '@bronzebend/wire';
import {NODE_FORGET_MS, NODE_SILENCE_MS} from './timings.js';

/** One node as last heard. */
export type KnownNode = {
	address: NodeAddress;
	run: string;
	isEntry: boolean;
	draining: boolean;
	heardAtMs: number;
	viewVersion: number;
	dispatch: ReadonlyMap<string, DispatchReport>;
};

/** The directory of one leadership. */
export type NodeDirectory = ReturnType<typeof createNodeDirectory>;

/** Creates an empty directory. */
export const createNodeDirectory = () => {
	const nodes = new Map<string, KnownNode>();

	return {
		find: (node: string) => nodes.get(node),
		list: (): KnownNode[] => [...nodes.values()],
		names: (): string[] => [...nodes.keys()],
		isLive: (node: string, nowMs: number): boolean => nowMs - (nodes.get(node)?.heardAtMs ?? -Infinity) < NODE_SILENCE_MS,

		/** Takes a heartbeat; returns true where the directory's addresses changed. */
		hear(heartbeat: Heartbeat, nowMs: number): boolean {
			const {address} = heartbeat;
			const before = nodes.get(address.node);
			nodes.set(address.node, {
				address,
				run: heartbeat.run,
				isEntry: heartbeat.isEntry,
				draining: heartbeat.draining,
				heardAtMs: nowMs,
				viewVersion: heartbeat.viewVersion,
				dispatch: new Map(heartbeat.dispatch.map(report => [report.pool, report])),
			});
			return before?.address.host !== address.host || before.address.port !== address.port;
		},

		/** Forgets long silent nodes; returns true where there were any. */
		forgetSilent(nowMs: number): boolean {
			const silent = [...nodes].filter(([, known]) => nowMs - known.heardAtMs > NODE_FORGET_MS);
			for (const [node] of silent) {
				nodes.delete(node);
			}

			return silent.length > 0;
		},
	};
};
