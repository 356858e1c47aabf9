/** Adds and removes keepers, one at a time. */
import {BronzebendError, type ControlOutcome} from '@bronzebend/core';
import type {Replica} from '@bronzebend/replica';
import type {Member} from '@bronzebend/wire';

/** Interval between checks of a new keeper's progress, in milliseconds. */
const POLL_INTERVAL_MS = 100;
/** Number of checks after which a change fails. */
const MAX_POLLS = 100;

/** A keeper could not be added or removed. */
export class KeeperChangeError extends BronzebendError {
	override readonly name = 'KeeperChangeError';
}

/** Options of member changes. */
export type MemberChangesOptions = {
	replica(): Replica<ControlOutcome> | undefined;
	/** Sends a probe, to which the node replies with the ID of its replica. */
	probe(node: string): void;
	/** Returns the replica ID from the node's latest probe reply, if there was one. */
	replicaOf(node: string): string | undefined;
};

const pause = async (): Promise<void> => new Promise(resolve => {
	setTimeout(resolve, POLL_INTERVAL_MS);
});

/** Operations that change the members of the group. */
export type MemberChanges = ReturnType<typeof createMemberChanges>;

/** Creates the member operations. */
export const createMemberChanges = ({replica, probe, replicaOf}: MemberChangesOptions) => {
	const joinedReplica = (): Replica<ControlOutcome> => {
		const current = replica();
		if (!current) {
			throw new KeeperChangeError('no-replica', 'Cannot add or remove keepers: this keeper has not joined a group yet.');
		}

		return current;
	};

	const waitFor = async (isTrue: () => boolean, failure: KeeperChangeError): Promise<void> => {
		for (let poll = 0; poll < MAX_POLLS; poll += 1) {
			if (isTrue()) {
				return;
			}

			// Checks must run one after another.
			// eslint-disable-next-line no-await-in-loop
			await pause();
		}

		throw failure;
	};

	return {
		/**
		Adds a node's replica as a learner, waits until it has received the log, and makes it a voter.

		@returns The new members.
		@throws {KeeperChangeError} This keeper has not joined a group, the node does not answer, its earlier replica is still a voter, or it did not receive the log in time.
		*/
		async add(node: string): Promise<Member[]> {
			probe(node);
			await waitFor(() => replicaOf(node) !== undefined, new KeeperChangeError('keeper-silent', `Cannot add keeper ${node}: it did not answer the probe in time. Start it first.`));
			// Probe again, since the known ID is out of date if the folder was emptied after the last probe.
			probe(node);
			await pause();
			const id = replicaOf(node)!;
			const current = joinedReplica();
			const members = current.raft.members();
			if (members.some(member => member.node === node && member.voter && member.replica !== id)) {
				throw new KeeperChangeError('keeper-present', `Cannot add keeper ${node}: the replica of its earlier data folder is still a voter. Remove the keeper first.`);
			}

			if (!members.some(member => member.replica === id)) {
				await current.changeMembers([...members, {replica: id, node, voter: false}]);
			}

			const lagError = new KeeperChangeError('keeper-lags', `Cannot make keeper ${node} a voter: it did not receive the log in time. It stays a learner; add it again.`);
			await waitFor(() => current.raft.isCaughtUp(id), lagError);
			await current.changeMembers(current.raft.members().map(member => (member.replica === id ? {...member, voter: true} : member)));
			return current.raft.members();
		},

		/**
		Removes a node's replica from the group.

		@returns The new members.
		@throws {KeeperChangeError} This keeper has not joined a group, or the node is not a member.
		*/
		async remove(node: string): Promise<Member[]> {
			const current = joinedReplica();
			const members = current.raft.members();
			if (!members.some(member => member.node === node)) {
				throw new KeeperChangeError('no-such-keeper', `Cannot remove keeper ${node}: it is not a member of the group.`);
			}

			await current.changeMembers(members.filter(member => member.node !== node));
			return current.raft.members();
		},
	};
};
