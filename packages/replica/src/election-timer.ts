/**
Decides when a replica without a leader tries to become one.

Handles disks on which the sync of a vote takes about as long as an election: a candidate whose timer fires before the votes have
come starts anew, and so do the replicas that have voted for it, so that no term ever gets a leader. The time therefore allows for
the syncs of a vote, and grows with the number of terms that have passed without a leader.
*/
import type {RaftTimings} from './raft-timings.js';

/** Syncs of one vote, one after the other: the candidate's and a voter's. */
const SYNCS_OF_A_VOTE = 2;
/** Longest sync that is allowed for, in milliseconds, so that a disk that hung for a while does not hold up the next election. */
const MAX_SYNC_MS = 1000;
/** Part of the longest sync so far that a shorter one leaves; the time returns to normal within seconds after a disk was slow. */
const SYNC_DECAY = 0.9;
/** Terms that may pass without a leader before the time grows; ties between candidates use up one or two. */
const USUAL_TERMS = 2;
/** Doublings at most; the time is then 4 to 7.2 s with the default timings. */
const MAX_DOUBLINGS = 3;
/** Longest time until the timer fires once it is hastened, in milliseconds; several round trips. */
const HASTENED_MS = 60;

/** A replica's election timer. */
export type ElectionTimer = ReturnType<typeof createElectionTimer>;

/** Creates a timer that starts at `nowMs`. */
export const createElectionTimer = ({timings, random, nowMs: startedAtMs}: {timings: RaftTimings; random: () => number; nowMs: number}) => {
	let atMs = Infinity;
	let syncMs = 0;

	const timer = {
		/** Starts the timer anew; `termsWithoutLeader` have passed since the latest leader that this replica knew. */
		reset(nowMs: number, termsWithoutLeader: number): void {
			const factor = 2 ** Math.min(MAX_DOUBLINGS, Math.max(0, termsWithoutLeader - USUAL_TERMS));
			const electionMs = timings.minElectionMs + (random() * (timings.maxElectionMs - timings.minElectionMs));
			atMs = nowMs + (factor * electionMs) + (SYNCS_OF_A_VOTE * Math.min(MAX_SYNC_MS, syncMs));
		},

		/** Makes the timer fire soon. */
		hasten(nowMs: number): void {
			atMs = Math.min(atMs, nowMs + (random() * HASTENED_MS));
		},

		/** Records how long a sync of this replica's disk has taken, in milliseconds. */
		synced(tookMs: number): void {
			syncMs = Math.max(tookMs, syncMs * SYNC_DECAY);
		},

		hasFired: (nowMs: number): boolean => nowMs >= atMs,
	};
	timer.reset(startedAtMs, 0);
	return timer;
};
