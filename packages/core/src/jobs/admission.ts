/**
Which jobs are turned away.

Answers the load in which a queue asks for more than its pool can work off: past a bounded backlog
a job is rejected at once, with the time in which the backlog will have drained, so that callers
need not wait for an answer that cannot come.
*/
import type {JobBook} from './job-book.js';
import {isOpen, type JobStep} from './job.js';
import type {RunEstimates} from './run-estimates.js';

/** Work that may wait in a pool, as the time that the whole pool needs for it, in milliseconds. */
const MAX_BACKLOG_MS = 12_000;
/** Shortest time to come back, in milliseconds. */
const MIN_RETRY_MS = 250;

/** Work that waits and what works it off, for one pool. */
export type Backlog = {coreMs: number; capacityCpu: number | undefined};

/** Work of some steps, in thousandths of a core times milliseconds. */
export const workOf = (steps: readonly JobStep[], left: (step: number) => number): number => steps.reduce((sum, step, number) => sum + (step.lasting ? 0 : left(number) * step.resources.cpu * step.estimateMs), 0);

/** Backlog of every pool. */
export const measureBacklogs = (book: JobBook, estimates: RunEstimates): Map<string, number> => {
	const backlogs = new Map<string, number>();
	for (const job of book.openJobs()) {
		if (!isOpen(job)) {
			continue;
		}

		const {pool} = book.manifest()?.queue(job.order.queue) ?? job.queue;
		const occurrence = job.occurrences[0]!;
		const work = workOf(job.order.steps, step => job.order.steps[step]!.count - occurrence.doneInStep[step]!);
		backlogs.set(pool, (backlogs.get(pool) ?? 0) + estimates.expectedMs(job.order.queue, work));
	}

	return backlogs;
};

/** Time after which a caller should come back; undefined where the job may come in, also while nobody knows what the pool holds. */
export const retryAfterMs = ({coreMs, capacityCpu}: Backlog): number | undefined => {
	if (capacityCpu === undefined || capacityCpu <= 0) {
		return undefined;
	}

	const drainMs = coreMs / capacityCpu;
	return drainMs <= MAX_BACKLOG_MS ? undefined : Math.max(MIN_RETRY_MS, Math.ceil(drainMs - MAX_BACKLOG_MS));
};
