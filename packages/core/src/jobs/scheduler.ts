/** Decides which work units start on which workers, from the job store and the known state of the workers. */
import type {AvoidedLives} from './avoided-lives.js';
import {countRoom} from './gang-room.js';
import type {RunStart} from './job-commands.js';
import {
	isOpen, isStepReady, type Job, type JobStep, type Occurrence, type WorkUnit,
} from './job.js';
import {orderRanks} from './job-order.js';
import {rankJob} from './job-ranking.js';
import {
	chooseAvoiding, fits, reserveResources, type CandidateWorker,
} from './placement.js';
import {
	advisable, createPoolWorkers, isRefused, type PoolWorkers, poolsOf, requiredResources,
} from './pool-workers.js';
import {createQuotaLedger} from './quota-ledger.js';
import type {SchedulingInput} from './scheduling-input.js';

export type {SchedulableWorker, SchedulingInput} from './scheduling-input.js';

/** Result of one scheduling pass. */
export type SchedulingPass = {
	starts: RunStart[];
	/** Number of work units that found no room, by pool; those held back by their workspace's limit do not count. */
	waiting: Map<string, number>;
	/** Number of workers reserved for work units that found no room, by pool; pools without any are absent. */
	reserved: Map<string, number>;
	/** Steps for which the decisions of their queue's policy on more workers would help, with these workers, the most useful first. */
	unadvised: Array<{job: Job; occurrence: number; step: number; workers: CandidateWorker[]}>;
	/** Ready steps that the limit of starts kept from being tried in full, with the number of their work units that it left. */
	cutSteps: Map<readonly WorkUnit[], {pool: string; left: number}>;
	/** Number of times a worker was checked for room; the cost of a pass grows with it. */
	workersExamined: number;
};

/** Share of a pass's starts that is divided evenly between the pools with ready work, so that no backlog of one pool stops the others; the rest goes by rank. */
const GUARANTEED_SHARE = 0.5;

/** A step whose turn has come. */
type ReadyStep = {job: Job; occurrence: Occurrence; number: number; pool: string};

/** Work units of a step that can start now and are not planned yet. */
const idleUnits = (units: readonly WorkUnit[], planned: ReadonlyMap<WorkUnit, string>): WorkUnit[] => units.filter(unit => unit.state === 'idle' && !planned.has(unit));

/** The first of these work units, and their number. */
const countIdle = (units: readonly WorkUnit[], planned: ReadonlyMap<WorkUnit, string>): {first: WorkUnit | undefined; count: number} => {
	let first: WorkUnit | undefined;
	let count = 0;
	for (const unit of units) {
		if (unit.state === 'idle' && !planned.has(unit)) {
			first ??= unit;
			count += 1;
		}
	}

	return {first, count};
};

