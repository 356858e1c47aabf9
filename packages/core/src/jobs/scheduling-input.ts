/** What a scheduling pass is told of jobs, workers and limits. */
import type {AvoidedLives} from './avoided-lives.js';
import type {ManifestIndex, Resources} from './fleet-manifest.js';
import type {IdleTimes} from './idle-times.js';
import type {JobStore} from './job-store.js';
import type {Job} from './job.js';
import type {JobRank} from './job-ranking.js';
import type {RunEstimates} from './run-estimates.js';

/** A worker that accepts work now. */
export type SchedulableWorker = {life: string; id: string; pool: string; capacity: Resources; labels: string[]; slowness: number};

/** Input of one scheduling pass. */
export type SchedulingInput = {
	store: JobStore;
	manifest: ManifestIndex;
	workers: readonly SchedulableWorker[];
	/** Workers under suspicion, which only take work that waits for no lack of capacity. */
	suspects?: readonly SchedulableWorker[];
	/** When work last stopped running; without it no suspect is tried. */
	idleTimes?: Pick<IdleTimes, 'ofJob' | 'ofUnit'>;
	estimates: RunEstimates;
	wallMs: number;
	/** Returns the lives on which a work unit failed. */
	avoided: (unit: string) => AvoidedLives | undefined;
	/** Returns the lives that a step's policy is known to approve; undefined if the queue has no policy, or while nothing is known. */
	approved: (job: Job, occurrence: number, step: number) => ReadonlySet<string> | undefined;
	/** Returns for how long a life has run a work unit, in milliseconds; undefined if that is unknown, as for the runs of an earlier leader. */
	ranMs?: (life: string, unit: string) => number | undefined;
	/** Upper limit on runs started in one pass, shared by all pools; a gang that begins below it, or below its pool's guaranteed part, starts whole. */
	maxStarts: number;
	/** Order of jobs; by default that of `compareRanks`. */
	compare?: (left: JobRank, right: JobRank) => number;
	/** Order of jobs in a pool that is short of room: by the cost of a delay, which is the default, or by `compareRanks` as in other pools. */
	order?: 'delay-cost' | 'tiers';
};
