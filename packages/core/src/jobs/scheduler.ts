/** Decides which work units start where, from the record and what is known of the workers. */
import {groupBy} from '../utils/group-by.js';
import type {ManifestIndex, Resources} from './fleet-manifest.js';
import type {JobBook} from './job-book.js';
import type {RunStart} from './job-commands.js';
import {
	isOpen, isStepReady, type Job, type JobStep, type Occurrence, type WorkUnit,
} from './job.js';
import {compareRanks, type JobRank, rankJob} from './job-order.js';
import {chooseSeat, occupy, type Seat} from './placement.js';
import type {RunEstimates} from './run-estimates.js';
import {createQuotaLedger} from './quota-ledger.js';

/** A worker that may take work now, with its pool. */
export type SchedulableWorker = {life: string; id: string; pool: string; capacity: Resources; labels: string[]; slowness: number};

/** What a pass decides from. */
export type SchedulingInput = {
	book: JobBook;
	manifest: ManifestIndex;
	workers: readonly SchedulableWorker[];
	estimates: RunEstimates;
	wallMs: number;
	/** Lives that a work unit must not start on now. */
	avoided: (unit: string) => ReadonlySet<string> | undefined;
	/** Lives that a step's policy approves; undefined where the queue has no such policy. */
	approved: (job: Job, occurrence: number, step: number) => ReadonlySet<string> | undefined;
	/** Runs in one pass at most. */
	most: number;
	/** Order of jobs, where it is not the product's own. */
	compare?: (left: JobRank, right: JobRank) => number;
};

/** What a pass decides. */
export type SchedulingPass = {
	starts: RunStart[];
	/** Work units that found no room, by pool; those beyond their workspace's limit wait for something else. */
	waiting: Map<string, number>;
	/** Steps that wait for advice. */
	unadvised: Array<{job: Job; occurrence: number; step: number}>;
	/** Workers looked at for room; what a pass costs grows with it. */
	looked: number;
};

/** A pool's workers in one pass, with the sizes that found no room on any of them. */
type PoolSeats = {seats: Seat[]; refused: Resources[]};

/** Workers to avoid, unless the pool has no others: a unit that failed on all of them must still run. */
const avoidable = (avoided: ReadonlySet<string> | undefined, pool: readonly Seat[]): ReadonlySet<string> | undefined => (avoided && pool.some(seat => !avoided.has(seat.life)) ? avoided : undefined);

/** Work units of a step that could start now. */
const idleUnits = (units: readonly WorkUnit[]): WorkUnit[] => units.filter(unit => unit.state === 'idle');

