/**
The order in which a pool's jobs get its workers.

Answers the load in which a queue asks for several times what its pool holds: a job that can still
meet its objective goes before one that cannot, so that a backlog does not make everyone late.
*/
import type {ManifestIndex} from './fleet-manifest.js';
import {chainMs, type Job, JobStates} from './job.js';
import type {RunEstimates} from './run-estimates.js';

/** A job this many times past its objective earns nothing more for being early. */
export const LATE_FACTOR = 3;
/** Share of its remaining chain by which a job that has begun may miss and still count as in time; estimates are off. */
const OPTIMISM = 0.25;
/** Share of its chain that a job which has not begun must have in hand; without it a backlog makes everyone just late. */
const PESSIMISM = 0.3;

/** How urgent a job is; lower goes first. */
export const Tiers = {
	/** Serves users for as long as it runs. */
	lasting: 0,
	/** Can still meet its objective. */
	inTime: 1,
	/** Is late and still worth something. */
	late: 2,
	/** Must finish, and may yield to everything else. */
	patient: 3,
} as const;
export type Tier = (typeof Tiers)[keyof typeof Tiers];

/** A job's place in the order. */
export type JobRank = {job: Job; tier: Tier; priority: number; share: number; dueMs: number; remainingMs: number};

/** Work that a job still needs on its longest chain, in milliseconds. */
export const remainingMs = (job: Job, estimates: RunEstimates): number => {
	const occurrence = job.occurrences.find(each => each.doneInStep.some((done, step) => done < job.order.steps[step]!.count)) ?? job.occurrences[0]!;
	return estimates.expectedMs(job.order.queue, chainMs(job.order, step => occurrence.doneInStep[step]! < job.order.steps[step]!.count));
};

/** Time from acceptance in which a job meets its objective, in milliseconds. */
export const objectiveOf = (job: Job): number => (job.queue.objectiveFactor * chainMs(job.order)) + job.queue.objectiveMs;

/** How urgent a job is now. */
export const tierOf = (job: Job, nowMs: number, left: number): Tier => {
	const objectiveMs = objectiveOf(job);
	const waited = nowMs - job.acceptedAtMs;
	if (job.order.steps.some(step => step.lasting)) {
		return Tiers.lasting;
	}

	const hasBegun = job.state !== JobStates.queued;
	if (waited + (left * (hasBegun ? 1 - OPTIMISM : 1 + PESSIMISM)) <= objectiveMs) {
		return Tiers.inTime;
	}

	return waited + left <= objectiveMs * LATE_FACTOR ? Tiers.late : Tiers.patient;
};

/** Ranks one job. */
export const rankJob = (job: Job, nowMs: number, estimates: RunEstimates, shareOf: (workspace: string | undefined) => number, manifest: ManifestIndex): JobRank => {
	const left = remainingMs(job, estimates);
	return {
		job,
		tier: tierOf(job, nowMs, left),
		priority: manifest.queue(job.order.queue)?.priority ?? job.queue.priority,
		share: shareOf(job.order.workspace),
		dueMs: job.acceptedAtMs + objectiveOf(job) - left,
		remainingMs: left,
	};
};

/** Compares two ranks; negative where the left one goes first. */
export const compareRanks = (left: JobRank, right: JobRank): number => left.tier - right.tier
	|| left.priority - right.priority
	|| left.dueMs - right.dueMs
	|| left.job.acceptedAtMs - right.job.acceptedAtMs;
