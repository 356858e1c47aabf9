/**
Learns when the turns of pools begin and how much they need, and tells which turn is expected next.

Handles load that alternates between queues with a regular pattern: machines that are moved after a turn has begun come
too late for its first jobs, and reserves in all pools cost more than machines in the one pool whose turn comes.
*/

/** Arriving work with which a pool's turn begins, and below which it ends, as shares of the fleet. */
const BEGIN_SHARE = 0.1;
const END_SHARE = 0.05;
/** Jobs within the window over which arriving work is counted that a turn begins with; a few large jobs are no turn. */
const MIN_JOBS = 4;
/** Duration below which a rise of arriving work is no turn, in milliseconds. */
const MIN_TURN_MS = 1000;
/** Time after its begin in which a turn's demand rises, in milliseconds; it does not count towards the size of the turn. */
const RISE_MS = 1500;
/** Turns that are remembered. */
const MAX_TURNS = 16;
/** Intervals between turns from which a pattern can be learned. */
const MIN_INTERVALS = 2;
/** Largest deviation of an interval from the median in a regular pattern, as a share of the median. */
const MAX_DEVIATION = 0.25;
/** Share of the intervals that must be within it. */
const REGULAR_SHARE = 0.75;

/** An expected turn. */
export type ExpectedTurn = {
	pool: string;
	startMs: number;
	/** Deviation within which most intervals between turns were, in milliseconds. */
	spreadMs: number;
	/** Workers that it is expected to need. */
	workers: number;
};

/** A turn that was seen; `sum` and `samples` are of the workers that it needed after its rise. */
type Turn = {pool: string; startMs: number; endMs?: number; sum: number; samples: number; most: number};

const workersOf = ({sum, samples, most}: Turn): number => (samples === 0 ? most : sum / samples);

const quantile = (values: readonly number[], share: number): number => values.toSorted((left, right) => left - right)[Math.ceil(share * values.length) - 1]!;

const mean = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length;

/** Creates the forecast, which expects nothing until it has seen a regular pattern. */
export const createTurnForecast = () => {
	let turns: Turn[] = [];

	/** The pool whose turn follows the latest one: as it did before, or the only one that has had no turn yet, or else the one whose turn is the longest ago. */
	const nextPool = (pools: readonly string[]): string | undefined => {
		const latest = turns.at(-1)!.pool;
		const before = turns.findLastIndex((turn, index) => turn.pool === latest && index < turns.length - 1);
		if (before !== -1) {
			return turns[before + 1]!.pool;
		}

		const unseen = pools.filter(pool => turns.every(turn => turn.pool !== pool));
		if (unseen.length > 0) {
			return unseen.length === 1 ? unseen[0] : undefined;
		}

		return turns[0]!.pool;
	};

	return {
		/** Records the workers that each pool needs for its arriving work. */
		observe(arriving: ReadonlyMap<string, {workers: number; jobs: number}>, fleetSize: number, nowMs: number): void {
			for (const [pool, {workers, jobs}] of arriving) {
				const open = turns.find(turn => turn.pool === pool && turn.endMs === undefined);
				if (!open) {
					const latest = turns.at(-1);
					const begins = jobs >= MIN_JOBS && workers >= BEGIN_SHARE * fleetSize;
					if (begins && latest?.pool === pool) {
						// The arrivals of a turn may pause, as while no leader accepts jobs.
						latest.endMs = undefined;
					} else if (begins) {
						turns.push({
							pool, startMs: nowMs, sum: 0, samples: 0, most: workers,
						});
					}

					continue;
				}

				open.most = Math.max(open.most, workers);
				if (workers < END_SHARE * fleetSize) {
					open.endMs = nowMs;
				} else if (nowMs - open.startMs >= RISE_MS) {
					open.sum += workers;
					open.samples += 1;
				}
			}

			turns = turns.filter(({startMs, endMs}) => endMs === undefined || endMs - startMs >= MIN_TURN_MS).slice(-MAX_TURNS);
		},

		/** The next turn, if the turns so far form a regular pattern. */
		next(pools: readonly string[]): ExpectedTurn | undefined {
			const intervals = turns.slice(1).map((turn, index) => turn.startMs - turns[index]!.startMs);
			if (intervals.length < MIN_INTERVALS) {
				return undefined;
			}

			const intervalMs = quantile(intervals, 0.5);
			const spreadMs = quantile(intervals.map(interval => Math.abs(interval - intervalMs)), REGULAR_SHARE);
			const pool = nextPool(pools);
			if (spreadMs > MAX_DEVIATION * intervalMs || pool === undefined || pool === turns.at(-1)!.pool) {
				return undefined;
			}

			const own = turns.findLast(turn => turn.pool === pool);
			return {
				pool, startMs: turns.at(-1)!.startMs + intervalMs, spreadMs, workers: Math.ceil(own ? workersOf(own) : mean(turns.map(turn => workersOf(turn)))),
			};
		},
	};
};

/** The forecast of turns. */
export type TurnForecast = ReturnType<typeof createTurnForecast>;
