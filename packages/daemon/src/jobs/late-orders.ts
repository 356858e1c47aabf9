/**
Orders that are still under way to a life of a worker that is over.

A worker may start again under its ID. It then knows nothing of its earlier life, and accepts orders
that were meant for it: their worker ID matches, and their expiry lies ahead of its new clock. So
before a run that the earlier life never listed is started elsewhere, the worker must have confirmed
a stop of it, after which it rejects the start, and have had the time to end a run that had begun.
*/
import {
	longestLeaseMs, MAX_CALL_DELAY_MS, type Clock, type OrderResult,
} from '@bronzebend/core';
import {pause} from '../utils/pause.js';

/** Pause before a stop is retried, in milliseconds. */
const RETRY_MS = 150;

/**
Resolves when no order under way can start one of the runs any more: each run is stopped and over, another
worker answers at the address, or the longest lease has passed that such an order can be granted.
*/
export const fenceLateStarts = async ({runs, clock, maxLeaseMs, maxStopMs, stop, isCancelled}: {
	runs: ReadonlyArray<{unit: string; attempt: number}>;
	clock: Clock;
	/** Longest lease that a worker grants, in milliseconds. */
	maxLeaseMs: number;
	/** Longest time that a worker takes to end a run after it confirmed a stop, in milliseconds on its clock. */
	maxStopMs: number;
	stop(unit: string, attempt: number): Promise<OrderResult>;
	isCancelled(): boolean;
}): Promise<void> => {
	const untilMs = clock.monotonicMs() + MAX_CALL_DELAY_MS + longestLeaseMs(maxLeaseMs);

	const waitForEnd = async (): Promise<void> => {
		const endMs = clock.monotonicMs() + longestLeaseMs(maxStopMs);
		while (!isCancelled() && clock.monotonicMs() < endMs) {
			// eslint-disable-next-line no-await-in-loop
			await pause(Math.min(RETRY_MS, endMs - clock.monotonicMs()));
		}
	};

	const fence = async (unit: string, attempt: number): Promise<void> => {
		/* eslint-disable no-await-in-loop */
		while (!isCancelled() && clock.monotonicMs() < untilMs) {
			const result = await stop(unit, attempt);
			if (result.type === 'gone') {
				return;
			}

			if (result.type === 'done') {
				return waitForEnd();
			}

			await pause(RETRY_MS);
		}
		/* eslint-enable no-await-in-loop */
	};

	await Promise.all(runs.map(async ({unit, attempt}) => fence(unit, attempt)));
};
