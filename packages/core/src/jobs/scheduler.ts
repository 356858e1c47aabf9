/** Decides which work units start on which workers, from the job store and the known state of the workers. */
import {groupBy} from '../utils/group-by.js';
import type {ManifestIndex, Resources} from './fleet-manifest.js';
import type {JobStore} from './job-store.js';
import type {RunStart} from './job-commands.js';
import {
	isOpen, isStepReady, type Job, type JobStep, type Occurrence, type WorkUnit,
} from './job.js';
import {compareRanks, type JobRank, rankJob} from './job-ranking.js';
import {
	chooseWorker, fits, reserveResources, type CandidateWorker,
} from './placement.js';
import {createReservations, type Reservations} from './reservations.js';
import type {RunEstimates} from './run-estimates.js';
import {createQuotaLedger} from './quota-ledger.js';

/** A worker that accepts work now. */
export type SchedulableWorker = {life: string; id: string; pool: string; capacity: Resources; labels: string[]; slowness: number};

/** Input of one scheduling pass. */
export type SchedulingInput = {
	store: JobStore;
	manifest: ManifestIndex;
	workers: readonly SchedulableWorker[];
	estimates: RunEstimates;
	wallMs: number;
	/** Returns the lives on which a work unit must not start now. */
	avoided: (unit: string) => ReadonlySet<string> | undefined;
	/** Returns the lives that a step's policy is known to approve; undefined if the queue has no policy, or while nothing is known. */
	approved: (job: Job, occurrence: number, step: number) => ReadonlySet<string> | undefined;
	/** Returns for how long a life has run a work unit, in milliseconds; undefined if that is unknown, as for the runs of an earlier leader. */
	ranMs?: (life: string, unit: string) => number | undefined;
	/** Upper limit on runs started in one pass. */
	maxStarts: number;
	/** Order of jobs; by default that of `compareRanks`. */
	compare?: (left: JobRank, right: JobRank) => number;
};

/** Result of one scheduling pass. */
export type SchedulingPass = {
	starts: RunStart[];
	/** Number of work units that found no room, by pool; those held back by their workspace's limit do not count. */
	waiting: Map<string, number>;
	/** Number of workers reserved for work units that found no room, by pool; pools without any are absent. */
	reserved: Map<string, number>;
	/** Steps for which the decisions of their queue's policy on more workers would help, with these workers, the most useful first. */
	unadvised: Array<{job: Job; occurrence: number; step: number; workers: CandidateWorker[]}>;
	/** Number of times a worker was checked for room; the cost of a pass grows with it. */
	workersExamined: number;
};

/** A pool's workers in one pass, the sizes that fit on none of them, and the workers reserved for what finds no room. */
type PoolWorkers = {workers: CandidateWorker[]; refused: Resources[]; reservations: Reservations};

/** Workers to avoid; undefined if the pool has no others, since a work unit that failed on all of them must still run. */
const avoidable = (avoided: ReadonlySet<string> | undefined, pool: readonly CandidateWorker[]): ReadonlySet<string> | undefined => (
	avoided && pool.some(worker => !avoided.has(worker.life)) ? avoided : undefined
);

/** Workers of a pool that a step's policy may be asked about, those with room first. */
const advisable = (step: JobStep, {workers}: PoolWorkers): CandidateWorker[] => {
	const labelled = workers.filter(worker => step.label === undefined || worker.labels.has(step.label));
	return [...labelled.filter(worker => fits(step, worker)), ...labelled.filter(worker => !fits(step, worker))];
};

/** Work units of a step that can start now. */
const idleUnits = (units: readonly WorkUnit[]): WorkUnit[] => units.filter(unit => unit.state === 'idle');

const workersByPool = ({store, workers}: SchedulingInput): Map<string, CandidateWorker[]> => {
	const candidates = workers.map(worker => {
		const used = store.usageOfLife(worker.life);
		const steps = [...store.runsOf(worker.life).values()].map(run => run.job.order.steps[run.step]!);
		return {
			pool: worker.pool,
			candidate: {
				life: worker.life,
				id: worker.id,
				capacity: worker.capacity,
				free: {cpu: worker.capacity.cpu - used.cpu, memoryMb: worker.capacity.memoryMb - used.memoryMb, gpu: worker.capacity.gpu - used.gpu},
				labels: new Set(worker.labels),
				serves: steps.some(step => step.targetMs !== undefined),
				fills: steps.some(step => step.fillsSpare),
				isPinned: steps.some(step => step.lasting),
				slowness: worker.slowness,
			},
		};
	});
	return new Map([...groupBy(candidates, entry => entry.pool)].map(([pool, entries]) => [pool, entries.map(entry => entry.candidate)]));
};

