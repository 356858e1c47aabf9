/**
Forms the first group of keepers.

Only a unanimous set of empty folders can form one, so an emptied folder that comes back to an
existing group never takes the place of the lost one.
*/
import type {Member} from '@bronzebend/wire';

/** What one other keeper said. */
export type ProbeReply = {replica: string; members?: Member[]};

/** What to do next. */
export type FormDecision =
	| {type: 'wait'}
	/** Start with these members; they may or may not hold this replica. */
	| {type: 'join'; members: Member[]};

/** Decides from what all keepers said; `keepers` lists every keeper's node, this one included where it may form a group. */
export const decideForming = (self: {node: string; replica: string}, keepers: readonly string[], replies: ReadonlyMap<string, ProbeReply>): FormDecision => {
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
