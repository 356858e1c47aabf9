/** The leader's sessions with all workers that have work, and the handling of what the sessions report. */
import {
	createPaceController, groupBy, isOpen, longestLeaseMs, proofFields, RunEnds,
	type Clock, type JobStore, type JobCommand, type JobOutcome, type EndedRun, type EndProof, type RunStart, type WorkerDirectory, type WorkerLife, type WorkerTrack,
} from '@bronzebend/core';
import type {Log} from '../utils/log.js';
import type {JobMetrics} from './job-metrics.js';
import type {WorkerConnector} from './ports.js';
import type {RunMonitor} from './run-monitor.js';
import {createWorkerSession, type WorkerSession} from './worker-session.js';

/** Time without contact after which a worker with runs gets no more work, in milliseconds. */
const CONTACT_TIMEOUT_MS = 2200;
/** Pause before a failed commit of ended runs is retried, in milliseconds. */
const RECORD_RETRY_MS = 200;
/** Lives that are over and are remembered at most; a start follows the end of its life within seconds. */
const MAX_OVER_LIVES = 1000;
/** Runs that one log line names at most. */
const MAX_LOGGED_RUNS = 40;

/** Options of a worker fleet. */
export type WorkerFleetOptions = {
	store: JobStore;
	clock: Clock;
	log: Log;
	metrics: JobMetrics;
	directory: WorkerDirectory;
	monitor: RunMonitor;
	connect: WorkerConnector;
	fence: number;
	leaseMs: number;
	/** Longest lease that a worker grants, in milliseconds. */
	maxLeaseMs: number;
	/** Longest time that a worker takes to end a run after it confirmed a stop, in milliseconds. */
	maxStopMs: number;
	propose(command: JobCommand): Promise<JobOutcome>;
	isLeading(): boolean;
	/** Called when a worker confirmed a start, or listed a run for the first time. */
	onRunSeen(unit: string): void;
	/** Called when work or free capacity may have become available. */
	onChange(): void;
};

/** A run that is recorded for a life and not tracked by that life's session. */
export type UntrackedRun = {life: WorkerLife; unit: string; attempt: number};

