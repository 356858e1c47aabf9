/** One life of a stand-in worker: its lease, its fence, and its lists of runs, without any network. */
import type {Clock} from '@bronzebend/core';
import type {WorkerRun} from '../platform-stand-ins.js';

/** Ended runs that one response lists at most. */
const MAX_LISTED_ENDS = 500;
/** Share of the longest lease from which on a lease is recorded; the keepers grant shorter ones, so it was meant for another life. */
const LONG_LEASE_SHARE = 0.5;

/** A run as its worker saw it; times are Unix milliseconds. */
export type SoakRun = WorkerRun & {
	/** Start of the worker's life. */
	born: number;
	fence: number;
	/** Number of its end in the worker's list. */
	seq?: number;
	/** When a stop for it arrived. */
	stopMs?: number;
	/** When its end was acknowledged. */
	notedMs?: number;
	/** True if the start was carried out long after it had arrived. */
	isLate: boolean;
};

/** Response to a call. */
export type LifeAnswer = {status: number; body: Record<string, unknown>};

type ActiveRun = {task: string; attempt: number; cpu: number; beganMs: number; dueMs: number; seen: SoakRun};

/** What all lives of a machine have in common. */
export type LifeOptions = {
	id: string;
	clock: Clock;
	/** Speed of the worker's clock: milliseconds that it counts in one. */
	clockRate: number;
	/** Capacity in thousandths of a core. */
	cpu: number;
	maxLeaseMs: number;
	/** Work of a work unit; its duration is infinite if it lasts. */
	workOf(spec: string): {runMs: number; cpu: number};
	/** All runs of all workers. */
	runs: SoakRun[];
	record(what: string, detail: Record<string, unknown>): void;
};

export type WorkerLife = ReturnType<typeof createLife>;

