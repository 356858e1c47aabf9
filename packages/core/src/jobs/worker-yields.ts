/**
Decides which workers take no new work while other pools lack workers for work that can still be in time.

Handles a turn that begins while another pool works off a backlog: only idle machines move, and a pool
with a backlog has none. Its least loaded workers run empty within the length of a run, and then move.
*/
import type {Resources} from './fleet-manifest.js';

/** A pool's workers and what it needs of them. */
export type PoolPosition = {
	pool: string;
	/** Workers that accept work now, and those on their way. */
	available: number;
	/** Workers needed for work that can still be in time. */
	needed: number;
	/** Workers that the pool keeps while others are short, at least `needed`. */
	kept: number;
};

/** A worker considered for yielding. */
export type YieldCandidate = {life: string; pool: string; used: Resources; runsLasting: boolean};

/** Number of workers that each pool can give to pools that are short. */
export const surplusesOf = (positions: readonly PoolPosition[]): Map<string, number> => new Map(positions.map(({pool, available, kept}) => [pool, Math.max(0, available - kept)]));

/** Number of workers of each pool that should take no new work; no more than others lack beyond the idle machines in standby. */
export const planYields = (positions: readonly PoolPosition[], idleInStandby: number): Map<string, number> => {
	const yields = new Map<string, number>();
	let missing = positions.reduce((sum, {needed, available}) => sum + Math.max(0, needed - available), 0) - idleInStandby;
	const donors = [...surplusesOf(positions)].filter(([, surplus]) => surplus > 0).toSorted(([, left], [, right]) => right - left);
	for (const [pool, surplus] of donors) {
		const count = Math.min(surplus, missing);
		if (count <= 0) {
			break;
		}

		yields.set(pool, count);
		missing -= count;
	}

	return yields;
};

/** Chooses the lives that take no new work: the least loaded without lasting work. */
export const chooseYielding = (workers: readonly YieldCandidate[], yields: ReadonlyMap<string, number>): Set<string> => new Set([...yields].flatMap(([pool, count]) => workers
	.filter(worker => worker.pool === pool && !worker.runsLasting)
	.toSorted((left, right) => left.used.cpu - right.used.cpu)
	.slice(0, count)
	.map(worker => worker.life)));
