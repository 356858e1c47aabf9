/** One job: steps of work units, what has run, and what may run next. */
import {BronzebendError} from '../utils/errors.js';
import type {JobQueue, Resources} from './fleet-manifest.js';

/** A step: work units that are alike. */
export type JobStep = {
	count: number;
	/** What one work unit asks for. */
	resources: Resources;
	/** Rough duration of a work unit. */
	estimateMs: number;
	/** Numbers of earlier steps that must be done first. */
	dependsOn: number[];
	checkpointing: boolean;
	/** All work units run together, under one attempt. */
	gang: boolean;
	rackLocal: boolean;
	/** Label that a worker must have. */
	label?: string;
	/** Rack that holds the data. */
	dataRack?: string;
	/** Work units of the step that one worker may run at most. */
	perWorker?: number;
	speculative: boolean;
	/** Work units run until the job is cancelled. */
	lasting: boolean;
	image?: string;
	/** Tail of response times that a serving work unit must stay below. */
	targetMs?: number;
	/** Runs on what others leave unused; its cores are not reserved. */
	fillsSpare: boolean;
	/** Work units that may be unavailable at once through orders of ours. */
	mayMiss?: number;
};

/** What a caller hands in. */
export type JobOrder = {
	id: string;
	queue: string;
	workspace?: string;
	spec: string;
	steps: JobStep[];
	/** How often the steps run. */
	times: number;
	/** When the first occurrence is due, in Unix milliseconds; 0 is at once. */
	startAtMs: number;
	intervalMs: number;
};

/** A caller's view of a job. */
export const JobStates = {
	queued: 'queued', running: 'running', completed: 'completed', failed: 'failed', cancelled: 'cancelled',
} as const;
export type JobState = (typeof JobStates)[keyof typeof JobStates];

/** How a run of a work unit ended. */
export const RunEnds = {
	done: 'done', failed: 'failed', stopped: 'stopped', lapsed: 'lapsed', broken: 'broken', alone: 'alone',
	/** It never began, or its worker is gone. */
	lost: 'lost',
} as const;
export type RunEnd = (typeof RunEnds)[keyof typeof RunEnds];

/** One work unit. */
export type WorkUnit = {
	/** Job, occurrence, step and number in the step, joined by dots. */
	name: string;
	/** Number of the latest run; 0 before the first. */
	attempt: number;
	failures: number;
	state: 'idle' | 'running' | 'done';
	/** Life of the worker that runs it. */
	worker?: string;
	checkpoint: string;
};

/** One occurrence of a job's steps. */
export type Occurrence = {number: number; dueMs: number; steps: WorkUnit[][]; doneInStep: number[]};

/** A job with its progress. */
export type Job = {
	order: JobOrder;
	/** The queue as it was when the job was accepted. */
	queue: JobQueue;
	acceptedAtMs: number;
	state: JobState;
	endedAtMs: number;
	occurrences: Occurrence[];
	/** Work units that run now. */
	running: number;
};

/** A job that makes no sense. */
export class JobOrderError extends BronzebendError {
	override readonly name = 'JobOrderError';

	constructor(what: string) {
		super('job-invalid', `Cannot accept the job: ${what}.`);
	}
}

/** Name of a work unit. */
export const unitName = (job: string, occurrence: number, step: number, index: number): string => `${job}.${occurrence}.${step}.${index}`;

/** Place of a work unit in its job; undefined where the name is of another form. */
export const parseUnitName = (name: string): {job: string; occurrence: number; step: number; index: number} | undefined => {
	const [job, ...numbers] = name.split('.');
	const [occurrence, step, index] = numbers.map(Number);
	const isWhole = numbers.length === 3 && numbers.every(number => /^\d+$/u.test(number));
	return isWhole && job
		? {
			job, occurrence: occurrence!, step: step!, index: index!,
		}
		: undefined;
};

/** Largest number of work units in one job. */
const MAX_UNITS = 20_000;

/**
Checks an order on its own.

@throws {JobOrderError} Says what is wrong.
*/
export const checkOrder = (order: JobOrder): void => {
	if (order.steps.length === 0) {
		throw new JobOrderError('it has no steps');
	}

	for (const [number, step] of order.steps.entries()) {
		if (!Number.isSafeInteger(step.count) || step.count < 1) {
			throw new JobOrderError(`step ${number} has no work units`);
		}

		if (step.dependsOn.some(other => !Number.isSafeInteger(other) || other < 0 || other >= number)) {
			throw new JobOrderError(`step ${number} depends on a step that is not before it`);
		}
	}

	const units = order.times * order.steps.reduce((sum, step) => sum + step.count, 0);
	if (!(units <= MAX_UNITS)) {
		throw new JobOrderError(`it has more than ${MAX_UNITS} work units`);
	}
};

/** Creates a job from an order. */
export const createJob = (order: JobOrder, queue: JobQueue, acceptedAtMs: number): Job => ({
	order,
	queue,
	acceptedAtMs,
	state: JobStates.queued,
	endedAtMs: 0,
	running: 0,
	occurrences: Array.from({length: order.times}, (_, number) => ({
		number,
		dueMs: order.startAtMs > 0 ? order.startAtMs + (number * order.intervalMs) : 0,
		doneInStep: order.steps.map(() => 0),
		steps: order.steps.map((step, stepNumber) => Array.from({length: step.count}, (__, index): WorkUnit => ({
			name: unitName(order.id, number, stepNumber, index), attempt: 0, failures: 0, state: 'idle', checkpoint: '',
		}))),
	})),
});

/** True while work units of the job may start. */
export const isOpen = (job: Job): boolean => job.state === JobStates.queued || job.state === JobStates.running;

/** True where everything before a step is done. */
export const isStepReady = (job: Job, occurrence: Occurrence, step: number): boolean => job.order.steps[step]!.dependsOn.every(other => occurrence.doneInStep[other] === job.order.steps[other]!.count);

/** Longest chain of estimated work over the steps that are left, in milliseconds. */
export const chainMs = (order: JobOrder, isLeft: (step: number) => boolean = () => true): number => {
	const ends: number[] = [];
	for (const [number, step] of order.steps.entries()) {
		const before = Math.max(0, ...step.dependsOn.map(other => ends[other]!));
		ends.push(before + (isLeft(number) ? step.estimateMs : 0));
	}

	return Math.max(0, ...ends);
};
