/** Monitors runs for the leader: detects unhealthy workers and stalled runs, and improves estimates of durations. */
import {
	createAvoidedLives, createIdleTimes, createRunEstimates, createStartPauses, createWorkerHealth, RunEnds,
	type AvoidedLives, type Clock, type JobStore, type EndedRun, type RunStart, type WorkerTrack,
} from '@bronzebend/core';
import type {Log} from '../utils/log.js';
import type {JobMetrics} from './job-metrics.js';

/** Time without progress after which a run counts as stalled, in milliseconds; spans more than one poll of the lists. */
const STALL_TIMEOUT_MS = 2000;
/** Added to the limit for a gang step, whose runs wait for the other members of the gang, in milliseconds. */
const GANG_EXTRA_MS = 4000;

/** Creates the run monitor of one term. */
export const createRunMonitor = (options: {store: JobStore; clock: Clock; log: Log; metrics: JobMetrics}) => {
	const {store, clock, log, metrics} = options;
	const health = createWorkerHealth();
	const estimates = createRunEstimates();
	const idleTimes = createIdleTimes();
	const avoidedLives = createAvoidedLives();
	const pauses = createStartPauses();

	const recordFailure = (life: string, why: string): void => {
		if (health.failed(life, clock.monotonicMs())) {
			log.warn('Worker suspected to be unhealthy; it gets no new work for a while.', {worker: life, why});
		}
	};

	return {
		estimates,
		/** When work last stopped running. */
		idleTimes,
		slowness: (life: string): number => health.slowness(life),
		/** The lives on which a work unit failed or stalled; undefined if there are none. */
		avoided: (unit: string): AvoidedLives | undefined => avoidedLives.of(unit, clock.monotonicMs()),
		/** Why a life gets no new work now; undefined if it may. */
		heldBack(life: string, nowMs: number): 'suspect' | 'paused' | undefined {
			if (pauses.isPaused(life, nowMs)) {
				return 'paused';
			}

			return health.isSuspect(life, nowMs) ? 'suspect' : undefined;
		},

		/** Records that a start was rejected, not sent or got no answer. */
		startFailed(start: RunStart, reason: string): void {
			const nowMs = clock.monotonicMs();
			switch (reason) {
				case 'no-answer':
				case 'unsent': {
					pauses.unanswered(start.life, nowMs);
					break;
				}

				default: {
					pauses.rejected(start.life, nowMs);
				}
			}

			if (reason === 'unhealthy') {
				recordFailure(start.life, reason);
			}
		},

		/** Records that contact with a life was lost. */
		contactLost(life: string): void {
			pauses.unreachable(life, clock.monotonicMs());
		},

		/** Records that a worker answered a poll. */
		answered: pauses.answered,
		/** Records that a worker accepted a start. */
		accepted: pauses.accepted,

		/** Learns from runs whose ends have been committed. */
		ended(life: string, over: readonly EndedRun[], track: WorkerTrack | undefined): void {
			const nowMs = clock.monotonicMs();
			for (const {unit, attempt, how} of over) {
				metrics.endedRuns.inc({how});
				const found = store.find(unit);
				if (found) {
					idleTimes.ended(found.job, found.unit, found.job.order.steps[found.step]!.lasting, clock.wallMs());
				}

				const progress = track?.runs.get(unit);
				if (!found || progress?.attempt !== attempt) {
					continue;
				}

				const {job, step} = found;
				const tookMs = nowMs - progress.startedMs;
				log.info('Run over.', {
					unit, attempt, worker: life, how, tookMs: Math.round(tookMs), failures: found.unit.failures, jobState: job.state,
				});
				const {estimateMs, lasting} = job.order.steps[step]!;
				if (how === RunEnds.done) {
					// The start of an inherited run is unknown; what is measured of it is too short. Lasting work has no duration of its own.
					const isMeasured = !progress.isInherited && !lasting;
					health.done(life, isMeasured ? tookMs / Math.max(1, estimates.expectedMs(job.order.queue, estimateMs)) : health.slowness(life));
					if (isMeasured && found.unit.checkpoint === '') {
						estimates.recordRun(job.order.queue, estimateMs, tookMs);
					}

					avoidedLives.done(unit);
				} else if (how === RunEnds.failed) {
					avoidedLives.failed(unit, life, {isLasting: lasting, ranMs: tookMs}, nowMs);
					if (!lasting) {
						recordFailure(life, 'failed');
					}
				}
			}
		},

		/** Returns the work units of a worker's life that are stalled. */
		stalledUnits(track: WorkerTrack): string[] {
			const nowMs = clock.monotonicMs();
			return [...track.runs].flatMap(([unit, run]) => {
				// Most runs have made progress lately, so their work unit need not be looked up.
				if (nowMs - run.percentMs <= STALL_TIMEOUT_MS || run.phase.type !== 'confirmed' || run.share !== 100) {
					return [];
				}

				const found = store.find(unit);
				const step = found?.job.order.steps[found.step];
				const limitMs = STALL_TIMEOUT_MS + (step?.gang ? GANG_EXTRA_MS : 0);
				const isStalled = step && !step.lasting && nowMs - run.percentMs > limitMs;
				if (!isStalled) {
					return [];
				}

				if (run.stopRequestedMs === undefined) {
					log.warn('Run makes no progress; stopping it.', {
						unit, worker: track.life, percent: run.percent, forMs: Math.round(nowMs - run.percentMs),
					});
					avoidedLives.failed(unit, track.life, {isLasting: false, ranMs: nowMs - run.startedMs}, nowMs);
					recordFailure(track.life, 'stalled');
				}

				return [unit];
			});
		},
	};
};

/** The run monitor of one term. */
export type RunMonitor = ReturnType<typeof createRunMonitor>;
