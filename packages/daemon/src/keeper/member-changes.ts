/** Adds and removes keepers, one voter at a time. */
import {BronzebendError, type ControlOutcome} from '@bronzebend/core';
import type {Replica} from '@bronzebend/replica';
import type {Member} from '@bronzebend/wire';

/** Pause between two looks at a new keeper's progress, in milliseconds. */
const POLL_MS = 100;
/** Looks after which a change is given up. */
const MAX_POLLS = 100;

/** A keeper could not be added or removed. */
export class KeeperChangeError extends BronzebendError {
	override readonly name = 'KeeperChangeError';
}

/** What member changes need. */
export type MemberChangesOptions = {
	replica(): Replica<ControlOutcome> | undefined;
	/** Asks a node for its replica identity. */
	probe(node: string): void;
	replicaOf(node: string): string | undefined;
};

const pause = async (): Promise<void> => new Promise(resolve => {
	setTimeout(resolve, POLL_MS);
});

/** The operations. */
export type MemberChanges = ReturnType<typeof createMemberChanges>;

/** Creates the operations. */
export const createMemberChanges = ({replica, probe, replicaOf}: MemberChangesOptions) => {
	const leading = (): Replica<ControlOutcome> => {
		const current = replica();
		if (!current) {
			throw new KeeperChangeError('no-replica', 'Cannot change keepers: this keeper has not joined the group yet.');
		}

		return current;
	};

	const waitFor = async (isTrue: () => boolean, failure: KeeperChangeError): Promise<void> => {
		for (let poll = 0; poll < MAX_POLLS; poll += 1) {
			if (isTrue()) {
				return;
			}

			// Progress is looked at one time after another.
			// eslint-disable-next-line no-await-in-loop
			await pause();
		}

		throw failure;
	};

	return {
		/** Adds a node's replica as a learner, waits until it has the log, and makes it a voter. */
		async add(node: string): Promise<Member[]> {
			probe(node);
			await waitFor(() => replicaOf(node) !== undefined, new KeeperChangeError('keeper-silent', `Cannot add ${node}: it does not answer. Start it first.`));
			// A folder that was emptied since the last probe has another identity.
			probe(node);
			await pause();
			const id = replicaOf(node)!;
			const current = leading();
			const members = current.raft.members();
			if (members.some(member => member.node === node && member.voter && member.replica !== id)) {
				throw new KeeperChangeError('keeper-present', `Cannot add ${node}: its earlier folder is still a member. Remove it first.`);
			}

			if (!members.some(member => member.replica === id)) {
				await current.changeMembers([...members, {replica: id, node, voter: false}]);
			}

			const lags = new KeeperChangeError('keeper-lags', `Cannot add ${node}: it did not receive the log in time. It stays a learner; try again.`);
			await waitFor(() => current.raft.matchOf(id) >= current.raft.commitIndex(), lags);
			await current.changeMembers(current.raft.members().map(member => (member.replica === id ? {...member, voter: true} : member)));
			return current.raft.members();
		},

		/** Removes a node's replica from the group. */
		async remove(node: string): Promise<Member[]> {
			const current = leading();
			const members = current.raft.members();
			if (!members.some(member => member.node === node)) {
				throw new KeeperChangeError('no-such-keeper', `Cannot remove ${node}: it is no member.`);
			}

			await current.changeMembers(members.filter(member => member.node !== node));
			return current.raft.members();
		},
	};
};
