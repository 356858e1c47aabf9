/** Run times learnt from what was observed; declared ones are not trusted. */

/** Weight of the newest run in the mean. */
const GAIN = 0.05;

/** Creates an empty record of run times. */
export const createRunTimes = () => {
	const means = new Map<string, number>();

	return {
		/** Mean run time of a queue in milliseconds; undefined before the first run. */
		meanMs: (queue: string): number | undefined => means.get(queue),

		observe(queue: string, ranMs: number): void {
			const mean = means.get(queue);
			means.set(queue, mean === undefined ? ranMs : mean + ((ranMs - mean) * GAIN));
		},
	};
};
