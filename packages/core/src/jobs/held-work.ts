/**
Counts the work that each keeper holds in memory for jobs, drops that of jobs that have ended, and decides whether a job may add to it.

Handles callers who submit jobs of very many work units or steps: a short request may ask for 20,000 work units, each of which takes
some hundred bytes on every keeper until its job has ended.
*/
import {Buffer} from 'node:buffer';
import type {Job, JobOrder} from './job.js';

/** Number of work units as which a step counts, for its own memory and the time that each pass spends on it. */
const STEP_WEIGHT = 4;
/** Bytes of names and specifications, in UTF-8, that take as much memory as a work unit. */
const BYTES_PER_UNIT = 350;
/** Time after the end of a job for which its work units are kept, in milliseconds; what reports the last runs still looks them up. */
const KEPT_MS = 10_000;
/** Part of the limit that one workspace, or all jobs without a workspace, may hold beside others. */
const WORKSPACE_SHARE = 0.25;

/** Work that is held, in all and for one workspace, in work units. */
export type HeldWork = {total: number; ofWorkspace: number};

/** Work that a job holds, in work units. */
export const weightOf = ({steps, times, spec}: Pick<JobOrder, 'steps' | 'times' | 'spec'>): number => {
	const bytes = [spec, ...steps.flatMap(({label = '', dataRack = '', image = ''}) => [label, dataRack, image])].reduce((sum, text) => sum + Buffer.byteLength(text), 0);
	return (times * steps.reduce((sum, {count}) => sum + count + STEP_WEIGHT, 0)) + Math.floor(bytes / BYTES_PER_UNIT);
};

/** Whether a job may be added to what is held. A job that meets nothing held is added whatever its size, since a single job within the limits of a request is served. */
export const mayHold = (weight: number, {total, ofWorkspace}: HeldWork, limit: number): boolean => (total === 0 || total + weight <= limit)
	&& (ofWorkspace === 0 || ofWorkspace + weight <= limit * WORKSPACE_SHARE);

/** Key of the jobs without a workspace. */
const NO_WORKSPACE = '';

/** Creates the count for the jobs of a store. */
export const createHeldWork = (jobs: Iterable<Job>, isFinished: (job: Job) => boolean) => {
	const weights = new Map<Job, number>();
	const byWorkspace = new Map<string, number>();
	/** Jobs that have ended, the earliest first, whose work units are still held. */
	let ended: Job[] = [];
	let total = 0;

	const change = (workspace: string | undefined, by: number): void => {
		const key = workspace ?? NO_WORKSPACE;
		total += by;
		byWorkspace.set(key, (byWorkspace.get(key) ?? 0) + by);
	};

	const add = (job: Job): void => {
		const weight = weightOf(job.order);
		weights.set(job, weight);
		change(job.order.workspace, weight);
	};

	const drop = (job: Job): void => {
		change(job.order.workspace, -weights.get(job)!);
		weights.delete(job);
		job.occurrences = [];
		job.order = {...job.order, spec: '', steps: []};
	};

	/** Number of the first ended jobs whose time is over. */
	const countOver = (atMs: number): number => {
		const first = ended.findIndex(job => atMs - job.endedAtMs <= KEPT_MS);
		return first === -1 ? ended.length : first;
	};

	for (const job of jobs) {
		add(job);
		if (isFinished(job)) {
			ended.push(job);
		}
	}

	ended.sort((left, right) => left.endedAtMs - right.endedAtMs);

	return {
		add,

		/** Records that a job has ended and runs nothing any more. */
		ended(job: Job): void {
			ended.push(job);
		},

		/** Drops the work units and steps of jobs that ended some time before. */
		release(atMs: number): void {
			const over = ended.slice(0, countOver(atMs));
			ended = ended.slice(over.length);
			for (const job of over) {
				drop(job);
			}
		},

		/** What is held, without what the next job that is added releases. */
		held(atMs: number, workspace: string | undefined): HeldWork {
			const over = ended.slice(0, countOver(atMs));
			const sum = (list: readonly Job[]): number => list.reduce((weight, job) => weight + weights.get(job)!, 0);
			return {
				total: total - sum(over),
				ofWorkspace: (byWorkspace.get(workspace ?? NO_WORKSPACE) ?? 0) - sum(over.filter(job => job.order.workspace === workspace)),
			};
		},
	};
};
