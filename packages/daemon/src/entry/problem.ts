/** Refusals of requests as problem details (RFC 9457). */
import {refusalReasons, type RefusalReason} from '@bronzebend/core';

/** Whether the request may have run at a backend server. */
export const executions = {notRun: 'not-run', unknown: 'unknown'} as const;
/** Whether the request may have run at a backend server. */
export type Execution = (typeof executions)[keyof typeof executions];

/** Base of the stable `type` URIs. */
export const PROBLEM_BASE = 'urn:bronzebend:problem:';

/** Problem details of a refusal. `retryAfterMs` goes into the `retry-after` header field. */
export type Problem = {
	type: string;
	title: string;
	status: number;
	detail: string;
	execution: Execution;
	retryAfterMs?: number;
};

const problem = (type: string, status: number, title: string, detail: string, execution: Execution = executions.notRun): Problem => ({
	type: `${PROBLEM_BASE}${type}`, title, status, detail, execution,
});

/** Refusals by the entry itself. */
export const problems = {
	unknownQueue: problem('unknown-queue', 404, 'No such queue', 'No queue has this path below its prefix. Check the path against the published queues.'),
	missingKey: problem('missing-key', 401, 'Key needed', 'Send "authorization: Bearer KEY" with a key of your team.'),
	wrongKey: problem('wrong-key', 401, 'Key refused', 'The key is unknown or was withdrawn. Ask your operator for a new one.'),
	wrongTeam: problem('wrong-team', 403, 'Queue closed to this team', 'The key belongs to a team that this queue does not serve.'),
	staleView: problem('stale-view', 503, 'Cannot check keys now', 'This entry has lost contact with the keepers. Try again; another entry may answer.'),
	badFraming: problem('bad-request', 400, 'Request refused', 'The request is malformed or its framing is ambiguous.'),
	headTooLarge: problem('head-too-large', 431, 'Head too large', 'The request head is larger than this entry accepts.'),
	bodyTooLarge: problem('body-too-large', 413, 'Body too large', 'The body is larger than the queue accepts.'),
	badHeader: problem('bad-header', 400, 'Header refused', 'A bronzebend header has a value that it does not allow.'),
	expectation: problem('expectation-failed', 417, 'Expectation refused', 'Only "expect: 100-continue" is understood.'),
	upgrade: problem('upgrade-refused', 501, 'Upgrade refused', 'This entry does not switch protocols.'),
	claimUnavailable: problem('claim-unavailable', 503, 'Cannot claim the request now', 'The keepers did not confirm the idempotency key in time. Send the request again with the same key.'),
	keyReused: problem('idempotency-key-reused', 422, 'Idempotency key reused', 'This idempotency key was used for another request. Use a new one for each request.'),
	outcomeUnknown: problem('outcome-unknown', 409, 'Outcome unknown, not run again', 'An earlier send of this request started and its outcome is not known. It is not run again.', executions.unknown),
	answerNotKept: problem('answer-not-kept', 409, 'Answered before, not run again', 'An earlier send was answered; that answer was too large to keep. It is not run again.', executions.unknown),
	unreachable: problem('backend-unreachable', 503, 'No backend server reached', 'No backend server could be reached; none received the request.'),
	backendCut: problem('backend-cut', 502, 'Backend server lost', 'The backend server was lost before it answered. The request may have run.', executions.unknown),
	backendTimeout: problem('deadline-exceeded', 504, 'Deadline passed', 'No answer came before the deadline. The request may have run.', executions.unknown),
} as const;

const refusalTitles: Readonly<Record<RefusalReason, {status: number; title: string; detail: string}>> = {
	[refusalReasons.queueFull]: {status: 429, title: 'Queue full', detail: 'Too many requests of your team wait already.'},
	[refusalReasons.wouldMissDeadline]: {status: 503, title: 'Deadline cannot be met', detail: 'The request could not start before its deadline at the present load.'},
	[refusalReasons.deadlinePassed]: {status: 503, title: 'Deadline passed while waiting', detail: 'No place came free before the deadline.'},
	[refusalReasons.unknownQueue]: {status: 404, title: 'No such queue', detail: 'The queue is not published any more.'},
	[refusalReasons.noDispatcher]: {status: 503, title: 'No dispatcher', detail: 'No node dispatches this pool yet.'},
	[refusalReasons.dispatcherMoved]: {status: 503, title: 'Dispatcher moved', detail: 'The pool is changing its dispatcher.'},
};

/** Returns the problem details for a dispatcher's refusal. */
export const problemOfRefusal = (reason: RefusalReason, retryAfterMs: number, execution: Execution): Problem => ({
	type: `${PROBLEM_BASE}${reason}`,
	...refusalTitles[reason],
	execution,
	...(reason === refusalReasons.unknownQueue ? {} : {retryAfterMs}),
});
