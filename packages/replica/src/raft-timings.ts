/** Timing of a replica group. */

/** Timing of a replica group, in milliseconds. */
export type RaftTimings = {
	heartbeatMs: number;
	/** A follower grants no votes for this time after a leader's message; also the minimum election timeout. */
	minElectionMs: number;
	maxElectionMs: number;
	/** Maximum drift between clocks, as a fraction of `minElectionMs`. */
	maxDriftRatio: number;
};

/** Timings for data centres with a latency of about a millisecond between them. */
export const defaultTimings: RaftTimings = {
	heartbeatMs: 150, minElectionMs: 500, maxElectionMs: 900, maxDriftRatio: 0.1,
};
