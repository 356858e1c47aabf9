/** Why a leader takes runs for over that their worker has not listed as ended. */
import type {OrderRejection} from './worker-calls.js';

/** Evidence that runs of a worker are over, or never began and cannot begin any more. */
export type EndProof =
	/** The worker answered a call in another life, or another worker answered at its address. */
	| {type: 'other-life'; call: 'poll' | 'start' | 'stop'; answer: string; relay?: string}
	/** The worker reported a newer life, at an address. */
	| {type: 'newer-life'; newerLife: string; newerAddress: string}
	/** A list of machines that was read after an order to the worker's machine does not show the life. */
	| {type: 'machine-list'; machine: string; order: string; orderAgeMs: number; listedState: string; listedWorker?: string}
	/** The lease has run out on the worker's clock, and no call has extended it since; `cause` is the failure of the last poll. */
	| {type: 'lease-over'; cause: string; silentMs: number; overMs: number; isInherited: boolean}
	/** The worker's complete lists, polled after it took a stop or a newer leader's fencing token, do not show the run. */
	| {type: 'not-listed'; active: number; finished: number}
	/** The worker rejected the start. */
	| {type: 'start-rejected'; reason: OrderRejection; relay?: string}
	/** The start was never written to a connection. */
	| {type: 'start-unsent'; cause: string; relay?: string}
	/** The life's address cannot be used, so no call can have reached it, or the leases of an earlier leader are over. */
	| {type: 'no-connection'; cause: string};

/** Fields of a log line that state a proof. */
export const proofFields = ({type, ...fields}: EndProof): Record<string, string | number | boolean | undefined> => ({proof: type, ...fields});
