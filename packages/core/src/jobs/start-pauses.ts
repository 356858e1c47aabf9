/**
Pauses of starts on workers that rejected one or did not answer.

A worker that answers its polls is not silent because one answer to a start was lost. A pool loses much
of its capacity if each such answer takes a worker out of use.
*/

/** Pause after a rejected start, in milliseconds. */
const REJECTED_PAUSE_MS = 300;
/** Pause after a start without an answer, or a lost connection, in milliseconds. */
const SILENT_PAUSE_MS = 1500;
/** Unanswered or unsent starts, without a run that was done since, from which answers to other calls no longer end the pause. */
const MAX_UNANSWERED = 3;

/** Pauses of starts by life. */
export type StartPauses = ReturnType<typeof createStartPauses>;

/** Creates the pauses, none at first. Times are in milliseconds on one monotonic clock. */
export const createStartPauses = () => {
	const pauses = new Map<string, {untilMs: number; endsWithAnswer: boolean}>();
	const unanswered = new Map<string, number>();

	const begin = (life: string, untilMs: number, endsWithAnswer: boolean): void => {
		const current = pauses.get(life);
		if (current === undefined || untilMs >= current.untilMs) {
			pauses.set(life, {untilMs, endsWithAnswer});
		}
	};

	return {
		/** Records that a worker rejected a start. */
		rejected(life: string, nowMs: number): void {
			begin(life, nowMs + REJECTED_PAUSE_MS, false);
		},

		/** Records that a start got no answer, or could not be sent because its connection got none. */
		unanswered(life: string, nowMs: number): void {
			const count = (unanswered.get(life) ?? 0) + 1;
			unanswered.set(life, count);
			begin(life, nowMs + SILENT_PAUSE_MS, count < MAX_UNANSWERED);
		},

		/** Records that a worker could not be reached. */
		unreachable(life: string, nowMs: number): void {
			begin(life, nowMs + SILENT_PAUSE_MS, false);
		},

		/** Records that a worker has just answered another call, so that one lost answer does not count as silence. */
		answered(life: string): void {
			if (pauses.get(life)?.endsWithAnswer) {
				pauses.delete(life);
			}
		},

		/** Records that a run was done, so that the worker carries out starts. */
		done(life: string): void {
			unanswered.delete(life);
		},

		isPaused: (life: string, nowMs: number): boolean => nowMs < (pauses.get(life)?.untilMs ?? -Infinity),
	};
};
