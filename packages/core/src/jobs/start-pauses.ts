/**
Pauses of starts on workers that rejected one or did not answer.

A worker that answers its polls is not silent because one answer to a start was lost. A pool loses much
of its capacity if each such answer takes a worker out of use.
*/

/** Pause after a rejected start, in milliseconds. */
const REJECTED_PAUSE_MS = 300;
/** Pause after a start without an answer, or a lost connection, in milliseconds. */
const SILENT_PAUSE_MS = 1500;
/** Unanswered or unsent starts in a row from which answers to other calls no longer end the pause. */
const MAX_UNANSWERED = 3;

/** Pauses of starts by life. */
export type StartPauses = ReturnType<typeof createStartPauses>;

/** Creates the pauses, none at first. Times are in milliseconds on one monotonic clock. */
export const createStartPauses = () => {
	const pausedUntilMs = new Map<string, number>();
	/** Ends of the pauses that the worker's next answer ends. */
	const silentUntilMs = new Map<string, number>();
	const unanswered = new Map<string, number>();

	const pause = (ends: Map<string, number>, life: string, untilMs: number): void => {
		ends.set(life, Math.max(untilMs, ends.get(life) ?? -Infinity));
	};

	return {
		/** Records that a worker rejected a start. */
		rejected(life: string, nowMs: number): void {
			pause(pausedUntilMs, life, nowMs + REJECTED_PAUSE_MS);
		},

		/** Records that a start got no answer, or could not be sent. */
		unanswered(life: string, nowMs: number): void {
			const count = (unanswered.get(life) ?? 0) + 1;
			unanswered.set(life, count);
			pause(count < MAX_UNANSWERED ? silentUntilMs : pausedUntilMs, life, nowMs + SILENT_PAUSE_MS);
		},

		/** Records that a worker could not be reached. */
		unreachable(life: string, nowMs: number): void {
			pause(pausedUntilMs, life, nowMs + SILENT_PAUSE_MS);
		},

		/** Records that a worker has just answered another call, so that one lost answer does not count as silence. */
		answered(life: string): void {
			silentUntilMs.delete(life);
		},

		/** Records that a worker accepted a start. */
		accepted(life: string): void {
			unanswered.delete(life);
		},

		isPaused: (life: string, nowMs: number): boolean => nowMs < Math.max(pausedUntilMs.get(life) ?? -Infinity, silentUntilMs.get(life) ?? -Infinity),
	};
};
