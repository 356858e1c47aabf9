/** Elections of a leader: pre-votes, votes and the campaigns that ask for them. */
import type {RaftMessage} from '@bronzebend/wire';
import type {Leadership} from './leadership.js';
import type {Outgoing, Peer} from './raft-events.js';
import type {RaftState} from './raft-state.js';

/** Creates one replica's part in the elections; a campaign that it wins begins its leadership. */
export const createElections = (state: RaftState, leadership: Pick<Leadership, 'begin'>) => {
	const {replica, log, electionTimer} = state;

	const requestVotes = (message: RaftMessage, messages: Outgoing[]): void => {
		messages.push(...state.voters().filter(member => member.replica !== replica).map(member => ({to: member, message})));
	};

	const campaign = (nowMs: number, transfer: boolean): void => {
		const votes = new Set([replica]);
		state.role = {type: 'candidate', isPreVote: false, votes};
		state.leader = undefined;
		state.term += 1;
		state.votedFor = replica;
		state.saveHardState();
		state.resetElection(nowMs);
		if (votes.size >= state.quorum()) {
			// Must not lead before its own vote is durable: after a crash it could lead in the same term again, with other entries.
			state.output.afterSync.push({to: state.self(), message: {type: 'vote-reply', term: state.term, granted: true}});
			return;
		}

		requestVotes({
			type: 'vote', term: state.term, lastIndex: log.lastIndex(), lastTerm: log.lastTerm(), transfer,
		}, state.output.afterSync);
	};

	const preCampaign = (nowMs: number): void => {
		state.resetElection(nowMs);
		// Also without a vote: a replica that believes in a leader asks nobody else to let it join.
		state.leader = undefined;
		if (!state.isVoter(replica)) {
			return;
		}

		const votes = new Set([replica]);
		state.role = {type: 'candidate', isPreVote: true, votes};
		if (votes.size >= state.quorum()) {
			campaign(nowMs, false);
			return;
		}

		requestVotes({
			type: 'pre-vote', term: state.term + 1, lastIndex: log.lastIndex(), lastTerm: log.lastTerm(),
		}, state.output.beforeSync);
	};

	const isUpToDate = (lastIndex: number, lastTerm: number): boolean => lastTerm > log.lastTerm() || (lastTerm === log.lastTerm() && lastIndex >= log.lastIndex());

	return {
		/** Starts a campaign if the election timer has fired; for a replica that does not lead. */
		tick(nowMs: number): void {
			if (electionTimer.hasFired(nowMs)) {
				preCampaign(nowMs);
			}
		},

		onPreVote(from: Peer, message: RaftMessage & {type: 'pre-vote'}, nowMs: number): void {
			const isCurrent = isUpToDate(message.lastIndex, message.lastTerm);
			const granted = message.term > state.term && !state.hasLeaderContact(nowMs) && isCurrent;
			const isCampaigning = state.role.type === 'candidate' && !state.role.isPreVote;
			if (!isCurrent && !isCampaigning && !state.hasLeaderContact(nowMs)) {
				// The candidate cannot win; without this, the group might wait for the longest election timer of the replicas that can.
				electionTimer.hasten(nowMs);
			}

			state.output.beforeSync.push({to: from, message: {type: 'pre-vote-reply', term: granted ? message.term : state.term, granted}});
		},

		onVote(from: Peer, message: RaftMessage & {type: 'vote'}, nowMs: number): void {
			if (message.term > state.term && state.hasLeaderContact(nowMs) && !message.transfer) {
				return;
			}

			if (message.term > state.term) {
				state.becomeFollower(message.term, undefined);
			}

			const mayVote = state.votedFor === undefined || state.votedFor === from.replica;
			const granted = message.term === state.term && mayVote && isUpToDate(message.lastIndex, message.lastTerm);
			if (granted) {
				state.votedFor = from.replica;
				state.saveHardState();
				state.resetElection(nowMs);
			}

			state.output.afterSync.push({to: from, message: {type: 'vote-reply', term: state.term, granted}});
		},

		onVoteReply(from: string, message: RaftMessage & {type: 'vote-reply' | 'pre-vote-reply'}, nowMs: number): void {
			const isPre = message.type === 'pre-vote-reply';
			if (!message.granted && message.term > state.term) {
				state.becomeFollower(message.term, undefined);
				return;
			}

			const {role} = state;
			const expectedTerm = isPre ? state.term + 1 : state.term;
			if (role.type !== 'candidate' || role.isPreVote !== isPre || !message.granted || message.term !== expectedTerm || !state.isVoter(from)) {
				return;
			}

			role.votes.add(from);
			if (role.votes.size < state.quorum()) {
				return;
			}

			if (isPre) {
				campaign(nowMs, false);
			} else {
				leadership.begin(nowMs);
			}
		},

		/** Campaigns at once if the leader offers to transfer its leadership. */
		onTimeoutNow(from: string, message: RaftMessage & {type: 'timeout-now'}, nowMs: number): void {
			if (message.term === state.term && from === state.leader?.replica && state.isVoter(replica)) {
				campaign(nowMs, true);
			}
		},
	};
};
