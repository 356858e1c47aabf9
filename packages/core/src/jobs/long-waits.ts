/** Finds work units that have been ready to start for long, and the rules that keep them waiting. */
import {groupBy} from '../utils/group-by.js';
import {idleSinceMs, type IdleTimes} from './idle-times.js';
import {
	isOpen, isStepReady, type Job, type WorkUnit,
} from './job.js';
import type {SchedulableWorker} from './scheduling-input.js';
import {
	countRuledOut, reasonOfWait, withFree, type RuledOut, type WaitContext, type WaitingStep, type WaitReason,
} from './wait-reason.js';

/** Time for which a job with a ready work unit may have nothing running, in milliseconds. */
const JOB_WAIT_MS = 3000;
/** Time for which a lasting work unit may be ready and not run, in milliseconds. */
const LASTING_WAIT_MS = 6000;
/** Waits of one pool whose reasons are looked up at most, the longest first. */
const MAX_EXPLAINED = 50;

/** The long waits of one pool. */
export type LongWait = {
	pool: string;
	/** Jobs with long-waiting work units. */
	jobs: number;
	/** Work units that wait long. */
	units: number;
	/** Those among them that belong to lasting steps. */
	lasting: number;
	/** The work unit that waits longest; one of a lasting step if there is any. */
	unit: string;
	/** How long that one has waited, in milliseconds. */
	waitedMs: number;
	/** Why that one waits. */
	reason: WaitReason;
	/** Numbers of work units by reason, among the steps that wait longest. */
	reasons: Map<WaitReason, number>;
	usableWorkers: number;
	/** Numbers of usable workers that each rule keeps from taking the work unit that waits longest. */
	ruledOut: RuledOut;
};

/** Input of the search. */
export type LongWaitInput = WaitContext & {workers: readonly SchedulableWorker[]; idleTimes: Pick<IdleTimes, 'ofJob' | 'ofUnit'>; wallMs: number};

/** A step with work units that wait long; the one named waits longest. */
type LongWaitingStep = WaitingStep & {waitedMs: number; longUnits: number};

/** The ready steps of a job with work units that wait long. */
const findWaitingSteps = (job: Job, {idleTimes, wallMs}: LongWaitInput): LongWaitingStep[] => job.occurrences.filter(({dueMs}) => dueMs <= wallMs).flatMap(occurrence => job.order.steps.flatMap((step, number): LongWaitingStep[] => {
	if ((job.running > 0 && !step.lasting) || occurrence.doneInStep[number] === step.count || !isStepReady(job, occurrence, number)) {
		return [];
	}

	const limitMs = step.lasting ? LASTING_WAIT_MS : JOB_WAIT_MS;
	const units = occurrence.steps[number]!;
	const waitOf = (unit: WorkUnit): number => wallMs - idleSinceMs(idleTimes, job, occurrence, step, unit);
	/** How long each idle work unit has waited; undefined if the step lasts, as only then they differ. */
	const sharedMs = step.lasting ? undefined : waitOf(units[0]!);
	if (sharedMs !== undefined && sharedMs < limitMs) {
		return [];
	}

	let longest: WorkUnit | undefined;
	let waitedMs = -Infinity;
	let longUnits = 0;
	for (const unit of units) {
		const unitMs = unit.state === 'idle' ? sharedMs ?? waitOf(unit) : -Infinity;
		longUnits += unitMs >= limitMs ? 1 : 0;
		if (unitMs >= limitMs && unitMs > waitedMs) {
			longest = unit;
			waitedMs = unitMs;
		}
	}

	if (!longest) {
		return [];
	}

	// Written out: with a spread this object took a third of the search with 900 waiting jobs.
	return [{
		unit: longest, waitedMs, job, occurrence: occurrence.number, number, step, units, longUnits,
	}];
}));

const describePool = (pool: string, steps: LongWaitingStep[], input: LongWaitInput): LongWait => {
	const usable = withFree(input.store, input.workers.filter(worker => worker.pool === pool));
	steps.sort((left, right) => Number(right.step.lasting) - Number(left.step.lasting) || right.waitedMs - left.waitedMs);
	const first = steps[0]!;
	const reasons = new Map<WaitReason, number>();
	for (const step of steps.slice(0, MAX_EXPLAINED)) {
		const reason = reasonOfWait(step, usable, input);
		reasons.set(reason, (reasons.get(reason) ?? 0) + step.longUnits);
	}

	return {
		pool,
		jobs: new Set(steps.map(({job}) => job)).size,
		units: steps.reduce((sum, {longUnits}) => sum + longUnits, 0),
		lasting: steps.reduce((sum, {step, longUnits}) => sum + (step.lasting ? longUnits : 0), 0),
		unit: first.unit.name,
		waitedMs: first.waitedMs,
		reason: [...reasons.keys()][0]!,
		reasons,
		usableWorkers: usable.length,
		ruledOut: countRuledOut(first, usable, input),
	};
};

/** Returns the long waits of each pool that has any. */
export const findLongWaits = (input: LongWaitInput): LongWait[] => {
	const manifest = input.store.manifest();
	if (!manifest) {
		return [];
	}

	const steps = [...input.store.openJobs()].filter(job => isOpen(job)).flatMap(job => findWaitingSteps(job, input));
	return [...groupBy(steps, ({job}) => (manifest.queue(job.order.queue) ?? job.queue).pool)].map(([pool, waiting]) => describePool(pool, waiting, input));
};
