/**
Orders the jobs of a pool by what a delay costs their callers.

Handles a pool in which work waits for room. A late job gains nothing from an earlier end as long as
its result is still of use, so it yields to jobs that can be in time until waiting longer would make
it useless. Where not all jobs can meet their deadlines, those with the most work are delayed, which
serves the most callers (the rule of Moore and Hodgson).
*/
import TinyQueue from 'tinyqueue';
import {
	compareRanks, LATE_FACTOR, type JobRank, type Tier, Tiers,
} from './job-ranking.js';

/** Time before its latest start from which a late job counts as about to become useless, in milliseconds: about the duration of a step, after which room comes free. */
const URGENT_MS = 500;

/** A ranked job, and the time that the whole pool would need for its remaining work, in milliseconds. */
type RankedWork = {rank: JobRank; workMs: number};

/** Jobs that can meet their deadlines together, the others, and the time that the pool needs for the work up to and including the former. */
type Selection = {kept: RankedWork[]; left: RankedWork[]; usedMs: number};

/** A rank with another tier and due time. Written out: with a spread, the adjusted ranks were a sixth of what a pass over a large backlog allocates. */
const rerank = ({job, priority, remainingMs, objectiveMs}: JobRank, tier: Tier, dueMs: number): JobRank => ({
	job, tier, priority, dueMs, remainingMs, objectiveMs,
});

/** Selects the jobs that the pool can serve by their deadlines, after work that takes `aheadMs`. A job yields to those with less work only within its priority. */
const selectServable = (jobs: readonly RankedWork[], aheadMs: number, nowMs: number): Selection => {
	const left = new Set<RankedWork>();
	let usedMs = aheadMs;
	let priority: number | undefined;
	let kept = new TinyQueue<{job: RankedWork; position: number}>();
	const sorted = jobs.toSorted((one, other) => compareRanks(one.rank, other.rank));
	for (const [position, job] of sorted.entries()) {
		if (job.rank.priority !== priority) {
			priority = job.rank.priority;
			kept = new TinyQueue<{job: RankedWork; position: number}>([], (one, other) => other.job.workMs - one.job.workMs || other.position - one.position);
		}

		kept.push({job, position});
		usedMs += job.workMs;
		const untilDeadlineMs = Math.max(0, job.rank.dueMs + job.rank.remainingMs - nowMs);
		while (!left.has(job) && usedMs - job.workMs > untilDeadlineMs) {
			const largest = kept.pop()!.job;
			left.add(largest);
			usedMs -= largest.workMs;
		}
	}

	return {kept: jobs.filter(job => !left.has(job)), left: [...left], usedMs};
};

/** Adjusts the ranks of the jobs of one pool; `workMsOf` returns the time that the whole pool would need for the remaining work of a job, in milliseconds. */
export const rankByDelayCost = (ranks: readonly JobRank[], workMsOf: (rank: JobRank) => number, nowMs: number): JobRank[] => {
	const latestStartMs = ({job, objectiveMs, remainingMs}: JobRank): number => job.acceptedAtMs + (LATE_FACTOR * objectiveMs) - remainingMs;
	const untilUseless = ({rank, workMs}: RankedWork, tier: Tier): RankedWork => ({rank: rerank(rank, tier, latestStartMs(rank)), workMs});
	const ofTier = (tier: Tier): RankedWork[] => ranks.filter(rank => rank.tier === tier).map(rank => ({rank, workMs: workMsOf(rank)}));

	const lateJobs = ofTier(Tiers.late);
	const isUrgent = ({rank}: RankedWork): boolean => latestStartMs(rank) - nowMs < URGENT_MS;
	const inTime = selectServable([...ofTier(Tiers.inTime), ...lateJobs.filter(job => isUrgent(job)).map(job => untilUseless(job, Tiers.inTime))], 0, nowMs);
	const late = selectServable([...lateJobs.filter(job => !isUrgent(job)), ...inTime.left].map(job => untilUseless(job, Tiers.late)), inTime.usedMs, nowMs);
	return [
		...ranks.filter(({tier}) => tier === Tiers.lasting || tier === Tiers.deferrable),
		...inTime.kept.map(({rank}) => rank),
		...late.kept.map(({rank}) => rank),
		...late.left.map(({rank}) => rerank(rank, Tiers.crowdedOut, rank.dueMs)),
	];
};
