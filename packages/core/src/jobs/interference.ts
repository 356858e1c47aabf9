/**
Pace of work that fills spare capacity beside work that serves users.

Answers the load in which a filler disturbs its neighbours within seconds: the pace falls at the
first sign, and rises in small steps once the neighbours have been well for a while.
*/
import type {JobBook} from './job-book.js';
import type {WorkerTrack} from './worker-track.js';

/** Share of its target from which a serving unit counts as disturbed. */
const DISTURBED = 0.8;
/** Share of its target below which a serving unit counts as well. */
const WELL = 0.55;
/** Factor by which the pace falls. */
const CUT = 0.35;
/** Pace below which a filler stands still, in percent. */
const LEAST_SHARE = 8;
/** Step by which the pace rises, in percent. */
const RAISE = 12;
/** Time between two cuts, in milliseconds; a changed pace shows in the tails after half a second. */
const CUT_PAUSE_MS = 700;
/** Time for which the neighbours must have been well before the pace rises, in milliseconds. */
const RAISE_PAUSE_MS = 2500;

/** A new pace for one run. */
export type PaceOrder = {unit: string; attempt: number; share: number};

type LifeState = {changedMs: number; wellSinceMs: number};

/** Keeps the pace of all fillers. */
export type PaceKeeper = ReturnType<typeof createPaceKeeper>;

/** Creates the keeper. */
export const createPaceKeeper = (book: JobBook) => {
	const states = new Map<string, LifeState>();

	return {
		/** Decides after a look at one worker's lists. */
		look(track: WorkerTrack, nowMs: number): PaceOrder[] {
			const runs = [...book.runsOf(track.life)].flatMap(([name, {job, step, unit}]) => {
				const progress = track.runs.get(name);
				return progress?.attempt === unit.attempt ? [{name, step: job.order.steps[step]!, progress}] : [];
			});
			const fillers = runs.filter(run => run.step.fillsSpare);
			const serving = runs.filter(run => run.step.targetMs !== undefined && !run.step.fillsSpare);
			if (fillers.length === 0) {
				states.delete(track.life);
				return [];
			}

			const state = states.get(track.life) ?? {changedMs: -Infinity, wellSinceMs: nowMs};
			states.set(track.life, state);
			const worst = Math.max(0, ...serving.map(run => run.progress.load / run.step.targetMs!));
			if (worst >= WELL) {
				state.wellSinceMs = nowMs;
			}

			const isCut = worst >= DISTURBED && nowMs - state.changedMs >= CUT_PAUSE_MS;
			const isRaised = nowMs - state.wellSinceMs >= RAISE_PAUSE_MS && nowMs - state.changedMs >= RAISE_PAUSE_MS;
			if (!isCut && !isRaised) {
				return [];
			}

			const orders = fillers.map(({name, progress}) => {
				const cut = progress.share * CUT;
				const share = isCut ? Math.round(cut < LEAST_SHARE ? 0 : cut) : Math.min(100, progress.share + RAISE);
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
