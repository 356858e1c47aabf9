/** What operators publish for jobs: queues, pools and workspaces, checked as a whole. */
import {BronzebendError} from '../utils/errors.js';
import {groupBy} from '../utils/group-by.js';

/** An amount of machine resources; `cpu` is in thousandths of a core. */
export type Resources = {cpu: number; memoryMb: number; gpu: number};

/** No resources at all. */
export const NO_RESOURCES: Resources = {cpu: 0, memoryMb: 0, gpu: 0};

/** How a queue asks which workers its policy allows. */
export type Recommendation = {decisionMs: number; periodMs: number; validityMs: number};

/** A queue: where callers hand jobs in, and the pool that runs them. */
export type JobQueue = {
	name: string;
	host: string;
	pathPrefix: string;
	pool: string;
	/** 0 is the most urgent. */
	priority: number;
	/** Runs of one work unit that may end failed. */
	maxAttempts: number;
	/** The objective is this many times a job's longest chain of work… */
	objectiveFactor: number;
	/** …and this much more, in milliseconds. */
	objectiveMs: number;
	timeoutMs: number;
	/** Takes jobs without a key. */
	open: boolean;
	recommendation?: Recommendation;
};

/** A pool of machines. */
export type JobPool = {
	name: string;
	/** Workers reject what does not fit. */
	guardsCapacity: boolean;
	/** Its machines are switched off. */
	standby: boolean;
};

/** A workspace: who pays for jobs, with its keys, its share and its upper limit. */
export type JobWorkspace = {
	name: string;
	keys: string[];
	weight: number;
	/** What it may have running over all workers; 0 is no limit. */
	cap: Resources;
};

/** Everything that is in force at one version. */
export type FleetManifest = {
	version: number;
	queues: JobQueue[];
	pools: JobPool[];
	workspaces: JobWorkspace[];
	maxBodyBytes: number;
	/** The document as the operator sent it, to be read back unchanged. */
	document: string;
};

/** A manifest that contradicts itself. */
export class ManifestError extends BronzebendError {
	override readonly name = 'ManifestError';

	constructor(faults: readonly string[]) {
		super('manifest-invalid', `Cannot accept the manifest: ${faults.join('; ')}.`, {faults});
	}
}

const repeated = (values: readonly string[]): string[] => {
	const seen = new Set<string>();
	return values.filter(value => {
		const isRepeated = seen.has(value);
		seen.add(value);
		return isRepeated;
	});
};

/**
Checks a manifest as a whole.

@throws {ManifestError} Lists every fault.
*/
export const checkManifest = (manifest: FleetManifest): void => {
	const pools = new Set(manifest.pools.map(pool => pool.name));
	const faults = [
		...manifest.queues.filter(queue => !pools.has(queue.pool)).map(queue => `queue ${queue.name} names the unknown pool ${queue.pool}`),
		...manifest.queues.filter(queue => queue.timeoutMs <= 0).map(queue => `queue ${queue.name} has no timeout`),
		...repeated(manifest.queues.map(queue => `${queue.host}${queue.pathPrefix}`)).map(place => `two queues share ${place}`),
		...repeated(manifest.queues.map(queue => queue.name)).map(name => `two queues are named ${name}`),
		...repeated(manifest.pools.map(pool => pool.name)).map(name => `two pools are named ${name}`),
		...repeated(manifest.workspaces.map(workspace => workspace.name)).map(name => `two workspaces are named ${name}`),
		...repeated(manifest.workspaces.flatMap(workspace => [...new Set(workspace.keys)])).map(() => 'two workspaces share a key'),
		...manifest.workspaces.filter(workspace => workspace.weight <= 0).map(workspace => `workspace ${workspace.name} has no weight`),
	];
	if (faults.length > 0) {
		throw new ManifestError(faults);
	}
};

/** Looks up queues and keys of one manifest. */
export type ManifestIndex = ReturnType<typeof createManifestIndex>;

/** Builds the look-ups. */
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
		/** The queue with the longest prefix of a path; undefined where there is none. */
		route: (host: string, path: string): JobQueue | undefined => byHost.get(host.toLowerCase())?.find(queue => path.startsWith(queue.pathPrefix)),
		queue: (name: string): JobQueue | undefined => byName.get(name),
		pool: (name: string): JobPool | undefined => pools.get(name),
		workspace: (name: string): JobWorkspace | undefined => workspaces.get(name),
		workspaceOfKey: (key: string): JobWorkspace | undefined => byKey.get(key),
	};
};
