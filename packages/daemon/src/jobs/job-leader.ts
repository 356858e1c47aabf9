/** The leader's work during one term: answers calls, starts and stops work, and keeps waves going. */
import {
	createArrivalMeter, createPaceKeeper, groupBy, isOpen, planStarts,
	type Clock, type JobAnswer, type JobCall, type RunOver, type RunStart, type SchedulableWorker, type WorkerDirectory, type WorkerHeard, type WorkerLife, type WorkerTrack,
} from '@bronzebend/core';
import type {LogFactory} from '../utils/log.js';
import {createAdviceDesk} from './advice-desk.js';
import {createJobDesk} from './job-desk.js';
import type {LeaderContext, LeaderWork} from './job-keeper.js';
import type {JobMetrics} from './job-metrics.js';
import {createMachineKeeper} from './machine-keeper.js';
import type {AdvicePort, MachinePort, WorkerConnector} from './ports.js';
import {createRunWatch} from './run-watch.js';
import {createWorkerRunner, type WorkerRunner} from './worker-runner.js';

/** Pause between two passes that nothing asked for, in milliseconds; due times pass meanwhile. */
const PASS_MS = 100;
/** Starts in one pass at most; the rest follows in the next. */
const MAX_STARTS = 200;
/** Liveness reports that may be missed before a worker gets no new work. */
const MISSED_REPORTS = 3;
/** Time without contact after which a worker that runs work gets no more, in milliseconds. */
const CONTACT_MS = 2200;
/** Pause between two messages to the other keepers on workers, in milliseconds; a third of a worker's pause. */
const TELL_MS = 500;
/** Pause between two lines on the usage of a pool, in milliseconds. */
const USAGE_MS = 1000;
/** Pause before ends that could not be recorded are recorded again, in milliseconds. */
const RECORD_RETRY_MS = 200;

/** What the leader's work is made of. */
export type JobLeaderOptions = {
	node: string;
	clock: Clock;
	logs: LogFactory;
	metrics: JobMetrics;
	/** What this process has heard of workers, also before it led. */
	directory: WorkerDirectory;
	connect: WorkerConnector;
	machines?: MachinePort;
	advice?: AdvicePort;
	/** Length of a worker's lease, in milliseconds. */
	leaseMs: number;
	/** Span after another holder's orders to machines, in milliseconds. */
	holderLeaseMs: number;
	/** Pause between two liveness reports of a worker, in milliseconds. */
	reportMs: number;
	/** Tells the other keepers what was heard of workers. */
	tell(heard: WorkerHeard[]): void;
};

