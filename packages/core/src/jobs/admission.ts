/**
Admission control for jobs by the backlog of their pool, with which the experiment compares that of `timely-admission.ts`.

Handles overload, where a queue submits more work than its pool can process. Once the pool's backlog
exceeds a limit, jobs are rejected immediately with the time after which the backlog will have
drained, so that callers do not wait for a job that cannot finish in time.
*/
import type {JobStore} from './job-store.js';
import {isOpen, type JobStep} from './job.js';
import type {RunEstimates} from './run-estimates.js';

/** Largest backlog of a pool that accepts jobs: the time that the whole pool needs to process it, in milliseconds. */
const MAX_BACKLOG_MS = 12_000;
/** Shortest retry delay returned to callers, in milliseconds. */
const MIN_RETRY_MS = 250;

/** Waiting work of one pool, in thousandths of a core times milliseconds, and the pool's capacity in thousandths of a core. */
export type Backlog = {coreMs: number; capacityCpu: number | undefined};

/** Work of steps, in thousandths of a core times milliseconds, without lasting ones; `remaining` returns how many work units of a step remain. */
export const coreMsOf = (steps: readonly JobStep[], remaining: (step: number) => number, durationMs: (step: JobStep) => number = ({estimateMs}) => estimateMs): number => steps.reduce((sum, step, number) => sum + (step.lasting ? 0 : remaining(number) * step.resources.cpu * durationMs(step)), 0);

/** Measures the waiting work of each pool, in thousandths of a core times milliseconds. */
export const measureBacklogs = (store: JobStore, estimates: RunEstimates): Map<string, number> => {
	const backlogs = new Map<string, number>();
	for (const job of store.openJobs()) {
		if (!isOpen(job)) {
			continue;
		}

		const {pool} = store.manifest()?.queue(job.order.queue) ?? job.queue;
		const occurrence = job.occurrences[0]!;
		const work = coreMsOf(job.order.steps, step => job.order.steps[step]!.count - occurrence.doneInStep[step]!, ({estimateMs}) => estimates.expectedMs(job.order.queue, estimateMs));
		backlogs.set(pool, (backlogs.get(pool) ?? 0) + work);
	}

	return backlogs;
};

/** Delay in milliseconds after which a caller should retry; undefined if the job is admitted, which includes the time while the pool's capacity is unknown. */
export const retryAfterMs = ({coreMs, capacityCpu}: Backlog): number | undefined => {
	if (capacityCpu === undefined || capacityCpu <= 0) {
		return undefined;
	}

	const drainMs = coreMs / capacityCpu;
	return drainMs <= MAX_BACKLOG_MS ? undefined : Math.max(MIN_RETRY_MS, Math.ceil(drainMs - MAX_BACKLOG_MS));
};
