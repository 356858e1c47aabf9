/** The task that speaks with one life of a worker: it keeps the lease, reads the lists, and carries out orders. */
import {
	createWorkerTrack,
	type Clock, type HoldResult, type JobBook, type OrderResult, type Reconciled, type RunOver, type RunStart, type WorkerLife, type WorkerTrack,
} from '@bronzebend/core';
import type {Log} from '../utils/log.js';
import type {JobMetrics} from './job-metrics.js';
import type {WorkerPort} from './ports.js';

/** Longest wait of a look at the lists, in milliseconds; a look that gets lost hides ends for as long. */
const WAIT_MS = 400;
/** Pause after a look that failed, in milliseconds. */
const RETRY_MS = 50;
/** Pause between two tries of a stop, in milliseconds. */
const STOP_RETRY_MS = 150;
/** Ends that arrive within this time are read together, in milliseconds. */
const GATHER_MS = 12;

/** What a runner is made of. */
export type WorkerRunnerOptions = {
	life: WorkerLife;
	book: JobBook;
	port: WorkerPort;
	fence: number;
	leaseMs: number;
	inherited: boolean;
	announcedClock?: {clockMs: number; heardMs: number};
	clock: Clock;
	log: Log;
	metrics: JobMetrics;
	/** Records ends before they are acknowledged to the worker; false where that failed. */
	record(life: string, over: RunOver[]): Promise<boolean>;
	/** The lists were read. */
	onLook(track: WorkerTrack): void;
	/** A worker rejected or lost a start. */
	onStartFailed(start: RunStart, reason: string): void;
	/** This life is over, or its lease ran out without contact. */
	onOver(life: string, cause: string): void;
	/** False while this process must give no orders. */
	isLeading(): boolean;
};

/** A running task. */
export type WorkerRunner = ReturnType<typeof createWorkerRunner>;

const pause = async (milliseconds: number): Promise<void> => new Promise(resolve => {
	setTimeout(resolve, milliseconds);
});

