/**
Former members of the group: which are recorded in the replicated state, and the notices by which the leader tells them that it leads.

A keeper that is cut off while all members that it knows are replaced at other addresses can ask nobody, and the settings of the
present members need not name it. So the others have to contact it.
*/
import type {
	Clock, FormerMember, GroupView, JobStore,
} from '@bronzebend/core';
import type {Member, PeerMessage} from '@bronzebend/wire';

/** Time for which a former member is told the leader, in milliseconds; a machine that was removed for good gets no more notices after it. */
const FORMER_MEMBER_MS = 24 * 3_600_000;
/** Number of former members that are recorded at most; the ones that were removed first are dropped. */
const MAX_FORMER_MEMBERS = 16;
/** Interval of the notices, in milliseconds. */
const NOTICE_INTERVAL_MS = 1000;
/** Number of former members that are told in one interval. Each is told every 2 s at least, so that a keeper that is back has half of its 4 s left to receive the log. */
const MAX_NOTICES = 8;

// A wall clock that was set back must not keep a record for longer.
const isRecent = ({removedMs}: FormerMember, wallMs: number): boolean => Math.abs(wallMs - removedMs) < FORMER_MEMBER_MS;

/** A change of members, as the leader decides on it. */
export type MemberChange = {
	/** The record so far. */
	known: readonly FormerMember[];
	members: readonly Member[];
	next: readonly Member[];
	/** True for a replica that has asked to leave, or whose node asks to join with another one. */
	isResigning(replica: string): boolean;
	wallMs: number;
};

/**
Returns the record of former members after a change: nodes that were removed without having asked for it. Returns `known` itself if
the change does not affect it. A node that may join again stays on it until it is a voter, since the change that adds it may be lost.
*/
export const nextFormerMembers = ({known, members, next, isResigning, wallMs}: MemberChange): readonly FormerMember[] => {
	const removed = members.filter(({node}) => !next.some(member => member.node === node));
	const present = new Set([...removed, ...members.filter(({voter}) => voter)].map(({node}) => node));
	const isAffected = removed.some(({node, replica}) => !isResigning(replica) || known.some(former => former.node === node));
	return isAffected
		? [
			...known.filter(former => isRecent(former, wallMs) && !present.has(former.node)),
			...removed.filter(({replica}) => !isResigning(replica)).map(({node}) => ({node, removedMs: wallMs})),
		].slice(-MAX_FORMER_MEMBERS)
		: known;
};

/** Creates the leader's notices to former members. */
export const createFormerMemberNotices = ({clock, store, seeds, send}: {
	clock: Clock;
	store(): JobStore;
	/** Nodes named in the settings; they are told the leader in any case. */
	seeds(): string[];
	send(to: string, message: PeerMessage): void;
}) => {
	let noticedMs = -Infinity;
	let position = 0;

	return {
		/** Tells former members who leads, if it is time; called a few times a second while this keeper leads. */
		notify(view: GroupView): void {
			const nowMs = clock.monotonicMs();
			if (nowMs - noticedMs < NOTICE_INTERVAL_MS) {
				return;
			}

			noticedMs = nowMs;
			const told = new Set([...view.members, ...seeds()]);
			const absent = store().formerMembers().filter(former => isRecent(former, clock.wallMs()) && !told.has(former.node)).map(({node}) => node);
			position = absent.length > MAX_NOTICES ? (position + MAX_NOTICES) % absent.length : 0;
			for (const node of [...absent.slice(position), ...absent.slice(0, position)].slice(0, MAX_NOTICES)) {
				send(node, {type: 'view', view});
			}
		},
	};
};
