/**
Decides which workers drain for a move: they take no new work and move to another pool once their runs have ended.

Handles a turn that begins while another pool still runs the jobs of its own: only idle machines move, and a
pool whose runs are spread over all its workers has none. No run is stopped.
*/

/** A pool's workers and what it needs of them. */
export type PoolPosition = {
	pool: string;
	/** Workers that accept work now or drain for a move, and those on their way. */
	available: number;
	/** Workers needed for lasting and urgent work. */
	needed: number;
	/** Workers that the pool keeps while others are short, at least `needed`. */
	kept: number;
};

/** A worker that may drain for a move. */
export type DrainCandidate = {
	life: string;
	pool: string;
	runsLasting: boolean;
	/** Time until its last run is expected to end, in milliseconds; 0 if it is idle. */
	endsInMs: number;
};

/** Number of workers that each pool can give to pools that are short. */
export const spareWorkers = (positions: readonly PoolPosition[]): Map<string, number> => new Map(positions.map(({pool, available, kept}) => [pool, Math.max(0, available - kept)]));

/** Number of workers of each pool that should drain: no more in total than others lack beyond the idle machines in standby, nor than can move soon. */
export const planDrains = (positions: readonly PoolPosition[], idleInStandby: number, maxDraining: number): Map<string, number> => {
	const drains = new Map<string, number>();
	const lacking = positions.reduce((sum, {needed, available}) => sum + Math.max(0, needed - available), 0);
	let missing = Math.min(maxDraining, lacking - idleInStandby);
	for (const [pool, spare] of [...spareWorkers(positions)].toSorted(([, left], [, right]) => right - left)) {
		const count = Math.min(spare, missing);
		if (count > 0) {
			drains.set(pool, count);
			missing -= count;
		}
	}

	return drains;
};

/** Chooses the lives that drain: those that drain already, then those whose runs end soonest; none with lasting work. */
export const chooseDraining = (workers: readonly DrainCandidate[], drains: ReadonlyMap<string, number>, draining: ReadonlySet<string>): Set<string> => {
	const rank = ({life}: DrainCandidate): number => (draining.has(life) ? 0 : 1);
	return new Set([...drains].flatMap(([pool, count]) => workers
		.filter(worker => worker.pool === pool && !worker.runsLasting)
		.toSorted((left, right) => rank(left) - rank(right) || left.endsInMs - right.endsInMs)
		.slice(0, count)
		.map(worker => worker.life)));
};
