/** Handles job calls on the leader: decides each from the replicated job state, and commits changes before acknowledging them. */
import {
	checkOrder, findRefusal, JobOrderError, measurePoolBacklogs, UnreachableError,
	type AdmissionInput, type AdmissionRoom, type BegunJobs, type CallTarget, type Clock, type JobAnswer, type JobStore, type JobCall, type JobCommand, type JobDescription,
	type Job, type JobOrder, type JobOutcome, type JobQueue, type PoolBacklog, type RunEstimates,
} from '@bronzebend/core';
import {DiskFullError, NotLeaderError} from '@bronzebend/replica';
import type {Log} from '../utils/log.js';
import {createEvacuationCalls} from './evacuation-calls.js';
import {createHeldWorkAdmission} from './held-work-admission.js';
import type {JobMetrics} from './job-metrics.js';
import type {KnownDataCentres} from './known-data-centres.js';

/** Default retry delay given to callers, in milliseconds. */
const DEFAULT_RETRY_MS = 500;
/** Delay after which a caller retries whose job is too large for what the keepers hold, in milliseconds; such work takes seconds to end. */
const HELD_WORK_RETRY_MS = 5000;
/** Age up to which a measured backlog is reused, in milliseconds. */
const MAX_BACKLOG_AGE_MS = 100;

/** Format of a job's id. */
const JOB_ID = /^[\da-f]{16}$/iu;

/** Options of a job call handler. */
export type JobCallHandlerOptions = {
	store: JobStore;
	begunJobs: BegunJobs;
	estimates: RunEstimates;
	clock: Clock;
	log: Log;
	metrics: JobMetrics;
	propose(command: JobCommand): Promise<JobOutcome>;
	/** True while the state held by this process is certainly the latest committed one. */
	isLeading(): boolean;
	/** Resources that a pool has and can get; undefined while they are unknown. */
	roomOf(pool: string): AdmissionRoom | undefined;
	dataCentres: Pick<KnownDataCentres, 'list' | 'isComplete'>;
	announce(call: JobCall & {type: 'announce'}): void;
	leave(call: JobCall & {type: 'leave'}): void;
	/** Called after a new job has been committed. */
	onAccepted(job: Job, pool: string): void;
	/** Work units of jobs that the keepers may hold in memory; unbounded if it is undefined. */
	maxHeldWork?(): number;
	/** Requests a scheduling pass, which stops the runs of cancelled jobs. */
	requestPass(): void;
};

type ResolvedTarget = {queue: JobQueue; subPath: string; workspace?: string};

const unknownQueue: JobAnswer = {type: 'unknown-queue'};

