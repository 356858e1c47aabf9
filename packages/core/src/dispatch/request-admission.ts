/** Decides whether a new request may wait for a ticket, or is refused at once: its queue is full, or it would not start in time. */
import type {DispatchQueue} from './dispatch-events.js';
import {refusalReasons, type RefusalReason, type WaitingRequest} from './requests.js';
import type {RunTimes} from './run-times.js';
import type {TeamScheduler} from './team-scheduler.js';

/** Why a request is refused, and the time after which it may be tried again, in milliseconds; undefined without an estimate. */
export type Refusal = {reason: RefusalReason; retryAfterMs: number | undefined};

/** Creates the decision for one pool. */
export const createRequestAdmission = ({scheduler, runTimes}: {scheduler: TeamScheduler; runTimes: RunTimes}) => {
	/** Expected wait of a new request in milliseconds, from its team's share and the observed run times; 0 if unknown. */
	const expectedWaitMs = (request: WaitingRequest): number => {
		const share = scheduler.shareOf(request.team);
		const runMs = runTimes.meanMs(request.queue);
		if (share <= 0 || runMs === undefined || scheduler.runningOf(request.team) < share) {
			return 0;
		}

		return (scheduler.waitingOf(request.team) + 1) * runMs / share;
	};

	return {
		/** Returns why a request may not wait in its queue; undefined if it may. */
		refusalOf(request: WaitingRequest, queue: DispatchQueue): Refusal | undefined {
			if (scheduler.waitingOf(request.team) >= queue.maxWaiting) {
				return {reason: refusalReasons.queueFull, retryAfterMs: runTimes.meanMs(request.queue)};
			}

			const waitMs = expectedWaitMs(request);
			return waitMs > request.deadlineMs ? {reason: refusalReasons.wouldMissDeadline, retryAfterMs: waitMs - request.deadlineMs} : undefined;
		},
	};
};
