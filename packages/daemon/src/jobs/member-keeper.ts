/** Keeps the group of keepers at its size: adds replicas that ask, and lets them replace silent ones. */
import type {Clock, JobBook} from '@bronzebend/core';
import type {Member} from '@bronzebend/wire';
import type {Log} from '../utils/log.js';
import type {JobReplica} from './job-keeper.js';

/** Time for which a request to join holds, in milliseconds; askers repeat it five times a second. */
const JOIN_VALID_MS = 1000;
/** Silence after which a voter may be replaced by one that asks, in milliseconds. */
const SILENT_VOTER_MS = 3000;
/** Time after which a leader takes the group as whole although it is smaller than asked for, in milliseconds. */
const SETTLE_MS = 8000;

/** What a member keeper is made of. */
export type MemberKeeperOptions = {
	clock: Clock;
	log: Log;
	groupSize: number;
	replica(): JobReplica | undefined;
	book(): JobBook;
};

/** Creates the leader's care of the group. */
export const createMemberKeeper = ({clock, log, groupSize, replica, book}: MemberKeeperOptions) => {
	const asked = new Map<string, {node: string; atMs: number}>();
	let busy = false;
	let leadingSinceMs = Infinity;
	let term = -1;

	/** The next set of members; undefined where nothing is to change. */
	const nextMembers = (current: JobReplica, nowMs: number): Member[] | undefined => {
		const {raft} = current;
		const members = raft.members();
		const voters = members.filter(member => member.voter);
		const silent = voters.find(member => member.replica !== current.replica && nowMs - Math.max(raft.heardMs(member.replica), leadingSinceMs) > SILENT_VOTER_MS);
		if (voters.length > groupSize && silent) {
			return members.filter(member => member !== silent);
		}

		for (const [id, {node}] of asked) {
			const known = members.find(member => member.replica === id);
			const sameNode = members.find(member => member.node === node && member.replica !== id);
			if (sameNode) {
				// The node lost its disk, so the identity that it had is gone for good.
				return members.filter(member => member !== sameNode);
			}

			if (!known) {
				return [...members, {replica: id, node, voter: false}];
			}

			if (!known.voter && raft.matchOf(id) >= raft.commitIndex()) {
				return voters.length >= groupSize && silent
					? members.filter(member => member !== silent)
					: members.map(member => (member === known ? {...known, voter: true} : member));
			}
		}

		return undefined;
	};

	const change = async (current: JobReplica, next: Member[]): Promise<void> => {
		busy = true;
		try {
			await current.changeMembers(next);
			log.info('Changed the members of the group.', {members: next.map(member => `${member.node}${member.voter ? '' : ' (learner)'}`).join(' ')});
		} catch (error) {
			log.warn('Did not change the members of the group.', {cause: String(error)});
		} finally {
			busy = false;
		}
	};

	return {
		/** A replica that is no voter asks to become one. */
		asked(node: string, id: string): void {
			asked.set(id, {node, atMs: clock.monotonicMs()});
		},

		/** Takes the next step, on the leader. */
		step(): void {
			const current = replica();
			if (!current || busy) {
				return;
			}

			const nowMs = clock.monotonicMs();
			if (current.raft.term() !== term) {
				term = current.raft.term();
				leadingSinceMs = nowMs;
			}

			for (const [id, {atMs}] of asked) {
				if (nowMs - atMs > JOIN_VALID_MS) {
					asked.delete(id);
				}
			}

			const next = nextMembers(current, nowMs);
			if (next) {
				void change(current, next);
				return;
			}

			const voters = current.raft.members().filter(member => member.voter).length;
			if (!book().isGroupWhole() && (voters >= groupSize || nowMs - leadingSinceMs > SETTLE_MS)) {
				busy = true;
				current.propose({type: 'group-whole'}).catch((error: unknown) => {
					log.debug('Could not record that the group is whole.', {cause: String(error)});
				}).finally(() => {
					busy = false;
				});
			}
		},
	};
};
