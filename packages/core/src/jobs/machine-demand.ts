/** Measures the demand on each pool: running, waiting and arriving work. */
import {NO_RESOURCES, type Resources} from './fleet-manifest.js';
import type {JobStore} from './job-store.js';
import {
	countInState, isOpen, isStepReady, type Job,
} from './job.js';
import {
	LATE_FACTOR, objectiveOf, remainingMs, type Tier, tierOf, Tiers,
} from './job-ranking.js';
import type {RunEstimates} from './run-estimates.js';
import {createQuotaLedger, type QuotaLedger} from './quota-ledger.js';

/** Window over which arriving work is counted, in milliseconds: long enough for a few jobs of a busy queue, and short against its busy period. */
const ARRIVAL_WINDOW_MS = 1500;
/** Standard deviations by which the arrivals in the second half of the window must exceed those in the first to count as a rise. */
const RISE_DEVIATIONS = 2;
/** Time past the middle of the window's second half to which a rise is extrapolated, in milliseconds: about when a machine moved now takes work. */
const RISE_EXTRAPOLATION_MS = 1000;
/** Weight of late jobs' waiting work in the demand; finishing it sooner brings little benefit. */
const LATE_WEIGHT = 0.25;
/** Spare time before it becomes useless with which a late job counts as urgent, in milliseconds; less than a move takes, so that another machine would come too late. */
const USELESS_SOON_MS = 500;

/** Demand on one pool. */
export type MachineDemand = {
	/** Resources of the running work, and of the waiting work that could run now if there were room. */
	wanted: Resources;
	/** Running and waiting work of lasting steps, of jobs that can still be in time, and of late jobs that are about to become useless. */
	urgent: Resources;
	/** Running and waiting work of the other late jobs that still benefit from finishing sooner. */
	late: Resources;
	/** Part of `wanted` that belongs to lasting steps. */
	lasting: Resources;
	/** Cores needed to keep up with arriving work, in thousandths. */
	arrivingCpu: number;
	/** Memory needed to keep up with arriving work, in MB. */
	arrivingMemoryMb: number;
	/** Factor of an extrapolated rise that `arrivingCpu` and `arrivingMemoryMb` include; 1 without a rise. */
	riseFactor: number;
	/** Jobs that have arrived within the window over which arriving work is counted. */
	arrivingJobs: number;
	/** Number of workers over which the widest lasting step must spread, given its limit per worker. */
	spread: number;
};

/** Measures the rate of arriving work of each pool. */
export type ArrivalMeter = ReturnType<typeof createArrivalMeter>;

/** Creates a meter. */
export const createArrivalMeter = () => {
	const arrivals = new Map<string, Array<{atMs: number; cpuMs: number; memoryMs: number}>>();

	return {
		/** Records an accepted job; lasting steps do not count. */
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

		/** Resources needed to keep up with recent arrivals, extrapolated if they rise by more than chance. */
		rate(pool: string, nowMs: number): {cpu: number; memoryMb: number; factor: number; jobs: number} {
			const list = (arrivals.get(pool) ?? []).filter(arrival => nowMs - arrival.atMs < ARRIVAL_WINDOW_MS);
			arrivals.set(pool, list);
			const recentCount = list.filter(arrival => nowMs - arrival.atMs < ARRIVAL_WINDOW_MS / 2).length;
			const rise = (2 * recentCount) - list.length;
			const isRising = rise > RISE_DEVIATIONS * Math.sqrt(list.length);
			// Extrapolates the line through the rates of both halves, relative to the mean rate.
			const factor = isRising ? 1 + ((rise / list.length) * (1 + (4 * RISE_EXTRAPOLATION_MS / ARRIVAL_WINDOW_MS))) : 1;
			return {
				factor,
				jobs: list.length,
				cpu: factor * list.reduce((sum, arrival) => sum + arrival.cpuMs, 0) / ARRIVAL_WINDOW_MS,
				memoryMb: factor * list.reduce((sum, arrival) => sum + arrival.memoryMs, 0) / ARRIVAL_WINDOW_MS,
			};
		},
	};
};