/** Starts the work of one term. */
export const createJobLeader = (options: JobLeaderOptions, context: LeaderContext): LeaderWork => {
	const {clock, metrics, directory} = options;
	const {book, term, propose, isLeading} = context;
	const log = options.logs('scheduler');
	const runners = new Map<string, WorkerRunner>();
	const watch = createRunWatch({
		book, clock, log, metrics,
	});
	const pace = createPaceKeeper(book);
	const arrivals = createArrivalMeter();
	/** Lives on which work is being recorded now. */
	let proposedLives: ReadonlySet<string> = new Set();
	let isStopped = false;
	let isDirty = true;
	let isPassing = false;
	let toldMs = -Infinity;
	let heardToldMs = -Infinity;
	let waitingUnits: ReadonlyMap<string, number> = new Map();
	metrics.term.set(term);

	const leads = (): boolean => !isStopped && isLeading();

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

		wake();
		return true;
	};

	/** Records that all runs of a life are lost; it is tried until it holds or this term ends. */
	const recordLost = async (life: string, over: RunOver[]): Promise<void> => {
		// Each try waits for the one before.
		// eslint-disable-next-line no-await-in-loop
		while (leads() && over.length > 0 && !await record(life, over)) {
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
			fence: term,
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
			isLeading: leads,
		});
		runners.set(life.life, runner);
		return runner;
	};

	const advice = createAdviceDesk({
		port: options.advice, clock, log, onAdvice() {
			wake();
		},
	});

	const machines = options.machines && createMachineKeeper({
		book,
		directory,
		arrivals,
		estimates: watch.estimates,
		port: options.machines,
		holder: options.node,
		fence: term,
		holderLeaseMs: options.holderLeaseMs,
		clock,
		log: options.logs('machines'),
		propose,
		trackOf(life) {
			const runner = runners.get(life);
			return runner?.isOver() === false ? runner.track : undefined;
		},
		isBeingUsed: life => proposedLives.has(life),
		isUsable: life => workers().some(worker => worker.life === life),
		evacuate(life, unit) {
			const runner = runners.get(life);
			const attempt = runner?.track.runs.get(unit)?.attempt;
			if (attempt !== undefined) {
				runner!.stop(unit, attempt);
			}
		},
		onEnded(life) {
			directory.ended(life);
			runners.get(life)?.declareOver('an order to its machine');
		},
		isLeading: leads,
	});

	const workers = (): SchedulableWorker[] => {
		const nowMs = clock.monotonicMs();
		return directory.list().filter(entry => {
			const runner = runners.get(entry.life);
			const isReachable = !runner || (!runner.isOver() && (runner.track.runs.size === 0 || nowMs - runner.track.contactMs() < CONTACT_MS));
			const machine = entry.machine ?? machines?.machineOfWorker(entry.id);
			return !entry.draining && !entry.left && isReachable
				&& nowMs - entry.heardMs < MISSED_REPORTS * options.reportMs
				&& watch.mayStart(entry.life, nowMs)
				&& (machine === undefined || machines?.isLeaving(machine) !== true);
		}).map(entry => ({
			life: entry.life, id: entry.id, pool: entry.pool, capacity: entry.capacity, labels: entry.labels, slowness: watch.slowness(entry.life),
		}));
	};

	const stopUnwanted = (): void => {
		for (const [life, runner] of runners) {
			for (const [unit, run] of book.runsOf(life)) {
				if (!isOpen(run.job)) {
					runner.stop(unit, run.unit.attempt);
				}
			}
		}
	};

	const order = (start: RunStart): void => {
		const entry = directory.list().find(each => each.life === start.life);
		const life = entry ?? book.busyLives().find(each => each.life === start.life);
		const found = book.find(start.unit);
		if (!life || !found) {
			return;
		}

		const {job, step, occurrence} = found;
		if (job.occurrences.length === 1 && found.unit.attempt === 1 && job.running === 1) {
			metrics.startSeconds.observe({queue: job.order.queue}, Math.max(0, clock.wallMs() - job.acceptedAtMs) / 1000);
		}

		log.info('Run placed.', {
			unit: start.unit, attempt: start.attempt, worker: start.life, queue: job.order.queue, workspace: job.order.workspace, heardMsAgo: entry && Math.round(clock.monotonicMs() - entry.heardMs), waitedMs: Math.round(clock.wallMs() - job.acceptedAtMs),
		});
		runnerOf(life, false).start(start, advice.ticket(job.order.id, occurrence, step, life.id));
	};

	const pass = async (): Promise<void> => {
		const manifest = book.manifest();
		stopUnwanted();
		if (!manifest || book.openCount() === 0) {
			return;
		}

		const list = workers();
		const lifeById = new Map(list.map(worker => [worker.id, worker.life]));
		const {starts, unadvised, waiting} = planStarts({
			book,
			manifest,
			workers: list,
			estimates: watch.estimates,
			wallMs: clock.wallMs(),
			avoided: watch.avoided,
			approved(job, occurrence, step) {
				const ids = manifest.queue(job.order.queue)?.recommendation ? advice.approved(job, occurrence, step) : undefined;
				return ids && new Set([...ids].flatMap(id => lifeById.get(id) ?? []));
			},
			most: MAX_STARTS,
		});
		waitingUnits = waiting;
		for (const {job, occurrence, step} of unadvised) {
			const {pool} = manifest.queue(job.order.queue)!;
			advice.request(job, occurrence, step, list.filter(worker => worker.pool === pool).map(worker => worker.id));
		}

		if (starts.length === 0) {
			return;
		}

		const lives = new Set(starts.map(start => start.life));
		proposedLives = lives;
		const outcome = await propose({
			type: 'runs-start',
			lives: directory.list().filter(entry => lives.has(entry.life)).map(({life, id, bornMs, address, pool, zone, machine, capacity, labels}) => ({
				life, id, bornMs, address, pool, zone, machine, capacity, labels,
			})),
			runs: starts,
		});
		if (outcome.type === 'runs-started' && leads()) {
			for (const start of outcome.accepted) {
				order(start);
			}
		}
	};

	const passWhileDirty = async (): Promise<void> => {
		isPassing = true;
		try {
			while (isDirty && leads()) {
				isDirty = false;
				proposedLives = new Set();
				// The next pass decides from what this one recorded.
				// eslint-disable-next-line no-await-in-loop
				await pass();
			}
		} catch (error) {
			log.warn('A scheduling pass failed.', {cause: String(error)});
		} finally {
			isPassing = false;
			proposedLives = new Set();
		}
	};

	const wake = (): void => {
		isDirty = true;
		if (!isPassing && !isStopped) {
			setImmediate(() => {
				if (!isPassing) {
					void passWhileDirty();
				}
			});
		}
	};

	const onAnnounce = ({announcement}: JobCall & {type: 'announce'}): void => {
		const before = directory.find(announcement.id);
		const effect = directory.announce(announcement, clock.monotonicMs());
		if (effect === 'new-life' || effect === 'draining') {
			log.info(effect === 'draining' ? 'Worker is draining.' : 'Worker announced itself.', {
				worker: announcement.id, pool: announcement.pool, born: announcement.bornMs, seq: announcement.seq, address: announcement.address,
			});
		}

		if (effect === 'new-life') {
			if (before) {
				runners.get(before.life)?.declareOver('the worker started anew');
			}

			wake();
		}
	};

	const desk = createJobDesk({
		book,
		estimates: watch.estimates,
		clock,
		log: options.logs('desk'),
		metrics,
		propose,
		isLeading: leads,
		capacityOf: pool => directory.list().filter(entry => entry.pool === pool && !entry.left && !entry.draining).reduce((sum, entry) => sum + entry.capacity.cpu, machines?.standbyCpu() ?? 0),
		announce: onAnnounce,
		leave(call) {
			const entry = directory.leave(call.id, call.bornMs);
			log.info('Worker leaves.', {worker: call.id, known: entry !== undefined});
		},
		onAccepted(job, pool) {
			arrivals.add(job, pool, watch.estimates, clock.monotonicMs());
			wake();
		},
		wake,
	});

	for (const life of book.busyLives()) {
		runnerOf(life, true);
	}

	/** One line a second and pool: what it has, what runs, what waits. */
	const tellUsage = (): void => {
		const nowMs = clock.monotonicMs();
		if (nowMs - toldMs < USAGE_MS) {
			return;
		}

		toldMs = nowMs;
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
				waiting: waitingUnits.get(pool) ?? 0,
			});
		}
	};

	const tellHeard = (): void => {
		const nowMs = clock.monotonicMs();
		if (nowMs - heardToldMs < TELL_MS) {
			return;
		}

		heardToldMs = nowMs;
		const heard = directory.takeHeard(nowMs);
		if (heard.length > 0) {
			options.tell(heard);
		}
	};

	const timer = setInterval(() => {
		tellUsage();
		tellHeard();
		metrics.openJobs.set(book.openCount());
		metrics.manifestVersion.set(book.manifest()?.manifest.version ?? 0);
		metrics.workers.set({state: 'known'}, directory.list().length);
		metrics.workers.set({state: 'busy'}, runners.size);
		wake();
	}, PASS_MS);

	return {
		async answer(call: JobCall): Promise<JobAnswer> {
			const startedMs = clock.monotonicMs();
			const answer = await desk.answer(call);
			metrics.calls.inc({call: call.type, answer: answer.type});
			metrics.callSeconds.observe({call: call.type}, (clock.monotonicMs() - startedMs) / 1000);
			return answer;
		},

		stop(): void {
			isStopped = true;
			clearInterval(timer);
			advice.close();
			machines?.stop();
			for (const runner of runners.values()) {
				runner.close();
			}
		},
	};
};
