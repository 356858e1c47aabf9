/** Answers calls at the leader: each is decided from the record, and changes are committed before they are acknowledged. */
import {
	checkOrder, JobOrderError, measureBacklogs, retryAfterMs, UnreachableError,
	type Backlog, type CallTarget, type Clock, type JobAnswer, type JobBook, type JobCall, type JobCommand, type JobDescription,
	type Job, type JobOutcome, type JobQueue, type RunEstimates,
} from '@bronzebend/core';
import {DiskFullError, NotLeaderError} from '@bronzebend/replica';
import type {Log} from '../utils/log.js';
import type {JobMetrics} from './job-metrics.js';

/** Time after which a caller should come back where nothing better is known, in milliseconds. */
const DEFAULT_RETRY_MS = 500;
/** Age up to which a measured backlog is used again, in milliseconds. */
const BACKLOG_AGE_MS = 100;

/** Name of a job. */
const JOB_ID = /^[\da-f]{16}$/iu;

/** What a desk is made of. */
export type JobDeskOptions = {
	book: JobBook;
	estimates: RunEstimates;
	clock: Clock;
	log: Log;
	metrics: JobMetrics;
	propose(command: JobCommand): Promise<JobOutcome>;
	/** True while what this process knows is the latest accepted state. */
	isLeading(): boolean;
	/** Thousandths of cores that a pool has; undefined while that is not known. */
	capacityOf(pool: string): number | undefined;
	announce(call: JobCall & {type: 'announce'}): void;
	leave(call: JobCall & {type: 'leave'}): void;
	/** A job is new in the record. */
	onAccepted(job: Job, pool: string): void;
	/** Work may be there to stop. */
	wake(): void;
};

type Addressed = {queue: JobQueue; rest: string; workspace?: string};

const notFound: JobAnswer = {type: 'unknown-queue'};

