/**
How far a worker's runs can be trusted.

Answers the load in which some workers fail, stall or slow down all that they start while they say
that they are well: the idlest worker would otherwise draw the most work.
*/

/** Ends after which an older one counts half. */
const HALF_LIFE_ENDS = 6;
const DECAY = 0.5 ** (1 / HALF_LIFE_ENDS);
/** Weight of recent failures from which a worker is a suspect; two in a row. */
const SUSPECT_FAILURES = 1.8;
/** Share of recent ends that must be failures. */
const SUSPECT_SHARE = 0.6;
/** Time without work for a suspect before it gets one try again, in milliseconds; doubles each time. */
const PROBATION_MS = 2500;
/** Longest time without work, in milliseconds. */
const MAX_PROBATION_MS = 10_000;
/** Weight of the latest run in the average slowness. */
const SLOWNESS_WEIGHT = 0.3;

type Health = {failures: number; ends: number; suspectUntilMs: number; probationMs: number; slowness: number};

/** Health of all workers. */
export type WorkerHealth = ReturnType<typeof createWorkerHealth>;

/** Creates the record with every worker sound. */
export const createWorkerHealth = () => {
	const healths = new Map<string, Health>();

	const healthOf = (life: string): Health => {
		const health = healths.get(life) ?? {
			failures: 0, ends: 0, suspectUntilMs: -Infinity, probationMs: PROBATION_MS, slowness: 1,
		};
		healths.set(life, health);
		return health;
	};

	const fail = (health: Health, nowMs: number): boolean => {
		health.failures = (health.failures * DECAY) + 1;
		health.ends = (health.ends * DECAY) + 1;
		if (health.failures < SUSPECT_FAILURES || health.failures / health.ends < SUSPECT_SHARE || nowMs < health.suspectUntilMs) {
			return false;
		}

		health.suspectUntilMs = nowMs + health.probationMs;
		health.probationMs = Math.min(MAX_PROBATION_MS, health.probationMs * 2);
		return true;
	};

	return {
		/** A run failed or stood still here; true where that made the worker a suspect. */
		failed: (life: string, nowMs: number): boolean => fail(healthOf(life), nowMs),

		/** A run was done here, in this many times its expected duration. */
		done(life: string, ratio: number): void {
			const health = healthOf(life);
			health.failures *= DECAY;
			health.ends = (health.ends * DECAY) + 1;
			health.probationMs = PROBATION_MS;
			health.slowness += (Math.min(ratio, 10) - health.slowness) * SLOWNESS_WEIGHT;
		},

		isSuspect: (life: string, nowMs: number): boolean => nowMs < (healths.get(life)?.suspectUntilMs ?? -Infinity),
		/** Duration of runs here against what was expected; 1 is as expected. */
		slowness: (life: string): number => healths.get(life)?.slowness ?? 1,
		forget(life: string): void {
			healths.delete(life);
		},
	};
};