/** Creates the fleet of one term, without any sessions yet. */
export const createWorkerFleet = (options: WorkerFleetOptions) => {
	const {store, clock, log, metrics, directory, monitor, propose, isLeading, onChange} = options;
	const sessions = new Map<string, WorkerSession>();
	/** Lives to which no connection could be created. */
	const unreachable = new Set<string>();
	/** Lives that are proven to be over, the latest last; nothing more is sent to them. */
	const overLives = new Map<string, EndProof>();
	let closed = false;
	let polls = 0;
	const isClosed = (): boolean => closed;
	const paceController = createPaceController(store);

	/** Logs which runs this leader has taken for over without their worker's word, and why. */
	const logGivenUp = (life: string, over: readonly EndedRun[], proof: EndProof): void => {
		const lost = over.filter(run => run.how === RunEnds.lost);
		for (let first = 0; first < lost.length; first += MAX_LOGGED_RUNS) {
			log.warn('Runs given up.', {
				life, term: options.fence, ...proofFields(proof), runs: lost.length, units: lost.slice(first, first + MAX_LOGGED_RUNS).map(run => `${run.unit}#${run.attempt}`).join(' '),
			});
		}
	};

	const recordEnds = async (life: string, over: EndedRun[], proof: EndProof): Promise<boolean> => {
		// Before the commit, as its outcome may stay unknown.
		logGivenUp(life, over, proof);
		try {
			// A worker may list the end of a run that is recorded for an earlier life of it.
			const byLife = groupBy(over, ({unit}) => store.find(unit)?.unit.worker ?? life);
			await Promise.all([...byLife].map(async ([recordedLife, runs]) => propose({
				type: 'runs-over', life: recordedLife, runs, atMs: clock.wallMs(),
			})));
		} catch (error) {
			log.warn('Could not record ended runs.', {worker: life, runs: over.length, cause: String(error)});
			return false;
		}

		monitor.ended(life, over, sessions.get(life)?.track);
		for (const id of new Set(over.map(run => run.unit.split('.')[0]!))) {
			const job = store.job(id);
			if (job && !isOpen(job)) {
				log.info('Job over.', {job: id, state: job.state, tookMs: Math.round(job.endedAtMs - job.acceptedAtMs)});
			}
		}

		onChange();
		return true;
	};

	/** Records that all runs of a life are lost; retries until that is committed or this term ends. */
	const recordLost = async (life: string, over: EndedRun[], proof: EndProof): Promise<void> => {
		// Each attempt waits for the previous one.
		// eslint-disable-next-line no-await-in-loop
		while (!isClosed() && over.length > 0 && !await recordEnds(life, over, proof)) {
			// eslint-disable-next-line no-await-in-loop
			await new Promise(resolve => {
				setTimeout(resolve, RECORD_RETRY_MS);
			});
		}
	};

	/** Records all runs of a life without a session as lost. */
	const recordAllLost = (life: string, proof: EndProof): void => {
		const over = [...store.runsOf(life).values()].map(({unit}): EndedRun => ({
			unit: unit.name, attempt: unit.attempt, how: RunEnds.lost, checkpoint: '',
		}));
		recordLost(life, over, proof).catch((error: unknown) => {
			log.error('Could not record lost runs.', {worker: life, cause: String(error)});
		});
	};

	const onEnded = (life: string, proof: EndProof): void => {
		const session = sessions.get(life);
		const over = session?.track.lostRuns() ?? [];
		log.warn('Worker life ended; recording its runs as lost.', {worker: life, ...proofFields(proof), runs: over.length});
		if (proof.type === 'lease-over') {
			monitor.contactLost(life);
		} else {
			directory.ended(life);
			overLives.set(life, proof);
			if (overLives.size > MAX_OVER_LIVES) {
				overLives.delete([...overLives.keys()][0]!);
			}
		}

		recordLost(life, over, proof).catch((error: unknown) => {
			log.error('Could not record lost runs.', {worker: life, cause: String(error)});
		}).finally(() => {
			if (sessions.get(life) === session) {
				sessions.delete(life);
			}
		});
	};

	const onPolled = (track: WorkerTrack): void => {
		polls += 1;
		monitor.answered(track.life);
		const session = sessions.get(track.life);
		for (const unit of monitor.stalledUnits(track)) {
			session?.stop(unit, track.runs.get(unit)!.attempt);
		}

		for (const order of paceController.look(track, clock.monotonicMs())) {
			log.info('Changing the pace of a run.', {unit: order.unit, worker: track.life, share: order.share});
			session?.pace(order.unit, order.attempt, order.share).catch((error: unknown) => {
				log.warn('Could not change the pace of a run.', {unit: order.unit, cause: String(error)});
			});
		}
	};

	/** Returns the session of a life; starts one if there is none. One whose life is over gives no orders, and its runs are recorded as lost when it ends. */
	const sessionOf = (life: WorkerLife, inherited: boolean): WorkerSession => {
		const existing = sessions.get(life.life);
		if (existing && !existing.hasEnded()) {
			return existing;
		}

		const entry = directory.find(life.id);
		const clockMs = entry?.life === life.life ? entry.clockMs : undefined;
		const session = createWorkerSession({
			life,
			store,
			port: options.connect(life),
			fence: options.fence,
			leaseMs: options.leaseMs,
			maxLeaseMs: options.maxLeaseMs,
			maxStopMs: options.maxStopMs,
			inherited,
			hasEarlierLife: store.hasOtherLife(life),
			announcedClock: clockMs === undefined || inherited ? undefined : {clockMs, receivedMs: entry!.receivedMs},
			clock,
			log,
			metrics,
			recordEnds,
			onPolled,
			onStartAccepted: monitor.accepted,
			onRunSeen: options.onRunSeen,
			onStartFailed(start, reason) {
				monitor.startFailed(start, reason);
			},
			onUnreachable(unreachableLife) {
				monitor.contactLost(unreachableLife);
			},
			onLifeOver: directory.ended,
			onEnded,
			isLeading,
		});
		sessions.set(life.life, session);
		return session;
	};

	/** Gives up a life that cannot be connected to; its runs are recorded as lost, after the longest possible lease if an earlier leader may have started them. */
	const giveUp = (life: WorkerLife, inherited: boolean, cause: string): void => {
		unreachable.add(life.life);
		directory.ended(life.life);
		setTimeout(() => {
			recordAllLost(life.life, {type: 'no-connection', cause});
		}, inherited ? longestLeaseMs(options.leaseMs) : 0);
	};

	/** Passes the session of a life to a callback; if no session can be created, the life's recorded runs are lost and it gets no more work. */
	const withSession = (life: WorkerLife, inherited: boolean, action: (session: WorkerSession) => void): void => {
		if (closed || unreachable.has(life.life)) {
			return;
		}

		const proof = overLives.get(life.life);
		if (proof) {
			recordAllLost(life.life, proof);
			return;
		}

		let session: WorkerSession;
		try {
			session = sessionOf(life, inherited);
		} catch (error) {
			log.error('Cannot connect to a worker.', {worker: life.life, address: life.address, cause: String(error)});
			giveUp(life, inherited, String(error));
			return;
		}

		action(session);
	};

	/** Returns recorded runs that no session tracks; excludes lives that have ended, as their runs are being recorded as lost. */
	const untracked = (): UntrackedRun[] => store.busyLives().filter(life => !sessions.get(life.life)?.isOver()).flatMap(life => {
		const known = sessions.get(life.life)?.track.runs;
		return [...store.runsOf(life.life)].flatMap(([unit, {unit: {attempt}}]) => (known?.get(unit)?.attempt === attempt ? [] : [{life, unit, attempt}]));
	});

	return {
		size: () => sessions.size,
		untracked,
		/** Polls of worker lists since the term began. */
		looks: () => polls,

		/** Takes over the runs that an earlier leader ordered. */
		inherit(): void {
			for (const life of store.busyLives()) {
				withSession(life, true, () => undefined);
			}
		},

		/** Orders the start of a recorded run; if it cannot be sent without the leader's lease, the session later finds that the run never began. */
		start(life: WorkerLife, start: RunStart, ticket: string | undefined): void {
			withSession(life, false, session => {
				session.start(start, ticket);
			});
		},

		/** Makes the sessions track recorded runs that they do not know, to find out their state. */
		adoptUntracked(): void {
			for (const {life, unit, attempt} of untracked()) {
				withSession(life, true, session => {
					session.adopt(unit, attempt);
				});
			}
		},

		/** Stops the runs of jobs that have ended. */
		stopUnwanted(): void {
			for (const [life, session] of sessions) {
				for (const [unit, run] of store.runsOf(life)) {
					if (!isOpen(run.job)) {
						session.stop(unit, run.unit.attempt);
					}
				}
			}
		},

		/** Stops a work unit on a life, so that it is placed elsewhere. */
		evacuate(life: string, unit: string): void {
			const session = sessions.get(life);
			const attempt = session?.track.runs.get(unit)?.attempt;
			if (attempt !== undefined) {
				session!.stop(unit, attempt);
			}
		},

		/** Returns the tracked state of a life; undefined if it has no session or has ended. */
		trackOf(life: string): WorkerTrack | undefined {
			const session = sessions.get(life);
			return session?.isOver() === false ? session.track : undefined;
		},

		/** Returns false if a life has ended, or has runs and has been silent for too long, or since its session began without a reading of its clock. */
		isReachable(life: string): boolean {
			const session = sessions.get(life);
			if (!session) {
				return true;
			}

			const {track} = session;
			return !session.isOver() && (track.runs.size === 0 || (track.isClockKnown() && clock.monotonicMs() - track.contactMs() < CONTACT_TIMEOUT_MS));
		},

		declareEnded(life: string, proof: EndProof): void {
			sessions.get(life)?.declareEnded(proof);
		},

		/** Ends the session of a life whose worker has begun another one. */
		declareRestarted(life: string, proof: EndProof): void {
			sessions.get(life)?.declareRestarted(proof);
		},

		close(): void {
			closed = true;
			for (const session of sessions.values()) {
				session.close();
			}
		},
	};
};

/** The worker sessions of one term. */
export type WorkerFleet = ReturnType<typeof createWorkerFleet>;