/** Plans the runs to start in one pass. */
export const planStarts = (input: SchedulingInput): SchedulingPass => {
	const {store, manifest, estimates, wallMs} = input;
	const pools = poolsOf(input);
	const quota = createQuotaLedger(store, manifest);
	const pass: SchedulingPass = {
		starts: [], waiting: new Map(), reserved: new Map(), unadvised: [], cutSteps: new Map(), workersExamined: 0,
	};

	/** Life of each work unit that the pass starts. */
	const planned = new Map<WorkUnit, string>();
	/** Number of starts in the pass from which no more may be planned for now. */
	let limit = input.maxStarts;

	/** Number of a step's work units on each life, running or planned. */
	const countByLife = (units: readonly WorkUnit[]): Map<string, number> => {
		const counts = new Map<string, number>();
		for (const unit of units) {
			const life = planned.get(unit) ?? (unit.state === 'running' ? unit.worker : undefined);
			if (life !== undefined) {
				counts.set(life, (counts.get(life) ?? 0) + 1);
			}
		}

		return counts;
	};

	/** Finds a worker with room. Records a size that fits nowhere, so that it is not searched for again, unless resources reserved so far may still be released. */
	const findWorker = (step: JobStep, pool: PoolWorkers, avoided: AvoidedLives | undefined, isAllowed: ((worker: CandidateWorker) => boolean) | undefined, isKept: boolean): CandidateWorker | undefined => {
		const needed = requiredResources(step);
		if (isRefused(needed, pool)) {
			return undefined;
		}

		pass.workersExamined += pool.workers.length;
		const worker = chooseAvoiding(step, pool.workers, avoided, isAllowed ?? (() => true));
		if (!worker && !avoided && !isAllowed && step.label === undefined && isKept) {
			pool.refused.push(needed);
		}

		return worker;
	};

	/** Checks a gang as a whole, so that one that cannot start costs little; undefined if it must be tried because members avoid workers. */
	const checkGang = (job: Job, step: JobStep, idle: readonly WorkUnit[], pool: PoolWorkers, approved: ReadonlySet<string> | undefined): {canStart: boolean; isAtLimit: boolean} | undefined => {
		if (!step.gang || pass.starts.length >= limit || idle.some(unit => input.avoided(unit.name))) {
			return undefined;
		}

		pass.workersExamined += pool.workers.length;
		const room = countRoom(step, pool.workers.filter(({life, labels}) => (step.label === undefined || labels.has(step.label)) && approved?.has(life) !== false).map(({free}) => free));
		const withinLimit = quota.maxWithinLimit(job.order.workspace, step.resources, idle.length);
		return {canStart: Math.min(room, withinLimit) >= idle.length, isAtLimit: withinLimit <= room && withinLimit < idle.length};
	};

	/** True if no work unit of a step can be placed and no worker reserved for one; with a large backlog, that is so for nearly all steps. */
	const isHopeless = (job: Job, step: JobStep, pool: PoolWorkers): boolean => pass.starts.length >= limit
		|| (pool.trials.suspects.length === 0 && isRefused(requiredResources(step), pool) && pool.reservations.limitFor(job, step) === 0);

	/** Starts the work units of a step that fit; returns how many found no room. */
	const startStep = (job: Job, occurrence: Occurrence, number: number, pool: PoolWorkers): number => {
		const step = job.order.steps[number]!;
		const units = occurrence.steps[number]!;
		const {first, count} = countIdle(units, planned);
		if (!first) {
			return 0;
		}

		const mayTrySuspects = pool.trials.mayTry({
			job, occurrence, step, unit: first, hasStarted: false,
		});
		/** Workers that the step's policy may be asked about. */
		const advisableWorkers = (): CandidateWorker[] => [...advisable(step, pool.workers), ...(mayTrySuspects ? advisable(step, pool.trials.suspects) : [])];
		const approved = input.approved(job, occurrence.number, number);
		if (approved === undefined && manifest.queue(job.order.queue)?.recommendation) {
			pass.unadvised.push({
				job, occurrence: occurrence.number, step: number, workers: advisableWorkers(),
			});
			return count;
		}

		if (approved === undefined && !step.gang && isHopeless(job, step, pool)) {
			const isAtLimit = quota.maxWithinLimit(job.order.workspace, step.resources, 1) === 0;
			if (pass.starts.length >= limit && !isAtLimit) {
				pass.cutSteps.set(units, {pool: pool.name, left: count});
			} else {
				pass.cutSteps.delete(units);
			}

			return isAtLimit ? 0 : count;
		}

		const idle = idleUnits(units, planned);
		if (step.gang && idle.length < units.length) {
			return idle.length;
		}

		const onLife = step.perWorker === undefined ? undefined : countByLife(units);
		const placements: Array<{unit: WorkUnit; worker: CandidateWorker}> = [];
		const attempt = step.gang ? Math.max(...units.map(unit => unit.attempt)) + 1 : undefined;
		const gang = mayTrySuspects ? undefined : checkGang(job, step, idle, pool, approved);
		let isAtLimit = false;
		/** The test for workers that may run the step's work units; undefined if any may. */
		const isAllowed = approved === undefined && step.perWorker === undefined
			? undefined
			: ({life}: CandidateWorker): boolean => approved?.has(life) !== false && (step.perWorker === undefined || (onLife!.get(life) ?? 0) < step.perWorker);

		const countOnLife = (worker: CandidateWorker, change: 1 | -1): void => {
			onLife?.set(worker.life, (onLife.get(worker.life) ?? 0) + change);
		};

		for (const unit of idle) {
			isAtLimit = gang?.isAtLimit ?? quota.maxWithinLimit(job.order.workspace, step.resources, 1) === 0;
			const avoided = input.avoided(unit.name);
			const mayStart = pass.starts.length + (step.gang ? 0 : placements.length) < limit && !isAtLimit && gang?.canStart !== false;
			// A gang that cannot start as a whole releases its reservations.
			const isKept = !(step.gang && placements.length > 0);
			const unplaced = {
				job, occurrence, step, unit, hasStarted: placements.length > 0,
			};
			const worker = mayStart ? findWorker(step, pool, avoided, isAllowed, isKept) ?? pool.trials.choose(unplaced, avoided, isAllowed ?? (() => true)) : undefined;
			if (!worker) {
				// Work units of a step are identical, so the others have no room either, unless this one avoids a worker.
				if (step.gang || isAtLimit || avoided === undefined) {
					break;
				}

				continue;
			}

			reserveResources(step, worker);
			pool.trials.placed();
			quota.reserve(job.order.workspace, step.resources, 1);
			countOnLife(worker, 1);
			placements.push({unit, worker});
		}

		const isFull = pass.starts.length + (step.gang ? 0 : placements.length) >= limit;
		if (isFull && placements.length < idle.length && !isAtLimit) {
			pass.cutSteps.set(units, {pool: pool.name, left: idle.length - placements.length});
		} else {
			pass.cutSteps.delete(units);
		}

		if (approved !== undefined && placements.length < idle.length && !isAtLimit && !isFull) {
			const others = advisableWorkers().filter(worker => fits(step, worker) && !approved.has(worker.life));
			if (others.length > 0) {
				pass.unadvised.push({
					job, occurrence: occurrence.number, step: number, workers: others,
				});
			}
		}

		const release = (workers: readonly CandidateWorker[]): void => {
			for (const worker of workers) {
				reserveResources(step, worker, -1);
				countOnLife(worker, -1);
			}
		};

		/** Reserves workers for the work units that found no room, all of a gang or none. What waits takes nothing of its workspace's limit, which other pools share. */
		const reserveRest = (units: readonly WorkUnit[], most: number): void => {
			const {reservations} = pool;
			const before = reservations.lives();
			const withinLimit = quota.maxWithinLimit(job.order.workspace, step.resources, units.length);
			const reserved: CandidateWorker[] = [];
			for (const unit of units) {
				const avoided = input.avoided(unit.name);
				const worker = reserved.length < withinLimit ? reservations.reserve(step, most, avoided, isAllowed) : undefined;
				if (worker) {
					countOnLife(worker, 1);
					reserved.push(worker);
				} else if (step.gang || avoided === undefined) {
					break;
				}
			}

			if (step.gang && reserved.length < units.length) {
				release(reserved);
				reservations.refuseGang(step, before);
			}
		};

		const isPlaced = placements.length === idle.length;
		const mostReserved = !isPlaced && !isAtLimit && !isFull ? pool.reservations.limitFor(job, step) : 0;
		if (step.gang && !isPlaced) {
			release(placements.map(({worker}) => worker));
			quota.reserve(job.order.workspace, step.resources, -placements.length);
			if (mostReserved > 0) {
				reserveRest(idle, mostReserved);
			}

			return isAtLimit ? 0 : idle.length;
		}

		if (mostReserved > 0) {
			const placed = new Set(placements.map(({unit}) => unit));
			reserveRest(idle.filter(unit => !placed.has(unit)), mostReserved);
		}

		for (const {unit, worker} of placements) {
			planned.set(unit, worker.life);
			pass.starts.push({unit: unit.name, attempt: attempt ?? unit.attempt + 1, life: worker.life});
		}

		return isAtLimit ? 0 : idle.length - placements.length;
	};

	/** Adds a job's ready steps to a list; their number is large, so no list is made for each job. */
	const addReadySteps = (job: Job, steps: ReadyStep[]): void => {
		const {pool} = manifest.queue(job.order.queue) ?? job.queue;
		for (const occurrence of job.occurrences) {
			for (let number = 0; occurrence.dueMs <= wallMs && number < job.order.steps.length; number += 1) {
				if (occurrence.doneInStep[number]! < job.order.steps[number]!.count && isStepReady(job, occurrence, number)) {
					steps.push({
						job, occurrence, number, pool,
					});
				}
			}
		}
	};

	/** Starts a ready step until the pass has planned `until` starts; returns false if the step was cut. */
	const startUntil = ({job, occurrence, number, pool: name}: ReadyStep, until: number, isLast: boolean): boolean => {
		const pool = pools.get(name) ?? createPoolWorkers(name, [], [], input);
		pools.set(name, pool);
		limit = until;
		const unplaced = startStep(job, occurrence, number, pool);
		if (unplaced > 0 && pass.starts.length >= until && !isLast) {
			return false;
		}

		if (unplaced > 0) {
			pass.waiting.set(name, (pass.waiting.get(name) ?? 0) + unplaced);
		}

		return true;
	};

	/** Gives each pool its guaranteed starts, in order of rank; returns the steps that need more. */
	const startGuaranteed = (steps: readonly ReadyStep[]): ReadyStep[] => {
		const poolCount = new Set(steps.map(({pool}) => pool)).size;
		const share = Math.max(1, Math.floor(input.maxStarts * GUARANTEED_SHARE / poolCount));
		const used = new Map<string, number>();
		let unused = input.maxStarts;
		return steps.filter(step => {
			const before = pass.starts.length;
			const usedBefore = used.get(step.pool) ?? 0;
			const mine = Math.min(share - usedBefore, unused);
			const isCut = mine <= 0 || !startUntil(step, before + mine, false);
			// What a gang starts beyond its pool's share is not taken from the others.
			const usedNow = Math.min(mine, pass.starts.length - before);
			used.set(step.pool, isCut ? share : usedBefore + usedNow);
			unused -= Math.max(0, usedNow);
			return isCut;
		});
	};

	const ranks = [...store.openJobs()].filter(job => isOpen(job)).map(job => rankJob(job, wallMs, estimates, manifest));
	const steps: ReadyStep[] = [];
	for (const {job} of orderRanks(ranks, input)) {
		addReadySteps(job, steps);
	}

	for (const step of startGuaranteed(steps)) {
		startUntil(step, input.maxStarts, true);
	}

	for (const [name, {reservations}] of pools) {
		pass.workersExamined += reservations.examined();
		if (reservations.lives().length > 0) {
			pass.reserved.set(name, reservations.lives().length);
		}
	}

	return pass;
};
