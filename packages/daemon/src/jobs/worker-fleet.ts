/** The tasks of all workers that this leader deals with, and what it learns from them. */
import {
	createPaceKeeper, isOpen, longestLeaseMs, RunEnds,
	type Clock, type JobBook, type JobCommand, type JobOutcome, type RunOver, type RunStart, type WorkerDirectory, type WorkerLife, type WorkerTrack,
} from '@bronzebend/core';
import type {Log} from '../utils/log.js';
import type {JobMetrics} from './job-metrics.js';
import type {WorkerConnector} from './ports.js';
import type {RunWatch} from './run-watch.js';
import {createWorkerRunner, type WorkerRunner} from './worker-runner.js';

/** Time without contact after which a worker that runs work gets no more, in milliseconds. */
const CONTACT_MS = 2200;
/** Pause before ends that could not be recorded are recorded again, in milliseconds. */
const RECORD_RETRY_MS = 200;

/** What a fleet is made of. */
export type WorkerFleetOptions = {
	book: JobBook;
	clock: Clock;
	log: Log;
	metrics: JobMetrics;
	directory: WorkerDirectory;
	watch: RunWatch;
	connect: WorkerConnector;
	fence: number;
	leaseMs: number;
	propose(command: JobCommand): Promise<JobOutcome>;
	isLeading(): boolean;
	/** Work or room may be there. */
	onChange(): void;
};

/** A run that is recorded for a life whose task does not know it. */
export type UnattendedRun = {life: WorkerLife; unit: string; attempt: number};