/** Creates the desk of one term. */
export const createJobDesk = (options: JobDeskOptions) => {
	const {book, clock, log, metrics, propose} = options;
	let backlogs = new Map<string, number>();
	/** Capacities that were asked for since the backlogs were measured, by pool. */
	let capacities = new Map<string, number | undefined>();
	let measuredMs = -Infinity;

	const backlogOf = (pool: string): Backlog => {
		const nowMs = clock.monotonicMs();
		if (nowMs - measuredMs > BACKLOG_AGE_MS) {
			backlogs = measureBacklogs(book, options.estimates);
			capacities = new Map();
			measuredMs = nowMs;
		}

		if (!capacities.has(pool)) {
			capacities.set(pool, options.capacityOf(pool));
		}

		return {coreMs: backlogs.get(pool) ?? 0, capacityCpu: capacities.get(pool)};
	};

	const refused = (reason: 'no-manifest' | 'group-forming' | 'disk-full'): JobAnswer => ({
		type: 'unavailable', reason, mayHaveRun: false, retryAfterMs: DEFAULT_RETRY_MS,
	});

	const unknown: JobAnswer = {
		type: 'unavailable', reason: 'outcome-unknown', mayHaveRun: true, retryAfterMs: DEFAULT_RETRY_MS,
	};

	const address = ({host, path, key}: CallTarget): Addressed | JobAnswer => {
		const manifest = book.manifest();
		if (!manifest) {
			return refused('no-manifest');
		}

		const queue = manifest.route(host, path);
		if (!queue) {
			return notFound;
		}

		const workspace = key === undefined ? undefined : manifest.workspaceOfKey(key);
		if (!queue.open && !workspace) {
			return {type: 'unknown-key'};
		}

		return {queue, rest: path.slice(queue.pathPrefix.length), workspace: workspace?.name};
	};

	const isAnswer = (value: Addressed | JobAnswer): value is JobAnswer => 'type' in value;

	/** Commits a command; an answer where that failed. */
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

			return unknown;
		}
	};

	const submit = async (target: CallTarget, job: JobDescription): Promise<JobAnswer> => {
		const addressed = address(target);
		if (isAnswer(addressed)) {
			return addressed;
		}

		const {queue, rest, workspace} = addressed;
		if (!JOB_ID.test(rest)) {
			return {type: 'bad-path'};
		}

		if (book.job(rest)) {
			log.info('Job handed in again.', {job: rest, queue: queue.name});
			return {type: 'accepted'};
		}

		if (!book.isGroupWhole()) {
			return refused('group-forming');
		}

		const order = {
			...job, id: rest, queue: queue.name, workspace,
		};
		try {
			checkOrder(order);
		} catch (error) {
			if (!(error instanceof JobOrderError)) {
				throw error;
			}

			log.info('Job rejected.', {job: rest, queue: queue.name, reason: error.message});
			return {type: 'bad-path'};
		}

		const backlog = backlogOf(queue.pool);
		const isLasting = order.steps.some(step => step.lasting);
		const retryMs = isLasting ? undefined : retryAfterMs(backlog);
		if (retryMs !== undefined) {
			metrics.jobs.inc({queue: queue.name, outcome: 'rejected'});
			log.info('Job rejected.', {
				job: rest, queue: queue.name, workspace, reason: 'backlog', backlogMs: Math.round(backlog.coreMs / (backlog.capacityCpu ?? 0)), retryMs,
			});
			return {type: 'rejected', reason: 'backlog', retryAfterMs: retryMs};
		}

		const startedMs = clock.monotonicMs();
		const outcome = await commit({type: 'submit', order, atMs: clock.wallMs()});
		if (outcome.type === 'no-queue') {
			return notFound;
		}

		if (outcome.type !== 'accepted' || !('isNew' in outcome)) {
			log.warn('Job not committed.', {job: rest, queue: queue.name, outcome: outcome.type});
			return outcome as JobAnswer;
		}

		metrics.jobs.inc({queue: queue.name, outcome: 'accepted'});
		metrics.acceptSeconds.observe((clock.monotonicMs() - startedMs) / 1000);
		log.info('Job accepted.', {
			job: rest, queue: queue.name, workspace, version: book.manifest()?.manifest.version, units: order.steps.reduce((sum, step) => sum + step.count, 0),
		});
		const accepted = book.job(rest);
		if (accepted && outcome.isNew) {
			options.onAccepted(accepted, queue.pool);
		}

		return {type: 'accepted'};
	};

	const look = (target: CallTarget): JobAnswer => {
		const addressed = address(target);
		if (isAnswer(addressed)) {
			return addressed;
		}

		if (addressed.rest === '') {
			return {type: 'pending', count: book.pending(addressed.queue.name)};
		}

		const job = book.job(addressed.rest);
		return job ? {type: 'state', state: job.state} : {type: 'no-job'};
	};

	const cancel = async (target: CallTarget): Promise<JobAnswer> => {
		const addressed = address(target);
		if (isAnswer(addressed)) {
			return addressed;
		}

		const outcome = await commit({type: 'cancel', job: addressed.rest, atMs: clock.wallMs()});
		if (outcome.type === 'cancelled') {
			log.info('Job cancelled.', {job: addressed.rest, queue: addressed.queue.name, running: book.job(addressed.rest)?.running});
			options.wake();
		}

		return outcome.type === 'cancelled' || outcome.type === 'no-job' ? {type: outcome.type} : outcome as JobAnswer;
	};

	const publish = async ({manifest}: JobCall & {type: 'publish'}): Promise<JobAnswer> => {
		const held = book.manifest()?.manifest.version;
		if (held !== undefined && manifest.version <= held) {
			log.info('Manifest acknowledged without effect.', {version: manifest.version, held});
			return {type: 'published'};
		}

		if (!book.isGroupWhole()) {
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

	const decide = async (call: JobCall): Promise<JobAnswer> => {
		switch (call.type) {
			case 'submit': {
				return submit(call.target, call.job);
			}

			case 'look': {
				return look(call.target);
			}

			case 'cancel': {
				return cancel(call.target);
			}

			case 'publish': {
				return publish(call);
			}

			case 'read-manifest': {
				const document = book.manifest()?.manifest.document;
				return document === undefined ? refused('no-manifest') : {type: 'manifest', document};
			}

			case 'start-wave': {
				return startWave(call);
			}

			case 'wave-state': {
				const wave = book.waves().find(each => each.number === call.number);
				return wave ? {type: 'wave', completed: wave.completed} : {type: 'no-wave'};
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
		/** Answers one call; what was read counts only if this process still led afterwards. */
		async answer(call: JobCall): Promise<JobAnswer> {
			const result = await decide(call);
			const isCommitted = result.type === 'accepted' || result.type === 'cancelled' || result.type === 'published';
			return isCommitted || options.isLeading() ? result : unknown;
		},
	};
};
