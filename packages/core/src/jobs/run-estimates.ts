/**
Expects durations of runs by callers' estimates and by the measured durations of each queue's runs.

Handles estimates that are far off: the less they tell of the durations in a queue, the closer all
its expected durations are to each other. The measure is a linear regression between the logarithms
of both, since errors of estimates are factors.
*/

/** Runs after which older ones count for less; many, since the work units of one step are alike. */
const MEMORY_RUNS = 1000;
/** Number of runs for which the assumption counts that estimates are right. */
const ASSUMED_RUNS = 4;
/** Variance of the logarithms of the assumed runs' estimates. */
const ASSUMED_VARIANCE = 0.25;
/** Factor by which a run counts at most as longer or shorter than expected: estimates err by up to 10. Without it, one run of 10 hours in a new queue makes 28 hours of 500 ms. */
const MAX_DEVIATION = 10;
const MAX_OFFSET = Math.log(MAX_DEVIATION);
/** Increase of the mean for each unit of variance of the logarithm, if all runs are at this bound. */
const SPREAD_AT_BOUND = (Math.cosh(MAX_OFFSET) - 1) / (MAX_OFFSET ** 2);
/** Largest duration, about 30 years: callers may send any number, and sums over jobs must stay finite. */
const MAX_DURATION_MS = 1e12;

/** Means, variances and covariance of the logarithms of estimated (x) and measured (y) durations of a queue's runs. */
type Regression = {runs: number; meanX: number; meanY: number; varianceX: number; varianceY: number; covariance: number};

/** Expected durations. */
export type RunEstimates = ReturnType<typeof createRunEstimates>;

const logOf = (durationMs: number): number => Math.log(Math.max(1, Math.min(MAX_DURATION_MS, durationMs)));

const slopeOf = ({covariance, varianceX}: Regression): number => Math.max(0, Math.min(1, covariance / varianceX));

/** Logarithm of the expected duration, without the allowance for the spread about it. */
const lineAt = (regression: Regression, x: number): number => regression.meanY + (slopeOf(regression) * (x - regression.meanX));

/** Adds a run; the latest ones count for more once there are many. */
const addRun = (regression: Regression, x: number, tookMs: number): void => {
	const line = lineAt(regression, x);
	const y = Math.max(line - MAX_OFFSET, Math.min(line + MAX_OFFSET, logOf(tookMs)));
	regression.runs = Math.min(MEMORY_RUNS, regression.runs + 1);
	const weight = 1 / regression.runs;
	const offsetX = x - regression.meanX;
	const offsetY = y - regression.meanY;
	regression.meanX += weight * offsetX;
	regression.meanY += weight * offsetY;
	regression.varianceX = (1 - weight) * (regression.varianceX + (weight * offsetX * offsetX));
	regression.varianceY = (1 - weight) * (regression.varianceY + (weight * offsetY * offsetY));
	regression.covariance = (1 - weight) * (regression.covariance + (weight * offsetX * offsetY));
};

/** Creates the estimates, which are taken as they are until runs are recorded. */
export const createRunEstimates = () => {
	const regressions = new Map<string, Regression>();

	return {
		/** Records the measured duration of a queue's run, in milliseconds. */
		recordRun(queue: string, estimateMs: number, tookMs: number): void {
			const x = logOf(estimateMs);
			const regression = regressions.get(queue) ?? {
				runs: ASSUMED_RUNS, meanX: x, meanY: x, varianceX: ASSUMED_VARIANCE, varianceY: ASSUMED_VARIANCE, covariance: ASSUMED_VARIANCE,
			};
			regressions.set(queue, regression);
			addRun(regression, x, tookMs);
		},

		/** Expected duration of one run, in milliseconds, by its caller's estimate. Those of several runs are expected one by one and then summed. */
		expectedMs(queue: string, estimateMs: number): number {
			const regression = regressions.get(queue);
			if (!regression) {
				return Math.min(MAX_DURATION_MS, estimateMs);
			}

			const {varianceX, varianceY, covariance} = regression;
			const slope = slopeOf(regression);
			const unexplained = Math.max(0, varianceY - (2 * slope * covariance) + (slope * slope * varianceX));
			// The mean of a quantity whose logarithm is normally distributed; that is too large for a mix of very short and very long runs, which are at the bound.
			const spread = Math.min(Math.exp(unexplained / 2), 1 + (unexplained * SPREAD_AT_BOUND));
			return Math.exp(lineAt(regression, logOf(estimateMs))) * spread;
		},
	};
};
