/** Finds jobs that have waited long with nothing running, and the reason for the wait. */
import type {ManifestIndex} from './fleet-manifest.js';
import type {JobStore} from './job-store.js';
import {
	isOpen, isStepReady, type Job, type JobStep,
} from './job.js';
import {createQuotaLedger} from './quota-ledger.js';
import type {SchedulableWorker} from './scheduler.js';

/** Time from acceptance, or from the due time if that is later, after which a wait without a run counts as long, in milliseconds. */
const LONG_WAIT_MS = 5000;

/** Reason why a work unit has not started. */
export type WaitReason =
	/** The pool has no worker that accepts work. */
	| 'no-worker'
	/** No worker of the pool has the required label. */
	| 'no-label'
	/** The work unit requires more than the total capacity of any worker. */
	| 'too-large'
	/** No worker has enough free capacity. */
	| 'no-room'
	/** The workspace is at its limit. */
	| 'workspace-limit'
	/** None of these; one of the next scheduling passes should place it. */
	| 'not-placed';

/** The longest wait in one pool, and how many jobs of the pool wait long. */
export type LongWait = {pool: string; jobs: number; unit: string; waitedMs: number; reason: WaitReason; usableWorkers: number};

type WaitingUnit = {job: Job; step: JobStep; unit: string; waitedMs: number};

const fitsIn = ({resources, fillsSpare}: JobStep, free: SchedulableWorker['capacity']): boolean => (fillsSpare || resources.cpu <= free.cpu)
	&& resources.memoryMb <= free.memoryMb
	&& resources.gpu <= free.gpu;

/** The first work unit of a job that is ready to start; undefined while the job has a running unit or none that is due. */
const findWaitingUnit = (job: Job, wallMs: number): WaitingUnit | undefined => {
	if (!isOpen(job) || job.running > 0) {
		return undefined;
	}

	for (const occurrence of job.occurrences) {
		const number = job.order.steps.findIndex((_, index) => isStepReady(job, occurrence, index) && occurrence.steps[index]!.some(unit => unit.state === 'idle'));
		if (occurrence.dueMs <= wallMs && number !== -1) {
			return {
				job, step: job.order.steps[number]!, unit: occurrence.steps[number]!.find(unit => unit.state === 'idle')!.name, waitedMs: wallMs - Math.max(job.acceptedAtMs, occurrence.dueMs),
			};
		}
	}

	return undefined;
};

const reasonOf = ({job, step}: WaitingUnit, workers: readonly SchedulableWorker[], store: JobStore, manifest: ManifestIndex): WaitReason => {
	if (workers.length === 0) {
		return 'no-worker';
	}

	const labelled = workers.filter(worker => step.label === undefined || worker.labels.includes(step.label));
	if (labelled.length === 0) {
		return 'no-label';
	}

	if (createQuotaLedger(store, manifest).maxWithinLimit(job.order.workspace, step.resources, 1) === 0) {
		return 'workspace-limit';
	}

	if (!labelled.some(worker => fitsIn(step, worker.capacity))) {
		return 'too-large';
	}

	const hasRoom = labelled.some(({life, capacity}) => {
		const used = store.usageOfLife(life);
		return fitsIn(step, {cpu: capacity.cpu - used.cpu, memoryMb: capacity.memoryMb - used.memoryMb, gpu: capacity.gpu - used.gpu});
	});
	return hasRoom ? 'not-placed' : 'no-room';
};

/** Returns the longest wait of each pool that has long-waiting jobs. */
export const findLongWaits = ({store, workers, wallMs}: {store: JobStore; workers: readonly SchedulableWorker[]; wallMs: number}): LongWait[] => {
	const manifest = store.manifest();
	if (!manifest) {
		return [];
	}

	const longest = new Map<string, {waiting: WaitingUnit; jobs: number}>();
	for (const job of store.openJobs()) {
		const waiting = findWaitingUnit(job, wallMs);
		if (waiting && waiting.waitedMs >= LONG_WAIT_MS) {
			const {pool} = manifest.queue(job.order.queue) ?? job.queue;
			const previous = longest.get(pool);
			longest.set(pool, {waiting: previous && previous.waiting.waitedMs >= waiting.waitedMs ? previous.waiting : waiting, jobs: (previous?.jobs ?? 0) + 1});
		}
	}

	return [...longest].map(([pool, {waiting, jobs}]) => {
		const usable = workers.filter(worker => worker.pool === pool);
		return {
			pool, jobs, unit: waiting.unit, waitedMs: waiting.waitedMs, reason: reasonOf(waiting, usable, store, manifest), usableWorkers: usable.length,
		};
	});
};
