/** Limits retries to a fraction of the live traffic, so that they do not amplify an overload. */

/** Retries allowed per request. */
const RETRY_RATIO = 0.1;
/** Retries allowed per second regardless of the traffic. */
const MIN_RETRIES_PER_SECOND = 1;
/** Maximum number of unused retries that are carried over. */
const MAX_SAVED_RETRIES = 20;

/** The retry budget of one pool at one entry. */
export type RetryBudget = ReturnType<typeof createRetryBudget>;

/** Creates a budget that is half full at the start. */
export const createRetryBudget = (nowMs: number) => {
	let balance = MAX_SAVED_RETRIES / 2;
	let refilledAtMs = nowMs;

	return {
		/** Adds the retry allowance of one first attempt. */
		deposit(): void {
			balance = Math.min(MAX_SAVED_RETRIES, balance + RETRY_RATIO);
		},

		/** Uses one retry; returns false if none is left. */
		withdraw(atMs: number): boolean {
			balance = Math.min(MAX_SAVED_RETRIES, balance + ((atMs - refilledAtMs) / 1000 * MIN_RETRIES_PER_SECOND));
			refilledAtMs = atMs;
			if (balance < 1) {
				return false;
			}

			balance -= 1;
			return true;
		},
	};
};