/** Creates the tasks of one term; none runs yet. */
export const createWorkerFleet = (options: WorkerFleetOptions) => {
	const {book, clock, log, metrics, directory, watch, propose, isLeading, onChange} = options;
	const runners = new Map<string, WorkerRunner>();
	/** Lives that could not be connected to. */
	const unreachable = new Set<string>();
	let closed = false;
	let looks = 0;
	const isClosed = (): boolean => closed;
	const pace = createPaceKeeper(book);

	const record = async (life: string, over: RunOver[]): Promise<boolean> => {
		try {
			await propose({
				type: 'runs-over', life, runs: over, atMs: clock.wallMs(),
			});
		} catch (error) {
			log.warn('Ends not recorded.', {worker: life, runs: over.length, cause: String(error)});
			return false;
		}

		watch.ended(life, over, runners.get(life)?.track);
		for (const id of new Set(over.map(run => run.unit.split('.')[0]!))) {
			const job = book.job(id);
			if (job && !isOpen(job)) {
				log.info('Job over.', {job: id, state: job.state, tookMs: Math.round(job.endedAtMs - job.acceptedAtMs)});
			}
		}

		onChange();
		return true;
	};

	/** Records that all runs of a life are lost; it is tried until it holds or this term ends. */
	const recordLost = async (life: string, over: RunOver[]): Promise<void> => {
		// Each try waits for the one before.
		// eslint-disable-next-line no-await-in-loop
		while (!isClosed() && over.length > 0 && !await record(life, over)) {
			// eslint-disable-next-line no-await-in-loop
			await new Promise(resolve => {
				setTimeout(resolve, RECORD_RETRY_MS);
			});
		}
	};

	const onOver = (life: string, cause: string): void => {
		const runner = runners.get(life);
		const over = runner?.track.allLost() ?? [];
		log.warn('Life of a worker is over.', {worker: life, cause, runs: over.length});
		if (cause.startsWith('no contact')) {
			watch.silent(life);
		} else {
			directory.ended(life);
		}

		recordLost(life, over).catch((error: unknown) => {
			log.error('Could not record lost runs.', {worker: life, cause: String(error)});
		}).finally(() => {
			if (runners.get(life) === runner) {
				runners.delete(life);
			}
		});
	};

	const onLook = (track: WorkerTrack): void => {
		looks += 1;
		const runner = runners.get(track.life);
		for (const unit of watch.stalled(track)) {
			runner?.stop(unit, track.runs.get(unit)!.attempt);
		}

		for (const order of pace.look(track, clock.monotonicMs())) {
			log.info('Pace changed.', {unit: order.unit, worker: track.life, share: order.share});
			runner?.pace(order.unit, order.attempt, order.share).catch((error: unknown) => {
				log.warn('Pace not changed.', {unit: order.unit, cause: String(error)});
			});
		}
	};

	/** The task of a life, started where there is none. */
	const runnerOf = (life: WorkerLife, inherited: boolean): WorkerRunner => {
		const existing = runners.get(life.life);
		if (existing && !existing.isOver()) {
			return existing;
		}

		const entry = directory.find(life.id);
		const clockMs = entry?.life === life.life ? entry.clockMs : undefined;
		const runner = createWorkerRunner({
			life,
			book,
			port: options.connect(life),
			fence: options.fence,
			leaseMs: options.leaseMs,
			inherited,
			announcedClock: clockMs === undefined || inherited ? undefined : {clockMs, heardMs: entry!.heardMs},
			clock,
			log,
			metrics,
			record,
			onLook,
			onStartFailed(start, reason) {
				watch.startFailed(start, reason);
			},
			onOver,
			isLeading,
		});
		runners.set(life.life, runner);
		return runner;
	};

	/** Gives up a life that cannot be connected to; what an earlier leader may have started there runs until its lease is over. */
	const abandon = (life: WorkerLife, inherited: boolean): void => {
		unreachable.add(life.life);
		directory.ended(life.life);
		setTimeout(() => {
			const over = [...book.runsOf(life.life).values()].map(({unit}): RunOver => ({
				unit: unit.name, attempt: unit.attempt, how: RunEnds.lost, checkpoint: '',
			}));
			recordLost(life.life, over).catch((error: unknown) => {
				log.error('Could not record lost runs.', {worker: life.life, cause: String(error)});
			});
		}, inherited ? longestLeaseMs(options.leaseMs) : 0);
	};

	/** Hands recorded work to the task of its life; where there can be none, the work is lost and the life gets no more. */
	const entrust = (life: WorkerLife, inherited: boolean, hand: (runner: WorkerRunner) => void): void => {
		if (closed || unreachable.has(life.life)) {
			return;
		}

		let runner: WorkerRunner;
		try {
			runner = runnerOf(life, inherited);
		} catch (error) {
			log.error('Cannot connect to a worker.', {worker: life.life, address: life.address, cause: String(error)});
			abandon(life, inherited);
			return;
		}

		hand(runner);
	};

	/** Runs in the record that no task looks after; the runs of a life that is over are being recorded as lost. */
	const unattended = (): UnattendedRun[] => book.busyLives().filter(life => !runners.get(life.life)?.isOver()).flatMap(life => {
		const known = runners.get(life.life)?.track.runs;
		return [...book.runsOf(life.life)].flatMap(([unit, {unit: {attempt}}]) => (known?.get(unit)?.attempt === attempt ? [] : [{life, unit, attempt}]));
	});

	return {
		size: () => runners.size,
		unattended,
		/** Looks at workers' lists since the term began. */
		looks: () => looks,

		/** Takes over the work that an earlier leader ordered. */
		inherit(): void {
			for (const life of book.busyLives()) {
				entrust(life, true, () => undefined);
			}
		},

		/** Orders a run that is recorded; without a lease its task finds out later that it never began. */
		start(life: WorkerLife, start: RunStart, ticket: string | undefined): void {
			entrust(life, false, runner => {
				runner.start(start, ticket);
			});
		},

		/** Has the tasks find out what became of recorded runs that they do not know. */
		attend(): void {
			for (const {life, unit, attempt} of unattended()) {
				entrust(life, true, runner => {
					runner.adopt(unit, attempt);
				});
			}
		},

		/** Stops the runs of jobs that are over. */
		stopUnwanted(): void {
			for (const [life, runner] of runners) {
				for (const [unit, run] of book.runsOf(life)) {
					if (!isOpen(run.job)) {
						runner.stop(unit, run.unit.attempt);
					}
				}
			}
		},

		/** Moves a work unit away from a life. */
		evacuate(life: string, unit: string): void {
			const runner = runners.get(life);
			const attempt = runner?.track.runs.get(unit)?.attempt;
			if (attempt !== undefined) {
				runner!.stop(unit, attempt);
			}
		},

		/** The view of a life that is not over. */
		trackOf(life: string): WorkerTrack | undefined {
			const runner = runners.get(life);
			return runner?.isOver() === false ? runner.track : undefined;
		},

		/** False where a life is over, or was silent while it runs work. */
		isReachable(life: string): boolean {
			const runner = runners.get(life);
			return !runner || (!runner.isOver() && (runner.track.runs.size === 0 || clock.monotonicMs() - runner.track.contactMs() < CONTACT_MS));
		},

		declareOver(life: string, cause: string): void {
			runners.get(life)?.declareOver(cause);
		},

		close(): void {
			closed = true;
			for (const runner of runners.values()) {
				runner.close();
			}
		},
	};
};