const seatsOf = ({book, workers}: SchedulingInput): Map<string, Seat[]> => {
	const seats = workers.map(worker => {
		const used = book.usageOfLife(worker.life);
		const steps = [...book.runsOf(worker.life).values()].map(run => run.job.order.steps[run.step]!);
		return {
			pool: worker.pool,
			seat: {
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
	return new Map([...groupBy(seats, entry => entry.pool)].map(([pool, entries]) => [pool, entries.map(entry => entry.seat)]));
};

/** Room that a work unit needs; one that fills spare capacity fits whatever cores are left. */
const neededBy = ({resources, fillsSpare}: JobStep): Resources => (fillsSpare ? {...resources, cpu: -Infinity} : resources);

/** True where a size that is no larger found no room; room only shrinks during a pass. */
const isRefused = (needed: Resources, {refused}: PoolSeats): boolean => refused.some(size => size.cpu <= needed.cpu && size.memoryMb <= needed.memoryMb && size.gpu <= needed.gpu);

/** Decides the starts of one pass. */
export const planStarts = (input: SchedulingInput): SchedulingPass => {
	const {book, manifest, estimates, wallMs} = input;
	const pools = new Map([...seatsOf(input)].map(([name, seats]): [string, PoolSeats] => [name, {seats, refused: []}]));
	const quota = createQuotaLedger(book, manifest);
	const pass: SchedulingPass = {
		starts: [], waiting: new Map(), unadvised: [], looked: 0,
	};

	const countOn = (units: readonly WorkUnit[], started: ReadonlyMap<string, number>, life: string): number => units.filter(unit => unit.state === 'running' && unit.worker === life).length + (started.get(life) ?? 0);

	/** A worker with room; a size that found none is not looked for again, unless room that was taken may be given back. */
	const findSeat = (step: JobStep, pool: PoolSeats, allows: ((seat: Seat) => boolean) | undefined, isKept: boolean): Seat | undefined => {
		const needed = neededBy(step);
		if (isRefused(needed, pool)) {
			return undefined;
		}

		pass.looked += pool.seats.length;
		const seat = chooseSeat(step, pool.seats, allows ?? (() => true));
		if (!seat && !allows && step.label === undefined && isKept) {
			pool.refused.push(needed);
		}

		return seat;
	};

	/** Starts what fits of one step; returns how many work units found no room. */
	const startStep = (job: Job, occurrence: Occurrence, number: number, pool: PoolSeats): number => {
		const step = job.order.steps[number]!;
		const units = occurrence.steps[number]!;
		const idle = idleUnits(units);
		if (idle.length === 0) {
			return 0;
		}

		const approved = input.approved(job, occurrence.number, number);
		if (approved === undefined && manifest.queue(job.order.queue)?.recommendation) {
			pass.unadvised.push({job, occurrence: occurrence.number, step: number});
			return idle.length;
		}

		if (step.gang && idle.length < units.length) {
			return idle.length;
		}

		const started = new Map<string, number>();
		const chosen: Array<{unit: WorkUnit; seat: Seat}> = [];
		const attempt = step.gang ? Math.max(...units.map(unit => unit.attempt)) + 1 : undefined;
		let isLimited = false;
		for (const unit of idle) {
			isLimited = quota.most(job.order.workspace, step.resources, 1) === 0;
			const avoided = avoidable(input.avoided(unit.name), pool.seats);
			const isBound = avoided !== undefined || approved !== undefined || step.perWorker !== undefined;
			const allows = (candidate: Seat): boolean => avoided?.has(candidate.life) !== true
				&& approved?.has(candidate.life) !== false
				&& (step.perWorker === undefined || countOn(units, started, candidate.life) < step.perWorker);
			const mayStart = pass.starts.length + chosen.length < input.most && !isLimited;
			// A gang that is not started whole gives back what it took.
			const isKept = !(step.gang && chosen.length > 0);
			const seat = mayStart ? findSeat(step, pool, isBound ? allows : undefined, isKept) : undefined;
			if (!seat) {
				// Units of a step are alike, so the others have no room either, unless this one avoids a worker.
				if (step.gang || isLimited || avoided === undefined) {
					break;
				}

				continue;
			}

			occupy(step, seat);
			quota.take(job.order.workspace, step.resources, 1);
			started.set(seat.life, (started.get(seat.life) ?? 0) + 1);
			chosen.push({unit, seat});
		}

		if (step.gang && chosen.length < idle.length) {
			for (const {seat} of chosen) {
				occupy(step, seat, -1);
				quota.take(job.order.workspace, step.resources, -1);
			}

			return isLimited ? 0 : idle.length;
		}

		pass.starts.push(...chosen.map(({unit, seat}) => ({unit: unit.name, attempt: attempt ?? unit.attempt + 1, life: seat.life})));
		return isLimited ? 0 : idle.length - chosen.length;
	};

	const startJob = (job: Job, poolName: string): void => {
		const pool = pools.get(poolName) ?? {seats: [], refused: []};
		let left = 0;
		for (const occurrence of job.occurrences) {
			if (occurrence.dueMs > wallMs) {
				continue;
			}

			for (const [number, step] of job.order.steps.entries()) {
				if (occurrence.doneInStep[number]! < step.count && isStepReady(job, occurrence, number)) {
					left += startStep(job, occurrence, number, pool);
				}
			}
		}

		if (left > 0) {
			pass.waiting.set(poolName, (pass.waiting.get(poolName) ?? 0) + left);
		}
	};

	const ranks: JobRank[] = [...book.openJobs()].filter(job => isOpen(job)).map(job => rankJob(job, wallMs, estimates, quota.shareOf, manifest));
	ranks.sort(input.compare ?? compareRanks);
	for (const {job} of ranks) {
		startJob(job, (manifest.queue(job.order.queue) ?? job.queue).pool);
	}

	return pass;
};
