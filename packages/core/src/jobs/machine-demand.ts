/** What each pool is asked for: work that runs, work that waits, and work that is arriving. */
import {type Resources} from './fleet-manifest.js';
import type {JobBook} from './job-book.js';
import {
	isOpen, isStepReady, type Job, type WorkUnit,
} from './job.js';
import {remainingMs, tierOf, Tiers} from './job-order.js';
import type {RunEstimates} from './run-estimates.js';
import {createQuotaLedger, type QuotaLedger} from './quota-ledger.js';

/** Span over which arriving work is counted, in milliseconds: a few jobs of a queue in its turn, and short against the turn. */
const ARRIVAL_WINDOW_MS = 1500;
/** Jobs by which the latter half of the span must outnumber the former, in standard deviations, before a rise counts. */
const RISE_DEVIATIONS = 2;
/** Time past the middle of the latter half to which a rise is carried on, in milliseconds: a machine that is moved takes work about then. */
const RISE_AHEAD_MS = 1000;
/** Part of the waiting work of late jobs that asks for machines; it earns little more for being early. */
const LATE_WEIGHT = 0.25;

/** Demand on one pool. */
export type MachineDemand = {
	/** Resources of what runs and of what could run now if there were room. */
	wanted: Resources;
	/** Part of `wanted` that lasts. */
	lasting: Resources;
	/** Cores that keep up with the work that arrives, in thousandths. */
	arrivingCpu: number;
	/** Memory that goes with them, in MB. */
	arrivingMemoryMb: number;
	/** Workers that the widest lasting step needs, since it spreads over them. */
	spread: number;
};

/** Counts arriving work by pool. */
export type ArrivalMeter = ReturnType<typeof createArrivalMeter>;

/** Creates a meter. */
export const createArrivalMeter = () => {
	const arrivals = new Map<string, Array<{atMs: number; cpuMs: number; memoryMs: number}>>();

	return {
		/** A job was accepted. */
		add(job: Job, pool: string, estimates: RunEstimates, nowMs: number): void {
			const steps = job.order.steps.filter(step => !step.lasting);
			if (steps.length === 0) {
				return;
			}

			const total = (amount: (resources: Resources) => number): number => steps.reduce((sum, step) => sum + (step.count * amount(step.resources) * estimates.expectedMs(job.order.queue, step.estimateMs)), 0);
			const list = arrivals.get(pool) ?? [];
			list.push({atMs: nowMs, cpuMs: total(resources => resources.cpu), memoryMs: total(resources => resources.memoryMb)});
			arrivals.set(pool, list);
		},

		/** Resources that keep up with what arrived lately, and with a rise that is more than chance. */
		rate(pool: string, nowMs: number): {cpu: number; memoryMb: number} {
			const list = (arrivals.get(pool) ?? []).filter(arrival => nowMs - arrival.atMs < ARRIVAL_WINDOW_MS);
			arrivals.set(pool, list);
			const latter = list.filter(arrival => nowMs - arrival.atMs < ARRIVAL_WINDOW_MS / 2).length;
			const rise = (2 * latter) - list.length;
			const isRising = rise > RISE_DEVIATIONS * Math.sqrt(list.length);
			// On the straight line through the rates of both halves, against the mean rate.
			const factor = isRising ? 1 + ((rise / list.length) * (1 + (4 * RISE_AHEAD_MS / ARRIVAL_WINDOW_MS))) : 1;
			return {
				cpu: factor * list.reduce((sum, arrival) => sum + arrival.cpuMs, 0) / ARRIVAL_WINDOW_MS,
				memoryMb: factor * list.reduce((sum, arrival) => sum + arrival.memoryMs, 0) / ARRIVAL_WINDOW_MS,
			};
		},
	};
};

const emptyDemand = (): MachineDemand => ({
	wanted: {cpu: 0, memoryMb: 0, gpu: 0}, lasting: {cpu: 0, memoryMb: 0, gpu: 0}, arrivingCpu: 0, arrivingMemoryMb: 0, spread: 0,
});

/** Adds a job's part to its pool's demand: what runs, and what waits and may start within its workspace's limit, by its weight. */
const addJob = (demand: MachineDemand, job: Job, weight: number, quota: QuotaLedger, {book, wallMs}: {book: JobBook; wallMs: number}): void => {
	for (const occurrence of job.occurrences.filter(each => each.dueMs <= wallMs)) {
		for (const [number, step] of job.order.steps.entries()) {
			if (!isStepReady(job, occurrence, number)) {
				continue;
			}

			const countOf = (state: WorkUnit['state']): number => occurrence.steps[number]!.filter(unit => unit.state === state).length;
			const startable = quota.most(job.order.workspace, step.resources, countOf('idle'));
			quota.take(job.order.workspace, step.resources, startable);
			const units = countOf('running') + (startable * weight);
			const amount = book.reserved(job, number);
			for (const target of step.lasting ? [demand.wanted, demand.lasting] : [demand.wanted]) {
				target.cpu += amount.cpu * units;
				target.memoryMb += amount.memoryMb * units;
				target.gpu += amount.gpu * units;
			}

			if (step.lasting && step.perWorker !== undefined) {
				demand.spread = Math.max(demand.spread, Math.ceil(step.count / step.perWorker));
			}
		}
	}
};

/** Measures all pools. */
export const measureDemand = (book: JobBook, arrivals: ArrivalMeter, estimates: RunEstimates, {wallMs, nowMs}: {wallMs: number; nowMs: number}): Map<string, MachineDemand> => {
	const manifest = book.manifest();
	const quota = createQuotaLedger(book, manifest);
	const demands = new Map((manifest?.manifest.pools ?? []).map(pool => [pool.name, emptyDemand()]));
	for (const job of book.openJobs()) {
		const demand = demands.get((manifest?.queue(job.order.queue) ?? job.queue).pool);
		if (demand && isOpen(job)) {
			const isLate = tierOf(job, wallMs, remainingMs(job, estimates)) > Tiers.inTime;
			addJob(demand, job, isLate ? LATE_WEIGHT : 1, quota, {book, wallMs});
		}
	}

	for (const [pool, demand] of demands) {
		const rate = arrivals.rate(pool, nowMs);
		demand.arrivingCpu = rate.cpu;
		demand.arrivingMemoryMb = rate.memoryMb;
	}

	return demands;
};
