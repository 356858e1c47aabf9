/**
Raft consensus of the replicas on one log: elections with pre-vote, replication, membership changes.

Performs no I/O: takes events and times, and returns outputs. The caller makes `hardState`, `append`
and `snapshot` durable before it sends `afterSync` and before it reports them by a `synced` event.

This file puts the parts together and hands each event to its part. All parts work on one shared state (`raft-state.ts`).
*/
import {UnreachableError} from '@bronzebend/core';
import type {LogEntry, RaftMessage, Snapshot} from '@bronzebend/wire';
import type {RestoredState} from './durable-state.js';
import {createElections} from './elections.js';
import {createFollower} from './follower.js';
import {createLeaderLease} from './leader-lease.js';
import {createLeadership} from './leadership.js';
import {createMembershipRules} from './membership-rules.js';
import type {Peer, RaftEvent, RaftOutput} from './raft-events.js';
import {createRaftState, type Role} from './raft-state.js';
import {defaultTimings, type RaftTimings} from './raft-timings.js';
import {createReplication} from './replication.js';

/** Options of {@link createRaft}. */
export type RaftOptions = {
	replica: string;
	restored: RestoredState;
	timings?: RaftTimings;
	/** Returns a uniformly distributed number in [0, 1). */
	random: () => number;
	/** Returns the last snapshot, for replicas that lag behind the start of the log. */
	readSnapshot: () => Snapshot | undefined;
	startedAtMs: number;
};

/** Raft state of one replica. */
export type Raft = ReturnType<typeof createRaft>;

/** Creates the Raft state of one replica. */
export const createRaft = ({replica, restored, timings = defaultTimings, random, readSnapshot, startedAtMs}: RaftOptions) => {
	const state = createRaftState({
		replica, restored, timings, random, startedAtMs,
	});
	const {log} = state;
	const lease = createLeaderLease(state);
	const membershipRules = createMembershipRules(state);
	const replication = createReplication(state, readSnapshot);
	const leadership = createLeadership({
		state, replication, lease, membershipRules,
	});
	const elections = createElections(state, leadership);
	const follower = createFollower(state);

	const receive = (from: Peer, message: RaftMessage, nowMs: number): void => {
		switch (message.type) {
			case 'pre-vote': {
				elections.onPreVote(from, message, nowMs);
				return;
			}

			case 'vote': {
				elections.onVote(from, message, nowMs);
				return;
			}

			case 'pre-vote-reply':
			case 'vote-reply': {
				elections.onVoteReply(from.replica, message, nowMs);
				return;
			}

			case 'append': {
				follower.onAppend(from, message, nowMs);
				return;
			}

			case 'append-reply': {
				replication.onAppendReply(from.replica, message, nowMs);
				return;
			}

			case 'install': {
				follower.onInstall(from, message, nowMs);
				return;
			}

			case 'timeout-now': {
				elections.onTimeoutNow(from.replica, message, nowMs);
				return;
			}

			default: {
				throw new UnreachableError(message);
			}
		}
	};

	const tick = (nowMs: number): void => {
		if (state.role.type === 'leader') {
			leadership.tick(state.role, nowMs);
		} else {
			elections.tick(nowMs);
		}
	};

	const recordSync = ({index, term, tookMs = 0}: RaftEvent & {type: 'synced'}, nowMs: number): void => {
		state.electionTimer.synced(tookMs);
		if (log.termAt(index) === term) {
			state.syncedIndex = Math.max(state.syncedIndex, index);
		}

		if (state.role.type === 'leader') {
			replication.advanceCommit(nowMs);
		}
	};

	return {
		/**
		Handles one event and returns the resulting output.

		@throws {MembershipError} A proposed change of members is not allowed now.
		*/
		handle(event: RaftEvent, nowMs: number): RaftOutput {
			state.resetOutput();
			switch (event.type) {
				case 'tick': {
					tick(nowMs);
					break;
				}

				case 'receive': {
					receive(event.from, event.message, nowMs);
					break;
				}

				case 'propose': {
					leadership.propose(event.payloads, nowMs);
					break;
				}

				case 'synced': {
					recordSync(event, nowMs);
					break;
				}

				case 'compacted': {
					log.compact(event.index);
					break;
				}

				case 'transfer': {
					leadership.transfer(event.to, nowMs);
					break;
				}

				default: {
					throw new UnreachableError(event);
				}
			}

			return state.output;
		},

		replica,
		role: (): Role => state.role.type,
		term: () => state.term,
		leader: () => state.leader?.replica,
		/** Node of the leader, which may have joined after the end of this replica's log; undefined if no leader is known. */
		leaderNode: () => state.leader?.node,
		commitIndex: () => state.commitIndex,
		lastIndex: () => log.lastIndex(),
		members: () => log.members(),
		membersAt: (index: number) => log.membersAt(index),
		termAt: (index: number) => log.termAt(index),
		/** Position after which this replica holds the log's entries. */
		startIndex: () => log.startIndex(),
		entriesAfter: (index: number): LogEntry[] => log.slice(index + 1),
		matchIndexOf: state.matchIndexOf,

		/** True on a leader if another replica has received the log, but for the latest entries. */
		isCaughtUp: membershipRules.isCaughtUp,

		/** Send time of the latest message that a replica has answered, on this leader's clock, in milliseconds; -Infinity if none. */
		lastContactMs: (id: string): number => state.progressOf(id)?.lastContactMs() ?? -Infinity,

		/** True while no other replica can have become leader and all entries of earlier terms are committed here. */
		hasLease: lease.isHeld,
	};
};
