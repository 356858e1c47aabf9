/** Calls to workers and what comes of them, whichever process makes them. */
import type {WorkerLife} from './job-commands.js';
import type {WorkerLists} from './worker-track.js';

/** Why a worker did not take an order; it certainly did nothing. */
export type OrderRejection = 'fenced' | 'superseded' | 'late' | 'no-room' | 'no-ticket' | 'unhealthy' | 'invalid';

/** An outcome that nobody knows: the call may have been carried out, or may still be. */
export type UnknownOutcome = {
	type: 'unknown';
	cause: string;
	/** The process that was to make the call gave no answer, which says nothing of the worker. */
	isCarrierLost?: boolean;
};

/** What became of an order to a worker. */
export type OrderResult =
	| {type: 'done'}
	| {type: 'rejected'; reason: OrderRejection}
	/** This life is over. */
	| {type: 'gone'}
	| UnknownOutcome;

/** What became of a look at a worker's lists. */
export type HoldResult =
	| {type: 'lists'; lists: WorkerLists}
	| {type: 'gone'}
	| UnknownOutcome;

/** A look at a worker's lists: renews the lease where `expiresMs` is given, forgets ends up to `ackSeq`, waits for an end. */
export type HoldRequest = {expiresMs?: number; fence: number; ackSeq: number; waitMs: number};

/** An order to start a run. */
export type StartOrder = {unit: string; attempt: number; spec: string; expiresMs: number; fence: number; checkpoint: string; ticket?: string};

/** An order to stop a run. */
export type StopOrder = {unit: string; attempt: number; fence: number};

/** An order to let a run work at a share of its speed, in percent. */
export type PaceCall = {unit: string; attempt: number; share: number; fence: number};

/** What a call to a life of a worker needs to know of it. */
export type WorkerAddress = Pick<WorkerLife, 'life' | 'id' | 'bornMs' | 'address'>;

/** One call to a worker. */
export type WorkerCall =
	| {type: 'hold'; request: HoldRequest}
	| {type: 'start'; order: StartOrder}
	| {type: 'stop'; order: StopOrder}
	| {type: 'pace'; order: PaceCall};

/** A call that another process makes for the leader. */
export type CarriedCall = {id: number; worker: WorkerAddress; call: WorkerCall};

/** Calls that go to another process together; the specs of starts are told once, at the place that a start's `spec` names. */
export type CallBatch = {specs: string[]; calls: Array<{id: number; worker: WorkerAddress; call: Exclude<WorkerCall, {type: 'start'}> | {type: 'start'; order: Omit<StartOrder, 'spec'> & {spec: number}}}>};

/** Puts calls into a batch. */
export const packCalls = (calls: readonly CarriedCall[]): CallBatch => {
	const places = new Map<string, number>();
	const placeOf = (spec: string): number => {
		const place = places.get(spec) ?? places.size;
		places.set(spec, place);
		return place;
	};

	const packed = calls.map(({id, worker, call}) => ({
		id, worker, call: call.type === 'start' ? {...call, order: {...call.order, spec: placeOf(call.order.spec)}} : call,
	}));
	return {specs: [...places.keys()], calls: packed};
};

/** The calls of a batch. */
export const unpackCalls = ({specs, calls}: CallBatch): CarriedCall[] => calls.map(({id, worker, call}) => ({
	id, worker, call: call.type === 'start' ? {...call, order: {...call.order, spec: specs[call.order.spec]!}} : call,
}));

/** What became of a carried call. */
export type CarriedResult = {id: number; result: HoldResult | OrderResult};
