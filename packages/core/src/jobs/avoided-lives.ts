/**
Remembers on which workers each work unit failed, so that it starts elsewhere.

Such a worker is barred for a short time only and then comes after all others. So whatever other rules leave of a
pool, such as labels, policies, limits per worker and room, a work unit with any worker left soon starts.
*/

/** The lives on which a work unit failed. */
export type AvoidedLives = {
	/** In order of the latest failure on each. */
	lives: ReadonlySet<string>;
	/** True while none of them may run the work unit; then they come after all other workers. */
	areBarred: boolean;
};

/** Time for which a work unit that ends by itself is kept off workers on which it failed, in milliseconds; its job may have nothing running for 3 s. */
const BAR_MS = 2000;
/** Same for a lasting work unit, in milliseconds; doubles with each failure in a row, so that one which fails everywhere is not started all the time. */
const FIRST_LASTING_BAR_MS = 250;
/** Upper limit on that time, in milliseconds; a lasting work unit has to run again within 6 s. */
const MAX_LASTING_BAR_MS = 2000;
/** Length of a run from which a failure is not in a row with those before it, in milliseconds. */
const STABLE_RUN_MS = 10_000;
/** Lives remembered for each work unit at most, more than a pool has, since one that is forgotten is not barred; the earliest failures are forgotten first. */
const MAX_LIVES = 1024;
/** Work units remembered at most; those with the earliest failures are forgotten first. */
const MAX_UNITS = 20_000;

type Failures = {lives: Set<string>; inRow: number; barredUntilMs: number};

/** A failed run: whether its step lasts, and its length in milliseconds. */
export type FailedRun = {isLasting: boolean; ranMs: number};

/** Creates the memory, empty at first. Times are in milliseconds on one monotonic clock. */
export const createAvoidedLives = () => {
	const failuresByUnit = new Map<string, Failures>();

	return {
		/** Records that a work unit failed or stalled on a life. */
		failed(unit: string, life: string, {isLasting, ranMs}: FailedRun, nowMs: number): void {
			const {lives, inRow} = failuresByUnit.get(unit) ?? {lives: new Set<string>(), inRow: 0};
			lives.delete(life);
			lives.add(life);
			if (lives.size > MAX_LIVES) {
				lives.delete(lives.values().next().value!);
			}

			const failures = ranMs < STABLE_RUN_MS ? inRow + 1 : 1;
			const barMs = isLasting ? Math.min(MAX_LASTING_BAR_MS, FIRST_LASTING_BAR_MS * (2 ** (failures - 1))) : BAR_MS;
			failuresByUnit.delete(unit);
			failuresByUnit.set(unit, {lives, inRow: failures, barredUntilMs: nowMs + barMs});
			if (failuresByUnit.size > MAX_UNITS) {
				failuresByUnit.delete(failuresByUnit.keys().next().value!);
			}
		},

		/** Forgets a work unit that is done. */
		done(unit: string): void {
			failuresByUnit.delete(unit);
		},

		/** The lives on which a work unit failed; undefined if it failed on none. */
		of(unit: string, nowMs: number): AvoidedLives | undefined {
			const failures = failuresByUnit.get(unit);
			return failures && {lives: failures.lives, areBarred: nowMs < failures.barredUntilMs};
		},
	};
};
