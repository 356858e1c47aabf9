/** Keeps the workers that take no new work at present, so that their machines run empty and move to pools that are short. */
import {
	chooseYielding, type Clock, type JobStore, type WorkerDirectory,
} from '@bronzebend/core';
import type {Log} from '../utils/log.js';

/** Time after its latest choice in which a worker takes no new work, in milliseconds; the choice is renewed with each control step. */
const CHOICE_MS = 1000;

/** Creates the record, empty at the beginning of a term. */
export const createYieldingWorkers = ({store, directory, clock, log}: {store: JobStore; directory: WorkerDirectory; clock: Clock; log: Log}) => {
	let lives: ReadonlySet<string> = new Set();
	let chosenMs = -Infinity;
	let logged = '';

	return {
		/** Chooses workers of each pool anew. */
		choose(yields: ReadonlyMap<string, number>): void {
			const candidates = directory.list().filter(entry => !entry.left).map(({life, pool}) => ({
				life, pool, used: store.usageOfLife(life), runsLasting: [...store.runsOf(life).values()].some(({job, step}) => job.order.steps[step]!.lasting),
			}));
			lives = chooseYielding(candidates, yields);
			chosenMs = clock.monotonicMs();
			const pools = [...yields].map(([pool, count]) => `${pool} ${count}`).join(', ');
			if (pools !== logged) {
				logged = pools;
				log.info('Workers take no new work for the sake of other pools.', {pools});
			}
		},

		/** True if a life takes no new work at present. */
		has: (life: string): boolean => lives.has(life) && clock.monotonicMs() - chosenMs < CHOICE_MS,
	};
};
