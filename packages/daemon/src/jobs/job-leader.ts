/** The leader's work during one term: answers calls, starts and stops runs, and gives orders to machines. */
import {
	createArrivalMeter, createBegunJobs, lifeOf, NO_RESOURCES, planStarts, sumResources,
	type JobAnswer, type JobCall, type RunStart, type SchedulingInput,
} from '@bronzebend/core';
import {createAdviceCache} from './advice-cache.js';
import {createRelayedCalls} from './relayed-calls.js';
import {createJobCallHandler} from './job-call-handler.js';
import {createKnownDataCentres} from './known-data-centres.js';
import type {LeaderContext, LeaderWork} from './job-keeper-options.js';
import type {JobLeaderOptions} from './job-leader-options.js';
import {createLeaderReports} from './leader-reports.js';
import {createMachineController} from './machine-controller.js';
import {createRunMonitor} from './run-monitor.js';
import {createUsableWorkers} from './usable-workers.js';
import {createWorkerFleet} from './worker-fleet.js';

/** Interval at which recorded runs are compared with those tracked by worker sessions, in milliseconds. */
const UNTRACKED_CHECK_INTERVAL_MS = 1000;
/** Interval of scheduling passes without any other trigger, in milliseconds; needed because jobs become due as time passes. */
const PASS_INTERVAL_MS = 100;
/** Share of the time that planning may take; calls, polls and heartbeats need the rest. */
const PLANNING_SHARE = 1 / 3;
/** Shortest pause after a pass, in milliseconds; ended runs and new jobs are collected meanwhile, as each pass costs a commit. */
const MIN_PASS_PAUSE_MS = 12;
/** Starts in one pass at most; the rest follow in the next pass. */
const MAX_STARTS_PER_PASS = 200;
/** Interval at which jobs that have begun are recorded while no runs start, in milliseconds. */
const BEGUN_RECORD_INTERVAL_MS = 500;
/** Orders to machines per second if the options name no limit. */
const DEFAULT_ORDERS_PER_S = 20;
/** Silence after which a worker is removed from the directory, in milliseconds; far longer than any lease. */
const FORGET_WORKER_MS = 60_000;

