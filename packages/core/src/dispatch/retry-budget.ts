/** Bounds retries to a fraction of live traffic, so that they cannot feed an overload. */

/** Retries allowed per request. */
const RETRY_RATIO = 0.1;
/** Retries allowed per second whatever the traffic. */
const MIN_RETRIES_PER_SECOND = 1;
/** Most retries that can be saved up. */
const MAX_SAVED = 20;

/** The retry budget of one pool at one entry. */
export type RetryBudget = ReturnType<typeof createRetryBudget>;

/** Creates a budget that is full at the start. */
export const createRetryBudget = (nowMs: number) => {
	let saved = MAX_SAVED / 2;
	let refilledAtMs = nowMs;

	return {
		/** Notes a first attempt. */
		deposit(): void {
			saved = Math.min(MAX_SAVED, saved + RETRY_RATIO);
		},

		/** Takes one retry out; false where none is left. */
		withdraw(atMs: number): boolean {
			saved = Math.min(MAX_SAVED, saved + ((atMs - refilledAtMs) / 1000 * MIN_RETRIES_PER_SECOND));
			refilledAtMs = atMs;
			if (saved < 1) {
				return false;
			}

			saved -= 1;
			return true;
		},
	};
};
