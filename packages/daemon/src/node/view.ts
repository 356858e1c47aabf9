/** What a node knows of the cluster, and until when it may rely on it. */
import {
	applyDelta, createCatalogue, type keyPurposes,
	type Assignment, type Catalogue, type Key, type Placement, type Queue,
} from '@bronzebend/core';
import type {HeartbeatReply, NodeAddress} from '@bronzebend/wire';

/** A node's view of the cluster. */
export type View = ReturnType<typeof createView>;

/** Creates a view that holds nothing and is not fresh. */
export const createView = () => {
	let version = 0;
	let catalogue: Catalogue = createCatalogue([]);
	let withdrawn = new Set<string>();
	let clusterVersion = '';
	let assignments = new Map<string, Assignment>();
	let nodes = new Map<string, NodeAddress>();
	let placements = new Map<string, Placement>();
	let untilMs = -Infinity;
	let lastSeq = -1;
	let queuesByPrefix: Queue[] = [];
	let keysByDigest = new Map<string, Key>();
	let confirmed = false;

	const index = (): void => {
		queuesByPrefix = [...catalogue.list('queue')].sort((left, right) => right.prefix.length - left.prefix.length);
		keysByDigest = new Map(catalogue.list('key').map(key => [key.sha256, key]));
	};

	const takeUpdate = (update: NonNullable<HeartbeatReply['view']>): void => {
		if (update.to <= version) {
			return;
		}

		switch (update.type) {
			case 'delta': {
				if (update.from !== version) {
					return;
				}

				catalogue = applyDelta(catalogue, update.delta);
				withdrawn = new Set([...withdrawn, ...update.withdrawn]);
				break;
			}

			case 'full': {
				catalogue = createCatalogue(update.declarations);
				withdrawn = new Set(update.withdrawn);
				break;
			}
		}

		version = update.to;
		index();
	};

	return {
		version: () => version,
		clusterVersion: () => clusterVersion,
		catalogue: () => catalogue,

		/** Takes the leader's reply; returns what changed, or nothing for a late one. */
		take(reply: HeartbeatReply): {view: boolean; cluster: boolean} | undefined {
			if (reply.seq <= lastSeq) {
				return undefined;
			}

			lastSeq = reply.seq;
			const before = version;
			if (reply.view) {
				takeUpdate(reply.view);
			}

			if (reply.cluster) {
				clusterVersion = reply.cluster.version;
				assignments = new Map(reply.cluster.assignments.map(assignment => [assignment.pool, assignment]));
				nodes = new Map(reply.cluster.nodes.map(address => [address.node, address]));
				placements = new Map(reply.cluster.placements.map(placement => [placement.instance, placement]));
			}

			// A lease is worth nothing on a view that is older than the one it was given for.
			if (version === reply.viewVersion) {
				confirmed = true;
				untilMs = Math.max(untilMs, reply.sentAtMs + reply.leaseMs);
			}

			return {view: version !== before, cluster: reply.cluster !== undefined};
		},

		isFresh: (nowMs: number): boolean => confirmed && nowMs < untilMs,

		/** The queue with the longest prefix of a path, at a segment boundary. */
		queueOfPath: (path: string): Queue | undefined => queuesByPrefix.find(({prefix}) => path === prefix || path.startsWith(prefix.endsWith('/') ? prefix : `${prefix}/`)),

		/** The key of a secret's digest, unless it was withdrawn. */
		findKey: (sha256: string): Key | undefined => (withdrawn.has(sha256) ? undefined : keysByDigest.get(sha256)),

		/** Whether a key still works for a purpose. */
		isKeyGood: (sha256: string, purpose: (typeof keyPurposes)[keyof typeof keyPurposes]): boolean => !withdrawn.has(sha256) && keysByDigest.get(sha256)?.purpose === purpose,

		assignmentOf: (pool: string) => assignments.get(pool),
		addressOf: (node: string) => nodes.get(node),
		nodes: (): NodeAddress[] => [...nodes.values()],
		poolOfInstance: (instance: string): string | undefined => placements.get(instance)?.pool ?? catalogue.find('instance', instance)?.pool,

		/** Instances of a pool that planned work keeps from taking requests. */
		excludedOf: (pool: string): string[] => [...placements.values()]
			.filter(placement => placement.work !== undefined || placement.pool !== pool)
			.map(placement => placement.instance),
	};
};
