/**
Forms the first group of keepers.

A group is formed only if every keeper answers and all their data folders are empty. A keeper that
restarts with an emptied folder therefore never takes the place of its earlier replica in an existing group.
*/
import type {Member} from '@bronzebend/wire';

/** Reply of another keeper to a probe; `members` is present if it belongs to a group. */
export type ProbeReply = {replica: string; members?: Member[]};

/** Next step of forming or joining a group. */
export type FormDecision =
	| {type: 'wait'}
	/** Start with these members, which may or may not include this replica. */
	| {type: 'join'; members: Member[]};

/**
Decides the next step from the replies of the other keepers.

@param keepers Nodes of all keepers; includes this one if it may form a group.
*/
export const decideGroupFormation = (self: {node: string; replica: string}, keepers: readonly string[], replies: ReadonlyMap<string, ProbeReply>): FormDecision => {
	const formed = [...replies.values()].find(reply => reply.members !== undefined);
	if (formed?.members) {
		return {type: 'join', members: formed.members};
	}

	const others = keepers.filter(node => node !== self.node);
	const isFirst = others.length < keepers.length && others.every(node => self.node < node);
	if (!isFirst || others.some(node => !replies.has(node))) {
		return {type: 'wait'};
	}

	return {
		type: 'join',
		members: keepers.map(node => ({
			replica: node === self.node ? self.replica : replies.get(node)!.replica, node, voter: true,
		})),
	};
};
