/**
What workers have said about the beginning of jobs, as far as it is not in the replicated state yet.

A recorded start says only what the leader means to do: the worker may be silent, or reject it. Callers are shown
a job as begun once a worker has confirmed or listed one of its runs. A new leader learns of it from the workers'
lists, as its predecessor may not have recorded all of it.
*/
import {
	isOpen, type Job, type JobState, JobStates, jobOfUnit,
} from './job.js';
import type {JobStore} from './job-store.js';

/** Jobs that have begun by the word of a worker, of one leader's term. */
export type BegunJobs = ReturnType<typeof createBegunJobs>;

/** Creates the record of one term. */
export const createBegunJobs = (store: JobStore) => {
	const begun = new Set<string>();

	const hasBegun = (job: Job): boolean => job.hasBegun || begun.has(job.order.id);

	return {
		/** Records that a worker confirmed or listed a run of a work unit. */
		runSeen(unit: string): void {
			const id = jobOfUnit(unit);
			if (store.job(id)?.hasBegun === false) {
				begun.add(id);
			}
		},

		/** Jobs that have begun and are not recorded as such. */
		unrecorded(): string[] {
			for (const id of begun) {
				if (store.job(id)?.hasBegun !== false) {
					begun.delete(id);
				}
			}

			return [...begun];
		},

		/** State of a job as reported to callers. */
		stateOf: (job: Job): JobState => (isOpen(job) ? (hasBegun(job) ? JobStates.running : JobStates.queued) : job.state),

		/** Number of accepted jobs of a queue of which no work unit has started. */
		pending: (queue: string): number => store.pending(queue).filter(job => !hasBegun(job)).length,
	};
};
