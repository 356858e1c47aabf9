/** What the leader tells at fixed pauses: usage, long waits and its own pace to the log, and reports of workers to the other keepers. */
import {
	findLongWaits, groupBy, type Clock, type JobBook, type SchedulableWorker, type WorkerDirectory, type WorkerHeard,
} from '@bronzebend/core';
import type {Log} from '../utils/log.js';
import type {JobMetrics} from './job-metrics.js';
import {createLoadMeter} from './process-load.js';
import type {UnattendedRun} from './worker-fleet.js';

/** Pause between two messages to the other keepers on workers, in milliseconds; a third of a worker's pause. */
const TELL_MS = 500;
/** Pause between two lines on the usage of a pool, and between two on the leader's pace, in milliseconds. */
const USAGE_MS = 1000;

/** What one scheduling pass took and gave. */
export type PassReport = {
	planMs: number;
	/** Time until its starts were recorded. */
	commitMs: number;
	starts: number;
	/** It stopped at the limit of starts. */
	isCut: boolean;
};

/** Creates the reports of one term. */
export const createLeaderReports = (options: {
	book: JobBook;
	clock: Clock;
	log: Log;
	directory: WorkerDirectory;
	tell(heard: WorkerHeard[]): void;
	/** Work units of a pool that found no room. */
	waiting(pool: string): number;
	/** Workers that may take work. */
	workers(): SchedulableWorker[];
	/** Recorded runs that no task looks after. */
	unattended(): UnattendedRun[];
	metrics: JobMetrics;
	/** Looks at workers' lists since the term began. */
	looks(): number;
}) => {
	const {book, clock, log, directory, tell, waiting, looks, metrics} = options;
	let toldMs = -Infinity;
	let heardToldMs = -Infinity;
	let paceToldMs = clock.monotonicMs();
	let looksTold = 0;
	let passes: PassReport[] = [];
	const meter = createLoadMeter();

	/** What should not be: recorded runs that no task looks after, and jobs that have waited long. */
	const tellTrouble = (): void => {
		const unattended = options.unattended();
		metrics.unattendedRuns.set(unattended.length);
		const [first] = unattended;
		if (first) {
			log.warn('Recorded runs have no task.', {
				runs: unattended.length, unit: first.unit, attempt: first.attempt, worker: first.life.life,
			});
		}

		const waits = findLongWaits({book, workers: options.workers(), wallMs: clock.wallMs()});
		metrics.longWaits.set(waits.reduce((sum, wait) => sum + wait.jobs, 0));
		for (const wait of waits) {
			log.warn('Jobs wait long.', {...wait, waitedMs: Math.round(wait.waitedMs)});
		}
	};

	/** One line a second and pool: what it has, what runs, what waits. */
	const tellUsage = (): void => {
		const nowMs = clock.monotonicMs();
		if (nowMs - toldMs < USAGE_MS) {
			return;
		}

		toldMs = nowMs;
		tellTrouble();
		for (const [pool, entries] of groupBy(directory.list().filter(entry => !entry.left), entry => entry.pool)) {
			const used = entries.map(entry => book.usageOfLife(entry.life));
			const runs = entries.flatMap(entry => [...book.runsOf(entry.life).values()]);
			log.info('Pool usage.', {
				pool,
				workers: entries.length,
				cpu: entries.reduce((sum, entry) => sum + entry.capacity.cpu, 0),
				cpuUsed: used.reduce((sum, each) => sum + each.cpu, 0),
				memoryMb: entries.reduce((sum, entry) => sum + entry.capacity.memoryMb, 0),
				memoryUsedMb: used.reduce((sum, each) => sum + each.memoryMb, 0),
				runs: runs.length,
				lasting: runs.filter(run => run.job.order.steps[run.step]!.lasting).length,
				fillers: runs.filter(run => run.job.order.steps[run.step]!.fillsSpare).length,
				waiting: waiting(pool),
			});
		}
	};

	/** One line a second: what bounds the starts. */
	const tellPace = (): void => {
		const nowMs = clock.monotonicMs();
		if (nowMs - paceToldMs < USAGE_MS) {
			return;
		}

		const sum = (amount: (pass: PassReport) => number): number => Math.round(passes.reduce((total, pass) => total + amount(pass), 0));
		const longest = (amount: (pass: PassReport) => number): number => Math.round(Math.max(0, ...passes.map(pass => amount(pass))));
		log.info('Scheduling pace.', {
			forMs: Math.round(nowMs - paceToldMs),
			passes: passes.length,
			cutPasses: passes.filter(pass => pass.isCut).length,
			starts: sum(pass => pass.starts),
			planMs: sum(pass => pass.planMs),
			longestPlanMs: longest(pass => pass.planMs),
			commitMs: sum(pass => pass.commitMs),
			longestCommitMs: longest(pass => pass.commitMs),
			looks: looks() - looksTold,
			...meter.read(),
		});
		paceToldMs = nowMs;
		looksTold = looks();
		passes = [];
	};

	const tellHeard = (): void => {
		const nowMs = clock.monotonicMs();
		if (nowMs - heardToldMs < TELL_MS) {
			return;
		}

		heardToldMs = nowMs;
		const heard = directory.takeHeard(nowMs);
		if (heard.length > 0) {
			tell(heard);
		}
	};

	return {
		/** A scheduling pass is over. */
		passed(pass: PassReport): void {
			passes.push(pass);
		},

		/** Tells what is due. */
		step(): void {
			tellUsage();
			tellPace();
			tellHeard();
		},
	};
};
