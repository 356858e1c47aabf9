/**
The leader's calls to workers, made by the other keepers in its place.

The leader decides; each worker's calls go in batches to one keeper that was heard lately, and their
results come back in batches. A call says all that makes it safe to be late or lost (token, attempt,
end of validity), so that a lost batch is the same as a lost call. Without another keeper the leader
calls by itself.
*/
import {
	packCalls,
	type CarriedCall, type CarriedResult, type Clock, type HoldResult, type OrderResult, type UnknownOutcome, type WorkerAddress, type WorkerCall,
} from '@bronzebend/core';
import type {PeerMessage} from '@bronzebend/wire';
import type {Log} from '../utils/log.js';
import {makeCall} from './call-carrier.js';
import type {WorkerConnector, WorkerPort} from './ports.js';

/** Time in which calls gather before they are sent together, in milliseconds. */
const GATHER_MS = 4;
/** Time for a call and its result beyond the call's own waiting, in milliseconds; longer than the call's time limit at the carrier. */
const CALL_MS = 900;
/** Pause between two looks for calls without a result, in milliseconds. */
const WATCH_MS = 50;
/** Time for which a keeper that left a call without a result gets no more, in milliseconds. */
const AVOID_MS = 1000;
/** Workers beyond an even share that a keeper may have before some are given to others. */
const UNEVEN_WORKERS = 8;

/** What the calls of one term are made with. */
export type CarriedCallsOptions = {
	clock: Clock;
	log: Log;
	term: number;
	/** Calls made by this process itself. */
	direct: WorkerConnector;
	/** Other keepers that answered lately. */
	liveKeepers(): string[];
	send(to: string, message: PeerMessage): void;
};

type Pending = {keeper: string; dueMs: number; resolve(result: HoldResult | OrderResult): void};

const lost = (keeper: string): UnknownOutcome => ({type: 'unknown', cause: `no result from ${keeper}`, isCarrierLost: true});

/** Creates the calls of one term. */
export const createCarriedCalls = ({clock, log, term, direct, liveKeepers, send}: CarriedCallsOptions) => {
	const pending = new Map<number, Pending>();
	const batches = new Map<string, CarriedCall[]>();
	/** The keeper that makes the calls of a life. */
	const keeperOf = new Map<string, string>();
	const workersOf = new Map<string, number>();
	const avoidedUntilMs = new Map<string, number>();
	let usable: string[] = [];
	let lastId = 0;

	const avoid = (keeper: string, why: string): void => {
		if (!avoidedUntilMs.has(keeper)) {
			log.warn('A keeper gets no calls for a while.', {keeper, why, forMs: AVOID_MS});
		}

		avoidedUntilMs.set(keeper, clock.monotonicMs() + AVOID_MS);
		usable = usable.filter(other => other !== keeper);
	};

	/** Ends calls whose keeper is gone or late. */
	const endLostCalls = (live: readonly string[], nowMs: number): void => {
		for (const [id, {keeper, dueMs, resolve}] of pending) {
			const isOverdue = nowMs > dueMs;
			if (isOverdue) {
				avoid(keeper, 'calls without a result');
			}

			if (isOverdue || !live.includes(keeper)) {
				pending.delete(id);
				resolve(lost(keeper));
			}
		}
	};

	const refreshKeepers = (): void => {
		const nowMs = clock.monotonicMs();
		const live = liveKeepers();
		for (const [keeper, untilMs] of avoidedUntilMs) {
			if (nowMs > untilMs) {
				avoidedUntilMs.delete(keeper);
			}
		}

		endLostCalls(live, nowMs);
		usable = live.filter(keeper => !avoidedUntilMs.has(keeper));
	};

	refreshKeepers();
	const timer = setInterval(refreshKeepers, WATCH_MS);

	const release = (life: string): void => {
		const keeper = keeperOf.get(life);
		if (keeper !== undefined) {
			keeperOf.delete(life);
			workersOf.set(keeper, workersOf.get(keeper)! - 1);
		}
	};

	/** The keeper that makes a life's calls; it stays the same while it answers and has its even share. */
	const chooseKeeper = (life: string): string | undefined => {
		const current = keeperOf.get(life);
		const count = (keeper: string): number => workersOf.get(keeper) ?? 0;
		if (current !== undefined && usable.includes(current) && count(current) <= (keeperOf.size / usable.length) + UNEVEN_WORKERS) {
			return current;
		}

		release(life);
		const [next] = [...usable].sort((left, right) => count(left) - count(right));
		if (next !== undefined) {
			keeperOf.set(life, next);
			workersOf.set(next, count(next) + 1);
		}

		return next;
	};

	const flush = (keeper: string): void => {
		const calls = batches.get(keeper)!;
		batches.delete(keeper);
		send(keeper, {type: 'worker-calls', term, batch: packCalls(calls)});
	};

	const enqueue = (keeper: string, call: CarriedCall): void => {
		const batch = batches.get(keeper);
		if (batch) {
			batch.push(call);
			return;
		}

		batches.set(keeper, [call]);
		setTimeout(flush, GATHER_MS, keeper);
	};

	const carry = async (keeper: string, {life, id, bornMs, address}: WorkerAddress, call: WorkerCall): Promise<HoldResult | OrderResult> => new Promise(resolve => {
		lastId += 1;
		pending.set(lastId, {
			keeper, resolve, dueMs: clock.monotonicMs() + CALL_MS + (call.type === 'hold' ? call.request.waitMs : 0),
		});
		enqueue(keeper, {
			id: lastId, call, worker: {
				life, id, bornMs, address,
			},
		});
	});

	return {
		/** Opens calls to a life. */
		connect(worker: WorkerAddress): WorkerPort {
			const own = direct(worker);
			const make = async (call: WorkerCall): Promise<HoldResult | OrderResult> => {
				const keeper = chooseKeeper(worker.life);
				return keeper === undefined ? makeCall(own, call) : carry(keeper, worker, call);
			};

			return {
				hold: async request => await make({type: 'hold', request}) as HoldResult,
				start: async order => await make({type: 'start', order}) as OrderResult,
				stop: async order => await make({type: 'stop', order}) as OrderResult,
				pace: async order => await make({type: 'pace', order}) as OrderResult,
				close(): void {
					release(worker.life);
					own.close();
				},
			};
		},

		/** Takes results; late ones have no effect. */
		receive(results: readonly CarriedResult[]): void {
			for (const {id, result} of results) {
				const call = pending.get(id);
				pending.delete(id);
				if (call && result.type === 'unknown' && result.isCarrierLost) {
					avoid(call.keeper, result.cause);
				}

				call?.resolve(result);
			}
		},

		close(): void {
			clearInterval(timer);
			for (const {keeper, resolve} of pending.values()) {
				resolve(lost(keeper));
			}

			pending.clear();
		},
	};
};

/** The leader's calls to workers in one term. */
export type CarriedCalls = ReturnType<typeof createCarriedCalls>;
