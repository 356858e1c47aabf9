/** Keeps the workers that drain for a move during one term: they take no new work, and their machines move once their runs have ended. */
import {
	chooseDraining, type Clock, type DrainCandidate, type JobStore, type RunEstimates, type WorkerDirectory, type WorkerTrack,
} from '@bronzebend/core';
import type {Log} from '../utils/log.js';

/** Time after its latest choice in which a worker drains, in milliseconds; each control step renews the choice, so that a worker takes work again if these steps fail. */
const CHOICE_MS = 1000;

/** Options of the record. */
export type DrainingWorkersOptions = {
	store: JobStore;
	directory: WorkerDirectory;
	estimates: RunEstimates;
	clock: Clock;
	log: Log;
	trackOf(life: string): WorkerTrack | undefined;
};

/** Creates the record, empty at the beginning of a term. */
export const createDrainingWorkers = ({store, directory, estimates, clock, log, trackOf}: DrainingWorkersOptions) => {
	let lives: ReadonlySet<string> = new Set();
	let chosenMs = -Infinity;
	let logged = '';

	const candidateOf = (life: string, pool: string): DrainCandidate => {
		const runs = [...store.runsOf(life).entries()];
		const track = trackOf(life);
		return {
			life,
			pool,
			runsLasting: runs.some(([, {job, step}]) => job.order.steps[step]!.lasting),
			endsInMs: Math.max(0, ...runs.map(([unit, {job, step}]) => {
				const startedMs = track?.runs.get(unit)?.startedMs ?? clock.monotonicMs();
				return startedMs + estimates.expectedMs(job.order.queue, job.order.steps[step]!.estimateMs) - clock.monotonicMs();
			})),
		};
	};

	return {
		/** Chooses the draining workers of each pool anew, from those that accept work or drain already. */
		choose(drains: ReadonlyMap<string, number>, usable: ReadonlySet<string>): void {
			const candidates = drains.size === 0 ? [] : directory.list().filter(entry => drains.has(entry.pool) && usable.has(entry.life)).map(({life, pool}) => candidateOf(life, pool));
			lives = chooseDraining(candidates, drains, lives);
			chosenMs = clock.monotonicMs();
			const pools = [...drains].map(([pool, count]) => `${pool}:${count}`).join(' ');
			if (pools !== logged) {
				logged = pools;
				log.info('Workers drain for a move to a pool that is short.', {pools, workers: lives.size});
			}
		},

		count: (): number => lives.size,

		/** True if a life takes no new work because its machine is to move. */
		has: (life: string): boolean => lives.has(life) && clock.monotonicMs() - chosenMs < CHOICE_MS,
	};
};
