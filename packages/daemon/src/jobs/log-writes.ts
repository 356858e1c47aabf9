/** Reports how long a keeper's writes to the replicated log take: slow ones delay every change, and elections most of all. */
import type {Clock} from '@bronzebend/core';
import type {Log} from '../utils/log.js';
import type {JobMetrics} from './job-metrics.js';

/** Duration from which a write counts as slow, in milliseconds: the two that a vote takes then last as long as the shortest election. */
const SLOW_MS = 250;
/** Interval at which slow writes are logged at most, and for which the slowest one is remembered, in milliseconds. */
const REPORT_MS = 5000;

/** Creates the record of one keeper. */
export const createLogWrites = ({clock, log, metrics}: {clock: Clock; log: Log; metrics: Pick<JobMetrics, 'logWriteSeconds'> | undefined}) => {
	let slow = 0;
	let slowestMs = 0;
	let slowestAtMs = -Infinity;
	let reportedMs = -Infinity;

	return {
		/** Records a write that has just become durable. */
		wrote(tookMs: number): void {
			const nowMs = clock.monotonicMs();
			metrics?.logWriteSeconds.observe(tookMs / 1000);
			if (tookMs >= slowestMs || nowMs - slowestAtMs > REPORT_MS) {
				slowestMs = tookMs;
				slowestAtMs = nowMs;
			}

			slow += tookMs >= SLOW_MS ? 1 : 0;
			if (slow > 0 && nowMs - reportedMs > REPORT_MS) {
				log.warn('Writes to the log are slow.', {writes: slow, slowestMs: Math.round(slowestMs)});
				slow = 0;
				reportedMs = nowMs;
			}
		},

		/** Duration of the slowest write of the last seconds, in milliseconds; 0 if there was none. */
		slowestMs: (): number => (clock.monotonicMs() - slowestAtMs > REPORT_MS ? 0 : Math.round(slowestMs)),
	};
};

/** The record of one keeper's writes. */
export type LogWrites = ReturnType<typeof createLogWrites>;
