/** What the planner knows of the fleet's health and demand. */

/** Evidence about one pool, from its dispatcher. */
export type PoolEvidence = {
	/** When the dispatcher said so, in wall milliseconds. */
	atMs: number;
	/** Instances that are out without a plan: silent, ejected or unhealthy. */
	out: ReadonlySet<string>;
	/** Instances in planned work on which nothing of the pool can be running. */
	drained: ReadonlySet<string>;
	/** Instances in planned work that announce themselves as healthy. */
	ready: ReadonlySet<string>;
	/** Slots that the teams could use now: running and waiting. */
	demand: number;
};

/** What the platform says of one work. */
export type PlatformWork = 'unknown' | 'accepted' | 'done';

/** Evidence older than this counts for nothing: every instance of the pool is taken as out. */
export const EVIDENCE_LEASE_MS = 3000;