/** Creates the call handler of one term. */
export const createJobCallHandler = (options: JobCallHandlerOptions) => {
	const {store, clock, log, metrics, propose} = options;
	/** Answers to come for jobs whose acceptance is being committed, by job ID. */
	const submitting = new Map<string, Promise<JobAnswer>>();
	const heldWork = createHeldWorkAdmission({store, clock, limit: options.maxHeldWork ?? (() => Infinity)});
	let backlogs = new Map<string, PoolBacklog>();
	/** Resources looked up since the backlogs were measured, by pool. */
	let rooms = new Map<string, AdmissionRoom | undefined>();
	let measuredMs = -Infinity;

	const admissionInputOf = (pool: string): AdmissionInput => {
		const nowMs = clock.monotonicMs();
		if (nowMs - measuredMs > MAX_BACKLOG_AGE_MS) {
			backlogs = measurePoolBacklogs(store, options.estimates, clock.wallMs());
			rooms = new Map();
			measuredMs = nowMs;
		}

		if (!rooms.has(pool)) {
			rooms.set(pool, options.roomOf(pool));
		}

		return {
			backlog: backlogs.get(pool) ?? [], room: rooms.get(pool), estimates: options.estimates, wallMs: clock.wallMs(),
		};
	};

	const refused = (reason: 'no-manifest' | 'group-forming' | 'disk-full' | 'workers-unknown'): JobAnswer => ({
		type: 'unavailable', reason, mayHaveRun: false, retryAfterMs: DEFAULT_RETRY_MS,
	});

	const outcomeUnknown: JobAnswer = {
		type: 'unavailable', reason: 'outcome-unknown', mayHaveRun: true, retryAfterMs: DEFAULT_RETRY_MS,
	};

	const resolveTarget = ({host, path, key}: CallTarget): ResolvedTarget | JobAnswer => {
		const manifest = store.manifest();
		if (!manifest) {
			return refused('no-manifest');
		}

		const queue = manifest.route(host, path);
		if (!queue) {
			return unknownQueue;
		}

		const workspace = key === undefined ? undefined : manifest.workspaceOfKey(key);
		if (!queue.open && !workspace) {
			return {type: 'unknown-key'};
		}

		return {queue, subPath: path.slice(queue.pathPrefix.length), workspace: workspace?.name};
	};

	const isAnswer = (value: ResolvedTarget | JobAnswer): value is JobAnswer => 'type' in value;

	/** Commits a command; returns the answer for the caller if that failed. */
	const commit = async (command: JobCommand): Promise<JobOutcome | JobAnswer> => {
		try {
			return await propose(command);
		} catch (error) {
			if (error instanceof DiskFullError) {
				return refused('disk-full');
			}

			if (error instanceof NotLeaderError) {
				return {
					type: 'unavailable', reason: 'no-leader', mayHaveRun: false, retryAfterMs: DEFAULT_RETRY_MS,
				};
			}

			return outcomeUnknown;
		}
	};

	const commitSubmit = async (order: JobOrder, queue: JobQueue): Promise<JobAnswer> => {
		const {id: jobId, workspace} = order;
		const startedMs = clock.monotonicMs();
		const outcome = await commit({type: 'submit', order, atMs: clock.wallMs()});
		if (outcome.type === 'no-queue') {
			return unknownQueue;
		}

		if (outcome.type !== 'accepted' || !('isNew' in outcome)) {
			log.warn('Job not committed.', {job: jobId, queue: queue.name, outcome: outcome.type});
			return outcome as JobAnswer;
		}

		metrics.jobs.inc({queue: queue.name, outcome: 'accepted'});
		metrics.acceptSeconds.observe((clock.monotonicMs() - startedMs) / 1000);
		log.info('Job accepted.', {
			job: jobId, queue: queue.name, workspace, version: store.manifest()?.manifest.version, units: order.steps.reduce((sum, step) => sum + step.count, 0),
		});
		const accepted = store.job(jobId);
		if (accepted && outcome.isNew) {
			options.onAccepted(accepted, queue.pool);
		}

		return {type: 'accepted'};
	};

	const submit = async (target: CallTarget, job: JobDescription): Promise<JobAnswer> => {
		const resolved = resolveTarget(target);
		if (isAnswer(resolved)) {
			return resolved;
		}

		const {queue, subPath: jobId, workspace} = resolved;
		if (!JOB_ID.test(jobId)) {
			return {type: 'bad-path'};
		}

		if (store.job(jobId)) {
			log.info('Job submitted again; already recorded.', {job: jobId, queue: queue.name});
			return {type: 'accepted'};
		}

		// An earlier call with this ID may still be accepted, so a refusal of this one could be false.
		const earlier = submitting.get(jobId);
		if (earlier) {
			return earlier;
		}

		if (!store.isGroupWhole()) {
			return refused('group-forming');
		}

		const order = {
			...job, id: jobId, queue: queue.name, workspace,
		};
		try {
			checkOrder(order);
		} catch (error) {
			if (!(error instanceof JobOrderError)) {
				throw error;
			}

			log.info('Job rejected.', {job: jobId, queue: queue.name, reason: error.message});
			return {type: 'bad-path'};
		}

		const refusal = findRefusal(order, queue, admissionInputOf(queue.pool));
		if (refusal) {
			const {servedMs, deadlineMs, retryMs} = refusal;
			metrics.jobs.inc({queue: queue.name, outcome: 'rejected'});
			log.info('Job rejected.', {
				job: jobId, queue: queue.name, workspace, reason: 'backlog', servedMs: Math.round(servedMs), deadlineMs: Math.round(deadlineMs), retryMs,
			});
			return {type: 'rejected', reason: 'backlog', retryAfterMs: retryMs};
		}

		if (!heldWork.mayAccept(order)) {
			metrics.jobs.inc({queue: queue.name, outcome: 'rejected'});
			log.info('Job rejected.', {
				job: jobId, queue: queue.name, workspace, reason: 'held-work',
			});
			return {type: 'rejected', reason: 'held-work', retryAfterMs: HELD_WORK_RETRY_MS};
		}

		const answer = heldWork.during(order, commitSubmit(order, queue));
		submitting.set(jobId, answer);
		try {
			return await answer;
		} finally {
			submitting.delete(jobId);
		}
	};

	const lookUp = (target: CallTarget): JobAnswer => {
		const resolved = resolveTarget(target);
		if (isAnswer(resolved)) {
			return resolved;
		}

		if (resolved.subPath === '') {
			return {type: 'pending', count: options.begunJobs.pending(resolved.queue.name)};
		}

		const job = store.job(resolved.subPath);
		return job ? {type: 'state', state: options.begunJobs.stateOf(job)} : {type: 'no-job'};
	};

	const cancel = async (target: CallTarget): Promise<JobAnswer> => {
		const resolved = resolveTarget(target);
		if (isAnswer(resolved)) {
			return resolved;
		}

		const outcome = await commit({type: 'cancel', job: resolved.subPath, atMs: clock.wallMs()});
		if (outcome.type === 'cancelled') {
			log.info('Job cancelled.', {job: resolved.subPath, queue: resolved.queue.name, running: store.job(resolved.subPath)?.running});
			options.requestPass();
		}

		return outcome.type === 'cancelled' || outcome.type === 'no-job' ? {type: outcome.type} : outcome as JobAnswer;
	};

	const publish = async ({manifest}: JobCall & {type: 'publish'}): Promise<JobAnswer> => {
		const held = store.manifest()?.manifest.version;
		if (held !== undefined && manifest.version <= held) {
			log.info('Manifest not newer than the one in force; acknowledged without effect.', {version: manifest.version, held});
			return {type: 'published'};
		}

		if (!store.isGroupWhole()) {
			return refused('group-forming');
		}

		const outcome = await commit({type: 'publish-fleet', manifest});
		if (outcome.type !== 'fleet-published') {
			return outcome as JobAnswer;
		}

		log.info('Manifest in force.', {version: outcome.version, sent: manifest.version, queues: manifest.queues.length});
		return {type: 'published'};
	};

	const startWave = async (call: JobCall & {type: 'start-wave'}): Promise<JobAnswer> => {
		const outcome = await commit({
			type: 'wave',
			wave: {
				number: call.number, machines: call.machines, deadlineMs: clock.wallMs() + call.forMs, cap: call.cap, begun: [], completed: false,
			},
		});
		if (outcome.type !== 'applied') {
			return outcome as JobAnswer;
		}

		log.info('Wave accepted.', {
			wave: call.number, machines: call.machines.length, cap: call.cap, forMs: call.forMs,
		});
		return {type: 'published'};
	};

	const answerEvacuation = createEvacuationCalls({...options, commit, refused});

	const handle = async (call: JobCall): Promise<JobAnswer> => {
		switch (call.type) {
			case 'submit': {
				return submit(call.target, call.job);
			}

			case 'look': {
				return lookUp(call.target);
			}

			case 'cancel': {
				return cancel(call.target);
			}

			case 'publish': {
				return publish(call);
			}

			case 'read-manifest': {
				const document = store.manifest()?.manifest.document;
				return document === undefined ? refused('no-manifest') : {type: 'manifest', document};
			}

			case 'start-wave': {
				return startWave(call);
			}

			case 'wave-state': {
				const wave = store.waves().find(each => each.number === call.number);
				return wave ? {type: 'wave', completed: wave.completed} : {type: 'no-wave'};
			}

			case 'evacuate':
			case 'end-evacuation': {
				return answerEvacuation(call);
			}

			case 'announce': {
				options.announce(call);
				return {type: 'noted'};
			}

			case 'leave': {
				options.leave(call);
				return {type: 'noted'};
			}

			default: {
				throw new UnreachableError(call);
			}
		}
	};

	return {
		/** Answers one call; an answer read from local state counts only if this process still leads afterwards. */
		async answer(call: JobCall): Promise<JobAnswer> {
			const result = await handle(call);
			const isCommitted = result.type === 'accepted' || result.type === 'cancelled' || result.type === 'published' || (result.type === 'evacuation' && result.changed);
			return isCommitted || options.isLeading() ? result : outcomeUnknown;
		},
	};
};
