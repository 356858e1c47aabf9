/** What the leader learns from runs: which workers to trust, which runs stand still, what estimates are worth. */
import {
	createRunEstimates, createWorkerHealth, RunEnds,
	type Clock, type JobBook, type RunOver, type RunStart, type WorkerTrack,
} from '@bronzebend/core';
import type {Log} from '../utils/log.js';
import type {JobMetrics} from './job-metrics.js';

/** Time without progress after which a run is taken to stand still, in milliseconds; more than one look at the lists. */
const STALL_MS = 2000;
/** Added for a run that waits for the other members of its gang, in milliseconds. */
const GANG_WAIT_MS = 4000;
/** Time without new starts after a worker rejected one, in milliseconds. */
const REJECTED_PAUSE_MS = 300;
/** Time without new starts after a worker gave no answer, in milliseconds. */
const SILENT_PAUSE_MS = 1500;
/** Work units whose bad workers are remembered at most. */
const MAX_AVOIDED = 20_000;

/** Creates the watch of one term. */
export const createRunWatch = (options: {book: JobBook; clock: Clock; log: Log; metrics: JobMetrics}) => {
	const {book, clock, log, metrics} = options;
	const health = createWorkerHealth();
	const estimates = createRunEstimates();
	const avoided = new Map<string, Set<string>>();
	const pausedUntil = new Map<string, number>();

	const avoid = (unit: string, life: string): void => {
		if (avoided.size >= MAX_AVOIDED) {
			avoided.clear();
		}

		const lives = avoided.get(unit) ?? new Set<string>();
		lives.add(life);
		avoided.set(unit, lives);
	};

	const blame = (life: string, why: string): void => {
		if (health.failed(life, clock.monotonicMs())) {
			log.warn('Worker under suspicion.', {worker: life, why});
		}
	};

	return {
		estimates,
		slowness: (life: string): number => health.slowness(life),
		avoided: (unit: string): ReadonlySet<string> | undefined => avoided.get(unit),
		mayStart: (life: string, nowMs: number): boolean => !health.isSuspect(life, nowMs) && nowMs >= (pausedUntil.get(life) ?? -Infinity),

		/** A start did not go through. */
		startFailed(start: RunStart, reason: string): void {
			const nowMs = clock.monotonicMs();
			pausedUntil.set(start.life, nowMs + (reason === 'no-answer' ? SILENT_PAUSE_MS : REJECTED_PAUSE_MS));
			if (reason === 'unhealthy') {
				blame(start.life, reason);
			}
		},

		/** Contact with a life was lost. */
		silent(life: string): void {
			pausedUntil.set(life, clock.monotonicMs() + SILENT_PAUSE_MS);
		},

		/** Runs are recorded as over. */
		ended(life: string, over: readonly RunOver[], track: WorkerTrack | undefined): void {
			const nowMs = clock.monotonicMs();
			for (const {unit, attempt, how} of over) {
				metrics.ends.inc({how});
				const found = book.find(unit);
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
					health.done(life, tookMs / Math.max(1, estimates.expectedMs(job.order.queue, estimateMs)));
					if (found.unit.checkpoint === '') {
						estimates.learn(job.order.queue, estimateMs, tookMs);
					}

					avoided.delete(unit);
				} else if (how === RunEnds.failed) {
					avoid(unit, life);
					if (!lasting) {
						blame(life, 'failed');
					}
				}
			}
		},

		/** Runs that stand still. */
		stalled(track: WorkerTrack): string[] {
			const nowMs = clock.monotonicMs();
			return [...track.runs].flatMap(([unit, run]) => {
				const found = book.find(unit);
				const step = found?.job.order.steps[found.step];
				const limitMs = STALL_MS + (step?.gang ? GANG_WAIT_MS : 0);
				const isStalled = step && !step.lasting && run.phase.type === 'confirmed' && run.share === 100 && nowMs - run.percentMs > limitMs;
				if (!isStalled) {
					return [];
				}

				if (run.stopAskedMs === undefined) {
					log.warn('Run stands still.', {
						unit, worker: track.life, percent: run.percent, forMs: Math.round(nowMs - run.percentMs),
					});
					avoid(unit, track.life);
					blame(track.life, 'stalled');
				}

				return [unit];
			});
		},
	};
};

/** The watch of one term. */
export type RunWatch = ReturnType<typeof createRunWatch>;
