/** What the caller of a simulated job got. */
import {
	isOpen, LATE_FACTOR, objectiveOf, type Job,
} from '@bronzebend/core';
import type {Load, SimulatedJob} from './load.js';

/** Outcome of one job; `past-use` is beyond three times its objective. */
export type JobResult = {job: SimulatedJob; outcome: 'in-objective' | 'late' | 'past-use' | 'refused' | 'failed' | 'unfinished'; waitMs: number; refusals: number};

/** What the caller of a job got; `past-use` only counts where a load is irregular. */
export const outcomeOf = (played: SimulatedJob, job: Job | undefined, load: Load): JobResult['outcome'] => {
	if (!job || job.state === 'failed') {
		return job ? 'failed' : 'refused';
	}

	if (isOpen(job)) {
		return job.order.steps.some(step => step.lasting) ? 'in-objective' : 'unfinished';
	}

	// The store keeps no steps of a job that has ended, so the objective follows from the order that was played.
	const ratio = (job.endedAtMs - played.atMs) / (played.objectiveMs ?? objectiveOf({order: played.order, queue: job.queue}));
	return ratio <= 1 ? 'in-objective' : (ratio <= LATE_FACTOR || !load.irregular ? 'late' : 'past-use');
};
