/** A job: its steps of work units, and their progress. */
import {BronzebendError} from '../utils/errors.js';
import type {JobQueue, Resources} from './fleet-manifest.js';

/** A step: a number of identical work units. */
export type JobStep = {
	count: number;
	/** Resources that one work unit requires. */
	resources: Resources;
	/** Estimated duration of a work unit, in milliseconds. */
	estimateMs: number;
	/** Indexes of earlier steps that must be done first. */
	dependsOn: number[];
	checkpointing: boolean;
	/** All work units run together, under one attempt number. */
	gang: boolean;
	rackLocal: boolean;
	/** Label that a worker must have. */
	label?: string;
	/** Rack that holds the data. */
	dataRack?: string;
	/** Upper limit on work units of the step on one worker. */
	perWorker?: number;
	speculative: boolean;
	/** Work units run until the job is cancelled. */
	lasting: boolean;
	image?: string;
	/** Target for the tail response time of a serving work unit, in milliseconds. */
	targetMs?: number;
	/** Runs on spare capacity; its cores are not reserved. */
	fillsSpare: boolean;
	/** Availability budget: how many work units may be unavailable at once because of this system's own orders. */
	mayMiss?: number;
};

/** A job as submitted. */
export type JobOrder = {
	id: string;
	queue: string;
	workspace?: string;
	spec: string;
	steps: JobStep[];
	/** Number of occurrences, each of which runs all steps. */
	times: number;
	/** Time at which the first occurrence is due, in Unix milliseconds; 0 means immediately. */
	startAtMs: number;
	intervalMs: number;
};

/** State of a job as reported to callers. */
export const JobStates = {
	queued: 'queued', running: 'running', completed: 'completed', failed: 'failed', cancelled: 'cancelled',
} as const;
export type JobState = (typeof JobStates)[keyof typeof JobStates];

/** How a run of a work unit ended. */
export const RunEnds = {
	done: 'done', failed: 'failed', stopped: 'stopped', lapsed: 'lapsed', broken: 'broken', alone: 'alone',
	/** The run never began, or its worker is gone. */
	lost: 'lost',
} as const;
export type RunEnd = (typeof RunEnds)[keyof typeof RunEnds];

/** One work unit. */
export type WorkUnit = {
	/** Job, occurrence, step and number in the step, joined by dots. */
	name: string;
	/** Attempt number of the latest run; 0 before the first. */
	attempt: number;
	failures: number;
	state: 'idle' | 'running' | 'done';
	/** Life that runs it. */
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
	/** `running` from the first recorded start on, which no worker may have received. */
	state: JobState;
	/** A worker has confirmed, listed or ended a run of this job. */
	hasBegun: boolean;
	endedAtMs: number;
	occurrences: Occurrence[];
	/** Work units that run now. */
	running: number;
};

/** Thrown when a submitted job is invalid. */
export class JobOrderError extends BronzebendError {
	override readonly name = 'JobOrderError';

	constructor(fault: string) {
		super('job-invalid', `Cannot accept the job: ${fault}.`);
	}
}

/** Code of the digit 0. */
const ZERO = 48;

/** Builds the name of a work unit. */
export const unitName = (job: string, occurrence: number, step: number, index: number): string => `${job}.${occurrence}.${step}.${index}`;

/** The number that a part of a text consists of; undefined if it has another character or none. */
const numberBetween = (text: string, from: number, to: number): number | undefined => {
	let number = 0;
	for (let at = from; at < to; at += 1) {
		const digit = text.codePointAt(at)! - ZERO;
		if (digit < 0 || digit > 9) {
			return undefined;
		}

		number = (number * 10) + digit;
	}

	return to > from ? number : undefined;
};

