/** Jobs that have waited long with nothing running, and what keeps them from their workers. */
import type {ManifestIndex} from './fleet-manifest.js';
import type {JobBook} from './job-book.js';
import {
	isOpen, isStepReady, type Job, type JobStep,
} from './job.js';
import {createQuotaLedger} from './quota-ledger.js';
import type {SchedulableWorker} from './scheduler.js';

/** Time from acceptance, or from when it was due, after which a job without a run waits long, in milliseconds. */
const LONG_WAIT_MS = 5000;

/** What keeps a work unit waiting. */
export type WaitReason =
	/** The pool has no worker that may take work. */
	| 'no-worker'
	/** None of them has the label. */
	| 'no-label'
	/** It is larger than any of them. */
	| 'too-large'
	/** They are full. */
	| 'no-room'
	/** Its workspace is at its limit. */
	| 'workspace-limit'
	/** None of these; the next passes should place it. */
	| 'not-placed';

/** The longest wait in one pool. */
export type LongWait = {pool: string; jobs: number; unit: string; waitedMs: number; reason: WaitReason; usableWorkers: number};

type Waiting = {job: Job; step: JobStep; unit: string; waitedMs: number};

const fitsIn = ({resources, fillsSpare}: JobStep, free: SchedulableWorker['capacity']): boolean => (fillsSpare || resources.cpu <= free.cpu)
	&& resources.memoryMb <= free.memoryMb
	&& resources.gpu <= free.gpu;

/** The first work unit of a job that could run; undefined while something of the job runs or nothing is due. */
const waitingOf = (job: Job, wallMs: number): Waiting | undefined => {
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

const reasonOf = ({job, step}: Waiting, workers: readonly SchedulableWorker[], book: JobBook, manifest: ManifestIndex): WaitReason => {
	if (workers.length === 0) {
		return 'no-worker';
	}

	const labelled = workers.filter(worker => step.label === undefined || worker.labels.includes(step.label));
	if (labelled.length === 0) {
		return 'no-label';
	}

	if (createQuotaLedger(book, manifest).most(job.order.workspace, step.resources, 1) === 0) {
		return 'workspace-limit';
	}

	if (!labelled.some(worker => fitsIn(step, worker.capacity))) {
		return 'too-large';
	}

	const hasRoom = labelled.some(({life, capacity}) => {
		const used = book.usageOfLife(life);
		return fitsIn(step, {cpu: capacity.cpu - used.cpu, memoryMb: capacity.memoryMb - used.memoryMb, gpu: capacity.gpu - used.gpu});
	});
	return hasRoom ? 'not-placed' : 'no-room';
};

/** The longest wait of each pool that has jobs which have waited long. */
export const findLongWaits = ({book, workers, wallMs}: {book: JobBook; workers: readonly SchedulableWorker[]; wallMs: number}): LongWait[] => {
	const manifest = book.manifest();
	if (!manifest) {
		return [];
	}

	const longest = new Map<string, {waiting: Waiting; jobs: number}>();
	for (const job of book.openJobs()) {
		const waiting = waitingOf(job, wallMs);
		if (waiting && waiting.waitedMs >= LONG_WAIT_MS) {
			const {pool} = manifest.queue(job.order.queue) ?? job.queue;
			const before = longest.get(pool);
			longest.set(pool, {waiting: before && before.waiting.waitedMs >= waiting.waitedMs ? before.waiting : waiting, jobs: (before?.jobs ?? 0) + 1});
		}
	}

	return [...longest].map(([pool, {waiting, jobs}]) => {
		const usable = workers.filter(worker => worker.pool === pool);
		return {
			pool, jobs, unit: waiting.unit, waitedMs: waiting.waitedMs, reason: reasonOf(waiting, usable, book, manifest), usableWorkers: usable.length,
		};
	});
};
