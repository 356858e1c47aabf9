/** The leader's work during one term: answers calls, starts and stops work, and keeps waves going. */
import {
	createArrivalMeter, planStarts,
	type CarriedResult, type JobAnswer, type JobCall, type RunStart, type SchedulableWorker,
} from '@bronzebend/core';
import {createAdviceDesk} from './advice-desk.js';
import {createCarriedCalls} from './carried-calls.js';
import {createJobDesk} from './job-desk.js';
import type {LeaderContext, LeaderWork} from './job-keeper.js';
import type {JobLeaderOptions} from './job-leader-options.js';
import {createLeaderReports} from './leader-reports.js';
import {createMachineKeeper} from './machine-keeper.js';
import {createRunWatch} from './run-watch.js';
import {createWorkerFleet} from './worker-fleet.js';

/** Pause between two comparisons of the record with the tasks of the workers, in milliseconds. */
const ATTEND_MS = 1000;
/** Pause between two passes that nothing asked for, in milliseconds; due times pass meanwhile. */
const PASS_MS = 100;
/** Share of the time that planning may take; calls, looks and heartbeats need the rest. */
const PLANNING_SHARE = 1 / 3;
/** Pause after a pass at least, in milliseconds; ends and jobs gather meanwhile, and each pass costs a commit. */
const GATHER_MS = 12;
/** Starts in one pass at most; the rest follows in the next. */
const MAX_STARTS = 200;
/** Orders to machines a second where the platform names no limit. */
const DEFAULT_ORDERS_PER_S = 20;
/** Silence after which a worker leaves the directory, in milliseconds; far beyond any lease. */
const FORGET_MS = 60_000;
/** Liveness reports that may be missed before a worker gets no new work. */
const MISSED_REPORTS = 3;

