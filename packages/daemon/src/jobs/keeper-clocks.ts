/** The leader's readings of other keepers' clocks, with which calls that they relay carry an expiry on the receiver's clock. */
import type {Clock} from '@bronzebend/core';
import type {ClockReading} from '@bronzebend/wire';

/** Age of a reading after which a newer one replaces it in any case, in milliseconds; bounds the drift between two clocks. */
const MAX_READING_AGE_MS = 5000;

type Offset = {process: string; offsetMs: number; readMs: number};

/** Creates the readings of one term, empty. */
export const createKeeperClocks = (clock: Clock) => {
	const offsets = new Map<string, Offset>();

	return {
		/** Takes a reading that was received now. A reading was taken earlier than it arrives, so the largest offset is the closest. */
		read(keeper: string, {process, clockMs}: ClockReading): void {
			const nowMs = clock.monotonicMs();
			const offsetMs = clockMs - nowMs;
			const known = offsets.get(keeper);
			if (known?.process !== process || offsetMs >= known.offsetMs || nowMs - known.readMs > MAX_READING_AGE_MS) {
				offsets.set(keeper, {process, offsetMs, readMs: nowMs});
			}
		},

		isKnown: (keeper: string): boolean => offsets.has(keeper),

		/** The least that a keeper's clock can show now; undefined before its first reading. */
		least(keeper: string): ClockReading | undefined {
			const known = offsets.get(keeper);
			return known && {process: known.process, clockMs: clock.monotonicMs() + known.offsetMs};
		},
	};
};
