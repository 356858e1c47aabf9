/** Forecast of each pool's demand, smoothed so that swings of a few seconds have no effect. */

/** Time over which demand is smoothed, in milliseconds. */
export const FORECAST_HORIZON_MS = 10 * 60 * 1000;

/** Creates an empty forecast. */
export const createForecast = () => {
	const levels = new Map<string, {level: number; sinceMs: number; atMs: number}>();

	return {
		/** Records a pool's current demand, in slots. */
		observe(pool: string, demand: number, nowMs: number): void {
			const last = levels.get(pool);
			if (!last) {
				levels.set(pool, {level: demand, sinceMs: nowMs, atMs: nowMs});
				return;
			}

			const spanMs = Math.max(0, nowMs - last.atMs);
			const ageMs = Math.max(1, nowMs - last.sinceMs);
			// A plain mean until a whole horizon was observed, so that the first sample does not dominate for minutes.
			const gain = Math.max(1 - Math.exp(-spanMs / FORECAST_HORIZON_MS), spanMs / ageMs);
			levels.set(pool, {level: last.level + ((demand - last.level) * gain), sinceMs: last.sinceMs, atMs: nowMs});
		},

		/** Number of slots that the pool is expected to need; undefined until it was observed for half a horizon. */
		slotsOf(pool: string): number | undefined {
			const known = levels.get(pool);
			return known !== undefined && known.atMs - known.sinceMs >= FORECAST_HORIZON_MS / 2 ? known.level : undefined;
		},
	};
};

/** Demand forecast of all pools. */
export type Forecast = ReturnType<typeof createForecast>;
