/** A leader's replication of its log: sends entries and heartbeats to the other members, and commits what a quorum holds. */
import type {Member, RaftMessage, Snapshot} from '@bronzebend/wire';
import {createMemberUpdates, type LeaderState} from './member-updates.js';
import {createProgress} from './progress.js';
import type {LeaderRole, RaftState} from './raft-state.js';

/** Replication by one replica while it leads. */
export type Replication = ReturnType<typeof createReplication>;

/** Creates the replication; `readSnapshot` returns the last snapshot, for replicas that lag behind the start of the log. */
export const createReplication = (state: RaftState, readSnapshot: () => Snapshot | undefined) => {
	const {replica, log, timings} = state;
	const updates = createMemberUpdates(log, readSnapshot);
	let heartbeatAtMs = 0;
	/** The latest commit index has not been sent to the other replicas; the next append, at most a tick later, carries it. */
	let isCommitUnsent = false;

	const send = (member: Member, message: RaftMessage | undefined): void => {
		if (message) {
			state.output.beforeSync.push({to: member, message});
		}
	};

	const leaderState = (nowMs: number): LeaderState => ({term: state.term, commit: state.commitIndex, sentAtMs: nowMs});

	const sendAppend = (role: LeaderRole, member: Member, nowMs: number): void => {
		send(member, updates.next(role.progress.get(member.replica)!, leaderState(nowMs)));
	};

	const advanceCommit = (nowMs: number): void => {
		const matches = state.voters().map(member => state.matchIndexOf(member.replica));
		matches.sort((left, right) => right - left);
		const quorumIndex = matches[state.quorum() - 1] ?? 0;
		// Entries of earlier terms are committed only together with one of the current term.
		if (quorumIndex > state.commitIndex && log.termAt(quorumIndex) === state.term) {
			state.commitIndex = quorumIndex;
			state.emitCommitted();
			if (state.commitIndex >= log.membersIndex() && !state.isVoter(replica)) {
				state.stepDown(nowMs);
				return;
			}

			isCommitUnsent = true;
		}
	};

	return {
		/** Starts the records of the other members for a new term. */
		createProgressOfPeers: (nowMs: number): LeaderRole['progress'] => new Map(state.peers().map(member => [member.replica, createProgress(log.lastIndex() + 1, nowMs)])),

		/** True if the other members should hear from this leader now. */
		isBroadcastDue: (nowMs: number): boolean => isCommitUnsent || nowMs >= heartbeatAtMs,

		/** Sends each other member what it needs next, or a heartbeat. */
		broadcast(role: LeaderRole, nowMs: number): void {
			heartbeatAtMs = nowMs + timings.heartbeatMs;
			isCommitUnsent = false;
			const members = state.peers();
			// A replica that was removed may still answer earlier messages, and starts anew if it is added again.
			role.progress = new Map([...role.progress].filter(([id]) => members.some(member => member.replica === id)));
			for (const member of members) {
				if (!role.progress.has(member.replica)) {
					role.progress.set(member.replica, createProgress(log.lastIndex() + 1, -Infinity));
				}

				send(member, updates.next(role.progress.get(member.replica)!, leaderState(nowMs)) ?? updates.heartbeat(leaderState(nowMs)));
			}
		},

		/** Commits what a quorum holds durably; ends the leadership once the removal of this replica is committed. */
		advanceCommit,

		onAppendReply(from: string, message: RaftMessage & {type: 'append-reply'}, nowMs: number): void {
			const {role} = state;
			const peer = state.progressOf(from);
			if (role.type !== 'leader' || message.term !== state.term || !peer) {
				if (message.term > state.term) {
					state.becomeFollower(message.term, undefined);
				}

				return;
			}

			peer.recordContact(message.sentAtMs);
			if (!message.success) {
				if (peer.rewind(message.index, message.sentAtMs, nowMs)) {
					sendAppend(role, log.members().find(member => member.replica === from)!, nowMs);
				}

				return;
			}

			peer.match = Math.max(peer.match, message.index);
			peer.next = Math.max(peer.next, peer.match + 1);
			advanceCommit(nowMs);
			// Committing a change of members may have ended this leadership.
			const member = log.members().find(other => other.replica === from);
			if (state.role !== role || !member) {
				return;
			}

			if (role.transfer?.to === from && peer.match === log.lastIndex()) {
				send(member, {type: 'timeout-now', term: state.term});
			}

			if (peer.next <= log.lastIndex()) {
				sendAppend(role, member, nowMs);
			}
		},
	};
};
