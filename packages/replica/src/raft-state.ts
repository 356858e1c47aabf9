/**
The state of one replica that its elections, its leadership and its following of a leader share, and the changes that more than one
of them makes. What only one of them needs is kept there.
*/
import type {LogEntry, Member} from '@bronzebend/wire';
import type {RestoredState} from './durable-state.js';
import {createElectionTimer} from './election-timer.js';
import type {Progress} from './progress.js';
import type {Peer, RaftOutput} from './raft-events.js';
import {createRaftLog} from './raft-log.js';
import type {RaftTimings} from './raft-timings.js';

/** What a candidate knows of its campaign; with `isPreVote` it asks whether it would be elected, without a new term. */
export type CandidateRole = {type: 'candidate'; isPreVote: boolean; votes: Set<string>};

/** What a leader knows of its term. */
export type LeaderRole = {
	type: 'leader';
	/** Index of the first entry of the term. */
	termStartIndex: number;
	/** How far each other member has received the log, by replica. */
	progress: Map<string, Progress>;
	/** Transfer of the leadership that is under way, with the time at which it has failed, in milliseconds. */
	transfer?: {to: string; untilMs: number};
};

/** Role of a replica with what belongs to it; a change of roles drops it. */
export type RoleState = {type: 'follower'} | CandidateRole | LeaderRole;

/** Role of a replica. */
export type Role = RoleState['type'];

/** Options of {@link createRaftState}. */
export type RaftStateOptions = {
	replica: string;
	restored: RestoredState;
	timings: RaftTimings;
	/** Returns a uniformly distributed number in [0, 1). */
	random: () => number;
	startedAtMs: number;
};

const createFollowerRole = (): RoleState => ({type: 'follower'});

/** Creates the output of an event that has no effects yet. */
const createOutput = (): RaftOutput => ({
	append: [], beforeSync: [], afterSync: [], committed: [],
});

/** Shared state of one replica. */
export type RaftState = ReturnType<typeof createRaftState>;

/** Creates the state of a follower that knows no leader. */
export const createRaftState = ({replica, restored, timings, random, startedAtMs}: RaftStateOptions) => {
	const {hardState, base, entries} = restored;
	const log = createRaftLog(base, entries);

	const state = {
		replica,
		timings,
		log,
		electionTimer: createElectionTimer({timings, random, nowMs: startedAtMs}),
		term: hardState.term,
		votedFor: hardState.votedFor,
		/** Latest term in which this replica knew a leader. */
		ledTerm: hardState.term,
		role: createFollowerRole(),
		leader: undefined as Peer | undefined,
		// The time of the last leader contact is lost on a restart, so it is assumed to be now: leases rely on it.
		leaderContactMs: startedAtMs,
		commitIndex: base.index,
		appliedIndex: base.index,
		/** Last index up to which this replica's own log is durable. */
		syncedIndex: log.lastIndex(),
		/** Output of the event that is being handled. */
		output: createOutput(),

		/** Starts the output of the next event. */
		resetOutput(): void {
			state.output = createOutput();
		},

		voters: (): Member[] => log.members().filter(member => member.voter),
		isVoter: (id: string): boolean => state.voters().some(member => member.replica === id),
		quorum: (): number => Math.floor(state.voters().length / 2) + 1,
		self: (): Member => log.members().find(member => member.replica === replica)!,
		peers: (): Member[] => log.members().filter(member => member.replica !== replica),

		/** How far another member has received the log; undefined if this replica does not lead or the other is no member. */
		progressOf: (id: string): Progress | undefined => (state.role.type === 'leader' ? state.role.progress.get(id) : undefined),
		/** Last index up to which a replica is known to hold the log durably. */
		matchIndexOf: (id: string): number => (id === replica ? state.syncedIndex : state.progressOf(id)?.match ?? 0),

		hasLeaderContact: (nowMs: number): boolean => state.role.type === 'leader' || nowMs - state.leaderContactMs < timings.minElectionMs,

		resetElection(nowMs: number): void {
			state.electionTimer.reset(nowMs, state.term - state.ledTerm);
		},

		saveHardState(): void {
			state.output.hardState = {term: state.term, votedFor: state.votedFor};
		},

		becomeFollower(nextTerm: number, nextLeader: Peer | undefined): void {
			if (nextTerm > state.term) {
				state.term = nextTerm;
				state.votedFor = undefined;
				state.saveHardState();
			}

			state.role = createFollowerRole();
			state.leader = nextLeader;
		},

		/** Ends this replica's leadership within its term. */
		stepDown(nowMs: number): void {
			state.becomeFollower(state.term, undefined);
			state.resetElection(nowMs);
		},

		appendToLog(added: LogEntry[]): void {
			log.append(added);
			state.syncedIndex = Math.min(state.syncedIndex, added[0]!.index - 1);
			state.output.append.push(...added);
		},

		emitCommitted(): void {
			while (state.appliedIndex < state.commitIndex) {
				state.appliedIndex += 1;
				state.output.committed.push(log.entryAt(state.appliedIndex)!);
			}
		},
	};
	return state;
};
