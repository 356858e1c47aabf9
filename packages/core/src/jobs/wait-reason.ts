/** Finds which rule keeps a ready step from starting its idle work units. */
import {groupBy} from '../utils/group-by.js';
import type {Resources} from './fleet-manifest.js';
import {countRoom} from './gang-room.js';
import type {Job, JobStep, WorkUnit} from './job.js';
import type {JobStore} from './job-store.js';
import {createQuotaLedger} from './quota-ledger.js';
import type {SchedulingPass} from './scheduler.js';
import type {SchedulableWorker, SchedulingInput} from './scheduling-input.js';

/** Reason why a work unit has not started. */
export type WaitReason =
	/** The pool has no worker that accepts work. */
	| 'no-worker'
	/** Only workers in evacuated data centres could take it. */
	| 'evacuated'
	/** No worker of the pool has the required label. */
	| 'no-label'
	/** The work unit requires more than the total capacity of any worker. */
	| 'too-large'
	/** The workspace is at its limit. */
	| 'workspace-limit'
	/** A member of the gang is still recorded as running. */
	| 'gang-incomplete'
	/** The decisions of the queue's policy are missing. */
	| 'awaits-advice'
	/** No worker has enough free capacity. */
	| 'no-room'
	/** Some members of the gang fit, and not all. */
	| 'gang-no-room'
	/** Workers have room, and the queue's policy is not known to allow any of them. */
	| 'not-approved'
	/** Only workers on which the work unit failed a short time ago have room. */
	| 'only-avoided'
	/** Each worker with room runs as many of the step's work units as it may. */
	| 'per-worker-limit'
	/** Each worker with room is ruled out by one of several rules, and no rule rules out all of them. */
	| 'combined-rules'
	/** The latest pass reached its limit of starts before it. */
	| 'pass-limit'
	/** None of these; one of the next scheduling passes should place it. */
	| 'not-placed';

/** A ready step with idle work units, one of which waits longest. */
export type WaitingStep = {job: Job; occurrence: number; number: number; step: JobStep; units: readonly WorkUnit[]; unit: WorkUnit};

/** What the scheduling passes know. */
export type WaitContext = Pick<SchedulingInput, 'avoided' | 'approved'> & Pick<SchedulingPass, 'cutSteps'> & {
	store: JobStore;
	/** Workers of all pools that would take work if their data centres were not evacuated. */
	evacuated?: readonly SchedulableWorker[];
};

type FreeWorker = SchedulableWorker & {free: Resources};

const holds = ({resources, fillsSpare}: JobStep, free: Resources): boolean => (fillsSpare || resources.cpu <= free.cpu)
	&& resources.memoryMb <= free.memoryMb
	&& resources.gpu <= free.gpu;

/** Free resources of a pool's workers, which may be below zero. */
export const withFree = (store: JobStore, workers: readonly SchedulableWorker[]): FreeWorker[] => workers.map(worker => {
	const used = store.usageOfLife(worker.life);
	const {capacity} = worker;
	return {...worker, free: {cpu: capacity.cpu - used.cpu, memoryMb: capacity.memoryMb - used.memoryMb, gpu: capacity.gpu - used.gpu}};
});

/** Numbers of a pool's workers that each rule keeps from taking a work unit; one worker may count for several rules. */
export type RuledOut = Record<'label' | 'room' | 'policy' | 'avoided' | 'per-worker', number>;

type Rules = Record<keyof RuledOut, (worker: FreeWorker) => boolean>;

/** The rules that keep workers from taking a work unit; each is true for a worker that it rules out. */
const rulesFor = ({job, occurrence, number, step, units, unit}: WaitingStep, context: WaitContext): Rules => {
	const approved = context.approved(job, occurrence, number);
	const avoided = context.avoided(unit.name);
	const {perWorker = Infinity} = step;
	const unitsByLife = groupBy(units.filter(each => each.state === 'running'), each => each.worker);
	return {
		label: worker => step.label !== undefined && !worker.labels.includes(step.label),
		room: worker => !holds(step, worker.free),
		policy: ({life}) => approved?.has(life) === false,
		avoided: ({life}) => avoided !== undefined && avoided.areBarred && avoided.lives.has(life),
		'per-worker': ({life}) => (unitsByLife.get(life)?.length ?? 0) >= perWorker,
	};
};

/** Counts the pool's workers that each rule rules out for a work unit. */
export const countRuledOut = (waiting: WaitingStep, pool: readonly FreeWorker[], context: WaitContext): RuledOut => {
	const rules = rulesFor(waiting, context);
	const count = (rule: keyof RuledOut): number => pool.filter(worker => rules[rule](worker)).length;
	return {
		label: count('label'), room: count('room'), policy: count('policy'), avoided: count('avoided'), 'per-worker': count('per-worker'),
	};
};

/** The reason among those that depend on which workers have room. */
const reasonWithRoom = (waiting: WaitingStep, roomy: readonly FreeWorker[], context: WaitContext): WaitReason => {
	const rules = rulesFor(waiting, context);
	if (roomy.every(worker => rules.policy(worker))) {
		return 'not-approved';
	}

	if (roomy.every(worker => rules.avoided(worker))) {
		return 'only-avoided';
	}

	if (roomy.every(worker => rules['per-worker'](worker))) {
		return 'per-worker-limit';
	}

	const acceptable = roomy.filter(worker => !rules.policy(worker) && !rules.avoided(worker) && !rules['per-worker'](worker));
	if (acceptable.length === 0) {
		return 'combined-rules';
	}

	const {step, units} = waiting;
	if (step.gang && countRoom(step, acceptable.map(({free}) => free)) < units.length) {
		return 'gang-no-room';
	}

	return context.cutSteps.has(units) ? 'pass-limit' : 'not-placed';
};

/** Finds the reason, given the workers of the step's pool that accept work. */
export const reasonOfWait = (waiting: WaitingStep, pool: readonly FreeWorker[], context: WaitContext): WaitReason => {
	const {job, step, units} = waiting;
	const manifest = context.store.manifest();
	const poolName = (manifest?.queue(job.order.queue) ?? job.queue).pool;
	const hasLabel = ({labels}: SchedulableWorker): boolean => step.label === undefined || labels.includes(step.label);
	const wouldFit = context.evacuated?.some(worker => worker.pool === poolName && hasLabel(worker) && holds(step, worker.capacity)) === true;
	if (pool.length === 0) {
		return wouldFit ? 'evacuated' : 'no-worker';
	}

	const labelled = pool.filter(worker => hasLabel(worker));
	if (labelled.length === 0) {
		return wouldFit ? 'evacuated' : 'no-label';
	}

	if (createQuotaLedger(context.store, manifest).maxWithinLimit(job.order.workspace, step.resources, step.gang ? units.length : 1) < (step.gang ? units.length : 1)) {
		return 'workspace-limit';
	}

	if (!labelled.some(worker => holds(step, worker.capacity))) {
		return wouldFit ? 'evacuated' : 'too-large';
	}

	if (step.gang && units.some(unit => unit.state !== 'idle')) {
		return 'gang-incomplete';
	}

	if (manifest?.queue(job.order.queue)?.recommendation && context.approved(job, waiting.occurrence, waiting.number) === undefined) {
		return 'awaits-advice';
	}

	const roomy = labelled.filter(worker => holds(step, worker.free));
	return roomy.length === 0 ? 'no-room' : reasonWithRoom(waiting, roomy, context);
};
