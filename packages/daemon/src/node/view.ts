/** A node's copy of the cluster's configuration, with the lease until which the node may rely on it. */
import {
	applyDelta, createCatalogue, type keyPurposes,
	type Assignment, type Catalogue, type DataCentreEvacuation, type EvacuatedInstances, type Key, type Placement, type Queue,
} from '@bronzebend/core';
import type {HeartbeatReply, NodeAddress} from '@bronzebend/wire';

/** One list for all views without evacuations, so that these are recognized as equal. */
const noEvacuations: readonly DataCentreEvacuation[] = [];

/** A node's view of the cluster. */
export type View = ReturnType<typeof createView>;

/** Creates an empty view, which is not fresh. */
export const createView = () => {
	let version = 0;
	let catalogue: Catalogue = createCatalogue([]);
	let withdrawn = new Set<string>();
	let clusterVersion = '';
	let assignments = new Map<string, Assignment>();
	let nodes = new Map<string, NodeAddress>();
	let placements = new Map<string, Placement>();
	let evacuations = noEvacuations;
	let leaseUntilMs = -Infinity;
	let lastSeq = -1;
	let queuesByPrefix: Queue[] = [];
	let keysByDigest = new Map<string, Key>();
	let confirmed = false;

	const rebuildIndexes = (): void => {
		queuesByPrefix = [...catalogue.list('queue')].sort((left, right) => right.prefix.length - left.prefix.length);
		keysByDigest = new Map(catalogue.list('key').map(key => [key.sha256, key]));
	};

	const applyUpdate = (update: NonNullable<HeartbeatReply['view']>): void => {
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
		rebuildIndexes();
	};

	const poolOfInstance = (instance: string): string | undefined => placements.get(instance)?.pool ?? catalogue.find('instance', instance)?.pool;

	return {
		version: () => version,
		clusterVersion: () => clusterVersion,
		catalogue: () => catalogue,

		/** Applies a reply of the leader. Returns what changed, or undefined if a later reply was applied before. */
		applyReply(reply: HeartbeatReply): {view: boolean; cluster: boolean} | undefined {
			if (reply.seq <= lastSeq) {
				return undefined;
			}

			lastSeq = reply.seq;
			const previousVersion = version;
			if (reply.view) {
				applyUpdate(reply.view);
			}

			if (reply.cluster) {
				clusterVersion = reply.cluster.version;
				assignments = new Map(reply.cluster.assignments.map(assignment => [assignment.pool, assignment]));
				nodes = new Map(reply.cluster.nodes.map(address => [address.node, address]));
				placements = new Map(reply.cluster.placements.map(placement => [placement.instance, placement]));
				evacuations = reply.cluster.evacuations ?? noEvacuations;
			}

			// The lease covers only the version that the leader granted it for; an older view must not use it.
			if (version === reply.viewVersion) {
				confirmed = true;
				leaseUntilMs = Math.max(leaseUntilMs, reply.sentAtMs + reply.leaseMs);
			}

			return {view: version !== previousVersion, cluster: reply.cluster !== undefined};
		},

		/** Whether the view's lease is still valid. */
		isFresh: (nowMs: number): boolean => confirmed && nowMs < leaseUntilMs,

		/** Returns the queue whose prefix is the longest one that matches the path at a segment boundary. */
		queueOfPath: (path: string): Queue | undefined => queuesByPrefix.find(({prefix}) => path === prefix || path.startsWith(prefix.endsWith('/') ? prefix : `${prefix}/`)),

		/** Returns the key with this secret's digest, unless it was withdrawn. */
		findKey: (sha256: string): Key | undefined => (withdrawn.has(sha256) ? undefined : keysByDigest.get(sha256)),

		/** Whether a key exists, has this purpose and was not withdrawn. */
		isKeyGood: (sha256: string, purpose: (typeof keyPurposes)[keyof typeof keyPurposes]): boolean => !withdrawn.has(sha256) && keysByDigest.get(sha256)?.purpose === purpose,

		assignmentOf: (pool: string) => assignments.get(pool),
		addressOf: (node: string) => nodes.get(node),
		nodes: (): NodeAddress[] => [...nodes.values()],
		poolOfInstance,
		evacuations: () => evacuations,

		/** Returns the evacuated data centres, each with the instances of this pool that are declared there. */
		evacuatedOf: (pool: string): EvacuatedInstances[] => evacuations.map(({dataCentre}) => ({
			dataCentre,
			instances: catalogue.list('instance').filter(instance => instance.dataCentre === dataCentre && poolOfInstance(instance.name) === pool).map(instance => instance.name),
		})),

		/** Returns placed instances that must not take requests of this pool: they are in planned work or placed in another pool. */
		excludedOf: (pool: string): string[] => [...placements.values()]
			.filter(placement => placement.work !== undefined || placement.pool !== pool)
			.map(placement => placement.instance),
	};
};
