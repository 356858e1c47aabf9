/** Keeps the keeper group at its target size: adds replicas that ask to join, and replaces silent voters with them. */
import type {Clock, JobStore} from '@bronzebend/core';
import type {Member} from '@bronzebend/wire';
import type {Log} from '../utils/log.js';
import type {JobReplica} from './job-keeper.js';

/** Validity of a request to join, in milliseconds; it is repeated five times a second. */
const JOIN_REQUEST_VALIDITY_MS = 1000;
/** Silence after which a voter may be replaced by a replica that asks to join, in milliseconds. */
const SILENT_VOTER_MS = 3000;
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

/** Creates the membership control of a keeper. */
export const createMembershipController = ({clock, log, groupSize, replica, store}: MembershipControllerOptions) => {
	const joinRequests = new Map<string, {node: string; atMs: number}>();
	let isChanging = false;
	let leadingSinceMs = Infinity;
	let term = -1;

	/** Returns the next set of members; undefined if nothing is to change. */
	const nextMembers = (current: JobReplica, nowMs: number): Member[] | undefined => {
		const {raft} = current;
		const members = raft.members();
		const voters = members.filter(member => member.voter);
		const silent = voters.find(member => member.replica !== current.replica && nowMs - Math.max(raft.lastContactMs(member.replica), leadingSinceMs) > SILENT_VOTER_MS);
		if (voters.length > groupSize && silent) {
			return members.filter(member => member !== silent);
		}

		for (const [id, {node}] of joinRequests) {
			const known = members.find(member => member.replica === id);
			const sameNode = members.find(member => member.node === node && member.replica !== id);
			if (sameNode) {
				// The node lost its disk, so its previous replica identity cannot return.
				return members.filter(member => member !== sameNode);
			}

			if (!known) {
				return [...members, {replica: id, node, voter: false}];
			}

			if (!known.voter && raft.matchIndexOf(id) >= raft.commitIndex()) {
				return voters.length >= groupSize && silent
					? members.filter(member => member !== silent)
					: members.map(member => (member === known ? {...known, voter: true} : member));
			}
		}

		return undefined;
	};

	const change = async (current: JobReplica, next: Member[]): Promise<void> => {
		isChanging = true;
		try {
			await current.changeMembers(next);
			log.info('Changed the members of the group.', {members: next.map(member => `${member.node}${member.voter ? '' : ' (learner)'}`).join(' ')});
		} catch (error) {
			log.warn('Could not change the members of the group.', {cause: String(error)});
		} finally {
			isChanging = false;
		}
	};

	return {
		/** Records that a replica which is not a voter asks to become one. */
		asked(node: string, id: string): void {
			joinRequests.set(id, {node, atMs: clock.monotonicMs()});
		},

		/** Makes the next change to the group, if one is due; called on the leader only. */
		step(): void {
			const current = replica();
			if (!current || isChanging) {
				return;
			}

			const nowMs = clock.monotonicMs();
			if (current.raft.term() !== term) {
				term = current.raft.term();
				leadingSinceMs = nowMs;
			}

			for (const [id, {atMs}] of joinRequests) {
				if (nowMs - atMs > JOIN_REQUEST_VALIDITY_MS) {
					joinRequests.delete(id);
				}
			}

			const next = nextMembers(current, nowMs);
			if (next) {
				void change(current, next);
				return;
			}

			const voters = current.raft.members().filter(member => member.voter).length;
			if (!store().isGroupWhole() && (voters >= groupSize || nowMs - leadingSinceMs > GROUP_SETTLE_MS)) {
				isChanging = true;
				current.propose({type: 'group-whole'}).catch((error: unknown) => {
					log.debug('Could not record that the group is whole.', {cause: String(error)});
				}).finally(() => {
					isChanging = false;
				});
			}
		},
	};
};
