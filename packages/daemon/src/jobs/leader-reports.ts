/** The leader's periodic reports: logs pool usage, long waits and scheduling throughput, and passes what is known of workers on to the other keepers. */
import {
	findLongWaits, groupBy, type Clock, type DirectoryChanges, type JobStore, type LongWaitInput, type SchedulingPass, type WorkerDirectory,
} from '@bronzebend/core';
import type {Log} from '../utils/log.js';
import {countEvacuationRests, reportEvacuations} from './evacuation-reports.js';
import type {JobMetrics} from './job-metrics.js';
import type {MachineController} from './machine-controller.js';
import {createLoadMeter} from './process-load.js';
import type {UsableWorkers} from './usable-workers.js';
import type {UntrackedRun} from './worker-fleet.js';

/** Interval of the messages that pass worker announcements on to the other keepers, in milliseconds; a third of a worker's announcement interval. Workers that go out of use are passed on at once. */
const SHARE_INTERVAL_MS = 500;
/** Interval of the log lines on pool usage and on the scheduling pace, in milliseconds. */
const LOG_INTERVAL_MS = 1000;

/** Durations and result of one scheduling pass. */
export type PassReport = {
	planMs: number;
	/** Time until the starts were committed. */
	commitMs: number;
	starts: number;
	/** True if the pass reached the limit of starts. */
	isCut: boolean;
	/** What the limit of starts left. */
	cutSteps: SchedulingPass['cutSteps'];
};

/** Numbers of work units that a pass left because of its limit, by pool. */
const countCut = ({cutSteps}: PassReport): Map<string, number> => new Map([...groupBy(cutSteps.values(), ({pool}) => pool)].map(([pool, steps]) => [pool, steps.reduce((sum, {left}) => sum + left, 0)]));

