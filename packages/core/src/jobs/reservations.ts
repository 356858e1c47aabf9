/**
Reserves workers for work units that find no room.

Handles wide work units in a busy pool: any room that comes free would go to smaller work units of
lower ranks, so that no worker ever has enough of it. A work unit with a reservation counts as
placed for the rest of the pass, hence the resources that it lacks stay free until it fits.
*/
import type {AvoidedLives} from './avoided-lives.js';
import type {Resources} from './fleet-manifest.js';
import {countRoom} from './gang-room.js';
import type {Job, JobStep} from './job.js';
import {
	type CandidateWorker, disturbs, fitsIn, reserveResources,
} from './placement.js';
import type {SchedulingInput} from './scheduling-input.js';

/** Share of a pool's workers that may be reserved, for jobs with lasting work: it must start soon however full the pool is, and other jobs must not idle any of it. */
const RESERVED_SHARE = 1 / 2;
/** Workers of one pool that may be reserved at once; the search for each takes time from the pass. */
const MAX_RESERVED = 32;
/** Share of a worker above which work is wide; smaller work finds room as soon as a few runs end. */
const WIDE_SHARE = 1 / 3;
/** Time by which a worker whose present work would be disturbed must be free sooner to be preferred, in milliseconds. */
const DISTURBANCE_MS = 3000;
/** Share of the time that a run has lasted for which it is expected to last on at least; one that takes far longer than estimated may do so for long. */
const OVERRUN_SHARE = 1 / 4;

/** A run that ends by itself, and the time until its expected end. */
type EndingRun = {resources: Resources; endsInMs: number};

/** Resources that a work unit takes from a worker. */
const takenBy = ({resources, fillsSpare}: JobStep): Resources => (fillsSpare ? {...resources, cpu: 0} : resources);

/** Largest share that an amount has of any resource of a capacity. */
const shareOf = (amount: Resources, capacity: Resources): number => Math.max(
	amount.cpu / Math.max(1, capacity.cpu),
	amount.memoryMb / Math.max(1, capacity.memoryMb),
	amount.gpu / Math.max(1, capacity.gpu),
);

/** What a work unit lacks of free resources; no amount above 0 if it fits. */
const lacking = ({resources, fillsSpare}: JobStep, free: Resources): Resources => ({
	cpu: fillsSpare ? 0 : resources.cpu - free.cpu, memoryMb: resources.memoryMb - free.memoryMb, gpu: resources.gpu - free.gpu,
});

/** Time until the expected end of the runs that make up for what is lacking, in milliseconds; undefined if their ends do not suffice. */
const roomAfterMs = (lack: Resources, runs: readonly EndingRun[]): number | undefined => {
	let {cpu, memoryMb, gpu} = lack;
	let afterMs = 0;
	for (const run of runs) {
		if (cpu <= 0 && memoryMb <= 0 && gpu <= 0) {
			break;
		}

		cpu -= run.resources.cpu;
		memoryMb -= run.resources.memoryMb;
		gpu -= run.resources.gpu;
		afterMs = run.endsInMs;
	}

	return cpu <= 0 && memoryMb <= 0 && gpu <= 0 ? afterMs : undefined;
};

/** The largest capacity of any worker, by resource. */
const largestCapacity = (workers: readonly CandidateWorker[]): Resources => {
	const largest = {cpu: 0, memoryMb: 0, gpu: 0};
	for (const {capacity} of workers) {
		largest.cpu = Math.max(largest.cpu, capacity.cpu);
		largest.memoryMb = Math.max(largest.memoryMb, capacity.memoryMb);
		largest.gpu = Math.max(largest.gpu, capacity.gpu);
	}

	return largest;
};

/** True if a work unit, or all of a gang, takes a large part of a worker. */
const isWide = (step: JobStep, capacity: Resources): boolean => shareOf(takenBy(step), capacity) * (step.gang ? step.count : 1) > WIDE_SHARE;

/** True if one step is no harder to place than another: its work units need no more of any resource, and as a gang it has no more of them. */
const isNoHarder = (one: JobStep, other: JobStep): boolean => (!one.gang || (other.gang && one.count <= other.count))
	&& (one.fillsSpare || (!other.fillsSpare && one.resources.cpu <= other.resources.cpu))
	&& one.resources.memoryMb <= other.resources.memoryMb
	&& one.resources.gpu <= other.resources.gpu;

