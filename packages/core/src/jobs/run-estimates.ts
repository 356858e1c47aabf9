/** Corrects callers' estimates of durations by the measured durations of each queue's runs. */

/** Weight of the latest run in a queue's moving average. */
const LATEST_RUN_WEIGHT = 0.05;
/** Upper limit on the ratio of measured to estimated duration. */
const MAX_RATIO = 5;

/** Corrected estimates of durations. */
export type RunEstimates = ReturnType<typeof createRunEstimates>;

/** Creates the estimates, uncorrected until runs are recorded. */
export const createRunEstimates = () => {
	const ratios = new Map<string, number>();
	const ratioOf = (queue: string): number => ratios.get(queue) ?? 1;

	return {
		/** Records the measured duration of a queue's run, in milliseconds. */
		recordRun(queue: string, estimateMs: number, tookMs: number): void {
			const ratio = Math.min(MAX_RATIO, tookMs / Math.max(1, estimateMs));
			ratios.set(queue, ratioOf(queue) + ((ratio - ratioOf(queue)) * LATEST_RUN_WEIGHT));
		},

		/** Corrects an estimated duration, in milliseconds. */
		expectedMs: (queue: string, estimateMs: number): number => estimateMs * ratioOf(queue),
	};
};
