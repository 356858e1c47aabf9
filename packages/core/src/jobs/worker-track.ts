/**
A leader's view of one worker's life: its lease, and what became of each run that it was ordered.

A run counts as lost only when the worker can neither run it now nor start it later: its list shows
it neither running nor ended, after a stop of that run or a higher fencing token went through.
*/
import type {JobBook} from './job-book.js';
import type {RunOver} from './job-commands.js';
import {type RunEnd, RunEnds} from './job.js';

/** Slowest rate of a worker's clock against ours. */
const SLOWEST_CLOCK = 0.98;
/** Added to each computed end of a lease, in milliseconds; covers late timers on the worker. */
const LEASE_MARGIN_MS = 150;
/** Silence of a worker from which its lease is not renewed any more, in milliseconds; each try might still reach it. */
const RENEW_SILENCE_MS = 1300;
/** Time after which an order whose call has not come back is in doubt, in milliseconds. */
const UNSETTLED_MS = 3000;

/** Our time after which a lease that was given is certainly over, in milliseconds. */
export const longestLeaseMs = (leaseMs: number): number => (leaseMs / SLOWEST_CLOCK) + LEASE_MARGIN_MS;

/** One entry of a worker's list of running work units. */
export type ActiveRun = {
	unit: string;
	attempt: number;
	checkpoint: string;
	percent: number;
	/** Tail of response times in milliseconds for a unit that serves, else thousandths of a core in use. */
	load: number;
};

/** One entry of a worker's list of ends. */
export type FinishedRun = {seq: number; unit: string; attempt: number; how: RunEnd; checkpoint: string};

/** A worker's lists. */
export type WorkerLists = {clockMs: number; active: ActiveRun[]; finished: FinishedRun[]};

/** How far an ordered run is known to be. */
type Phase =
	| {type: 'ordered'}
	| {type: 'confirmed'; atMs: number}
	/** The order got no clear answer. */
	| {type: 'doubtful'; atMs: number}
	/** No start of this run can take effect any more. */
	| {type: 'fenced'; atMs: number};

/** Progress of one run. */
export type RunProgress = {
	attempt: number;
	phase: Phase;
	startedMs: number;
	percent: number;
	percentMs: number;
	load: number;
	checkpoint: string;
	/** Set while the run is to be stopped. */
	stopAskedMs?: number;
	share: number;
	/** The worker has listed it. */
	isSeen: boolean;
};

/** What a look at the lists asks for. */
export type Reconciled = {over: RunOver[]; stops: Array<{unit: string; attempt: number}>; ackSeq: number};

/** The view of one life. */
export type WorkerTrack = ReturnType<typeof createWorkerTrack>;

