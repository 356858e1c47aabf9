/** Calls to workers and their outcomes, for calls made directly or relayed by another process. */
import type {WorkerLife} from './job-commands.js';
import type {WorkerLists} from './worker-track.js';

/** Reason why a worker rejected an order; a rejected order certainly had no effect. */
export type OrderRejection = 'fenced' | 'superseded' | 'late' | 'no-room' | 'no-ticket' | 'unhealthy' | 'invalid';

/** An outcome that another keeper may have obtained for the leader. */
export type Relayed = {
	/** The keeper that relayed the call; undefined if the leader made it itself. */
	relay?: string;
};

/** An unknown outcome: the call may have taken effect, or may still do so. */
export type UnknownOutcome = {
	type: 'unknown';
	cause: string;
	/** The process that was to relay the call did not answer, which implies nothing about the worker. */
	isCarrierLost?: boolean;
} & Relayed;

/**
The call was never written to a connection and never will be, so it certainly has no effect. This
proves nothing about the worker: a refused connection may come from the network between.
*/
export type UnsentOutcome = {
	type: 'unsent';
	cause: string;
	/** The process that was to make the call did not in time, which implies nothing about the worker. */
	isCarrierLost?: boolean;
} & Relayed;

/** The addressed life is over: another one, or another worker, gave this answer. */
export type GoneOutcome = {type: 'gone'; answer: string} & Relayed;

/** Outcome of an order to a worker. */
export type OrderResult =
	| {type: 'done'}
	| ({type: 'rejected'; reason: OrderRejection} & Relayed)
	| GoneOutcome
	| UnsentOutcome
	| UnknownOutcome;

/** Outcome of polling a worker's lists. */
export type HoldResult =
	| {
		type: 'lists';
		lists: WorkerLists;
		/** The poll renewed and acknowledged nothing, as the life had not named itself on the connection before. */
		isPlain?: boolean;
	}
	| GoneOutcome
	| UnsentOutcome
	| UnknownOutcome;

/** Polls a worker's lists: renews the lease if `expiresMs` is given, acknowledges ended runs up to `ackSeq`, and waits up to `waitMs` milliseconds for a run to end. The first poll on a connection renews and acknowledges nothing. */
export type HoldRequest = {expiresMs?: number; fence: number; ackSeq: number; waitMs: number};

/** An order to start a run. */
export type StartOrder = {unit: string; attempt: number; spec: string; expiresMs: number; fence: number; checkpoint: string; ticket?: string};

/** An order to stop a run. */
export type StopOrder = {unit: string; attempt: number; fence: number};

/** An order to run at a share of full speed, in percent. */
export type PaceCall = {unit: string; attempt: number; share: number; fence: number};

/** The parts of a worker's life that are needed to call it. */
export type WorkerAddress = Pick<WorkerLife, 'life' | 'id' | 'bornMs' | 'address'>;

/** A call to a worker. */
export type WorkerCall =
	| {type: 'hold'; request: HoldRequest}
	| {type: 'start'; order: StartOrder}
	| {type: 'stop'; order: StopOrder}
	| {type: 'pace'; order: PaceCall};

/** A call that another process relays for the leader. */
export type RelayedCall = {id: number; worker: WorkerAddress; call: WorkerCall};

/** A batch of calls to relay. Each distinct spec is listed once in `specs`; a start's `spec` is its index there. */
export type CallBatch = {specs: string[]; calls: Array<{id: number; worker: WorkerAddress; call: Exclude<WorkerCall, {type: 'start'}> | {type: 'start'; order: Omit<StartOrder, 'spec'> & {spec: number}}}>};

/** Packs calls into a batch. */
export const packCalls = (calls: readonly RelayedCall[]): CallBatch => {
	const indexes = new Map<string, number>();
	const indexOfSpec = (spec: string): number => {
		const index = indexes.get(spec) ?? indexes.size;
		indexes.set(spec, index);
		return index;
	};

	const packed = calls.map(({id, worker, call}) => ({
		id, worker, call: call.type === 'start' ? {...call, order: {...call.order, spec: indexOfSpec(call.order.spec)}} : call,
	}));
	return {specs: [...indexes.keys()], calls: packed};
};

/** Unpacks the calls of a batch. */
export const unpackCalls = ({specs, calls}: CallBatch): RelayedCall[] => calls.map(({id, worker, call}) => ({
	id, worker, call: call.type === 'start' ? {...call, order: {...call.order, spec: specs[call.order.spec]!}} : call,
}));

/** Outcome of a relayed call. */
export type RelayedResult = {id: number; result: HoldResult | OrderResult};