/** Begins a life, which knows nothing of the lives before it. */
export const createLife = (options: LifeOptions) => {
	const {id, clock, clockRate, runs, record} = options;
	const born = clock.wallMs();
	const bornAtMs = clock.monotonicMs();
	const active = new Map<string, ActiveRun>();
	const closed = new Map<string, number>();
	const waiting = new Set<() => void>();
	let finished: SoakRun[] = [];
	let fence = 0;
	let ends = 0;
	/** End of the lease, on the worker's clock. */
	let leaseMs = -1;
	let isOver = false;

	const clockMs = (): number => Math.floor((clock.monotonicMs() - bornAtMs) * clockRate);
	const wallOf = (ownMs: number): number => born + (ownMs / clockRate);

	const endRun = (run: ActiveRun, how: string, atMs: number): void => {
		active.delete(run.task);
		closed.set(run.task, Math.max(closed.get(run.task) ?? 0, run.attempt));
		ends += 1;
		Object.assign(run.seen, {endMs: atMs, how, seq: ends});
		finished.push(run.seen);
		record('end', {
			task: run.task, attempt: run.attempt, how, seq: ends, endMs: Math.round(atMs),
		});
		for (const wake of waiting) {
			wake();
		}
	};

	/** Applies everything that is due, in order of time. */
	const settle = (): void => {
		const nowMs = clock.wallMs();
		const leaseEndMs = wallOf(leaseMs);
		const isLapsed = nowMs >= leaseEndMs;
		const due = [...active.values()].filter(run => run.dueMs <= Math.min(nowMs, leaseEndMs)).toSorted((one, other) => one.dueMs - other.dueMs);
		for (const run of due) {
			endRun(run, 'done', run.dueMs);
		}

		if (!isLapsed) {
			return;
		}

		for (const seen of finished) {
			seen.end = seen.end === 'unnoted' ? 'lapsed' : seen.end;
		}

		for (const run of active.values()) {
			endRun(run, 'lapsed', leaseEndMs);
			run.seen.end = 'lapsed';
		}
	};

	const extendLease = (expiresMs: unknown): void => {
		if (typeof expiresMs !== 'number') {
			return;
		}

		const aheadMs = expiresMs - clockMs();
		if (aheadMs > options.maxLeaseMs * LONG_LEASE_SHARE) {
			record('long lease', {expiresMs, aheadMs, fence});
		}

		leaseMs = Math.max(leaseMs, clockMs() + Math.min(aheadMs, options.maxLeaseMs));
	};

	const plain = (status: number, reason?: string): LifeAnswer => ({status, body: {'clock-ms': clockMs(), ...(reason !== undefined && {reason})}});

	const start = (body: Record<string, unknown>, isLate: boolean): LifeAnswer => {
		const task = String(body.task);
		const attempt = Number(body.attempt);
		if (active.get(task)?.attempt === attempt) {
			return plain(200);
		}

		if (active.has(task) || attempt <= (closed.get(task) ?? 0)) {
			extendLease(body['expires-ms']);
			return plain(409, 'old');
		}

		if (Number(body['expires-ms']) <= clockMs()) {
			return plain(409, 'late');
		}

		extendLease(body['expires-ms']);
		const {runMs, cpu} = options.workOf(String(body.spec));
		const usedCpu = [...active.values()].reduce((sum, run) => sum + run.cpu, 0);
		if (usedCpu + cpu > options.cpu) {
			return plain(409, 'room');
		}

		const nowMs = clock.wallMs();
		const seen: SoakRun = {
			task, attempt, worker: id, born, startMs: nowMs, endMs: Infinity, how: '', end: 'unnoted', fence, isLate,
		};
		runs.push(seen);
		active.set(task, {
			task, attempt, cpu, beganMs: nowMs, dueMs: nowMs + runMs, seen,
		});
		record('start', {
			task, attempt, fence, isLate,
		});
		return plain(200);
	};

	const stop = (body: Record<string, unknown>): LifeAnswer => {
		const task = String(body.task);
		const attempt = Number(body.attempt);
		const run = active.get(task);
		closed.set(task, Math.max(closed.get(task) ?? 0, attempt));
		if (run?.attempt === attempt) {
			run.seen.stopMs = clock.wallMs();
			endRun(run, 'stopped', clock.wallMs());
		}

		return plain(200);
	};

	const acknowledge = (ackSeq: number): void => {
		for (const seen of finished.filter(each => each.seq! <= ackSeq)) {
			if (seen.end === 'unnoted') {
				seen.end = 'noted';
				seen.notedMs = clock.wallMs();
				record('noted', {task: seen.task, attempt: seen.attempt, how: seen.how});
			}
		}

		finished = finished.filter(each => each.seq! > ackSeq);
	};

	const rowOf = (run: ActiveRun): unknown[] => {
		const share = Number.isFinite(run.dueMs) ? (clock.wallMs() - run.beganMs) / (run.dueMs - run.beganMs) : 1;
		return [run.task, run.attempt, '', Math.max(0, Math.min(Number.isFinite(run.dueMs) ? 99 : 100, Math.floor(share * 100))), run.cpu];
	};

	const hold = async (body: Record<string, unknown>): Promise<LifeAnswer> => {
		acknowledge(Number(body['ack-seq'] ?? 0));
		extendLease(body['expires-ms']);
		const waitMs = Math.min(2000, Number(body['wait-ms'] ?? 0));
		if (finished.length === 0 && waitMs > 0) {
			await new Promise<void>(resolve => {
				const wake = (): void => {
					clearTimeout(timer);
					waiting.delete(wake);
					resolve();
				};

				const timer = setTimeout(wake, waitMs);
				waiting.add(wake);
			});
		}

		return {
			status: 200, body: {
				'clock-ms': clockMs(), born, active: [...active.values()].map(run => rowOf(run)),
				finished: finished.slice(0, MAX_LISTED_ENDS).map(({seq, task, attempt, how}) => [seq, task, attempt, how, '']),
			},
		};
	};

	return {
		id,
		born,
		clockMs,
		settle,
		running: () => active.size,

		/** Carries out a call. `isLate` marks one that has waited at the worker. */
		async handle(call: string, expected: string | undefined, body: Record<string, unknown>, isLate = false): Promise<LifeAnswer> {
			settle();
			if (expected !== undefined && expected !== id) {
				return plain(421);
			}

			const token = Number(body['fencing-token'] ?? 0);
			if (token < fence) {
				return plain(409, 'fence');
			}

			fence = token;
			switch (call) {
				case '/run-start': {
					return start(body, isLate);
				}

				case '/run-stop': {
					return stop(body);
				}

				case '/hold': {
					return hold(body);
				}

				case '/pace': {
					return plain(200);
				}

				default: {
					return plain(404);
				}
			}
		},

		/** Moves the work on after the worker has stood still for a time, in milliseconds; its clock and its lease ran on. */
		resume(pausedMs: number): void {
			for (const run of active.values()) {
				run.dueMs += pausedMs;
			}

			settle();
		},

		/** Ends the life at once, with all that runs. */
		end(): void {
			if (isOver) {
				return;
			}

			isOver = true;
			settle();
			for (const run of active.values()) {
				Object.assign(run.seen, {endMs: clock.wallMs(), how: 'gone'});
			}

			active.clear();
			for (const wake of waiting) {
				wake();
			}
		},
		isOver: () => isOver,
	};
};