/** Resources that must be free for a work unit; one that fills spare capacity needs no free cores. */
const requiredResources = ({resources, fillsSpare}: JobStep): Resources => (fillsSpare ? {...resources, cpu: -Infinity} : resources);

/** True if a size that is no larger was refused before; free resources only shrink during a pass. */
const isRefused = (needed: Resources, {refused}: PoolWorkers): boolean => refused.some(size => size.cpu <= needed.cpu && size.memoryMb <= needed.memoryMb && size.gpu <= needed.gpu);

/** Plans the runs to start in one pass. */
export const planStarts = (input: SchedulingInput): SchedulingPass => {
	const {store, manifest, estimates, wallMs} = input;
	const poolOf = (workers: CandidateWorker[]): PoolWorkers => ({workers, refused: [], reservations: createReservations(workers, input)});
	const pools = new Map([...workersByPool(input)].map(([name, workers]) => [name, poolOf(workers)]));
	const quota = createQuotaLedger(store, manifest);
	const pass: SchedulingPass = {
		starts: [], waiting: new Map(), reserved: new Map(), unadvised: [], workersExamined: 0,
	};

	const countOn = (units: readonly WorkUnit[], started: ReadonlyMap<string, number>, life: string): number => units.filter(unit => unit.state === 'running' && unit.worker === life).length + (started.get(life) ?? 0);

	/** Finds a worker with room. Records a size that fits nowhere, so that it is not searched for again, unless resources reserved so far may still be released. */
	const findWorker = (step: JobStep, pool: PoolWorkers, isAllowed: ((worker: CandidateWorker) => boolean) | undefined, isKept: boolean): CandidateWorker | undefined => {
		const needed = requiredResources(step);
		if (isRefused(needed, pool)) {
			return undefined;
		}

		pass.workersExamined += pool.workers.length;
		const worker = chooseWorker(step, pool.workers, isAllowed ?? (() => true));
		if (!worker && !isAllowed && step.label === undefined && isKept) {
			pool.refused.push(needed);
		}

		return worker;
	};

	/** Starts the work units of a step that fit; returns how many found no room. */
	const startStep = (job: Job, occurrence: Occurrence, number: number, pool: PoolWorkers): number => {
		const step = job.order.steps[number]!;
		const units = occurrence.steps[number]!;
		const idle = idleUnits(units);
		if (idle.length === 0) {
			return 0;
		}

		const approved = input.approved(job, occurrence.number, number);
		if (approved === undefined && manifest.queue(job.order.queue)?.recommendation) {
			pass.unadvised.push({
				job, occurrence: occurrence.number, step: number, workers: advisable(step, pool),
			});
			return idle.length;
		}

		if (step.gang && idle.length < units.length) {
			return idle.length;
		}

		const started = new Map<string, number>();
		const placements: Array<{unit: WorkUnit; worker: CandidateWorker}> = [];
		const attempt = step.gang ? Math.max(...units.map(unit => unit.attempt)) + 1 : undefined;
		let isAtLimit = false;
		/** The test for workers on which a work unit may run; undefined if it may run on any. */
		const allowedFor = (avoided: ReadonlySet<string> | undefined): ((candidate: CandidateWorker) => boolean) | undefined => {
			const isRestricted = avoided !== undefined || approved !== undefined || step.perWorker !== undefined;
			return isRestricted
				? candidate => avoided?.has(candidate.life) !== true
					&& approved?.has(candidate.life) !== false
					&& (step.perWorker === undefined || countOn(units, started, candidate.life) < step.perWorker)
				: undefined;
		};

		const take = (worker: CandidateWorker): void => {
			quota.reserve(job.order.workspace, step.resources, 1);
			started.set(worker.life, (started.get(worker.life) ?? 0) + 1);
		};

		for (const unit of idle) {
			isAtLimit = quota.maxWithinLimit(job.order.workspace, step.resources, 1) === 0;
			const avoided = avoidable(input.avoided(unit.name), pool.workers);
			const mayStart = pass.starts.length + placements.length < input.maxStarts && !isAtLimit;
			// A gang that cannot start as a whole releases its reservations.
			const isKept = !(step.gang && placements.length > 0);
			const worker = mayStart ? findWorker(step, pool, allowedFor(avoided), isKept) : undefined;
			if (!worker) {
				// Work units of a step are identical, so the others have no room either, unless this one avoids a worker.
				if (step.gang || isAtLimit || avoided === undefined) {
					break;
				}

				continue;
			}

			reserveResources(step, worker);
			take(worker);
			placements.push({unit, worker});
		}

		const isFull = pass.starts.length + placements.length >= input.maxStarts;
		if (approved !== undefined && placements.length < idle.length && !isAtLimit && !isFull) {
			const others = advisable(step, pool).filter(worker => fits(step, worker) && !approved.has(worker.life));
			if (others.length > 0) {
				pass.unadvised.push({
					job, occurrence: occurrence.number, step: number, workers: others,
				});
			}
		}

		const release = (workers: readonly CandidateWorker[]): void => {
			for (const worker of workers) {
				reserveResources(step, worker, -1);
				quota.reserve(job.order.workspace, step.resources, -1);
			}
		};

		/** Reserves workers for the work units that found no room, all of a gang or none; returns true if each of them has one. */
		const reserveRest = (): boolean => {
			const {reservations} = pool;
			const limit = reservations.limitFor(job, step);
			if (limit === 0) {
				return false;
			}

			const before = reservations.lives();
			if (step.gang) {
				reservations.add(placements.map(({worker}) => worker));
			}

			const placed = new Set(placements.map(({unit}) => unit));
			const reserved: CandidateWorker[] = [];
			for (const unit of idle.filter(each => !placed.has(each))) {
				const avoided = avoidable(input.avoided(unit.name), pool.workers);
				const worker = quota.maxWithinLimit(job.order.workspace, step.resources, 1) === 0 ? undefined : reservations.reserve(step, limit, allowedFor(avoided));
				if (worker) {
					take(worker);
					reserved.push(worker);
				} else if (step.gang || avoided === undefined) {
					break;
				}
			}

			const isComplete = placements.length + reserved.length === idle.length;
			if (step.gang && !isComplete) {
				release(reserved);
				reservations.refuseGang(step, before);
			}

			return isComplete;
		};

		const isPlaced = placements.length === idle.length;
		const isReserved = !isPlaced && !isAtLimit && !isFull && reserveRest();
		if (step.gang && !isPlaced) {
			if (!isReserved) {
				release(placements.map(({worker}) => worker));
			}

			return isAtLimit ? 0 : idle.length;
		}

		pass.starts.push(...placements.map(({unit, worker}) => ({unit: unit.name, attempt: attempt ?? unit.attempt + 1, life: worker.life})));
		return isAtLimit ? 0 : idle.length - placements.length;
	};

	const startJob = (job: Job, poolName: string): void => {
		const pool = pools.get(poolName) ?? poolOf([]);
		let unplaced = 0;
		for (const occurrence of job.occurrences) {
			if (occurrence.dueMs > wallMs) {
				continue;
			}

			for (const [number, step] of job.order.steps.entries()) {
				if (occurrence.doneInStep[number]! < step.count && isStepReady(job, occurrence, number)) {
					unplaced += startStep(job, occurrence, number, pool);
				}
			}
		}

		if (unplaced > 0) {
			pass.waiting.set(poolName, (pass.waiting.get(poolName) ?? 0) + unplaced);
		}
	};

	const ranks: JobRank[] = [...store.openJobs()].filter(job => isOpen(job)).map(job => rankJob(job, wallMs, estimates, quota.shareOf, manifest));
	ranks.sort(input.compare ?? compareRanks);
	for (const {job} of ranks) {
		startJob(job, (manifest.queue(job.order.queue) ?? job.queue).pool);
	}

	for (const [name, {reservations}] of pools) {
		pass.workersExamined += reservations.examined();
		if (reservations.lives().length > 0) {
			pass.reserved.set(name, reservations.lives().length);
		}
	}

	return pass;
};
