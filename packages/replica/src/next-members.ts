/**
Decides the next change of a replica group's members, so that the voters become the replicas that are running.

Any replica may be removed by mistake, since a replica that is cut off looks like one that is gone. This is
harmless: a replica that runs without a leader asks to join, and takes the place of a silent voter.
*/
import type {Member} from '@bronzebend/wire';

/** Silence after which a voter may be removed from a group over its size, or replaced, in milliseconds; longer than an election. */
export const SILENT_MEMBER_MS = 1000;

/** Time since its last answer up to which a member counts as present, in milliseconds; three heartbeats. */
export const PRESENT_MEMBER_MS = 450;

/** A replica that asks to join, and its node. */
export type JoinRequest = {replica: string; node: string};

/** What the leader knows of its group. */
export type GroupSigns = {
	/** Replica of the leader. */
	self: string;
	members: readonly Member[];
	/** Number of voters that the group should have at least. */
	groupSize: number;
	/** Replicas that ask to join; one for each node at most. */
	joining: readonly JoinRequest[];
	/** Replicas that are shutting down and give up their votes if the group does not need them. */
	resigning: ReadonlySet<string>;
	/** Time since a member last answered, in milliseconds, without the time in which the leader did not listen. */
	silenceMs(replica: string): number;
	/** True if a member has answered a moment ago. */
	isPresent(replica: string): boolean;
	/** True if a member has received the log, but for the latest entries. */
	isCaughtUp(replica: string): boolean;
};

/** True if the group keeps a member's vote although the member shuts down: no other replica has joined or is about to. */
export const isNeeded = (member: Member, members: readonly Member[], groupSize: number): boolean => member.voter
	&& members.every(each => each.voter) && members.length <= groupSize;

/** Returns the next members, which differ by one voter at most; undefined if nothing is to change. */
export const nextMembers = ({self, members, groupSize, joining, resigning, silenceMs, isPresent, isCaughtUp}: GroupSigns): Member[] | undefined => {
	const without = (gone: Member): Member[] => members.filter(member => member !== gone);
	const voters = members.filter(member => member.voter);
	const isOverSize = voters.length > groupSize;

	const mayGrow = voters.every(voter => voter.replica === self || isPresent(voter.replica));
	const hasSuccessor = joining.some(({replica}) => !resigning.has(replica) && isPresent(replica) && isCaughtUp(replica) && members.some(member => member.replica === replica && !member.voter));

	/** True if a successor cannot join beside a voter, since another one is slow, and those that answer are a quorum without it. */
	const mayMakeRoom = (leaving: Member): boolean => {
		const rest = voters.filter(voter => voter !== leaving);
		return !mayGrow && hasSuccessor && rest.filter(voter => voter.replica === self || isPresent(voter.replica)).length * 2 > rest.length;
	};

	const resigned = members.find(member => member.replica !== self && resigning.has(member.replica) && (isOverSize || !member.voter || mayMakeRoom(member)));
	if (resigned) {
		return without(resigned);
	}

	const silent = members.filter(member => member.replica !== self && silenceMs(member.replica) > SILENT_MEMBER_MS);
	silent.sort((left, right) => silenceMs(right.replica) - silenceMs(left.replica));
	const silentVoter = silent.find(member => member.voter);
	if (isOverSize && silentVoter) {
		return without(silentVoter);
	}

	for (const {replica, node} of joining) {
		const known = members.find(member => member.replica === replica);
		const earlier = members.find(member => member.node === node && member.replica !== replica);
		if (earlier) {
			// The node lost its disk, so its earlier replica cannot return.
			return without(earlier);
		}

		if (!known) {
			return [...members, {replica, node, voter: false}];
		}

		if (!known.voter && isCaughtUp(replica)) {
			if (voters.length >= groupSize && silentVoter) {
				return without(silentVoter);
			}

			// A larger group needs a larger quorum, so it must not grow beside a voter that may be gone.
			if (voters.length < groupSize || mayGrow) {
				return members.map(member => (member === known ? {...known, voter: true} : member));
			}
		}
	}

	// A learner asks until it is a voter, so one that is silent and does not ask is gone.
	const lostLearner = silent.find(member => !member.voter && !joining.some(({replica}) => replica === member.replica));
	return lostLearner && without(lostLearner);
};
