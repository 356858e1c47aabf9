/** Errors with which a proposal to a replica fails. */
import {BronzebendError} from '@bronzebend/core';

/** This replica is not the leader; `leader` is the node that may be, if known. */
export class NotLeaderError extends BronzebendError {
	override readonly name = 'NotLeaderError';

	constructor(readonly leader: string | undefined) {
		super('not-leader', 'Cannot accept the change: this keeper is not the leader. Send it to the leader.', {leader});
	}
}

/** Leadership ended before the change was confirmed; it may or may not have been accepted. */
export class OutcomeUnknownError extends BronzebendError {
	override readonly name = 'OutcomeUnknownError';

	constructor() {
		super('outcome-unknown', 'The leader changed before the change was confirmed. Send it again with the same ID.');
	}
}

/** A change of members is not allowed now. */
export class MembershipError extends BronzebendError {
	override readonly name = 'MembershipError';
}
