/** What every keeper does alike towards the others of its group, whatever its log drives. */
import type {Raft} from '@bronzebend/replica';
import type {Member, PeerMessage} from '@bronzebend/wire';
import type {ProbeReply} from './bootstrap.js';

/** The part of a replica that the group's messages need. */
type GroupReplica = {
	raft: Pick<Raft, 'role' | 'members' | 'matchOf'>;
	receive(from: string, message: (PeerMessage & {type: 'raft'})['message']): void;
	transfer(to: string): void;
};

/** Creates the answers; `replica` gives the running replica, if there is one. */
export const createGroupMessages = (options: {
	/** Identity of this replica. */
	self: string;
	replica(): GroupReplica | undefined;
	send(to: string, message: PeerMessage): void;
}) => {
	const {self, replica, send} = options;
	const probeReplies = new Map<string, ProbeReply>();

	return {
		/** What other keepers said of themselves, by node. */
		probeReplies: probeReplies as ReadonlyMap<string, ProbeReply>,

		/** Takes a message; returns false where it is not one of these. */
		receive(from: string, message: PeerMessage): boolean {
			switch (message.type) {
				case 'raft': {
					if (message.to === self) {
						replica()?.receive(message.from, message.message);
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

		/** Hands leadership to the voter that is furthest along; undefined where there is nothing to hand over or nobody to take it. */
		handOver(): Member | undefined {
			const current = replica();
			if (current?.raft.role() !== 'leader') {
				return undefined;
			}

			const {raft} = current;
			const others = raft.members().filter(member => member.voter && member.replica !== self);
			others.sort((left, right) => raft.matchOf(right.replica) - raft.matchOf(left.replica));
			if (others[0]) {
				current.transfer(others[0].replica);
			}

			return others[0];
		},
	};
};
