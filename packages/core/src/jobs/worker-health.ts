/**
Tracks the health of workers by the outcomes of their runs.

Some workers fail, stall or slow down everything they start while they report themselves healthy.
Such a worker has the most free capacity and would otherwise attract the most work.
*/

/** Number of ended runs after which the weight of an earlier one has halved. */
const HALF_LIFE_RUNS = 6;
const DECAY_PER_RUN = 0.5 ** (1 / HALF_LIFE_RUNS);
/** Decayed count of failures from which a worker becomes a suspect; two failures in a row reach it. */
const SUSPECT_FAILURES = 1.8;
/** Share of failures among recently ended runs that is also required. */
const SUSPECT_SHARE = 0.6;
/** Time for which a suspect gets no work before it is tried again, in milliseconds; doubles each time. */
const PROBATION_MS = 2500;
/** Upper limit on the probation time, in milliseconds. */
const MAX_PROBATION_MS = 10_000;
/** Weight of the latest run in the moving average of slowness. */
const SLOWNESS_WEIGHT = 0.3;

type Health = {failures: number; ends: number; suspectUntilMs: number; probationMs: number; slowness: number};

/** Tracks the health of all workers. */
export type WorkerHealth = ReturnType<typeof createWorkerHealth>;

/** Creates the tracker, in which every worker is healthy at first. */
export const createWorkerHealth = () => {
	const healths = new Map<string, Health>();

	const healthOf = (life: string): Health => {
		const health = healths.get(life) ?? {
			failures: 0, ends: 0, suspectUntilMs: -Infinity, probationMs: PROBATION_MS, slowness: 1,
		};
		healths.set(life, health);
		return health;
	};

	const recordFailure = (health: Health, nowMs: number): boolean => {
		health.failures = (health.failures * DECAY_PER_RUN) + 1;
		health.ends = (health.ends * DECAY_PER_RUN) + 1;
		if (health.failures < SUSPECT_FAILURES || health.failures / health.ends < SUSPECT_SHARE || nowMs < health.suspectUntilMs) {
			return false;
		}

		health.suspectUntilMs = nowMs + health.probationMs;
		health.probationMs = Math.min(MAX_PROBATION_MS, health.probationMs * 2);
		return true;
	};

	return {
		/** Records that a run failed or stalled on a life; returns true if this made the worker a suspect. */
		failed: (life: string, nowMs: number): boolean => recordFailure(healthOf(life), nowMs),

		/** Records that a run was done on a life; `ratio` is its duration divided by the expected one. */
		done(life: string, ratio: number): void {
			const health = healthOf(life);
			health.failures *= DECAY_PER_RUN;
			health.ends = (health.ends * DECAY_PER_RUN) + 1;
			health.probationMs = PROBATION_MS;
			health.slowness += (Math.min(ratio, 10) - health.slowness) * SLOWNESS_WEIGHT;
		},

		isSuspect: (life: string, nowMs: number): boolean => nowMs < (healths.get(life)?.suspectUntilMs ?? -Infinity),
		/** Ratio of the duration of runs on a life to the expected duration; 1 is as expected. */
		slowness: (life: string): number => healths.get(life)?.slowness ?? 1,
		forget(life: string): void {
			healths.delete(life);
		},
	};
};
