/**
The leader's view of one life of a worker: its lease, and the state of each run that it was ordered
to start.

A run counts as lost only if the worker can neither be running it nor start it later: the worker's
lists, complete and polled after it accepted a stop of the run or a higher fencing token, show the run
neither active nor finished.
*/
import type {JobStore} from './job-store.js';
import type {EndedRun} from './job-commands.js';
import {type RunEnd, RunEnds} from './job.js';

/** Slowest rate of a worker's clock relative to the leader's. */
const SLOWEST_CLOCK_RATE = 0.98;
/** Margin added to each computed end of a lease, in milliseconds; covers late timers on the worker. */
const LEASE_MARGIN_MS = 150;
/** Time without contact after which a worker's lease is no longer renewed, in milliseconds; any attempt might still reach the worker and extend the lease. */
const MAX_RENEWAL_SILENCE_MS = 1300;
/** Time after which an order without an answer counts as doubtful, in milliseconds. */
const ORDER_TIMEOUT_MS = 3000;

/** Longest time for which a call to a worker may be under way, in milliseconds: it is relayed, and waits for a connection and for its opening. */
export const MAX_CALL_DELAY_MS = 3500;

/** Duration on the leader's clock after which a lease of `leaseMs` milliseconds is certainly over, in milliseconds. */
export const longestLeaseMs = (leaseMs: number): number => (leaseMs / SLOWEST_CLOCK_RATE) + LEASE_MARGIN_MS;

/** An entry of a worker's list of active runs. */
export type ActiveRun = {
	unit: string;
	attempt: number;
	checkpoint: string;
	percent: number;
	/** Tail response time in milliseconds for a serving work unit, otherwise cores in use in thousandths. */
	load: number;
};

/** An entry of a worker's list of finished runs. */
export type FinishedRun = {seq: number; unit: string; attempt: number; how: RunEnd; checkpoint: string};

/** A worker's lists of active and finished runs, with the reading of its monotonic clock in milliseconds. */
export type WorkerLists = {
	clockMs: number;
	active: ActiveRun[];
	/** Finished runs that were not acknowledged, the earliest first. */
	finished: FinishedRun[];
	/** True if there may be more finished runs than are listed. */
	isCut: boolean;
};

/** What is known about an ordered run. */
type Phase =
	| {type: 'ordered'}
	| {type: 'confirmed'; atMs: number}
	/** The order got no clear answer, or the worker's lists do not show the run. */
	| {type: 'doubtful'; atMs: number}
	/** No order to start this run can take effect any more. */
	| {type: 'fenced'; atMs: number};

/** Progress of one run. */
export type RunProgress = {
	attempt: number;
	phase: Phase;
	startedMs: number;
	/** An earlier leader may have ordered the run, so its start is unknown; `startedMs` is that of this view. */
	isInherited: boolean;
	percent: number;
	percentMs: number;
	load: number;
	checkpoint: string;
	/** Time of the request to stop the run; undefined if there is none. */
	stopRequestedMs?: number;
	share: number;
	/** The run has appeared in the worker's list of active runs. */
	isListed: boolean;
};

/** Result of reconciling a worker's lists: runs that have ended, runs to stop, and the last finished run to acknowledge. */
export type ReconcileResult = {endedRuns: EndedRun[]; runsToStop: Array<{unit: string; attempt: number}>; ackSeq: number};

/** The leader's view of one life. */
export type WorkerTrack = ReturnType<typeof createWorkerTrack>;

