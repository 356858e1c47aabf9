/** The course of one replica's leadership: its begin, its proposals, the transfer to another replica, and its end. */
import type {LogPayload} from '@bronzebend/wire';
import type {LeaderLease} from './leader-lease.js';
import type {MembershipRules} from './membership-rules.js';
import type {LeaderRole, RaftState} from './raft-state.js';
import type {Replication} from './replication.js';

/** What a leadership consists of. */
export type LeadershipParts = {
	state: RaftState;
	replication: Replication;
	lease: LeaderLease;
	membershipRules: MembershipRules;
};

/** Leadership of one replica. */
export type Leadership = ReturnType<typeof createLeadership>;

/** Creates the leadership of a replica that does not lead yet. */
export const createLeadership = ({state, replication, lease, membershipRules}: LeadershipParts) => {
	const {log, timings} = state;

	return {
		/** Begins to lead, in the term of the election that was won. */
		begin(nowMs: number): void {
			const termStartIndex = log.lastIndex() + 1;
			const role: LeaderRole = {type: 'leader', termStartIndex, progress: replication.createProgressOfPeers(nowMs)};
			state.role = role;
			state.leader = state.self();
			state.ledTerm = state.term;
			membershipRules.start(role, nowMs);
			lease.start(nowMs);
			state.appendToLog([{index: termStartIndex, term: state.term, payload: {type: 'no-op'}}]);
			replication.broadcast(role, nowMs);
		},

		tick(role: LeaderRole, nowMs: number): void {
			if (lease.mustStepDown(role, nowMs)) {
				state.stepDown(nowMs);
				return;
			}

			membershipRules.tick(nowMs);
			if (replication.isBroadcastDue(nowMs)) {
				replication.broadcast(role, nowMs);
			}
		},

		/**
		Appends payloads to the log and sends them, unless this replica does not lead or offers its leadership to another.

		@throws {MembershipError} A proposed change of members is not allowed now.
		*/
		propose(payloads: readonly LogPayload[], nowMs: number): void {
			const {role} = state;
			if (role.type !== 'leader' || role.transfer !== undefined) {
				return;
			}

			for (const payload of payloads) {
				if (payload.type === 'members') {
					membershipRules.check(role, payload.members);
				}
			}

			const first = log.lastIndex() + 1;
			state.output.firstProposedIndex = first;
			state.appendToLog(payloads.map((payload, offset) => ({index: first + offset, term: state.term, payload})));
			replication.broadcast(role, nowMs);
		},

		/** Offers leadership to another voter, which takes it once it has the whole log. */
		transfer(to: string, nowMs: number): void {
			const {role} = state;
			if (role.type === 'leader') {
				role.transfer = {to, untilMs: nowMs + timings.maxElectionMs};
				replication.broadcast(role, nowMs);
			}
		},
	};
};