/** Starts the work of one term. */
export const createJobLeader = (options: JobLeaderOptions, context: LeaderContext): LeaderWork => {
	const {clock, metrics, directory} = options;
	const {store, term, propose, isLeading, orderAppliedMs} = context;
	const log = options.logs('scheduler');
	const monitor = createRunMonitor({
		store, clock, log, metrics,
	});
	const arrivals = createArrivalMeter();
	const begunJobs = createBegunJobs(store);
	let begunRecordedMs = clock.monotonicMs();
	/** Lives with starts that have been proposed and may not be committed yet. */
	let proposedLives: ReadonlySet<string> = new Set();
	let isStopped = false;
	let isPassRequested = true;
	let isPassRunning = false;
	let waitingUnits: ReadonlyMap<string, number> = new Map();
	metrics.term.set(term);

	const leads = (): boolean => !isStopped && isLeading();

	const calls = createRelayedCalls({
		clock, log, term, direct: options.connect, liveKeepers: context.liveKeepers, send: options.send,
	});

	const fleet = createWorkerFleet({
		store,
		clock,
		log,
		metrics,
		directory,
		monitor,
		connect: calls.connect,
		fence: term,
		leaseMs: options.leaseMs,
		maxLeaseMs: options.maxLeaseMs,
		maxStopMs: options.maxStopMs,
		propose,
		isLeading: leads,
		onRunSeen: begunJobs.runSeen,
		onChange() {
			requestPass();
		},
	});

	const advice = createAdviceCache({
		port: options.advice, clock, log, onAdvice() {
			requestPass();
		},
	});

	const machines = options.machines && createMachineController({
		store,
		directory,
		arrivals,
		estimates: monitor.estimates,
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
		usable: () => workers.lives(),
		shortPools: () => new Set([...waitingUnits].filter(([, count]) => count > 0).map(([pool]) => pool)),
		evacuate: fleet.evacuate,
		onEnded(life, proof) {
			directory.ended(life);
			fleet.declareEnded(life, proof);
		},
		isLeading: leads,
	});

	const workers = createUsableWorkers({
		clock, store, directory, reportMs: options.reportMs, fleet, monitor, machines: () => machines,
	});

	const approved: SchedulingInput['approved'] = (job, occurrence, step) => (store.manifest()?.queue(job.order.queue)?.recommendation ? advice.approved(job, occurrence, step) : undefined);

	const orderStart = (start: RunStart): void => {
		const entry = directory.ofLife(start.life);
		const life = entry ?? store.busyLife(start.life);
		const found = store.find(start.unit);
		if (!life || !found) {
			return;
		}

		const {job, step, occurrence} = found;
		if (job.occurrences.length === 1 && found.unit.attempt === 1 && job.running === 1) {
			metrics.startSeconds.observe({queue: job.order.queue}, Math.max(0, clock.wallMs() - job.acceptedAtMs) / 1000);
		}

		log.info('Run placed.', {
			unit: start.unit, attempt: start.attempt, worker: start.life, term, queue: job.order.queue, workspace: job.order.workspace, heardMsAgo: entry && Math.round(clock.monotonicMs() - entry.receivedMs), waitedMs: Math.round(clock.wallMs() - job.acceptedAtMs),
		});
		fleet.start(life, start, advice.ticket(job.order.id, occurrence, step, start.life));
	};

	/** Runs one scheduling pass; returns the time that planning took, in milliseconds. */
	const runPass = async (): Promise<number> => {
		const startedMs = clock.monotonicMs();
		const manifest = store.manifest();
		fleet.stopUnwanted();
		if (!manifest || store.openCount() === 0) {
			return 0;
		}

		const {starts, unadvised, waiting, cutSteps} = planStarts({
			store,
			manifest,
			workers: workers.list(),
			suspects: workers.suspects(),
			idleTimes: monitor.idleTimes,
			estimates: monitor.estimates,
			wallMs: clock.wallMs(),
			avoided: monitor.avoided,
			approved,
			ranMs(life, unit) {
				const startedMs = fleet.trackOf(life)?.runs.get(unit)?.startedMs;
				return startedMs === undefined ? undefined : clock.monotonicMs() - startedMs;
			},
			maxStarts: MAX_STARTS_PER_PASS,
		});
		waitingUnits = waiting;
		for (const {job, occurrence, step, workers: candidates} of unadvised) {
			advice.request(job, occurrence, step, candidates);
		}

		const tookMs = clock.monotonicMs() - startedMs;
		metrics.planSeconds.observe(tookMs / 1000);
		// Recorded with the next starts; without any, often enough that a new leader knows it.
		const begun = starts.length > 0 || clock.monotonicMs() - begunRecordedMs > BEGUN_RECORD_INTERVAL_MS ? begunJobs.unrecorded() : [];
		if (starts.length === 0 && begun.length === 0) {
			reports.passed({
				planMs: tookMs, commitMs: 0, starts: 0, isCut: false, cutSteps,
			});
			return tookMs;
		}

		begunRecordedMs = clock.monotonicMs();

		const lives = new Set(starts.map(start => start.life));
		proposedLives = lives;
		const outcome = await propose({
			type: 'runs-start',
			lives: [...lives].filter(life => !store.knowsLife(life)).flatMap(life => directory.ofLife(life) ?? []).map(({life, id, bornMs, address, pool, zone, machine, capacity, labels}) => ({
				life, id, bornMs, address, pool, zone, machine, capacity, labels,
			})),
			runs: starts,
			begun,
		});
		reports.passed({
			planMs: tookMs, commitMs: clock.monotonicMs() - startedMs - tookMs, starts: starts.length, isCut: starts.length >= MAX_STARTS_PER_PASS, cutSteps,
		});
		if (outcome.type === 'runs-started') {
			for (const start of outcome.accepted) {
				orderStart(start);
			}
		}

		return tookMs;
	};

	const runRequestedPasses = async (): Promise<void> => {
		isPassRunning = true;
		try {
			while (isPassRequested && leads()) {
				isPassRequested = false;
				proposedLives = new Set();
				// The next pass plans from the state that this one committed.
				// eslint-disable-next-line no-await-in-loop
				const tookMs = await runPass();
				// eslint-disable-next-line no-await-in-loop
				await new Promise(resolve => {
					setTimeout(resolve, Math.max(MIN_PASS_PAUSE_MS, tookMs * ((1 / PLANNING_SHARE) - 1)));
				});
			}
		} catch (error) {
			log.warn('Scheduling pass failed.', {cause: String(error)});
		} finally {
			isPassRunning = false;
			proposedLives = new Set();
		}
	};

	const requestPass = (): void => {
		isPassRequested = true;
		if (!isPassRunning && !isStopped) {
			setImmediate(() => {
				if (!isPassRunning) {
					void runRequestedPasses();
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

		if (effect === 'unknown-pool') {
			log.info('Ignored the report of a worker of an unknown pool.', {
				worker: announcement.id, pool: announcement.pool, born: announcement.bornMs, address: announcement.address,
			});
		}

		if (effect === 'new-life') {
			if (before) {
				fleet.declareRestarted(before.life, {type: 'newer-life', newerLife: lifeOf(announcement.id, announcement.bornMs), newerAddress: announcement.address});
			}

			requestPass();
		}
	};

	const callHandler = createJobCallHandler({
		store,
		begunJobs,
		estimates: monitor.estimates,
		clock,
		log: options.logs('desk'),
		metrics,
		propose,
		isLeading: leads,
		roomOf(pool) {
			const announced = sumResources(directory.list().filter(entry => entry.pool === pool && !entry.left && !entry.draining && !store.isEvacuated(entry.zone)));
			if (!machines) {
				return {present: announced, obtainable: NO_RESOURCES};
			}

			// A new leader learns of the workers only from their next announcements, so the room is unknown until the machines are listed.
			const listed = machines.roomOf(pool);
			return listed && {present: listed.present.cpu > announced.cpu ? listed.present : announced, obtainable: listed.obtainable};
		},
		maxHeldWork: options.maxHeldWork,
		dataCentres: createKnownDataCentres({
			clock, store, directory, configured: options.dataCentres ?? (() => []), reportMs: options.reportMs,
		}),
		announce: onAnnounce,
		leave(call) {
			const entry = directory.leave(call.id, call.bornMs);
			log.info('Worker is leaving.', {worker: call.id, known: entry !== undefined});
		},
		onAccepted(job, pool) {
			arrivals.add(job, pool, monitor.estimates, clock.monotonicMs());
			requestPass();
		},
		requestPass,
	});

	fleet.inherit();

	const reports = createLeaderReports({
		store,
		clock,
		log,
		directory,
		metrics,
		workers,
		units: {avoided: monitor.avoided, approved, idleTimes: monitor.idleTimes},
		shareWorkers: options.shareWorkers,
		waiting: pool => waitingUnits.get(pool) ?? 0,
		untracked: fleet.untracked,
		balance: () => machines?.balance(),
		looks: fleet.looks,
	});

	const timers = [setInterval(() => {
		if (leads()) {
			fleet.adoptUntracked();
		}
	}, UNTRACKED_CHECK_INTERVAL_MS), setInterval(() => {
		reports.step();
		directory.forgetSilent(clock.monotonicMs() - FORGET_WORKER_MS);
		metrics.openJobs.set(store.openCount());
		metrics.manifestVersion.set(store.manifest()?.manifest.version ?? 0);
		metrics.workers.set({state: 'known'}, directory.list().length);
		metrics.workers.set({state: 'busy'}, fleet.size());
		requestPass();
	}, PASS_INTERVAL_MS)];

	return {
		async answer(call: JobCall): Promise<JobAnswer> {
			const startedMs = clock.monotonicMs();
			const answer = await callHandler.answer(call);
			metrics.calls.inc({call: call.type, answer: answer.type});
			metrics.callSeconds.observe({call: call.type}, (clock.monotonicMs() - startedMs) / 1000);
			return answer;
		},

		receiveResults(from, results, reading): void {
			calls.receive(from, results, reading);
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