/** Creates the view; `inherited` is true if an earlier leader may have given orders to this life. */
export const createWorkerTrack = (options: {
	life: string;
	store: JobStore;
	leaseMs: number;
	inherited: boolean;
	/** Longest lease that calls meant for an earlier life of the worker may have been granted, in milliseconds; undefined if it had none. */
	foreignLeaseMs?: number;
	nowMs: number;
	/** Last reported reading of the worker's clock, and when it was received. */
	clock?: {clockMs: number; receivedMs: number};
}) => {
	const {life, store, leaseMs} = options;
	const runs = new Map<string, RunProgress>();
	let {clock} = options;
	/** Longest expiry of a call that has reached the worker or may have. */
	let longestExpiryMs = 0;
	/** Expiries of calls in flight, with their numbers. */
	const expiriesInFlight = new Map<number, number>();
	let ackSeq = 0;
	let newlyListed: string[] = [];
	let contactMs = options.nowMs;
	// An earlier leader granted leases of the same length, the last of them before this view was created.
	const inheritedUntilMs = options.inherited ? options.nowMs + longestLeaseMs(leaseMs) : -Infinity;
	// Calls meant for an earlier life name the same ID, and their expiry lies far ahead of the clock of this one.
	const foreignUntilMs = options.foreignLeaseMs === undefined ? -Infinity : options.nowMs + MAX_CALL_DELAY_MS + longestLeaseMs(options.foreignLeaseMs);

	const newRun = (attempt: number, phase: Phase, nowMs: number, isInherited = false): RunProgress => ({
		attempt, phase, startedMs: nowMs, isInherited, percent: 0, percentMs: nowMs, load: 0, checkpoint: '', share: 100, isListed: false,
	});

	for (const [unit, run] of store.runsOf(life)) {
		// The first poll carries this leader's fencing token, after which the worker accepts no earlier order.
		runs.set(unit, newRun(run.unit.attempt, {type: 'fenced', atMs: options.nowMs}, options.nowMs, options.inherited));
	}

	const progressOf = (unit: string, attempt: number): RunProgress | undefined => {
		const run = runs.get(unit);
		return run?.attempt === attempt ? run : undefined;
	};

	/** True if a run is recorded as running, on whatever life: a start for an earlier life of the worker may have reached this one. */
	const isRecorded = ({unit: name, attempt}: EndedRun): boolean => {
		const unit = store.find(name)?.unit;
		return unit?.state === 'running' && unit.attempt === attempt;
	};

	const handleMissing = (unit: string, run: RunProgress, sentMs: number, result: ReconcileResult): void => {
		switch (run.phase.type) {
			case 'ordered': {
				if (sentMs - run.startedMs > ORDER_TIMEOUT_MS) {
					run.phase = {type: 'doubtful', atMs: sentMs};
					result.runsToStop.push({unit, attempt: run.attempt});
				}

				return;
			}

			case 'confirmed': {
				if (run.phase.atMs <= sentMs) {
					run.phase = {type: 'doubtful', atMs: run.phase.atMs};
					result.runsToStop.push({unit, attempt: run.attempt});
				}

				return;
			}

			case 'doubtful': {
				// The run may have started in the meantime; only lists polled after it became doubtful show that it has not.
				if (run.phase.atMs <= sentMs) {
					result.runsToStop.push({unit, attempt: run.attempt});
				}

				return;
			}

			case 'fenced': {
				if (run.phase.atMs <= sentMs) {
					result.endedRuns.push({
						unit, attempt: run.attempt, how: RunEnds.lost, checkpoint: run.checkpoint,
					});
				}
			}
		}
	};

	const handleActive = (active: ActiveRun, receivedMs: number, result: ReconcileResult): void => {
		const run = progressOf(active.unit, active.attempt);
		const recorded = store.runsOf(life).get(active.unit);
		if (!run || recorded?.unit.attempt !== active.attempt) {
			result.runsToStop.push({unit: active.unit, attempt: active.attempt});
			return;
		}

		if (active.percent !== run.percent) {
			run.percent = active.percent;
			run.percentMs = receivedMs;
		}

		if (!run.isListed) {
			newlyListed.push(active.unit);
		}

		run.isListed = true;
		run.load = active.load;
		run.checkpoint = active.checkpoint;
		if (run.stopRequestedMs === undefined) {
			run.phase = {type: 'confirmed', atMs: receivedMs};
		}
	};

	return {
		life,
		runs: runs as ReadonlyMap<string, RunProgress>,
		contactMs: () => contactMs,
		/** Work units whose runs the latest lists were the first to show. */
		newlyListed: (): readonly string[] => newlyListed,
		/** Sequence number up to which finished runs are recorded. */
		ackSeq: () => ackSeq,

		/** Adds a recorded run whose order is being sent. */
		ordered(unit: string, attempt: number, nowMs: number): void {
			runs.set(unit, newRun(attempt, {type: 'ordered'}, nowMs));
		},

		/** Adds a recorded run if it is unknown whether it was ordered. */
		adopt(unit: string, attempt: number, nowMs: number): void {
			runs.set(unit, newRun(attempt, {type: 'doubtful', atMs: nowMs}, nowMs));
		},

		/** Records that the worker accepted the order. */
		confirmed(unit: string, attempt: number, nowMs: number): void {
			const run = progressOf(unit, attempt);
			if (run?.phase.type === 'ordered') {
				run.phase = {type: 'confirmed', atMs: nowMs};
			}
		},

		/** Records that the order got no clear answer. */
		doubtful(unit: string, attempt: number, nowMs: number): void {
			const run = progressOf(unit, attempt);
			if (run?.phase.type === 'ordered') {
				run.phase = {type: 'doubtful', atMs: nowMs};
			}
		},

		/** Records that a stop was carried out, after which the run cannot start any more. */
		stopped(unit: string, attempt: number, nowMs: number): void {
			const run = progressOf(unit, attempt);
			if (run && run.phase.type !== 'fenced') {
				run.phase = {type: 'fenced', atMs: nowMs};
			}
		},

		/** Marks a run to be stopped; returns false if it is unknown or already marked. */
		requestStop(unit: string, nowMs: number): boolean {
			const run = runs.get(unit);
			if (!run || run.stopRequestedMs !== undefined) {
				return false;
			}

			run.stopRequestedMs = nowMs;
			return true;
		},

		paced(unit: string, attempt: number, share: number): void {
			const run = progressOf(unit, attempt);
			if (run) {
				run.share = share;
			}
		},

		/** Reconciles the tracked runs with the worker's lists, given when the poll was sent and when its answer was received. */
		reconcile(lists: WorkerLists, sentMs: number, receivedMs: number): ReconcileResult {
			clock = {receivedMs, clockMs: lists.clockMs};
			contactMs = receivedMs;
			const result: ReconcileResult = {endedRuns: [], runsToStop: [], ackSeq: Math.max(ackSeq, ...lists.finished.map(end => end.seq))};
			newlyListed = [];
			const listed = new Set<string>();
			for (const end of lists.finished) {
				listed.add(`${end.unit}#${end.attempt}`);
				if (progressOf(end.unit, end.attempt) ?? isRecorded(end)) {
					result.endedRuns.push(end);
				}
			}

			for (const active of lists.active) {
				listed.add(`${active.unit}#${active.attempt}`);
				handleActive(active, receivedMs, result);
			}

			if (lists.isCut) {
				// A run in neither list may be among the finished runs that the next polls list.
				return result;
			}

			for (const [unit, run] of runs) {
				if (!listed.has(`${unit}#${run.attempt}`)) {
					handleMissing(unit, run, sentMs, result);
				}
			}

			return result;
		},

		/** Removes runs whose ends are recorded, and acknowledges finished runs up to a sequence number. */
		recorded(over: readonly EndedRun[], upTo: number): void {
			ackSeq = Math.max(ackSeq, upTo);
			for (const {unit, attempt} of over) {
				if (progressOf(unit, attempt)) {
					runs.delete(unit);
				}
			}
		},

		/** Returns all runs of a life that is over, as lost. */
		lostRuns: (): EndedRun[] => [...store.runsOf(life).values()].map(({unit}) => ({
			unit: unit.name, attempt: unit.attempt, how: RunEnds.lost, checkpoint: runs.get(unit.name)?.checkpoint ?? '',
		})),

		/** Expiry with which to renew the lease; undefined if the worker's clock is unknown, or if it has been silent, so that the lease can expire. */
		renewedExpiry(nowMs: number): number | undefined {
			return nowMs - contactMs > MAX_RENEWAL_SILENCE_MS ? undefined : this.leaseExpiry(nowMs);
		},

		/** False until the worker's clock has been read; nothing can be started before that. */
		isClockKnown: (): boolean => clock !== undefined,

		/** Expiry, on the worker's clock, of a lease granted now, to be reported to `leaseCallEnded`; undefined if the clock is unknown. */
		leaseExpiry(nowMs: number): number | undefined {
			if (!clock) {
				return undefined;
			}

			// The least that the worker's clock can show now, so that no lease is longer than the next leader assumes.
			const expiry = Math.floor(clock.clockMs + ((nowMs - clock.receivedMs) * SLOWEST_CLOCK_RATE) + leaseMs);
			expiriesInFlight.set(expiry, (expiriesInFlight.get(expiry) ?? 0) + 1);
			return expiry;
		},

		/** Records the end of a call with an expiry; one that was not sent extends no lease. */
		leaseCallEnded(expiryMs: number, wasSent: boolean): void {
			const others = (expiriesInFlight.get(expiryMs) ?? 0) - 1;
			if (others > 0) {
				expiriesInFlight.set(expiryMs, others);
			} else {
				expiriesInFlight.delete(expiryMs);
			}

			if (wasSent) {
				longestExpiryMs = Math.max(longestExpiryMs, expiryMs);
			}
		},

		/** Time on the leader's clock after which no run can be active unless another lease is granted. */
		leaseEndMs(): number {
			const grantedUntilMs = Math.max(inheritedUntilMs, foreignUntilMs);
			if (!clock) {
				return grantedUntilMs;
			}

			// The worker may have read its clock at any time until the reading was received.
			const ownEndMs = clock.receivedMs + longestLeaseMs(Math.max(longestExpiryMs, ...expiriesInFlight.keys()) - clock.clockMs);
			return Math.max(ownEndMs, grantedUntilMs);
		},
	};
};