const emptyDemand = (): MachineDemand => ({
	wanted: {...NO_RESOURCES}, urgent: {...NO_RESOURCES}, late: {...NO_RESOURCES}, lasting: {...NO_RESOURCES}, arrivingCpu: 0, arrivingMemoryMb: 0, riseFactor: 1, arrivingJobs: 0, spread: 0,
});

const addUnits = (target: Resources, amount: Resources, units: number): void => {
	target.cpu += amount.cpu * units;
	target.memoryMb += amount.memoryMb * units;
	target.gpu += amount.gpu * units;
};

/** Tells whether a job's work belongs to the urgent part of the demand, to the late part, or to neither because it is past use. */
const partOf = (job: Job, tier: Tier, {remaining, objectiveMs}: {remaining: number; objectiveMs: number}, wallMs: number): 'urgent' | 'late' | undefined => {
	if (tier <= Tiers.inTime) {
		return 'urgent';
	}

	if (tier === Tiers.deferrable) {
		return undefined;
	}

	const uselessInMs = (LATE_FACTOR * objectiveMs) - (wallMs - job.acceptedAtMs) - remaining;
	return uselessInMs < USELESS_SOON_MS ? 'urgent' : 'late';
};

/** Adds a job to its pool's demand: its running work, and the waiting work that can start within its workspace's limit. */
const addJobDemand = (demand: MachineDemand, job: Job, quota: QuotaLedger, {store, estimates, wallMs}: {store: JobStore; estimates: RunEstimates; wallMs: number}): void => {
	const remaining = remainingMs(job, estimates);
	const objectiveMs = objectiveOf(job, estimates);
	const tier = tierOf(job, wallMs, remaining, objectiveMs);
	const weight = tier > Tiers.inTime ? LATE_WEIGHT : 1;
	const part = partOf(job, tier, {remaining, objectiveMs}, wallMs);
	for (const occurrence of job.occurrences.filter(each => each.dueMs <= wallMs)) {
		for (const [number, step] of job.order.steps.entries()) {
			if (!isStepReady(job, occurrence, number)) {
				continue;
			}

			const units = occurrence.steps[number]!;
			const startable = quota.maxWithinLimit(job.order.workspace, step.resources, countInState(units, 'idle'));
			quota.reserve(job.order.workspace, step.resources, startable);
			const running = countInState(units, 'running');
			const amount = store.reserved(job, number);
			addUnits(demand.wanted, amount, running + (startable * weight));
			if (part) {
				addUnits(demand[part], amount, running + startable);
			}

			if (step.lasting) {
				addUnits(demand.lasting, amount, running + (startable * weight));
			}

			if (step.lasting && step.perWorker !== undefined) {
				demand.spread = Math.max(demand.spread, Math.ceil(step.count / step.perWorker));
			}
		}
	}
};

/** Measures the demand on every pool. */
export const measureDemand = (store: JobStore, arrivals: ArrivalMeter, estimates: RunEstimates, {wallMs, nowMs}: {wallMs: number; nowMs: number}): Map<string, MachineDemand> => {
	const manifest = store.manifest();
	const quota = createQuotaLedger(store, manifest);
	const demands = new Map((manifest?.manifest.pools ?? []).map(pool => [pool.name, emptyDemand()]));
	for (const job of store.openJobs()) {
		const demand = demands.get((manifest?.queue(job.order.queue) ?? job.queue).pool);
		if (demand && isOpen(job)) {
			addJobDemand(demand, job, quota, {store, estimates, wallMs});
		}
	}

	for (const [pool, demand] of demands) {
		const rate = arrivals.rate(pool, nowMs);
		demand.arrivingCpu = rate.cpu;
		demand.arrivingMemoryMb = rate.memoryMb;
		demand.riseFactor = rate.factor;
		demand.arrivingJobs = rate.jobs;
	}

	return demands;
};
