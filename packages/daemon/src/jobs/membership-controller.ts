/** Keeps the voters of the keeper group equal to the running keepers: lets keepers join, resign, and replace silent ones. */
import type {Clock, JobCommand, JobStore} from '@bronzebend/core';
import {isNeeded, nextMembers, PRESENT_MEMBER_MS} from '@bronzebend/replica';
import type {Member} from '@bronzebend/wire';
import type {Log} from '../utils/log.js';
import {nextFormerMembers} from './former-members.js';
import type {JobReplica} from './job-keeper-options.js';
import {createMemberSilence} from './member-silence.js';

/** Validity of a request to join or to resign, in milliseconds; it is repeated five times a second. */
const REQUEST_VALIDITY_MS = 1000;
/** Time after which a leader declares the group whole although it is below its target size, in milliseconds. */
const GROUP_SETTLE_MS = 8000;

/** Options of a membership controller. */
export type MembershipControllerOptions = {
	clock: Clock;
	log: Log;
	groupSize: number;
	replica(): JobReplica | undefined;
	store(): JobStore;
};

/** Answer to a keeper that resigns: it is no member any more, it stays a voter since the group needs it, or it must ask again. */
export type ResignationAnswer = 'left' | 'kept' | 'pending';

/** Nodes of members as text for logs. */
export const describeMembers = (members: readonly Member[]): string => members.map(member => `${member.node}${member.voter ? '' : ' (learner)'}`).join(' ');

/** Creates the membership control of a keeper. */
export const createMembershipController = ({clock, log, groupSize, replica, store}: MembershipControllerOptions) => {
	/** Latest request of each node. */
	const joinRequests = new Map<string, {replica: string; atMs: number}>();
	const resignations = new Map<string, {atMs: number}>();
	const silence = createMemberSilence();
	let isChanging = false;

	/**
	Returns the command that records members which a change removes; undefined if there is nothing to record. A node that asks to join
	with another replica is in touch.
	*/
	const recordOf = (current: JobReplica, next: readonly Member[]): JobCommand | undefined => {
		const known = store().formerMembers();
		const members = current.raft.members();
		const isInTouch = (id: string): boolean => resignations.has(id) || members.some(({replica: other, node}) => other === id && joinRequests.has(node));
		const formerMembers = nextFormerMembers({
			known, members, next, isResigning: isInTouch, wallMs: clock.wallMs(),
		});
		return formerMembers === known || !store().isGroupWhole() ? undefined : {type: 'group-whole', formerMembers};
	};

	const change = async (current: JobReplica, next: Member[]): Promise<void> => {
		isChanging = true;
		try {
			// The record precedes the change, so each leader that knows of the change has it.
			await current.changeMembers(next, recordOf(current, next));
			log.info('Changed the members of the group.', {members: describeMembers(next)});
		} catch (error) {
			log.warn('Could not change the members of the group.', {cause: String(error)});
			return;
		} finally {
			isChanging = false;
		}

		if (current.hasLease()) {
			// The next change is often due at once, and the group is weaker between the two.
			step();
		}
	};

	const dropOldRequests = (requests: Map<string, {atMs: number}>, nowMs: number): void => {
		for (const [key, {atMs}] of requests) {
			if (nowMs - atMs > REQUEST_VALIDITY_MS) {
				requests.delete(key);
			}
		}
	};

	/** Makes the next change to the group, if one is due; called on the leader only. */
	const step = (): void => {
		const current = replica();
		if (!current) {
			return;
		}

		const nowMs = clock.monotonicMs();
		const {raft} = current;
		silence.observe(nowMs, {term: raft.term(), members: raft.members().map(member => member.replica), lastContactMs: raft.lastContactMs});
		if (isChanging) {
			return;
		}

		dropOldRequests(joinRequests, nowMs);
		dropOldRequests(resignations, nowMs);
		const next = nextMembers({
			self: current.replica,
			members: raft.members(),
			groupSize,
			joining: [...joinRequests].map(([node, request]) => ({node, replica: request.replica})),
			resigning: new Set(resignations.keys()),
			silenceMs: silence.silenceMs,
			isPresent: id => nowMs - (silence.answeredAtMs(id) ?? -Infinity) <= PRESENT_MEMBER_MS,
			isCaughtUp: raft.isCaughtUp,
		});
		if (next) {
			void change(current, next);
			return;
		}

		const voters = raft.members().filter(member => member.voter).length;
		if (!store().isGroupWhole() && (voters >= groupSize || nowMs - silence.leadingSinceMs() > GROUP_SETTLE_MS)) {
			isChanging = true;
			current.propose({type: 'group-whole'}).catch((error: unknown) => {
				log.debug('Could not record that the group is whole.', {cause: String(error)});
			}).finally(() => {
				isChanging = false;
			});
		}
	};

	return {
		step,

		/** When a replica last answered this leader, in milliseconds; undefined if it never has. */
		answeredAtMs: silence.answeredAtMs,

		/** Records that a replica which is not a voter asks to become one. */
		asked(node: string, id: string): void {
			joinRequests.set(node, {replica: id, atMs: clock.monotonicMs()});
		},

		/** True if a replica has asked to give up its vote lately. */
		isResigning: (id: string): boolean => resignations.has(id),

		/** Handles the request of a keeper that shuts down to give up its vote; only a leader decides on it. */
		resign(node: string, id: string, leads: boolean): ResignationAnswer {
			joinRequests.delete(node);
			resignations.set(id, {atMs: clock.monotonicMs()});
			if (!leads) {
				return 'pending';
			}

			step();
			const members = replica()?.raft.members() ?? [];
			const member = members.find(each => each.replica === id);
			if (member) {
				return isNeeded(member, members, groupSize) ? 'kept' : 'pending';
			}

			return isChanging ? 'pending' : 'left';
		},
	};
};
