/** The time of a simulated leader's one thread: passes, starts and noted ends take it in turn, and nothing else happens meanwhile. */

/** What the leader's work costs, in milliseconds of its thread. */
export type LeaderCosts = {
	/** Cost of a start: its entry in the log, its order and the answer. */
	startCostMs: number;
	/** Cost of a noted end, as a share of that of a start. */
	endShare: number;
	/** Cost of planning a pass, for each open work unit and at least. */
	passUnitCostMs: number;
	passMinCostMs: number;
};

/** Limits of a leader's passes. */
export type PassLimits = {maxStarts: number; planningShare: number; minPauseMs: number};

/** The limits in `job-leader.ts`. */
export const PASS_LIMITS: PassLimits = {maxStarts: 200, planningShare: 1 / 3, minPauseMs: 12};

/** Creates the thread of a leader; without costs it is always free. */
export const createLeaderThread = (costs: LeaderCosts | undefined, {planningShare, minPauseMs}: PassLimits) => {
	let freeAtMs = 0;
	let nextPassMs = 0;

	return {
		isFree: (nowMs: number): boolean => nowMs >= freeAtMs,
		/** True if the pause after the latest pass is over; the next one follows what the thread does now. */
		isPassDue: (nowMs: number): boolean => nowMs >= nextPassMs,

		noteEnds(count: number, nowMs: number): void {
			if (costs) {
				freeAtMs = Math.max(freeAtMs, nowMs) + (count * costs.startCostMs * costs.endShare);
			}
		},

		/** Takes the time of a pass; returns when each of its starts is on its way. */
		pass({starts, openUnits, nowMs}: {starts: number; openUnits: number; nowMs: number}): (index: number) => number {
			if (!costs) {
				return () => nowMs;
			}

			const planMs = costs.passMinCostMs + (openUnits * costs.passUnitCostMs);
			const plannedMs = Math.max(freeAtMs, nowMs) + planMs;
			freeAtMs = plannedMs + (starts * costs.startCostMs);
			nextPassMs = plannedMs + Math.max(minPauseMs, planMs * ((1 / planningShare) - 1));
			return index => plannedMs + ((index + 1) * costs.startCostMs);
		},
	};
};
