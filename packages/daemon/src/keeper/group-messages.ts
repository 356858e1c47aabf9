/** Messages between the members of a Raft group, independent of the group's state machine. */
import type {Peer, Raft} from '@bronzebend/replica';
import type {Member, PeerMessage} from '@bronzebend/wire';
import type {ProbeReply} from './bootstrap.js';

/** The operations of a replica that are needed here. */
type GroupReplica = {
	raft: Pick<Raft, 'role' | 'members' | 'matchIndexOf' | 'lastContactMs'>;
	receive(from: Peer, message: (PeerMessage & {type: 'raft'})['message']): void;
	transfer(to: string): void;
};

/** Creates the message handler. `replica` returns the running replica, if there is one. */
export const createGroupMessages = (options: {
	/** Identity of this replica. */
	self: string;
	replica(): GroupReplica | undefined;
	send(to: string, message: PeerMessage): void;
}) => {
	const {self, replica, send} = options;
	const probeReplies = new Map<string, ProbeReply>();

	return {
		/** Latest probe replies of other keepers, by node. */
		probeReplies: probeReplies as ReadonlyMap<string, ProbeReply>,

		/** Handles a message. Returns false if its type is not handled here. */
		receive(from: string, message: PeerMessage): boolean {
			switch (message.type) {
				case 'raft': {
					if (message.to === self) {
						replica()?.receive({replica: message.from, node: from}, message.message);
					}

					return true;
				}

				case 'probe': {
					send(from, {type: 'probe-reply', replica: self, members: replica()?.raft.members()});
					return true;
				}

				case 'probe-reply': {
					probeReplies.set(from, {replica: message.replica, members: message.members});
					return true;
				}

				default: {
					return false;
				}
			}
		},

		/** Transfers leadership to the voter with the longest matching log; among equals, to the one that answered last. `isLeaving` tells the voters that shut down too. Returns undefined if this replica does not lead or there is no other voter. */
		transferLeadership(isLeaving: (replica: string) => boolean = () => false): Member | undefined {
			const current = replica();
			if (current?.raft.role() !== 'leader') {
				return undefined;
			}

			const {raft} = current;
			const others = raft.members().filter(member => member.voter && member.replica !== self && !isLeaving(member.replica));
			// In an idle group a voter that is gone may match as far as the others.
			others.sort((left, right) => raft.matchIndexOf(right.replica) - raft.matchIndexOf(left.replica) || raft.lastContactMs(right.replica) - raft.lastContactMs(left.replica));
			if (others[0]) {
				current.transfer(others[0].replica);
			}

			return others[0];
		},
	};
};