/** Starts the task. */
export const createWorkerRunner = (options: WorkerRunnerOptions) => {
	const {life, book, port, fence, clock, log, metrics} = options;
	const track = createWorkerTrack({
		life: life.life, book, leaseMs: options.leaseMs, inherited: options.inherited, nowMs: clock.monotonicMs(), clock: options.announcedClock,
	});
	const stopping = new Set<string>();
	let isOver = false;
	let isLooking = false;
	let acknowledged = 0;
	/** No start goes out before this leader's token is known to the worker. */
	let isFenced = !options.inherited;

	const hasEnded = (): boolean => isOver;
	/** A leader may lose its lease for a moment; the task goes on once it has it again, unless the term is over. */
	const mayAct = (): boolean => !isOver && options.isLeading();

	const end = (cause: string): void => {
		if (isOver) {
			return;
		}

		isOver = true;
		port.close();
		options.onOver(life.life, cause);
	};

	const timed = async <Result extends {type: string}>(order: string, call: Promise<Result>): Promise<Result> => {
		const sentMs = clock.monotonicMs();
		const result = await call;
		metrics.orders.inc({order, result: result.type});
		metrics.orderSeconds.observe({order}, (clock.monotonicMs() - sentMs) / 1000);
		return result;
	};

	/** Repeats a stop until the worker has it: from then on the run cannot begin. */
	const stop = async (unit: string, attempt: number): Promise<void> => {
		const key = `${unit}#${attempt}`;
		if (stopping.has(key)) {
			return;
		}

		stopping.add(key);
		/* eslint-disable no-await-in-loop */
		while (!hasEnded()) {
			if (!mayAct()) {
				await pause(RETRY_MS);
				continue;
			}

			const result = await timed('stop', port.stop({unit, attempt, fence}));
			if (result.type === 'done') {
				track.stopped(unit, attempt, clock.monotonicMs());
				break;
			}

			if (result.type === 'gone') {
				end('another life answered a stop');
				break;
			}

			await pause(STOP_RETRY_MS);
		}

		/* eslint-enable no-await-in-loop */
		stopping.delete(key);
		look();
	};

	const settle = async (reconciled: Reconciled): Promise<void> => {
		for (const {unit, attempt} of reconciled.stops) {
			void stop(unit, attempt);
		}

		if (reconciled.over.length > 0 && !await options.record(life.life, reconciled.over)) {
			return;
		}

		track.recorded(reconciled.over, reconciled.ackSeq);
	};

	/** An order that this life never listed may have reached the life after it, where it must not stay. */
	const disownOrders = async (): Promise<void> => {
		const unseen = [...track.runs].filter(([, run]) => !run.isSeen);
		await Promise.all(unseen.map(async ([unit, run]) => timed('stop', port.stop({unit, attempt: run.attempt, fence}))));
	};

	const lookOnce = async (): Promise<void> => {
		const sentMs = clock.monotonicMs();
		const ackSeq = track.ackSeq();
		const isIdle = track.runs.size === 0;
		const result: HoldResult = await timed('hold', port.hold({
			expiresMs: isIdle ? undefined : track.renewal(sentMs), fence, ackSeq, waitMs: isIdle || !isFenced ? 0 : WAIT_MS,
		}));
		if (!mayAct()) {
			return;
		}

		switch (result.type) {
			case 'lists': {
				isFenced = true;
				acknowledged = Math.max(acknowledged, ackSeq);
				await settle(track.reconcile(result.lists, sentMs, clock.monotonicMs()));
				options.onLook(track);
				if (result.lists.finished.length > 0) {
					await pause(GATHER_MS);
				}

				return;
			}

			case 'gone': {
				await disownOrders();
				end('another life answered');
				return;
			}

			case 'unknown': {
				if (clock.monotonicMs() > track.leaseOverMs()) {
					end(`no contact until the lease was over: ${result.cause}`);
					return;
				}

				await pause(RETRY_MS);
			}
		}
	};

	const lookWhileNeeded = async (): Promise<void> => {
		isLooking = true;
		try {
			while (!hasEnded() && (track.runs.size > 0 || acknowledged < track.ackSeq())) {
				// Looks follow one another, so that lists are never read out of order.
				// eslint-disable-next-line no-await-in-loop
				await (mayAct() ? lookOnce() : pause(RETRY_MS));
			}
		} finally {
			isLooking = false;
		}
	};

	const look = (): void => {
		if (!isLooking && !isOver) {
			lookWhileNeeded().catch((error: unknown) => {
				log.error('Lost the task of a worker.', {worker: life.id, cause: String(error)});
				end('a fault of its task');
			});
		}
	};

	const rejectStart = async (start: RunStart, reason: string): Promise<void> => {
		log.info('Start rejected by the worker.', {
			unit: start.unit, attempt: start.attempt, worker: life.id, reason,
		});
		options.onStartFailed(start, reason);
		const over: RunOver[] = [{
			unit: start.unit, attempt: start.attempt, how: 'lost', checkpoint: '',
		}];
		if (await options.record(life.life, over)) {
			track.recorded(over, track.ackSeq());
		} else {
			track.doubtful(start.unit, start.attempt, clock.monotonicMs());
		}
	};

	const onStartResult = (start: RunStart, result: OrderResult): void => {
		switch (result.type) {
			case 'done': {
				track.confirmed(start.unit, start.attempt, clock.monotonicMs());
				return;
			}

			case 'rejected': {
				void rejectStart(start, result.reason);
				return;
			}

			case 'gone': {
				end('another life answered a start');
				return;
			}

			case 'unknown': {
				log.warn('No clear answer to a start.', {
					unit: start.unit, attempt: start.attempt, worker: life.id, cause: result.cause,
				});
				track.doubtful(start.unit, start.attempt, clock.monotonicMs());
				if (!result.isCarrierLost) {
					options.onStartFailed(start, 'no-answer');
				}

				look();
			}
		}
	};

	const sendStart = async (start: RunStart, ticket: string | undefined): Promise<void> => {
		const found = book.find(start.unit);
		const expiresMs = track.leaseExpiry(clock.monotonicMs());
		if (!found || !mayAct()) {
			// Not sent, so a stop finds out that it never began.
			track.doubtful(start.unit, start.attempt, clock.monotonicMs());
			return;
		}

		if (expiresMs === undefined) {
			await rejectStart(start, 'clock-unknown');
			return;
		}

		log.debug('Start ordered.', {unit: start.unit, attempt: start.attempt, worker: life.id});
		onStartResult(start, await timed('start', port.start({
			unit: start.unit, attempt: start.attempt, spec: found.job.order.spec, expiresMs, fence, checkpoint: found.unit.checkpoint, ticket,
		})));
	};

	if (track.runs.size > 0) {
		look();
	}

	return {
		track,
		life,
		isOver: hasEnded,

		/** Orders a run that is recorded. */
		start(start: RunStart, ticket: string | undefined): void {
			track.ordered(start.unit, start.attempt, clock.monotonicMs());
			sendStart(start, ticket).catch((error: unknown) => {
				log.error('Could not order a start.', {unit: start.unit, worker: life.id, cause: String(error)});
				track.doubtful(start.unit, start.attempt, clock.monotonicMs());
			});
			look();
		},

		/** Finds out what became of a recorded run that this task was never told of. */
		adopt(unit: string, attempt: number): void {
			track.adopt(unit, attempt, clock.monotonicMs());
			look();
		},

		/** Stops a run, once. */
		stop(unit: string, attempt: number): void {
			if (track.askStop(unit, clock.monotonicMs())) {
				void stop(unit, attempt);
			}
		},

		/** Lets a run work at a share of its speed. */
		async pace(unit: string, attempt: number, share: number): Promise<void> {
			const result = await timed('pace', port.pace({
				unit, attempt, share, fence,
			}));
			if (result.type === 'done') {
				track.paced(unit, attempt, share);
			}
		},

		/** The platform or the worker said that this life is over. */
		declareOver: end,

		close(): void {
			isOver = true;
			port.close();
		},
	};
};
