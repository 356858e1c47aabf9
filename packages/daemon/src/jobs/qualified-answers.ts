/** What the answer to a repeated call says about all attempts made for it. */
import {UnreachableError, type JobAnswer, type JobCall} from '@bronzebend/core';

/** Retry delay given with an unknown outcome if the answer names none, in milliseconds. */
const DEFAULT_RETRY_MS = 500;

/** True if a call changes the state of the group. */
const hasEffect = (call: JobCall): boolean => {
	switch (call.type) {
		case 'submit':
		case 'cancel':
		case 'publish':
		case 'start-wave':
		case 'evacuate':
		case 'end-evacuation':
		case 'announce':
		case 'leave': {
			return true;
		}

		case 'look':
		case 'read-manifest':
		case 'wave-state': {
			return false;
		}

		default: {
			throw new UnreachableError(call);
		}
	}
};

const outcomeUnknown = (retryAfterMs = DEFAULT_RETRY_MS): JobAnswer => ({
	type: 'unavailable', reason: 'outcome-unknown', mayHaveRun: true, retryAfterMs,
});

/**
Returns the answer to give after an earlier attempt of the call got no answer.

That attempt may have taken effect, and what the call is checked against, such as the manifest, may have changed
since. So a refusal of the last attempt does not hold for the call.
*/
export const qualifyAnswer = (call: JobCall, answer: JobAnswer): JobAnswer => {
	switch (answer.type) {
		case 'rejected':
		case 'unavailable': {
			return outcomeUnknown(answer.retryAfterMs);
		}

		case 'unknown-queue':
		case 'unknown-key':
		case 'bad-path':
		case 'unknown-data-centre':
		case 'last-data-centre': {
			return hasEffect(call) ? outcomeUnknown() : answer;
		}

		// Jobs stay known for minutes after their end, so no attempt found one.
		case 'no-job':
		case 'no-wave':
		case 'accepted':
		case 'cancelled':
		case 'published':
		case 'noted':
		case 'state':
		case 'pending':
		case 'manifest':
		case 'wave':
		case 'evacuation': {
			return answer;
		}

		default: {
			throw new UnreachableError(answer);
		}
	}
};