/** Starts the work of one term. */
export const createJobLeader = (options: JobLeaderOptions, context: LeaderContext): LeaderWork => {
	const {clock, metrics, directory} = options;
	const {book, term, propose, isLeading, orderAppliedMs} = context;
	const log = options.logs('scheduler');
	const watch = createRunWatch({
		book, clock, log, metrics,
	});
	const arrivals = createArrivalMeter();
	/** Lives on which work is being recorded now. */
	let proposedLives: ReadonlySet<string> = new Set();
	let isStopped = false;
	let isDirty = true;
	let isPassing = false;
	let waitingUnits: ReadonlyMap<string, number> = new Map();
	metrics.term.set(term);

	const leads = (): boolean => !isStopped && isLeading();

	const calls = createCarriedCalls({
		clock, log, term, direct: options.connect, liveKeepers: context.liveKeepers, send: options.send,
	});

	const fleet = createWorkerFleet({
		book,
		clock,
		log,
		metrics,
		directory,
		watch,
		connect: calls.connect,
		fence: term,
		leaseMs: options.leaseMs,
		propose,
		isLeading: leads,
		onChange() {
			wake();
		},
	});

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
		ordersPerS: options.machineOrdersPerS ?? DEFAULT_ORDERS_PER_S,
		holder: options.node,
		fence: term,
		holderLeaseMs: options.holderLeaseMs,
		orderAppliedMs,
		clock,
		log: options.logs('machines'),
		propose,
		trackOf: fleet.trackOf,
		isBeingUsed: life => proposedLives.has(life),
		usable: () => new Set(workers().map(worker => worker.life)),
		shortPools: () => new Set([...waitingUnits].filter(([, count]) => count > 0).map(([pool]) => pool)),
		evacuate: fleet.evacuate,
		onEnded(life) {
			directory.ended(life);
			fleet.declareOver(life, 'an order to its machine');
		},
		isLeading: leads,
	});

	const workers = (): SchedulableWorker[] => {
		const nowMs = clock.monotonicMs();
		return directory.list().filter(entry => {
			const machine = entry.machine ?? machines?.machineOfWorker(entry.id);
			return !entry.draining && !entry.left && fleet.isReachable(entry.life)
				&& nowMs - entry.heardMs < MISSED_REPORTS * options.reportMs
				&& watch.mayStart(entry.life, nowMs)
				&& (machine === undefined || machines?.isLeaving(machine) !== true);
		}).map(entry => ({
			life: entry.life, id: entry.id, pool: entry.pool, capacity: entry.capacity, labels: entry.labels, slowness: watch.slowness(entry.life),
		}));
	};

	const order = (start: RunStart): void => {
		const entry = directory.ofLife(start.life);
		const life = entry ?? book.busyLife(start.life);
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
		fleet.start(life, start, advice.ticket(job.order.id, occurrence, step, life.id));
	};

	/** Returns the time that planning took, in milliseconds. */
	const pass = async (): Promise<number> => {
		const startedMs = clock.monotonicMs();
		const manifest = book.manifest();
		fleet.stopUnwanted();
		if (!manifest || book.openCount() === 0) {
			return 0;
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

		const tookMs = clock.monotonicMs() - startedMs;
		metrics.planSeconds.observe(tookMs / 1000);
		if (starts.length === 0) {
			reports.passed({
				planMs: tookMs, commitMs: 0, starts: 0, isCut: false,
			});
			return tookMs;
		}

		const lives = new Set(starts.map(start => start.life));
		proposedLives = lives;
		const outcome = await propose({
			type: 'runs-start',
			lives: [...lives].filter(life => !book.knowsLife(life)).flatMap(life => directory.ofLife(life) ?? []).map(({life, id, bornMs, address, pool, zone, machine, capacity, labels}) => ({
				life, id, bornMs, address, pool, zone, machine, capacity, labels,
			})),
			runs: starts,
		});
		reports.passed({
			planMs: tookMs, commitMs: clock.monotonicMs() - startedMs - tookMs, starts: starts.length, isCut: starts.length >= MAX_STARTS,
		});
		if (outcome.type === 'runs-started') {
			for (const start of outcome.accepted) {
				order(start);
			}
		}

		return tookMs;
	};

	const passWhileDirty = async (): Promise<void> => {
		isPassing = true;
		try {
			while (isDirty && leads()) {
				isDirty = false;
				proposedLives = new Set();
				// The next pass decides from what this one recorded.
				// eslint-disable-next-line no-await-in-loop
				const tookMs = await pass();
				// eslint-disable-next-line no-await-in-loop
				await new Promise(resolve => {
					setTimeout(resolve, Math.max(GATHER_MS, tookMs * ((1 / PLANNING_SHARE) - 1)));
				});
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
				fleet.declareOver(before.life, 'the worker started anew');
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
		capacityOf(pool) {
			const announced = directory.list().filter(entry => entry.pool === pool && !entry.left && !entry.draining).reduce((sum, entry) => sum + entry.capacity.cpu, 0);
			// A new leader hears of the workers only with their next reports; before it knows the machines, it knows no capacity.
			const reachable = machines ? machines.reachableCpu(pool) : 0;
			return reachable === undefined ? undefined : Math.max(announced, reachable);
		},
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

	fleet.inherit();

	const reports = createLeaderReports({
		book,
		clock,
		log,
		directory,
		metrics,
		workers,
		tell: options.tell,
		waiting: pool => waitingUnits.get(pool) ?? 0,
		unattended: fleet.unattended,
		looks: fleet.looks,
	});

	const timers = [setInterval(() => {
		if (leads()) {
			fleet.attend();
		}
	}, ATTEND_MS), setInterval(() => {
		reports.step();
		directory.forgetSilent(clock.monotonicMs() - FORGET_MS);
		metrics.openJobs.set(book.openCount());
		metrics.manifestVersion.set(book.manifest()?.manifest.version ?? 0);
		metrics.workers.set({state: 'known'}, directory.list().length);
		metrics.workers.set({state: 'busy'}, fleet.size());
		wake();
	}, PASS_MS)];

	return {
		async answer(call: JobCall): Promise<JobAnswer> {
			const startedMs = clock.monotonicMs();
			const answer = await desk.answer(call);
			metrics.calls.inc({call: call.type, answer: answer.type});
			metrics.callSeconds.observe({call: call.type}, (clock.monotonicMs() - startedMs) / 1000);
			return answer;
		},

		carried(results: readonly CarriedResult[]): void {
			calls.receive(results);
		},

		stop(): void {
			isStopped = true;
			for (const timer of timers) {
				clearInterval(timer);
			}

			advice.close();
			machines?.stop();
			fleet.close();
			calls.close();
		},
	};
};
