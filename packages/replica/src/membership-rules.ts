/** Which changes of members a leader accepts: one voter at a time, and as a new voter only a replica that has received the log. */
import type {Member} from '@bronzebend/wire';
import type {LeaderRole, RaftState} from './raft-state.js';
import {MembershipError} from './replica-errors.js';

/** Interval at which a leader notes its commit index, in milliseconds. A replica that has received what was committed one to two intervals ago is caught up; a distant one never has all that is committed now while there is work. */
const COMMIT_MARK_MS = 300;

/** Rules of one replica while it leads. */
export type MembershipRules = ReturnType<typeof createMembershipRules>;

/** Creates the rules. */
export const createMembershipRules = (state: RaftState) => {
	const {log} = state;
	/** Commit index at the latest mark and at the one before. */
	let commitMarks = {latest: Infinity, earlier: Infinity, nextAtMs: Infinity};

	const isCaughtUp = (id: string): boolean => (state.progressOf(id)?.match ?? 0) >= commitMarks.earlier;

	return {
		/** Starts the marks for a new term. */
		start({termStartIndex}: LeaderRole, nowMs: number): void {
			commitMarks = {latest: termStartIndex, earlier: termStartIndex, nextAtMs: nowMs + COMMIT_MARK_MS};
		},

		/** Notes the commit index when a mark is due. */
		tick(nowMs: number): void {
			if (nowMs >= commitMarks.nextAtMs) {
				commitMarks = {latest: state.commitIndex, earlier: commitMarks.latest, nextAtMs: nowMs + COMMIT_MARK_MS};
			}
		},

		/** True on a leader if another replica has received the log, but for the latest entries. */
		isCaughtUp,

		/**
		Checks a proposed change of members.

		@throws {MembershipError} The change is not allowed now.
		*/
		check({termStartIndex}: LeaderRole, next: readonly Member[]): void {
			if (state.commitIndex < termStartIndex || state.commitIndex < log.membersIndex()) {
				throw new MembershipError('membership-busy', 'Cannot change keepers: an earlier change is not committed yet. Try again in a second.');
			}

			const before = new Set(state.voters().map(member => member.replica));
			const after = new Set(next.filter(member => member.voter).map(member => member.replica));
			const joining = [...after].filter(id => !before.has(id));
			const changed = [...before].filter(id => !after.has(id)).length + joining.length;
			if (changed > 1 || after.size === 0) {
				throw new MembershipError('membership-one-at-a-time', 'Cannot change keepers: only one voter at a time may join or leave.');
			}

			if (joining.some(id => !isCaughtUp(id))) {
				throw new MembershipError('membership-not-caught-up', 'Cannot make the keeper a voter: it has not received the whole log yet. Add it as a learner and wait.');
			}
		},
	};
};
