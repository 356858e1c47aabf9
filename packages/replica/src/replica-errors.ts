/** Why a proposal to a replica failed. */
import {BronzebendError} from '@bronzebend/core';

/** This replica does not lead; `leader` is the node that may. */
export class NotLeaderError extends BronzebendError {
	override readonly name = 'NotLeaderError';

	constructor(readonly leader: string | undefined) {
		super('not-leader', 'Cannot accept the change here: this keeper does not lead. Ask the leader.', {leader});
	}
}

/** Leadership ended before the change was known to be accepted; it may or may not be. */
export class OutcomeUnknownError extends BronzebendError {
	override readonly name = 'OutcomeUnknownError';

	constructor() {
		super('outcome-unknown', 'The leader changed before the change was confirmed. Send it again with the same ID.');
	}
}
