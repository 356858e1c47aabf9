/** The room of each pool at the begin of a pass, and whether its ready work exceeds it. */
import {groupBy} from '../utils/group-by.js';
import type {Resources} from './fleet-manifest.js';
import {countInState, isStepReady, type Job} from './job.js';
import {currentOccurrence} from './job-ranking.js';
import type {QuotaLedger} from './quota-ledger.js';
import type {RunEstimates} from './run-estimates.js';
import type {SchedulingInput} from './scheduling-input.js';

/** What a pool's workers have for work that ends, and what of it is free. */
export type PoolRoom = {capacity: Resources; free: Resources};

/** Measures the room of every pool that has workers. */
export const measureRoom = ({store, workers}: Pick<SchedulingInput, 'store' | 'workers'>): Map<string, PoolRoom> => {
	const rooms = new Map<string, PoolRoom>();
	for (const [pool, list] of groupBy(workers, worker => worker.pool)) {
		const room: PoolRoom = {capacity: {cpu: 0, memoryMb: 0, gpu: 0}, free: {cpu: 0, memoryMb: 0, gpu: 0}};
		for (const {life, capacity} of list) {
			const used = store.usageOfLife(life);
			room.free.cpu += capacity.cpu - used.cpu;
			room.free.memoryMb += capacity.memoryMb - used.memoryMb;
			room.capacity.cpu += capacity.cpu;
			room.capacity.memoryMb += capacity.memoryMb;
			for (const {job, step} of store.runsOf(life).values()) {
				if (job.order.steps[step]!.lasting) {
					const reserved = store.reserved(job, step);
					room.capacity.cpu -= reserved.cpu;
					room.capacity.memoryMb -= reserved.memoryMb;
				}
			}
		}

		rooms.set(pool, room);
	}

	return rooms;
};

/** Resources of a job's work units that could start now within its workspace's limit. */
export const readyResources = (job: Job, quota: QuotaLedger, wallMs: number): Resources => {
	const ready: Resources = {cpu: 0, memoryMb: 0, gpu: 0};
	for (const occurrence of job.occurrences) {
		if (occurrence.dueMs > wallMs) {
			continue;
		}

		let number = -1;
		for (const {count, resources, fillsSpare} of job.order.steps) {
			number += 1;
			if (occurrence.doneInStep[number]! < count && isStepReady(job, occurrence, number)) {
				const idle = quota.maxWithinLimit(job.order.workspace, resources, countInState(occurrence.steps[number]!, 'idle'));
				quota.reserve(job.order.workspace, resources, idle);
				ready.cpu += fillsSpare ? 0 : idle * resources.cpu;
				ready.memoryMb += idle * resources.memoryMb;
			}
		}
	}

	return ready;
};

/** True if the ready work of some jobs exceeds the free room of their pool. */
export const isShort = (jobs: readonly Job[], room: PoolRoom, quota: QuotaLedger, wallMs: number): boolean => {
	let cpu = 0;
	let memoryMb = 0;
	for (const job of jobs) {
		const ready = readyResources(job, quota, wallMs);
		cpu += ready.cpu;
		memoryMb += ready.memoryMb;
		if (cpu > room.free.cpu || memoryMb > room.free.memoryMb) {
			return true;
		}
	}

	return false;
};

/** Time that a pool as a whole would need for the remaining work of a job, by the scarcer of cores and memory, in milliseconds. */
export const workMsOf = (job: Job, {capacity}: PoolRoom, estimates: RunEstimates): number => {
	let cpuMs = 0;
	let memoryMs = 0;
	const {doneInStep} = currentOccurrence(job);
	let number = -1;
	for (const step of job.order.steps) {
		number += 1;
		const unitsMs = step.lasting ? 0 : (step.count - doneInStep[number]!) * estimates.expectedMs(job.order.queue, step.estimateMs);
		cpuMs += step.fillsSpare ? 0 : unitsMs * step.resources.cpu;
		memoryMs += unitsMs * step.resources.memoryMb;
	}

	return Math.max(cpuMs / Math.max(1, capacity.cpu), memoryMs / Math.max(1, capacity.memoryMb));
};
