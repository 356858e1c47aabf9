/** Mean run times of requests by queue, from observed runs; declared run times are not trusted. */

/** Weight of the newest run in the moving average. */
const RUN_TIME_GAIN = 0.05;

/** Run times of one pool. */
export type RunTimes = ReturnType<typeof createRunTimes>;

/** Creates an empty set of run times. */
export const createRunTimes = () => {
	const means = new Map<string, number>();

	return {
		/** Mean run time of a queue in milliseconds; undefined before the first run. */
		meanMs: (queue: string): number | undefined => means.get(queue),

		observe(queue: string, ranMs: number): void {
			const mean = means.get(queue);
			means.set(queue, mean === undefined ? ranMs : mean + ((ranMs - mean) * RUN_TIME_GAIN));
		},
	};
};
