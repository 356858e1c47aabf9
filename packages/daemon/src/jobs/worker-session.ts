/** The leader's session with one life of a worker: renews its lease, polls its lists of runs, and sends it orders. */
import {
	createWorkerTrack, proofFields,
	type EndProof, type HoldResult, type ReconcileResult, type RunStart, type WorkerLists,
} from '@bronzebend/core';
import {pause} from '../utils/pause.js';
import {fenceLateStarts} from './late-orders.js';
import type {WorkerSessionOptions} from './worker-session-options.js';
import {createWorkerStarts} from './worker-starts.js';

/** Longest wait of a poll of the lists, in milliseconds; a lost poll delays the detection of ended runs by as much. */
const POLL_WAIT_MS = 400;
/** Pause after a failed poll, in milliseconds. */
const POLL_RETRY_MS = 50;
/** Pause before a stop, or a poll that could not be sent, is retried, in milliseconds. */
const ORDER_RETRY_MS = 150;
/** Pause after a poll that listed ended runs, in milliseconds; runs that end meanwhile are read together. */
const ENDS_BATCH_MS = 12;

/** A running session. */
export type WorkerSession = ReturnType<typeof createWorkerSession>;

/** Starts a session. */
export const createWorkerSession = (options: WorkerSessionOptions) => {
	const {life, store, port, fence, clock, log, metrics} = options;
	const track = createWorkerTrack({
		life: life.life, store, leaseMs: options.leaseMs, inherited: options.inherited, foreignLeaseMs: options.hasEarlierLife ? options.maxLeaseMs : undefined, nowMs: clock.monotonicMs(), clock: options.announcedClock,
	});
	const stopping = new Set<string>();
	let isOver = false;
	/** The life is over; orders to it that are under way may still reach the worker's next life. */
	let isRetiring = false;
	let isPolling = false;
	let acknowledged = 0;
	/** True once the worker has this leader's fencing token. No start is sent before that, so until then polls return at once. */
	let isFenced = !options.inherited;

	const hasEnded = (): boolean => isOver;
	/** A leader may lose its lease briefly; the session continues once the lease is back, unless the term has ended. */
	const mayAct = (): boolean => !isOver && !isRetiring && options.isLeading();

	const end = (proof: EndProof): void => {
		if (isOver) {
			return;
		}

		isOver = true;
		port.close();
		options.onEnded(life.life, proof);
	};

	/** Ends the session of a life that is over, once no order to it that is under way can take effect on the worker's next life. */
	const retire = async (proof: EndProof): Promise<void> => {
		if (isOver || isRetiring) {
			return;
		}

		isRetiring = true;
		options.onLifeOver(life.life);
		const certain = track.lostRuns().filter(({unit}) => track.runs.get(unit)?.isListed);
		const unlisted = [...track.runs].flatMap(([unit, run]) => (run.isListed ? [] : [{unit, attempt: run.attempt}]));
		log.warn('Worker life is over.', {worker: life.life, ...proofFields(proof), listed: certain.length});
		await Promise.all([
			certain.length > 0 && options.recordEnds(life.life, certain, proof),
			fenceLateStarts({
				runs: [...unlisted, ...starts.underWay().filter(({unit, attempt}) => track.runs.get(unit)?.attempt !== attempt)],
				clock,
				maxLeaseMs: options.maxLeaseMs,
				maxStopMs: options.maxStopMs,
				stop: async (unit, attempt) => (options.isLeading() ? timed('stop', port.stop({unit, attempt, fence})) : {type: 'unsent', cause: 'not leading'}),
				isCancelled: hasEnded,
			}),
		]);
		end(proof);
	};

	const beginRetiring = (proof: EndProof): void => {
		retire(proof).catch((error: unknown) => {
			log.error('Could not end a worker session in order.', {worker: life.id, cause: String(error)});
			end(proof);
		});
	};

	const timed = async <Result extends {type: string}>(order: string, call: Promise<Result>): Promise<Result> => {
		const sentMs = clock.monotonicMs();
		const result = await call;
		metrics.orders.inc({order, result: result.type});
		metrics.orderSeconds.observe({order}, (clock.monotonicMs() - sentMs) / 1000);
		return result;
	};

	/** Repeats a stop until the worker confirms it; from then on the run cannot begin. */
	const stop = async (unit: string, attempt: number): Promise<void> => {
		const key = `${unit}#${attempt}`;
		if (stopping.has(key)) {
			return;
		}

		stopping.add(key);
		/* eslint-disable no-await-in-loop */
		while (!hasEnded()) {
			if (!mayAct()) {
				await pause(POLL_RETRY_MS);
				continue;
			}

			const result = await timed('stop', port.stop({unit, attempt, fence}));
			if (result.type === 'done') {
				track.stopped(unit, attempt, clock.monotonicMs());
				break;
			}

			if (result.type === 'gone') {
				beginRetiring({
					type: 'other-life', call: 'stop', answer: result.answer, relay: result.relay,
				});
				break;
			}

			await pause(ORDER_RETRY_MS);
		}

		/* eslint-enable no-await-in-loop */
		stopping.delete(key);
		ensurePolling();
	};

	const applyReconciled = async (reconciled: ReconcileResult, {active, finished}: WorkerLists): Promise<void> => {
		for (const unit of track.newlyListed()) {
			options.onRunSeen(unit);
		}

		for (const {unit, attempt} of reconciled.runsToStop) {
			void stop(unit, attempt);
		}

		if (reconciled.endedRuns.length > 0 && !await options.recordEnds(life.life, reconciled.endedRuns, {type: 'not-listed', active: active.length, finished: finished.length})) {
			return;
		}

		track.recorded(reconciled.endedRuns, reconciled.ackSeq);
	};

	/** After a poll without an answer: ends the session if the lease is over, and pauses otherwise. */
	const endOrRetry = async (cause: string, retryMs = POLL_RETRY_MS): Promise<void> => {
		const nowMs = clock.monotonicMs();
		const overMs = nowMs - track.leaseEndMs();
		if (overMs > 0) {
			end({
				type: 'lease-over', cause, silentMs: Math.round(nowMs - track.contactMs()), overMs: Math.round(overMs), isInherited: options.inherited,
			});
			return;
		}

		await pause(retryMs);
	};

	const pollOnce = async (sentMs: number): Promise<void> => {
		const ackSeq = track.ackSeq();
		const isIdle = track.runs.size === 0;
		const expiresMs = isIdle ? undefined : track.renewedExpiry(sentMs);
		const result: HoldResult = await timed('hold', port.hold({
			expiresMs, fence, ackSeq, waitMs: isIdle || !isFenced ? 0 : POLL_WAIT_MS,
		}));
		if (expiresMs !== undefined) {
			track.leaseCallEnded(expiresMs, result.type !== 'unsent' && !(result.type === 'lists' && result.isPlain));
		}

		if (!mayAct()) {
			return;
		}

		switch (result.type) {
			case 'lists': {
				isFenced = true;
				acknowledged = result.isPlain ? acknowledged : Math.max(acknowledged, ackSeq);
				await applyReconciled(track.reconcile(result.lists, sentMs, clock.monotonicMs()), result.lists);
				options.onPolled(track);
				if (result.lists.finished.length > 0) {
					await pause(ENDS_BATCH_MS);
				}

				return;
			}

			case 'gone': {
				await retire({
					type: 'other-life', call: 'poll', answer: result.answer, relay: result.relay,
				});
				return;
			}

			case 'unsent': {
				if (!result.isCarrierLost) {
					options.onUnreachable(life.life);
				}

				await endOrRetry(result.cause, ORDER_RETRY_MS);
				return;
			}

			case 'unknown': {
				await endOrRetry(result.cause);
			}
		}
	};

	const onPollError = async (error: unknown): Promise<void> => {
		log.error('A poll of a worker failed.', {worker: life.id, cause: String(error)});
		await endOrRetry(String(error));
	};

	const pollWhileNeeded = async (): Promise<void> => {
		isPolling = true;
		try {
			while (!hasEnded() && (track.runs.size > 0 || acknowledged < track.ackSeq())) {
				// Polls run one after another, so that lists are never read out of order. An unexpected error says nothing about the worker's runs.
				const sentMs = clock.monotonicMs();
				// The time is read first: after a pause between the two, the renewal must not count from later than this leadership.
				// eslint-disable-next-line no-await-in-loop
				await (mayAct() ? pollOnce(sentMs).catch(onPollError) : pause(POLL_RETRY_MS));
			}
		} finally {
			isPolling = false;
		}
	};

	const ensurePolling = (): void => {
		if (!isPolling && !isOver) {
			pollWhileNeeded().catch((error: unknown) => {
				log.error('Polling a worker failed.', {worker: life.id, cause: String(error)});
				setTimeout(ensurePolling, POLL_RETRY_MS);
			});
		}
	};

	const starts = createWorkerStarts({
		...options, track, mayAct, timed, onOtherLife: beginRetiring, ensurePolling,
	});

	if (track.runs.size > 0) {
		ensurePolling();
	}

	return {
		track,
		life,
		/** True once the life is over, even while orders to it are under way. */
		isOver: () => isOver || isRetiring,
		hasEnded,

		/** Orders the start of a recorded run. */
		start(start: RunStart, ticket: string | undefined): void {
			track.ordered(start.unit, start.attempt, clock.monotonicMs());
			starts.send(start, ticket).catch((error: unknown) => {
				log.error('Could not order a start.', {unit: start.unit, worker: life.id, cause: String(error)});
				track.doubtful(start.unit, start.attempt, clock.monotonicMs());
			});
			ensurePolling();
		},

		/** Tracks a recorded run that this session did not order, to find out its state. */
		adopt(unit: string, attempt: number): void {
			track.adopt(unit, attempt, clock.monotonicMs());
			ensurePolling();
		},

		/** Stops a run, once. */
		stop(unit: string, attempt: number): void {
			if (track.requestStop(unit, clock.monotonicMs())) {
				void stop(unit, attempt);
			}
		},

		/** Makes a run work at a share of its full speed, in percent. */
		async pace(unit: string, attempt: number, share: number): Promise<void> {
			const result = await timed('pace', port.pace({
				unit, attempt, share, fence,
			}));
			if (result.type === 'done') {
				track.paced(unit, attempt, share);
			}
		},

		/** Ends the session because the platform reported that this life has ended and no other has begun. */
		declareEnded: end,

		/** Ends the session because the worker has begun another life. */
		declareRestarted: beginRetiring,

		close(): void {
			isOver = true;
			port.close();
		},
	};
};
