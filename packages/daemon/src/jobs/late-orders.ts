/**
Orders that are still under way to a life of a worker that is over.

A worker may start again under its ID. It then knows nothing of its earlier life, and accepts orders
that were meant for it: their worker ID matches, and their expiry lies ahead of its new clock. So
before a run that the earlier life never listed is started elsewhere, the worker must have confirmed
a stop of it, after which it rejects the start.
*/
import type {Clock, OrderResult, WorkerTrack} from '@bronzebend/core';
import {pause} from '../utils/pause.js';

/** Pause before a stop is retried, in milliseconds. */
const RETRY_MS = 150;

/**
Resolves when no order under way can start a run of the track any more: each run that was never
listed is stopped, another worker answers at the address, or `untilMs` has passed on the clock.
*/
export const fenceLateStarts = async ({track, clock, untilMs, stop, isCancelled}: {
	track: WorkerTrack;
	clock: Clock;
	/** Time from which on no run can be active that an order under way has started. */
	untilMs: number;
	stop(unit: string, attempt: number): Promise<OrderResult>;
	isCancelled(): boolean;
}): Promise<void> => {
	const fence = async (unit: string, attempt: number): Promise<void> => {
		/* eslint-disable no-await-in-loop */
		while (!isCancelled() && clock.monotonicMs() < untilMs) {
			const result = await stop(unit, attempt);
			if (result.type === 'done' || result.type === 'gone') {
				return;
			}

			await pause(RETRY_MS);
		}
		/* eslint-enable no-await-in-loop */
	};

	const unlisted = [...track.runs].filter(([, run]) => !run.isListed);
	await Promise.all(unlisted.map(async ([unit, run]) => fence(unit, run.attempt)));
};