/** Creates the reservations of one pool's workers in one scheduling pass. */
export const createReservations = (workers: readonly CandidateWorker[], {store, estimates, ranMs}: SchedulingInput) => {
	let reserved = new Set<string>();
	let examined = 0;
	/** Steps whose work units no worker can have room for, and gangs that cannot have room for all members. */
	const hopeless: JobStep[] = [];
	const runsByLife = new Map<string, EndingRun[]>();
	const largest = largestCapacity(workers);

	/** Runs of a life that end, the shortest first. */
	const endingRuns = (life: string): EndingRun[] => {
		const known = runsByLife.get(life);
		if (known) {
			return known;
		}

		const runs = [...store.runsOf(life).values()].filter(({job, step}) => !job.order.steps[step]!.lasting).map(({unit, job, step}) => {
			const expectedMs = estimates.expectedMs(job.order.queue, job.order.steps[step]!.estimateMs);
			const lastedMs = ranMs?.(life, unit.name) ?? 0;
			return {resources: store.reserved(job, step), endsInMs: Math.max(expectedMs - lastedMs, lastedMs * OVERRUN_SHARE)};
		});
		runs.sort((left, right) => left.endsInMs - right.endsInMs);
		runsByLife.set(life, runs);
		return runs;
	};

	/** Number of workers that may be reserved once a step of the job has its reservations; 0 if nothing of the job lasts, or the step is too narrow to need any or has no hope of one. */
	const limitFor = (job: Job, step: JobStep): number => {
		if (!job.order.steps.some(({lasting}) => lasting)) {
			return 0;
		}

		const isNarrow = !step.lasting && !isWide(step, largest);
		if (isNarrow || !fitsIn(step, largest) || hopeless.some(other => isNoHarder(other, step))) {
			return 0;
		}

		const limit = Math.min(MAX_RESERVED, Math.max(1, Math.floor(workers.length * RESERVED_SHARE)));
		// The search for each member of a gang takes time, so one that cannot have room on this many workers is not tried.
		return step.gang && countRoom(step, [largest]) * limit < step.count ? 0 : limit;
	};

	/** Finds the worker that is expected to have room for a work unit soonest. */
	const findSoonest = (step: JobStep, allows: (worker: CandidateWorker) => boolean): CandidateWorker | undefined => {
		let best: CandidateWorker | undefined;
		let bestMs = Infinity;
		let bestLack = Infinity;
		examined += workers.length;
		for (const worker of workers) {
			if ((step.label !== undefined && !worker.labels.has(step.label)) || !allows(worker)) {
				continue;
			}

			const missing = lacking(step, worker.free);
			const afterMs = roomAfterMs(missing, endingRuns(worker.life));
			if (afterMs === undefined) {
				continue;
			}

			const costMs = (afterMs * worker.slowness) + (disturbs(step, worker) ? DISTURBANCE_MS : 0);
			const lack = shareOf(missing, worker.capacity);
			if (costMs < bestMs || (costMs === bestMs && lack < bestLack)) {
				best = worker;
				bestMs = costMs;
				bestLack = lack;
			}
		}

		return best;
	};

	return {
		limitFor,

		/** Reserves a worker for a work unit, among those allowed or among all, if possible not one that it avoids; undefined if none can have room, or more than the limit would be reserved. */
		reserve(step: JobStep, limit: number, avoided: AvoidedLives | undefined, allows: ((worker: CandidateWorker) => boolean) | undefined): CandidateWorker | undefined {
			if (reserved.size >= limit) {
				return undefined;
			}

			const isAllowed = allows ?? (() => true);
			const other = avoided && findSoonest(step, worker => !avoided.lives.has(worker.life) && isAllowed(worker));
			const worker = other ?? (avoided?.areBarred ? undefined : findSoonest(step, isAllowed));
			if (worker) {
				reserved.add(worker.life);
				reserveResources(step, worker);
			} else if (!avoided && !allows && step.label === undefined && !step.gang) {
				hopeless.push(step);
			}

			return worker;
		},

		/** Lives that are reserved. */
		lives: (): readonly string[] => [...reserved],

		/** Restores the lives that were reserved before a gang which cannot have room; none that is as hard to place is tried after it, since each costs a search for every member. */
		refuseGang(step: JobStep, before: readonly string[]): void {
			reserved = new Set(before);
			hopeless.push(step);
		},

		/** Number of times a worker was checked. */
		examined: () => examined,
	};
};

/** Reservations of one pool's workers. */
export type Reservations = ReturnType<typeof createReservations>;
