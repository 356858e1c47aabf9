/** Evidence that planning is based on: health and demand reported by dispatchers, and work state reported by the platform. */

/** Evidence about one pool, from its dispatcher. */
export type PoolEvidence = {
	/** When the dispatcher reported it, in milliseconds of the wall clock. */
	atMs: number;
	/** Instances that are out without a plan: silent, ejected or unhealthy. */
	out: ReadonlySet<string>;
	/** Instances in planned work on which nothing of the pool can be running. */
	drained: ReadonlySet<string>;
	/** Instances in planned work that announce themselves as healthy. */
	ready: ReadonlySet<string>;
	/** Slots that the teams could use now, for running and waiting requests. */
	demand: number;
};

/** State of one piece of planned work as the platform reports it. */
export type PlatformWorkState = 'unknown' | 'accepted' | 'done';

/** Age above which a pool's evidence is stale, in milliseconds. Stale evidence counts as if every instance of the pool were out, so none may be taken out. */
export const EVIDENCE_LEASE_MS = 3000;
