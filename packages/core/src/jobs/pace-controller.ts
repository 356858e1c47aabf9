/**
Throttles work that fills spare capacity on machines that also serve users.

Such work can slow down its neighbours within seconds. Its pace is cut at the first sign of this,
and raised in small steps once response times have been well below target for a while.
*/
import type {JobStore} from './job-store.js';
import type {WorkerTrack} from './worker-track.js';

/** Ratio of response time to target from which a serving work unit counts as disturbed. */
const DISTURBED_RATIO = 0.8;
/** Ratio of response time to target below which a serving work unit counts as undisturbed. */
const UNDISTURBED_RATIO = 0.55;
/** Factor that a cut applies to the pace. */
const CUT_FACTOR = 0.35;
/** Lowest pace, in percent; a cut below it pauses the work. */
const MIN_PACE_PERCENT = 8;
/** Increment by which the pace is raised, in percentage points. */
const RAISE_STEP_PERCENT = 12;
/** Shortest time from a change of pace to the next cut, in milliseconds; the change shows in tail response times after half a second. */
const MIN_CUT_INTERVAL_MS = 700;
/** Time for which the neighbours must have been undisturbed, and the pace unchanged, before it is raised, in milliseconds. */
const RAISE_DELAY_MS = 2500;

/** A new pace for one run; `share` is in percent of full speed. */
export type PaceOrder = {unit: string; attempt: number; share: number};

type LifeState = {changedMs: number; undisturbedSinceMs: number};

/** True if a life runs work that fills spare capacity, which few do. */
const runsFillers = (runs: ReturnType<JobStore['runsOf']>): boolean => {
	for (const {job, step} of runs.values()) {
		if (job.order.steps[step]!.fillsSpare) {
			return true;
		}
	}

	return false;
};

/** Controls the pace of all work that fills spare capacity. */
export type PaceController = ReturnType<typeof createPaceController>;

/** Creates the controller. */
export const createPaceController = (store: JobStore) => {
	const states = new Map<string, LifeState>();

	return {
		/** Decides on pace changes for one worker, after its lists were polled. */
		look(track: WorkerTrack, nowMs: number): PaceOrder[] {
			const recorded = store.runsOf(track.life);
			if (!runsFillers(recorded)) {
				states.delete(track.life);
				return [];
			}

			const runs = [...recorded].flatMap(([name, {job, step, unit}]) => {
				const progress = track.runs.get(name);
				return progress?.attempt === unit.attempt ? [{name, step: job.order.steps[step]!, progress}] : [];
			});
			const fillers = runs.filter(run => run.step.fillsSpare);
			const serving = runs.filter(run => run.step.targetMs !== undefined && !run.step.fillsSpare);
			if (fillers.length === 0) {
				states.delete(track.life);
				return [];
			}

			const state = states.get(track.life) ?? {changedMs: -Infinity, undisturbedSinceMs: nowMs};
			states.set(track.life, state);
			const worstRatio = Math.max(0, ...serving.map(run => run.progress.load / run.step.targetMs!));
			if (worstRatio >= UNDISTURBED_RATIO) {
				state.undisturbedSinceMs = nowMs;
			}

			const isCut = worstRatio >= DISTURBED_RATIO && nowMs - state.changedMs >= MIN_CUT_INTERVAL_MS;
			const isRaised = nowMs - state.undisturbedSinceMs >= RAISE_DELAY_MS && nowMs - state.changedMs >= RAISE_DELAY_MS;
			if (!isCut && !isRaised) {
				return [];
			}

			const orders = fillers.map(({name, progress}) => {
				const cut = progress.share * CUT_FACTOR;
				const share = isCut ? Math.round(cut < MIN_PACE_PERCENT ? 0 : cut) : Math.min(100, progress.share + RAISE_STEP_PERCENT);
				return {
					unit: name, attempt: progress.attempt, share, from: progress.share,
				};
			}).filter(order => order.share !== order.from);
			if (orders.length > 0) {
				state.changedMs = nowMs;
			}

			return orders.map(({unit, attempt, share}) => ({unit, attempt, share}));
		},
	};
};
