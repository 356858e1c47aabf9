/**
Admission control for jobs by the time at which they would be served.

Handles overload, where a pool cannot serve all jobs before their results are useless. A job that
cannot be served in that time is refused at once, with the time after which it could; all others are
accepted, however much work waits.
*/
import type {JobQueue, Resources} from './fleet-manifest.js';
import type {JobStore} from './job-store.js';
import {
	isOpen, type JobOrder,
} from './job.js';
import {
	currentOccurrence, expectedChainMs, LATE_FACTOR, objectiveOf, rankJob, Tiers,
} from './job-ranking.js';
import type {RunEstimates} from './run-estimates.js';

/** Time until a machine of another pool or of standby takes work, in milliseconds: the platform's move and the first report of the worker. */
const OBTAIN_MS = 1700;
/** Multiple of the time until a job is useless beyond which the expected time counts as too late. A refusal costs a caller at least a second, and estimates err; a job accepted in vain goes last and costs the others nothing. With 1, the model served fewer. */
const DOUBT_FACTOR = 1.5;
/** Part of the wait by which retries are spread, beside the unit on the wire, in milliseconds. */
const RETRY_SPREAD = 0.5;
const SPREAD_UNIT_MS = 1000;

/** Resources of a pool's machines, and of those that it can get: on their way, in standby, or idle in other pools. */
export type AdmissionRoom = {present: Resources; obtainable: Resources};

/** Sums the capacities of workers or machines. */
export const sumResources = (list: ReadonlyArray<{capacity: Resources}>): Resources => {
	const sum = {cpu: 0, memoryMb: 0, gpu: 0};
	for (const {capacity} of list) {
		sum.cpu += capacity.cpu;
		sum.memoryMb += capacity.memoryMb;
		sum.gpu += capacity.gpu;
	}

	return sum;
};

/** Sums the machines of a pool, and those that it can get: machines in standby pools and idle ones of other pools. */
export const sumPoolRoom = <Machine extends {pool: string; capacity: Resources}>(machines: readonly Machine[], pool: string, others: {standby: ReadonlySet<string>; isIdle(machine: Machine): boolean}): AdmissionRoom => ({
	present: sumResources(machines.filter(machine => machine.pool === pool)),
	obtainable: sumResources(machines.filter(machine => machine.pool !== pool && (others.standby.has(machine.pool) || others.isIdle(machine)))),
});

/** Work in thousandths of a core, and in MB, times milliseconds. */
type Work = {cpuMs: number; memoryMs: number};

/** Waiting and running work of a pool by the latest start of its job, in the order of these; each entry has the sum up to and including its job. */
export type PoolBacklog = ReadonlyArray<Work & {latestStartMs: number}>;

/** Expected work of the remaining work units of an order. */
const workOf = ({queue, steps}: JobOrder, estimates: RunEstimates, remaining: (step: number) => number): Work => {
	const work = {cpuMs: 0, memoryMs: 0};
	let number = -1;
	for (const step of steps) {
		number += 1;
		const unitsMs = step.lasting ? 0 : remaining(number) * estimates.expectedMs(queue, step.estimateMs);
		work.cpuMs += step.fillsSpare ? 0 : unitsMs * step.resources.cpu;
		work.memoryMs += unitsMs * step.resources.memoryMb;
	}

	return work;
};

/** Measures the work of each pool that goes before a new job, by latest start: of jobs that can be in time the start for that, of late ones the one after which they are useless. Jobs past use go last, so they do not count. */
export const measurePoolBacklogs = (store: JobStore, estimates: RunEstimates, wallMs: number): Map<string, PoolBacklog> => {
	const manifest = store.manifest();
	if (!manifest) {
		return new Map();
	}

	const backlogs = new Map<string, Array<Work & {latestStartMs: number}>>();
	for (const job of store.openJobs()) {
		if (!isOpen(job)) {
			continue;
		}

		const {tier, dueMs, objectiveMs, remainingMs} = rankJob(job, wallMs, estimates, manifest);
		if (tier !== Tiers.inTime && tier !== Tiers.late) {
			continue;
		}

		const {order} = job;
		const {doneInStep} = currentOccurrence(job);
		const work = workOf(order, estimates, step => order.steps[step]!.count - doneInStep[step]!);
		const {pool} = manifest.queue(order.queue) ?? job.queue;
		const entries = backlogs.get(pool) ?? [];
		backlogs.set(pool, entries);
		entries.push({
			latestStartMs: tier === Tiers.inTime ? dueMs : job.acceptedAtMs + (LATE_FACTOR * objectiveMs) - remainingMs,
			...work,
		});
	}

	for (const entries of backlogs.values()) {
		entries.sort((left, right) => left.latestStartMs - right.latestStartMs);
		let cpuMs = 0;
		let memoryMs = 0;
		for (const entry of entries) {
			cpuMs += entry.cpuMs;
			memoryMs += entry.memoryMs;
			entry.cpuMs = cpuMs;
			entry.memoryMs = memoryMs;
		}
	}

	return backlogs;
};

/** Time in which the machines that a pool has and can get finish an amount of work, in milliseconds. */
const finishMs = (amountMs: number, present: number, obtainable: number): number => {
	const alone = present > 0 ? amountMs / present : Infinity;
	return alone <= OBTAIN_MS ? alone : (amountMs + (obtainable * OBTAIN_MS)) / Math.max(1, present + obtainable);
};

/** Spreads the retries of different jobs evenly and the same for each repetition of one, by the last digits of the job's ID. */
const spreadOf = (id: string): number => (Number.parseInt(id.slice(-4), 16) || 0) / 65_536;

/** Why a job is refused: when it would be served, when its result becomes useless, and the delay after which its caller should retry, in milliseconds. */
export type Refusal = {servedMs: number; deadlineMs: number; retryMs: number};

/** What admission knows of a job's pool; the room is undefined while the machines are unknown. */
export type AdmissionInput = {backlog: PoolBacklog; room: AdmissionRoom | undefined; estimates: RunEstimates; wallMs: number};

/** Decides whether a job is refused; undefined if it is admitted, as all lasting jobs are, and all jobs while the machines of the pool are unknown. */
export const findRefusal = (order: JobOrder, queue: JobQueue, {backlog, room, estimates, wallMs}: AdmissionInput): Refusal | undefined => {
	if (!room || order.steps.some(step => step.lasting) || order.startAtMs > wallMs || room.present.cpu + room.obtainable.cpu <= 0) {
		return undefined;
	}

	const deadlineMs = LATE_FACTOR * objectiveOf({order, queue}, estimates);
	const latestStartMs = wallMs + deadlineMs - expectedChainMs(order, estimates);
	const ahead = backlog.findLast(entry => entry.latestStartMs <= latestStartMs) ?? {cpuMs: 0, memoryMs: 0};
	const own = workOf(order, estimates, step => order.steps[step]!.count);
	const servedMs = Math.max(
		finishMs(ahead.cpuMs + own.cpuMs, room.present.cpu, room.obtainable.cpu),
		finishMs(ahead.memoryMs + own.memoryMs, room.present.memoryMb, room.obtainable.memoryMb),
	);
	if (servedMs <= deadlineMs * DOUBT_FACTOR) {
		return undefined;
	}

	const waitMs = servedMs - deadlineMs;
	return {servedMs, deadlineMs, retryMs: Math.ceil(waitMs + (spreadOf(order.id) * (SPREAD_UNIT_MS + (RETRY_SPREAD * waitMs))))};
};
