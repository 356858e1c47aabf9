/** What callers' estimates are worth, by queue. */

/** Weight of the latest run in a queue's average. */
const WEIGHT = 0.05;
/** A run counts at most this many times its estimate. */
const MAX_RATIO = 5;

/** Learned estimates. */
export type RunEstimates = ReturnType<typeof createRunEstimates>;

/** Creates the record, in which estimates hold until runs say otherwise. */
export const createRunEstimates = () => {
	const ratios = new Map<string, number>();
	const ratioOf = (queue: string): number => ratios.get(queue) ?? 1;

	return {
		/** A run of a queue took this long. */
		learn(queue: string, estimateMs: number, tookMs: number): void {
			const ratio = Math.min(MAX_RATIO, tookMs / Math.max(1, estimateMs));
			ratios.set(queue, ratioOf(queue) + ((ratio - ratioOf(queue)) * WEIGHT));
		},

		/** Expected duration of a work unit, in milliseconds. */
		expectedMs: (queue: string, estimateMs: number): number => estimateMs * ratioOf(queue),
	};
};
