/** A leader's lease, and the loss of contact to a quorum for which it steps down. */
import type {LeaderRole, RaftState} from './raft-state.js';

/** Lease of one replica while it leads. */
export type LeaderLease = ReturnType<typeof createLeaderLease>;

/** Creates the lease; it ends a clock drift before the time in which followers grant no votes. */
export const createLeaderLease = (state: RaftState) => {
	const {replica, timings} = state;
	const leaseMs = timings.minElectionMs * (1 - timings.maxDriftRatio);
	/** Latest time at which a quorum was in contact closely enough for the lease, in milliseconds. */
	let closeContactMs = -Infinity;

	/** Latest send time that a quorum has answered, on this leader's clock, in milliseconds. */
	const quorumContactMs = (role: LeaderRole, nowMs: number): number => {
		const contactsMs = state.voters().map(member => (member.replica === replica ? nowMs : role.progress.get(member.replica)?.lastContactMs() ?? -Infinity));
		contactsMs.sort((left, right) => right - left);
		return contactsMs[state.quorum() - 1] ?? -Infinity;
	};

	return {
		/** Starts the record of contacts for a new term. */
		start(nowMs: number): void {
			closeContactMs = nowMs;
		},

		/** Records whether a quorum is in close contact now, and returns true if this leader has to step down. */
		mustStepDown(role: LeaderRole, nowMs: number): boolean {
			const contactMs = quorumContactMs(role, nowMs);
			if (nowMs < contactMs + leaseMs) {
				closeContactMs = nowMs;
			}

			// A leader that offers a transfer gives up its lease for this term, so it steps down if the transfer fails. One whose links
			// are too slow for the lease can serve nobody, though it hears from all.
			const transferFailed = role.transfer !== undefined && nowMs >= role.transfer.untilMs;
			return transferFailed || nowMs - contactMs > timings.maxElectionMs || nowMs - closeContactMs > timings.maxElectionMs;
		},

		/** True while no other replica can have become leader and all entries of earlier terms are committed here. */
		isHeld(nowMs: number): boolean {
			const {role} = state;
			return role.type === 'leader' && role.transfer === undefined && state.commitIndex >= role.termStartIndex && nowMs < quorumContactMs(role, nowMs) + leaseMs;
		},
	};
};
