/** Follows a leader: takes its entries and snapshots into the log, and confirms what is durable. */
import type {RaftMessage} from '@bronzebend/wire';
import type {Outgoing, Peer} from './raft-events.js';
import type {RaftState} from './raft-state.js';

/** Creates the part of one replica that answers leaders. */
export const createFollower = (state: RaftState) => {
	const {log, timings} = state;
	/** When this replica confirmed contact to a leader last, in milliseconds. */
	let contactRepliedMs = -Infinity;

	const followLeader = (from: Peer, leaderTerm: number, nowMs: number): void => {
		if (leaderTerm > state.term || state.role.type !== 'follower' || state.leader?.replica !== from.replica || state.leader.node !== from.node) {
			state.becomeFollower(leaderTerm, from);
		}

		state.ledTerm = state.term;
		state.leaderContactMs = nowMs;
		state.resetElection(nowMs);
	};

	/**
	Confirms what is durable. Contact is confirmed without waiting for the disk, at least once between two heartbeats:
	otherwise slow disks of a majority would cost the leader its lease, although all replicas run.
	*/
	const replyAppend = (to: Peer, success: boolean, index: number, sentAtMs: number, nowMs: number): void => {
		const reply = (replyIndex: number): Outgoing => ({
			to, message: {
				type: 'append-reply', term: state.term, success, index: replyIndex, sentAtMs,
			},
		});
		const isDurable = !success || index <= state.syncedIndex;
		if (isDurable || nowMs - contactRepliedMs >= timings.heartbeatMs / 2) {
			contactRepliedMs = nowMs;
			state.output.beforeSync.push(reply(success ? Math.min(index, state.syncedIndex) : index));
		}

		if (!isDurable) {
			state.output.afterSync.push(reply(index));
		}
	};

	return {
		onAppend(from: Peer, message: RaftMessage & {type: 'append'}, nowMs: number): void {
			if (message.term < state.term) {
				replyAppend(from, false, 0, message.sentAtMs, nowMs);
				return;
			}

			followLeader(from, message.term, nowMs);
			const lastNew = message.prevIndex + message.entries.length;
			// Entries that a snapshot covers are committed, so they match whatever the leader sends.
			const isBeforeStart = message.prevIndex < log.startIndex();
			if (!isBeforeStart && log.termAt(message.prevIndex) !== message.prevTerm) {
				replyAppend(from, false, Math.max(log.lastBeforeTermOf(message.prevIndex), state.commitIndex), message.sentAtMs, nowMs);
				return;
			}

			const uncovered = message.entries.filter(entry => entry.index > log.startIndex());
			const conflict = uncovered.findIndex(entry => log.termAt(entry.index) !== entry.term);
			if (conflict !== -1) {
				state.appendToLog(uncovered.slice(conflict));
			}

			const matched = Math.max(lastNew, log.startIndex());
			if (message.commit > state.commitIndex) {
				state.commitIndex = Math.max(state.commitIndex, Math.min(message.commit, matched));
				state.emitCommitted();
			}

			replyAppend(from, true, matched, message.sentAtMs, nowMs);
		},

		onInstall(from: Peer, message: RaftMessage & {type: 'install'}, nowMs: number): void {
			const isCurrent = message.term >= state.term;
			if (isCurrent) {
				followLeader(from, message.term, nowMs);
			} else if (state.role.type === 'leader') {
				replyAppend(from, false, 0, message.sentAtMs, nowMs);
				return;
			} else {
				state.becomeFollower(state.term, state.leader);
			}

			// A snapshot holds only what is committed, so one that was sent in an earlier term is as valid.
			const {snapshot} = message;
			if (log.termAt(snapshot.index) === snapshot.term) {
				// The entries after it stay: this replica may have confirmed them.
				state.commitIndex = Math.max(state.commitIndex, snapshot.index);
				state.emitCommitted();
			} else if (snapshot.index > state.commitIndex) {
				// The disk keeps what was committed until the snapshot is durable.
				state.syncedIndex = Math.min(state.syncedIndex, state.commitIndex);
				log.reset({index: snapshot.index, term: snapshot.term, members: snapshot.members});
				state.commitIndex = snapshot.index;
				state.appliedIndex = snapshot.index;
				state.output.append = [];
				state.output.committed = [];
				state.output.snapshot = snapshot;
			}

			replyAppend(from, isCurrent, isCurrent ? Math.min(state.commitIndex, snapshot.index) : 0, message.sentAtMs, nowMs);
		},
	};
};
