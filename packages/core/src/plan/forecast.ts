/** Demand that a pool will go on having, smoothed so that turns of seconds do not show. */

/** Time over which demand is smoothed, in milliseconds. */
export const FORECAST_HORIZON_MS = 10 * 60 * 1000;

/** Creates an empty forecast. */
export const createForecast = () => {
	const levels = new Map<string, {level: number; atMs: number}>();

	return {
		/** Takes what a pool asks for now, in slots. */
		observe(pool: string, demand: number, nowMs: number): void {
			const last = levels.get(pool);
			if (!last) {
				levels.set(pool, {level: demand, atMs: nowMs});
				return;
			}

			const gain = 1 - Math.exp(-Math.max(0, nowMs - last.atMs) / FORECAST_HORIZON_MS);
			levels.set(pool, {level: last.level + ((demand - last.level) * gain), atMs: nowMs});
		},

		/** Slots the pool is expected to need; 0 before any observation. */
		slotsOf: (pool: string): number => levels.get(pool)?.level ?? 0,
	};
};

/** Demand forecast of all pools. */
export type Forecast = ReturnType<typeof createForecast>;