/** Creates the periodic reports of one term. */
export const createLeaderReports = (options: {
	store: JobStore;
	clock: Clock;
	log: Log;
	directory: WorkerDirectory;
	shareWorkers(changes: DirectoryChanges): void;
	/** Number of a pool's work units for which no worker had room. */
	waiting(pool: string): number;
	workers: UsableWorkers;
	/** What the passes know of work units. */
	units: Pick<LongWaitInput, 'avoided' | 'approved' | 'idleTimes'>;
	/** Recorded runs that no worker session tracks. */
	untracked(): UntrackedRun[];
	metrics: JobMetrics;
	/** What the balance of machines is doing; undefined if no machines are controlled. */
	balance(): ReturnType<MachineController['balance']> | undefined;
	/** Polls of worker lists since the term began. */
	looks(): number;
}) => {
	const {store, clock, log, directory, shareWorkers, waiting, looks, metrics} = options;
	let usageLoggedMs = -Infinity;
	let sharedMs = -Infinity;
	let paceLoggedMs = clock.monotonicMs();
	let pollsLogged = 0;
	let passes: PassReport[] = [];
	/** What the limit of starts left in the latest pass, and of each pool the most that one pass left since usage was logged. */
	let cutSteps: SchedulingPass['cutSteps'] = new Map();
	let mostCut = new Map<string, number>();
	const meter = createLoadMeter();

	/** Warns of recorded runs that no worker session tracks, and of work units that have waited long. */
	const logProblems = (): void => {
		const untracked = options.untracked();
		metrics.untrackedRuns.set(untracked.length);
		const [first] = untracked;
		if (first) {
			log.warn('Recorded runs are not tracked by any worker session.', {
				runs: untracked.length, unit: first.unit, attempt: first.attempt, worker: first.life.life,
			});
		}

		const waits = findLongWaits({
			store, workers: options.workers.list(), evacuated: options.workers.evacuated(), wallMs: clock.wallMs(), cutSteps, ...options.units,
		});
		metrics.longWaits.set(waits.reduce((sum, wait) => sum + wait.jobs, 0));
		for (const wait of waits) {
			log.warn('Work units have been ready for long and do not run.', {
				...wait,
				waitedMs: Math.round(wait.waitedMs),
				reasons: [...wait.reasons].map(([reason, units]) => `${reason}:${units}`).join(' '),
				ruledOut: Object.entries(wait.ruledOut).map(([rule, workers]) => `${rule}:${workers}`).join(' '),
				outOfUse: options.workers.outOfUse(wait.pool),
			});
		}
	};

	/** Logs and counts the workers that drain for a move, lent reserves and the expected turn, while there are any. */
	const logBalance = (): void => {
		const {draining = 0, lent = 0, expected} = options.balance() ?? {};
		metrics.workers.set({state: 'draining-for-move'}, draining);
		metrics.lentReserves.set(lent);
		metrics.expectedWorkers.reset();
		if (expected) {
			metrics.expectedWorkers.set({pool: expected.pool}, expected.workers);
		}

		if (draining > 0 || lent > 0 || expected) {
			log.info('Balance of machines.', {
				draining, lent, expectedPool: expected?.pool, expectedWorkers: expected?.workers, expectedInMs: expected && Math.round(expected.startMs - clock.monotonicMs()), spreadMs: expected && Math.round(expected.spreadMs),
			});
		}
	};

	/** Logs the capacity, usage and waiting work of each pool, once a second. */
	const logUsage = (): void => {
		const nowMs = clock.monotonicMs();
		if (nowMs - usageLoggedMs < LOG_INTERVAL_MS) {
			return;
		}

		usageLoggedMs = nowMs;
		logProblems();
		reportEvacuations(countEvacuationRests(store, directory, clock.wallMs()), log, metrics);
		logBalance();
		for (const [pool, entries] of groupBy(directory.list().filter(entry => !entry.left), entry => entry.pool)) {
			const used = entries.map(entry => store.usageOfLife(entry.life));
			const runs = entries.flatMap(entry => [...store.runsOf(entry.life).values()]);
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
				cut: mostCut.get(pool) ?? 0,
			});
		}

		mostCut = new Map();
	};

	/** Logs the figures that limit the rate of starts, once a second. */
	const logPace = (): void => {
		const nowMs = clock.monotonicMs();
		if (nowMs - paceLoggedMs < LOG_INTERVAL_MS) {
			return;
		}

		const sum = (amount: (pass: PassReport) => number): number => Math.round(passes.reduce((total, pass) => total + amount(pass), 0));
		const longest = (amount: (pass: PassReport) => number): number => Math.round(Math.max(0, ...passes.map(pass => amount(pass))));
		log.info('Scheduling pace.', {
			forMs: Math.round(nowMs - paceLoggedMs),
			passes: passes.length,
			cutPasses: passes.filter(pass => pass.isCut).length,
			starts: sum(pass => pass.starts),
			planMs: sum(pass => pass.planMs),
			longestPlanMs: longest(pass => pass.planMs),
			commitMs: sum(pass => pass.commitMs),
			longestCommitMs: longest(pass => pass.commitMs),
			looks: looks() - pollsLogged,
			...meter.read(),
		});
		paceLoggedMs = nowMs;
		pollsLogged = looks();
		passes = [];
	};

	const shareReceived = (): void => {
		const nowMs = clock.monotonicMs();
		if (nowMs - sharedMs < SHARE_INTERVAL_MS && !directory.hasUrgentChanges()) {
			return;
		}

		sharedMs = nowMs;
		const changes = directory.takeChanges(nowMs);
		if (changes.heard.length > 0 || changes.left.length > 0) {
			shareWorkers(changes);
		}
	};

	return {
		/** Records a finished scheduling pass. */
		passed(pass: PassReport): void {
			passes.push(pass);
			cutSteps = pass.cutSteps;
			for (const [pool, units] of countCut(pass)) {
				mostCut.set(pool, Math.max(mostCut.get(pool) ?? 0, units));
			}
		},

		/** Writes and sends the reports that are due. */
		step(): void {
			metrics.heldWork.set(store.heldWork(clock.wallMs(), undefined).total);
			logUsage();
			logPace();
			shareReceived();
		},
	};
};