/** Creates the view; `inherited` where another leader may have given this life orders. */
export const createWorkerTrack = (options: {
	life: string;
	book: JobBook;
	leaseMs: number;
	inherited: boolean;
	nowMs: number;
	/** What the worker last said of its clock, and when that was heard. */
	clock?: {clockMs: number; heardMs: number};
}) => {
	const {life, book, leaseMs} = options;
	const runs = new Map<string, RunProgress>();
	let {clock} = options;
	let longestExpiryMs = 0;
	let ackSeq = 0;
	let contactMs = options.nowMs;
	// An earlier leader gave leases of the same length, the last of them before this view began.
	const inheritedUntilMs = options.inherited ? options.nowMs + longestLeaseMs(leaseMs) : -Infinity;

	const newRun = (attempt: number, phase: Phase, nowMs: number): RunProgress => ({
		attempt, phase, startedMs: nowMs, percent: 0, percentMs: nowMs, load: 0, checkpoint: '', share: 100, isSeen: false,
	});

	for (const [unit, run] of book.runsOf(life)) {
		// The first list comes with this leader's token, past which no earlier order counts.
		runs.set(unit, newRun(run.unit.attempt, {type: 'fenced', atMs: options.nowMs}, options.nowMs));
	}

	const progressOf = (unit: string, attempt: number): RunProgress | undefined => {
		const run = runs.get(unit);
		return run?.attempt === attempt ? run : undefined;
	};

	const judgeMissing = (unit: string, run: RunProgress, sentMs: number, result: Reconciled): void => {
		switch (run.phase.type) {
			case 'ordered': {
				if (sentMs - run.startedMs > UNSETTLED_MS) {
					run.phase = {type: 'doubtful', atMs: sentMs};
					result.stops.push({unit, attempt: run.attempt});
				}

				return;
			}

			case 'confirmed': {
				if (run.phase.atMs <= sentMs) {
					run.phase = {type: 'doubtful', atMs: run.phase.atMs};
					result.stops.push({unit, attempt: run.attempt});
				}

				return;
			}

			case 'doubtful': {
				// It may run well by now, so only a list that was asked for after the doubt can tell.
				if (run.phase.atMs <= sentMs) {
					result.stops.push({unit, attempt: run.attempt});
				}

				return;
			}

			case 'fenced': {
				if (run.phase.atMs <= sentMs) {
					result.over.push({
						unit, attempt: run.attempt, how: RunEnds.lost, checkpoint: run.checkpoint,
					});
				}
			}
		}
	};

	const seeActive = (active: ActiveRun, heardMs: number, result: Reconciled): void => {
		const run = progressOf(active.unit, active.attempt);
		const recorded = book.runsOf(life).get(active.unit);
		if (!run || recorded?.unit.attempt !== active.attempt) {
			result.stops.push({unit: active.unit, attempt: active.attempt});
			return;
		}

		if (active.percent !== run.percent) {
			run.percent = active.percent;
			run.percentMs = heardMs;
		}

		run.isSeen = true;
		run.load = active.load;
		run.checkpoint = active.checkpoint;
		if (run.stopAskedMs === undefined) {
			run.phase = {type: 'confirmed', atMs: heardMs};
		}
	};

	return {
		life,
		runs: runs as ReadonlyMap<string, RunProgress>,
		contactMs: () => contactMs,
		/** Ends up to this one are recorded. */
		ackSeq: () => ackSeq,

		/** A run is recorded and its order goes out. */
		ordered(unit: string, attempt: number, nowMs: number): void {
			runs.set(unit, newRun(attempt, {type: 'ordered'}, nowMs));
		},

		/** A recorded run of which nobody here knows whether it was ordered. */
		adopt(unit: string, attempt: number, nowMs: number): void {
			runs.set(unit, newRun(attempt, {type: 'doubtful', atMs: nowMs}, nowMs));
		},

		/** The worker answered the order. */
		confirmed(unit: string, attempt: number, nowMs: number): void {
			const run = progressOf(unit, attempt);
			if (run?.phase.type === 'ordered') {
				run.phase = {type: 'confirmed', atMs: nowMs};
			}
		},

		/** The order got no clear answer. */
		doubtful(unit: string, attempt: number, nowMs: number): void {
			const run = progressOf(unit, attempt);
			if (run?.phase.type === 'ordered') {
				run.phase = {type: 'doubtful', atMs: nowMs};
			}
		},

		/** A stop went through: this run cannot start any more. */
		stopped(unit: string, attempt: number, nowMs: number): void {
			const run = progressOf(unit, attempt);
			if (run && run.phase.type !== 'fenced') {
				run.phase = {type: 'fenced', atMs: nowMs};
			}
		},

		/** Marks a run to be stopped; false where it was marked before. */
		askStop(unit: string, nowMs: number): boolean {
			const run = runs.get(unit);
			if (!run || run.stopAskedMs !== undefined) {
				return false;
			}

			run.stopAskedMs = nowMs;
			return true;
		},

		paced(unit: string, attempt: number, share: number): void {
			const run = progressOf(unit, attempt);
			if (run) {
				run.share = share;
			}
		},

		/** Reads the lists of a call that was sent and answered at these times. */
		reconcile(lists: WorkerLists, sentMs: number, heardMs: number): Reconciled {
			clock = {heardMs, clockMs: lists.clockMs};
			contactMs = heardMs;
			const result: Reconciled = {over: [], stops: [], ackSeq: Math.max(ackSeq, ...lists.finished.map(end => end.seq))};
			const seen = new Set<string>();
			for (const end of lists.finished) {
				seen.add(`${end.unit}#${end.attempt}`);
				if (progressOf(end.unit, end.attempt)) {
					result.over.push(end);
				}
			}

			for (const active of lists.active) {
				seen.add(`${active.unit}#${active.attempt}`);
				seeActive(active, heardMs, result);
			}

			for (const [unit, run] of runs) {
				if (!seen.has(`${unit}#${run.attempt}`)) {
					judgeMissing(unit, run, sentMs, result);
				}
			}

			return result;
		},

		/** Ends of these runs are recorded, and all ends up to a number with them. */
		recorded(over: readonly RunOver[], upTo: number): void {
			ackSeq = Math.max(ackSeq, upTo);
			for (const {unit, attempt} of over) {
				if (progressOf(unit, attempt)) {
					runs.delete(unit);
				}
			}
		},

		/** All runs of a life that is over. */
		allLost: (): RunOver[] => [...book.runsOf(life).values()].map(({unit}) => ({
			unit: unit.name, attempt: unit.attempt, how: RunEnds.lost, checkpoint: runs.get(unit.name)?.checkpoint ?? '',
		})),

		/** Expiry to renew the lease with; undefined where its clock is unknown or it has been silent, so that the lease can run out. */
		renewal(nowMs: number): number | undefined {
			return nowMs - contactMs > RENEW_SILENCE_MS ? undefined : this.leaseExpiry(nowMs);
		},

		/** Time on the worker's clock up to which a lease given now lasts; undefined before its clock is known. */
		leaseExpiry(nowMs: number): number | undefined {
			if (!clock) {
				return undefined;
			}

			const expiry = Math.floor(clock.clockMs + (nowMs - clock.heardMs) + leaseMs);
			longestExpiryMs = Math.max(longestExpiryMs, expiry);
			return expiry;
		},

		/** Our time from which no run can be under way without further leases. */
		leaseOverMs(): number {
			if (!clock) {
				return inheritedUntilMs;
			}

			// The worker read its clock at some time up to when we heard it.
			const own = clock.heardMs + longestLeaseMs(longestExpiryMs - clock.clockMs);
			return Math.max(own, inheritedUntilMs);
		},
	};
};
