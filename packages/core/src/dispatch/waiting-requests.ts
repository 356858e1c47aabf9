/** The requests that wait for a ticket of one pool, by ID. Their order is the scheduler's. */
import type {FifoSlot} from '../utils/fifo.js';
import type {DispatchQueue} from './dispatch-events.js';
import type {QueuedRequest, TeamScheduler} from './team-scheduler.js';
import {LOST_AFTER_REPORTS} from './ticket-store.js';

type Waiting = {slot: FifoSlot<QueuedRequest>; reportSeq: number};

/** Waiting requests of one pool. */
export type WaitingRequests = ReturnType<typeof createWaitingRequests>;

/** Creates an empty set. */
export const createWaitingRequests = (scheduler: TeamScheduler) => {
	const waiting = new Map<string, Waiting>();

	const cancel = (requestId: string): void => {
		const item = waiting.get(requestId);
		if (item) {
			scheduler.cancel(item.slot);
			waiting.delete(requestId);
		}
	};

	return {
		has: (requestId: string): boolean => waiting.has(requestId),

		/** Adds a request that its entry has sent after its report `reportSeq`. */
		add(request: QueuedRequest, queue: DispatchQueue, reportSeq: number): void {
			const slot = scheduler.enqueue(request, queue);
			waiting.set(request.requestId, {slot, reportSeq});
		},

		/** Forgets a request that has a ticket now. */
		started(requestId: string): void {
			waiting.delete(requestId);
		},

		cancel,

		/** Cancels the requests that an entry no longer lists in its report `seq`. */
		cancelUnlisted(entry: string, seq: number, listed: ReadonlySet<string>): void {
			for (const [requestId, {slot, reportSeq}] of waiting) {
				if (slot.value.entry === entry && !listed.has(requestId) && reportSeq <= seq - LOST_AFTER_REPORTS) {
					cancel(requestId);
				}
			}
		},

		/** Cancels all requests of an entry that has gone silent. */
		cancelAllOf(entry: string): void {
			for (const [requestId, {slot}] of waiting) {
				if (slot.value.entry === entry) {
					cancel(requestId);
				}
			}
		},
	};
};