/** Parses the name of a work unit; returns undefined if the name is malformed. */
export const parseUnitName = (name: string): {job: string; occurrence: number; step: number; index: number} | undefined => {
	const afterJob = name.indexOf('.');
	const afterOccurrence = name.indexOf('.', afterJob + 1);
	const afterStep = name.indexOf('.', afterOccurrence + 1);
	if (afterJob <= 0 || afterOccurrence <= afterJob || afterStep <= afterOccurrence) {
		return undefined;
	}

	const occurrence = numberBetween(name, afterJob + 1, afterOccurrence);
	const step = numberBetween(name, afterOccurrence + 1, afterStep);
	const index = numberBetween(name, afterStep + 1, name.length);
	return occurrence === undefined || step === undefined || index === undefined
		? undefined
		: {
			job: name.slice(0, afterJob), occurrence, step, index,
		};
};

/** The job of a work unit, by the unit's name. */
export const jobOfUnit = (name: string): string => name.slice(0, name.indexOf('.'));

/** Largest number of work units in one job. */
export const MAX_WORK_UNITS = 20_000;

/**
Validates a submitted job on its own, without the manifest.

@throws {JobOrderError} If the job is invalid; names the first fault found.
*/
export const checkOrder = (order: JobOrder): void => {
	if (order.steps.length === 0) {
		throw new JobOrderError('it has no steps');
	}

	for (const [number, step] of order.steps.entries()) {
		if (!Number.isSafeInteger(step.count) || step.count < 1) {
			throw new JobOrderError(`step ${number} needs a whole number of work units, at least 1`);
		}

		if (step.dependsOn.some(other => !Number.isSafeInteger(other) || other < 0 || other >= number)) {
			throw new JobOrderError(`step ${number} depends on a step that does not come before it`);
		}

		if (new Set(step.dependsOn).size < step.dependsOn.length) {
			throw new JobOrderError(`step ${number} names a step that it depends on more than once`);
		}
	}

	const units = order.times * order.steps.reduce((sum, step) => sum + step.count, 0);
	if (!(units <= MAX_WORK_UNITS)) {
		throw new JobOrderError(`it has more than ${MAX_WORK_UNITS} work units over all occurrences`);
	}
};

/** Creates a job in its initial state. */
export const createJob = (order: JobOrder, queue: JobQueue, acceptedAtMs: number): Job => ({
	order,
	queue,
	acceptedAtMs,
	state: JobStates.queued,
	hasBegun: false,
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

/** True while work units of the job can start. */
export const isOpen = (job: Job): boolean => job.state === JobStates.queued || job.state === JobStates.running;

/** True if a run of the job has ended by a worker's word, as far as the work units tell. */
export const hasProgress = (job: Job): boolean => job.occurrences.some(({steps}) => steps.some(units => units.some(unit => unit.state === 'done' || unit.failures > 0 || unit.checkpoint !== '')));

/** True if all work units of all occurrences are done. */
export const isDone = (job: Job): boolean => job.occurrences.every(each => each.doneInStep.every((done, number) => done === job.order.steps[number]!.count));

/** Number of work units in a state. */
export const countInState = (units: readonly WorkUnit[], state: WorkUnit['state']): number => {
	let count = 0;
	for (const unit of units) {
		count += unit.state === state ? 1 : 0;
	}

	return count;
};

/** True if all steps that a step depends on are done. */
export const isStepReady = (job: Job, occurrence: Occurrence, step: number): boolean => job.order.steps[step]!.dependsOn.every(other => occurrence.doneInStep[other] === job.order.steps[other]!.count);

/** Length of the longest dependency chain over the remaining steps, by their durations, in milliseconds. */
export const chainMs = (order: JobOrder, isLeft: (step: number) => boolean = () => true, durationMs: (step: JobStep) => number = ({estimateMs}) => estimateMs): number => {
	const ends: number[] = [];
	let longest = 0;
	for (const step of order.steps) {
		let end = 0;
		for (const other of step.dependsOn) {
			end = Math.max(end, ends[other]!);
		}

		end += isLeft(ends.length) ? durationMs(step) : 0;
		ends.push(end);
		longest = Math.max(longest, end);
	}

	return longest;
};
