/** The fleet manifest that operators publish for jobs: queues, pools and workspaces. */
import {BronzebendError} from '../utils/errors.js';
import {groupBy} from '../utils/group-by.js';

/** An amount of machine resources; `cpu` is in thousandths of a core. */
export type Resources = {cpu: number; memoryMb: number; gpu: number};

/** No resources at all. */
export const NO_RESOURCES: Resources = {cpu: 0, memoryMb: 0, gpu: 0};

/** Timing of the requests for advice on which workers a queue's policy allows, in milliseconds. */
export type Recommendation = {decisionMs: number; periodMs: number; validityMs: number};

/** A queue: the address where callers submit jobs, and the pool that runs them. */
export type JobQueue = {
	name: string;
	host: string;
	pathPrefix: string;
	pool: string;
	/** 0 is the most urgent. */
	priority: number;
	/** Number of failed runs of one work unit at which its job fails. */
	maxAttempts: number;
	/** The objective for a job's duration is this factor times its longest chain of work, plus `objectiveMs`. */
	objectiveFactor: number;
	/** Constant part of the objective, in milliseconds. */
	objectiveMs: number;
	timeoutMs: number;
	/** Accepts jobs without a key. */
	open: boolean;
	recommendation?: Recommendation;
};

/** A pool of machines. */
export type JobPool = {
	name: string;
	/** Workers reject runs that exceed their free capacity. */
	guardsCapacity: boolean;
	/** Its machines are switched off. */
	standby: boolean;
};

/** A workspace: the owner of jobs, with its API keys, its weight and its resource limit. */
export type JobWorkspace = {
	name: string;
	keys: string[];
	weight: number;
	/** Limit on the resources of its running work over all workers; 0 means no limit. */
	cap: Resources;
};

/** The complete manifest of one version. */
export type FleetManifest = {
	version: number;
	queues: JobQueue[];
	pools: JobPool[];
	workspaces: JobWorkspace[];
	maxBodyBytes: number;
	/** The document as the operator sent it, returned unchanged on reads. */
	document: string;
};

/** Thrown when a manifest is inconsistent or contains invalid values. */
export class ManifestError extends BronzebendError {
	override readonly name = 'ManifestError';

	constructor(faults: readonly string[]) {
		super('manifest-invalid', `Cannot accept the manifest: ${faults.join('; ')}.`, {faults});
	}
}

const findDuplicates = (values: readonly string[]): string[] => {
	const seen = new Set<string>();
	return values.filter(value => {
		const isDuplicate = seen.has(value);
		seen.add(value);
		return isDuplicate;
	});
};

/**
Validates a manifest, including the references between its parts.

@throws {ManifestError} If the manifest is invalid; lists every fault.
*/
export const checkManifest = (manifest: FleetManifest): void => {
	const pools = new Set(manifest.pools.map(pool => pool.name));
	const faults = [
		...manifest.queues.filter(queue => !pools.has(queue.pool)).map(queue => `queue ${queue.name} refers to the unknown pool ${queue.pool}`),
		...manifest.queues.filter(queue => queue.timeoutMs <= 0).map(queue => `queue ${queue.name} needs a timeout above 0 ms`),
		...findDuplicates(manifest.queues.map(queue => `${queue.host}${queue.pathPrefix}`)).map(address => `two queues share the address ${address}`),
		...findDuplicates(manifest.queues.map(queue => queue.name)).map(name => `two queues are named ${name}`),
		...findDuplicates(manifest.pools.map(pool => pool.name)).map(name => `two pools are named ${name}`),
		...findDuplicates(manifest.workspaces.map(workspace => workspace.name)).map(name => `two workspaces are named ${name}`),
		...findDuplicates(manifest.workspaces.flatMap(workspace => [...new Set(workspace.keys)])).map(() => 'two workspaces share a key'),
		...manifest.workspaces.filter(workspace => workspace.weight <= 0).map(workspace => `workspace ${workspace.name} needs a weight above 0`),
	];
	if (faults.length > 0) {
		throw new ManifestError(faults);
	}
};

/** Look-ups by name, address and key in one manifest. */
export type ManifestIndex = ReturnType<typeof createManifestIndex>;

/** Creates the look-ups for a manifest. */
export const createManifestIndex = (manifest: FleetManifest) => {
	const byHost = groupBy(manifest.queues, queue => queue.host.toLowerCase());
	for (const queues of byHost.values()) {
		queues.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length);
	}

	const byKey = new Map(manifest.workspaces.flatMap(workspace => workspace.keys.map(key => [key, workspace] as const)));
	const byName = new Map(manifest.queues.map(queue => [queue.name, queue]));
	const workspaces = new Map(manifest.workspaces.map(workspace => [workspace.name, workspace]));
	const pools = new Map(manifest.pools.map(pool => [pool.name, pool]));

	return {
		manifest,
		hasPool: (name: string): boolean => pools.has(name),
		/** Queue of a host whose path prefix is the longest match; undefined if none matches. */
		route: (host: string, path: string): JobQueue | undefined => byHost.get(host.toLowerCase())?.find(queue => path.startsWith(queue.pathPrefix)),
		queue: (name: string): JobQueue | undefined => byName.get(name),
		pool: (name: string): JobPool | undefined => pools.get(name),
		workspace: (name: string): JobWorkspace | undefined => workspaces.get(name),
		workspaceOfKey: (key: string): JobWorkspace | undefined => byKey.get(key),
	};
};
