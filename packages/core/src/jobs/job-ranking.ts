/**
Ranks the jobs of a pool for scheduling.

Handles overload, where a queue submits several times what its pool can run: a job that can still
meet its objective goes before one that cannot, so that a backlog does not make every job late.
*/
import type {ManifestIndex} from './fleet-manifest.js';
import {
	chainMs, type Job, type JobOrder, JobStates, type Occurrence,
} from './job.js';
import type {RunEstimates} from './run-estimates.js';

/** Multiple of its objective beyond which finishing a job sooner brings no further benefit. */
export const LATE_FACTOR = 3;
/** Share of its remaining chain by which a started job may be expected to miss its objective and still count as in time, since estimates are inexact. */
const LATENESS_TOLERANCE = 0.25;
/** Share of its remaining chain that a job which has not started must have as spare time to count as in time; without it, a backlog makes every job slightly late. */
const UNSTARTED_MARGIN = 0.3;

/** Urgency of a job; lower goes first. */
export const Tiers = {
	/** Has a lasting step, and serves users for as long as it runs. */
	lasting: 0,
	/** Can still meet its objective. */
	inTime: 1,
	/** Is late, but still benefits from finishing sooner. */
	late: 2,
	/** Is late, and cannot be served before its result is useless unless jobs with less work are delayed. */
	crowdedOut: 3,
	/** Must finish, but yields to all other jobs. */
	deferrable: 4,
} as const;
export type Tier = (typeof Tiers)[keyof typeof Tiers];

/** A job with its sort keys; times are in milliseconds. */
export type JobRank = {job: Job; tier: Tier; priority: number; dueMs: number; remainingMs: number; objectiveMs: number};

/** The first occurrence of a job that is not done. */
export const currentOccurrence = (job: Job): Occurrence => (job.occurrences.length === 1 ? undefined : job.occurrences.find(each => each.doneInStep.some((done, step) => done < job.order.steps[step]!.count))) ?? job.occurrences[0]!;

/** Expected duration of an order's longest chain of work over the remaining steps, in milliseconds. */
export const expectedChainMs = (order: JobOrder, estimates: RunEstimates, isLeft?: (step: number) => boolean): number => chainMs(order, isLeft, ({estimateMs}) => estimates.expectedMs(order.queue, estimateMs));

/** Expected duration of a job's longest chain of remaining work, in milliseconds. */
export const remainingMs = (job: Job, estimates: RunEstimates): number => {
	const {doneInStep} = currentOccurrence(job);
	return expectedChainMs(job.order, estimates, step => doneInStep[step]! < job.order.steps[step]!.count);
};

/** Objective for the time from a job's acceptance to its end, in milliseconds; by the callers' estimates if no others are given. */
export const objectiveOf = ({order, queue}: Pick<Job, 'order' | 'queue'>, estimates?: RunEstimates): number => (queue.objectiveFactor * (estimates ? expectedChainMs(order, estimates) : chainMs(order))) + queue.objectiveMs;

/** Determines a job's urgency, given its expected remaining time and its objective in milliseconds. */
export const tierOf = (job: Job, nowMs: number, remaining: number, objectiveMs: number): Tier => {
	const waitedMs = nowMs - job.acceptedAtMs;
	if (job.order.steps.some(step => step.lasting)) {
		return Tiers.lasting;
	}

	const hasBegun = job.state !== JobStates.queued;
	if (waitedMs + (remaining * (hasBegun ? 1 - LATENESS_TOLERANCE : 1 + UNSTARTED_MARGIN)) <= objectiveMs) {
		return Tiers.inTime;
	}

	return waitedMs + remaining <= objectiveMs * LATE_FACTOR ? Tiers.late : Tiers.deferrable;
};

/** Determines the rank of one job. */
export const rankJob = (job: Job, nowMs: number, estimates: RunEstimates, manifest: ManifestIndex): JobRank => {
	const remaining = remainingMs(job, estimates);
	const objectiveMs = objectiveOf(job, estimates);
	return {
		job,
		tier: tierOf(job, nowMs, remaining, objectiveMs),
		priority: manifest.queue(job.order.queue)?.priority ?? job.queue.priority,
		dueMs: job.acceptedAtMs + objectiveMs - remaining,
		remainingMs: remaining,
		objectiveMs,
	};
};

/** Compares two ranks; negative where the left one goes first. */
export const compareRanks = (left: JobRank, right: JobRank): number => left.tier - right.tier
	|| left.priority - right.priority
	|| left.dueMs - right.dueMs
	|| left.job.acceptedAtMs - right.job.acceptedAtMs;
