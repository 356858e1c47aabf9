/**
Chooses the worker that runs a work unit.

Packs work tightly, and first onto workers whose machines stay in the pool anyway, so that large
work units still find room and the other machines become idle and can move to pools with demand.
Keeps work that fills spare capacity away from work that serves users.
*/
import type {AvoidedLives} from './avoided-lives.js';
import type {Resources} from './fleet-manifest.js';
import type {JobStep} from './job.js';

/** A worker considered for placement. */
export type CandidateWorker = {
	life: string;
	id: string;
	capacity: Resources;
	free: Resources;
	labels: ReadonlySet<string>;
	/** Runs work with a target response time. */
	serves: boolean;
	/** Runs work that fills spare capacity. */
	fills: boolean;
	/** Runs lasting work, so its machine stays in the pool. */
	isPinned: boolean;
	/** Ratio of the duration of its runs to the expected duration. */
	slowness: number;
};

/** Slowness above which a worker gets work only if no other has room. */
const SLOW_RATIO = 2;

/** True if a work unit fits into free resources; one that fills spare capacity needs no free cores. */
export const fitsIn = ({resources, fillsSpare}: JobStep, free: Resources): boolean => (fillsSpare || resources.cpu <= free.cpu)
	&& resources.memoryMb <= free.memoryMb
	&& resources.gpu <= free.gpu;

/** True if a work unit fits into the worker's free resources. */
export const fits = (step: JobStep, worker: CandidateWorker): boolean => fitsIn(step, worker.free);

/** True if a work unit that fills spare capacity and one that serves users would share the worker. */
export const disturbs = (step: JobStep, worker: CandidateWorker): boolean => (step.fillsSpare && worker.serves) || (step.targetMs !== undefined && worker.fills);

/** Cost of placing a work unit on a worker; lower is better. */
const costOf = (step: JobStep, worker: CandidateWorker): number => {
	const remote = step.dataRack !== undefined && !worker.labels.has(step.dataRack);
	const freeShare = (worker.free.cpu - (step.fillsSpare ? 0 : step.resources.cpu)) / Math.max(1, worker.capacity.cpu);
	// Work with a target response time is slowed by any neighbours, so it spreads instead of packing.
	const packingCost = step.targetMs === undefined ? freeShare + (worker.isPinned ? 0 : 1) : -freeShare;
	return (disturbs(step, worker) ? 100 : 0) + (remote ? 20 : 0) + (worker.slowness > SLOW_RATIO ? 10 + worker.slowness : 0) + packingCost;
};

/** Chooses the worker with the lowest cost among those with room; undefined if none has. */
export const chooseWorker = (step: JobStep, workers: readonly CandidateWorker[], allows: (worker: CandidateWorker) => boolean): CandidateWorker | undefined => {
	let best: CandidateWorker | undefined;
	let bestCost = Infinity;
	for (const worker of workers) {
		if ((step.label !== undefined && !worker.labels.has(step.label)) || !fits(step, worker) || !allows(worker)) {
			continue;
		}

		const cost = costOf(step, worker);
		if (cost < bestCost) {
			best = worker;
			bestCost = cost;
		}
	}

	return best;
};

/** Chooses the worker for a work unit that may have failed on some: the best of the others, or the one on which it failed first, unless these are barred. */
export const chooseAvoiding = (step: JobStep, workers: readonly CandidateWorker[], avoided: AvoidedLives | undefined, allows: (worker: CandidateWorker) => boolean): CandidateWorker | undefined => {
	if (!avoided) {
		return chooseWorker(step, workers, allows);
	}

	const {lives, areBarred} = avoided;
	const other = chooseWorker(step, workers, worker => !lives.has(worker.life) && allows(worker));
	if (other !== undefined || areBarred) {
		return other;
	}

	const workersByLife = new Map(workers.map(worker => [worker.life, worker]));
	const failedOn = [...lives].flatMap(life => workersByLife.get(life) ?? []);
	return failedOn.find(worker => chooseWorker(step, [worker], allows));
};

/** Reserves a work unit's resources on a worker; a factor of -1 releases them. */
export const reserveResources = (step: JobStep, worker: CandidateWorker, factor = 1): void => {
	worker.free.cpu -= step.fillsSpare ? 0 : step.resources.cpu * factor;
	worker.free.memoryMb -= step.resources.memoryMb * factor;
	worker.free.gpu -= step.resources.gpu * factor;
	if (factor > 0) {
		worker.serves ||= step.targetMs !== undefined;
		worker.fills ||= step.fillsSpare;
		worker.isPinned ||= step.lasting;
	}
};
