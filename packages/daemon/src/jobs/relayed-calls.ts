/**
The leader's calls to workers, relayed by the other keepers.

The leader makes the decisions. Each worker's calls go in batches to one keeper that answered
recently, and the results come back in batches. Each call carries its fencing token, attempt and
expiry, so it is safe if it is made late or not at all on the life that it is meant for, and losing a
batch is no worse than losing single calls. A later life of a worker with the same ID would accept it,
so a keeper makes no call that the leader has given up. Without another live keeper the leader calls
the workers itself.
*/
import {
	packCalls,
	type RelayedCall, type RelayedResult, type Clock, type HoldResult, type OrderResult, type UnknownOutcome, type WorkerAddress, type WorkerCall,
} from '@bronzebend/core';
import type {ClockReading, PeerMessage} from '@bronzebend/wire';
import type {Log} from '../utils/log.js';
import {makeCall} from './call-relay.js';
import {createKeeperClocks} from './keeper-clocks.js';
import type {WorkerConnector, WorkerPort} from './ports.js';

/** Time for which calls are collected into one message, in milliseconds. */
const CALL_BATCH_MS = 4;
/** Time limit for a call's result beyond the call's own waits, in milliseconds; longer than the time limit of the relaying keeper. */
const RESULT_TIMEOUT_MS = 900;
/** Time added to that limit for starts, of which hundreds may wait for one worker, in milliseconds. */
const MAX_START_WAIT_MS = 2000;
/** Interval of the check for overdue calls, in milliseconds. */
const CHECK_INTERVAL_MS = 50;
/** Time for which a keeper gets no calls after it failed to return a result, in milliseconds. */
const AVOID_KEEPER_MS = 1000;
/** Time that a new leader waits for the other keepers' clocks before it calls workers itself, in milliseconds. */
const FIRST_READING_TIMEOUT_MS = 150;
/** Workers beyond an even share that a keeper may serve before some are moved to other keepers. */
const MAX_EXCESS_WORKERS = 8;

/** Options of the relayed calls of one term. */
export type RelayedCallsOptions = {
	clock: Clock;
	log: Log;
	term: number;
	/** Connects to a worker from this process, without a relay. */
	direct: WorkerConnector;
	/** Other keepers that answered recently. */
	liveKeepers(): string[];
	send(to: string, message: PeerMessage): void;
};

type Pending = {
	keeper: string;
	/** Time from which the call is lost if its keeper returns no results at all, in milliseconds. */
	dueMs: number;
	/** Time from which the call is lost in any case, in milliseconds. */
	latestMs: number;
	/** False if the start must not be sent any more. */
	mayStart?(): boolean;
	resolve(result: HoldResult | OrderResult): void;
};

/** Calls that are collected for one keeper. */
type Batch = {calls: RelayedCall[]; sendBy: ClockReading | undefined};

const relayLost = (keeper: string): UnknownOutcome => ({type: 'unknown', cause: `no result from ${keeper}`, isCarrierLost: true});

/** Creates the relayed calls of one term. */
export const createRelayedCalls = ({clock, log, term, direct, liveKeepers, send}: RelayedCallsOptions) => {
	const pending = new Map<number, Pending>();
	const batches = new Map<string, Batch>();
	/** The keeper that relays the calls to a worker's life. */
	const keeperByLife = new Map<string, string>();
	const workerCounts = new Map<string, number>();
	const avoidedUntilMs = new Map<string, number>();
	const clocks = createKeeperClocks(clock);
	/** When each keeper last returned results. */
	const heardMs = new Map<string, number>();
	let usable: string[] = [];
	let lastId = 0;
	let startRelaying: () => void = () => undefined;
	/** Resolves when calls can be relayed, or when there is nothing to wait for. */
	const mayBegin = new Promise<void>(resolve => {
		startRelaying = resolve;
	});
	const beginTimer = setTimeout(startRelaying, FIRST_READING_TIMEOUT_MS);

	const avoid = (keeper: string, why: string): void => {
		if (!avoidedUntilMs.has(keeper)) {
			log.warn('Keeper temporarily excluded from relaying worker calls.', {keeper, why, forMs: AVOID_KEEPER_MS});
		}

		avoidedUntilMs.set(keeper, clock.monotonicMs() + AVOID_KEEPER_MS);
		usable = usable.filter(other => other !== keeper);
	};

	/** Resolves calls as lost if their keeper is gone or the result is overdue. */
	const endLostCalls = (live: readonly string[], nowMs: number): void => {
		for (const [id, {keeper, dueMs, latestMs, resolve}] of pending) {
			const isSilent = nowMs - (heardMs.get(keeper) ?? -Infinity) > RESULT_TIMEOUT_MS;
			const isOverdue = nowMs > latestMs || (nowMs > dueMs && isSilent);
			if (isOverdue) {
				avoid(keeper, 'no result in time');
			}

			if (isOverdue || !live.includes(keeper)) {
				pending.delete(id);
				resolve(relayLost(keeper));
			}
		}
	};

	const usableOf = (live: readonly string[]): string[] => live.filter(keeper => clocks.isKnown(keeper) && !avoidedUntilMs.has(keeper));

	const refreshKeepers = (): void => {
		const nowMs = clock.monotonicMs();
		const live = liveKeepers();
		for (const [keeper, untilMs] of avoidedUntilMs) {
			if (nowMs > untilMs) {
				avoidedUntilMs.delete(keeper);
			}
		}

		endLostCalls(live, nowMs);
		usable = usableOf(live);
		for (const keeper of live.filter(each => !clocks.isKnown(each))) {
			// A batch without calls asks for a reading.
			send(keeper, {type: 'worker-calls', term, batch: packCalls([])});
		}

		if (live.length === 0 || usable.length > 0) {
			startRelaying();
		}
	};

	refreshKeepers();
	const timer = setInterval(refreshKeepers, CHECK_INTERVAL_MS);

	const release = (life: string): void => {
		const keeper = keeperByLife.get(life);
		if (keeper !== undefined) {
			keeperByLife.delete(life);
			workerCounts.set(keeper, workerCounts.get(keeper)! - 1);
		}
	};

	/** Returns the keeper that relays a life's calls; it stays the same while it answers and is not far above its even share. */
	const chooseKeeper = (life: string): string | undefined => {
		const current = keeperByLife.get(life);
		const count = (keeper: string): number => workerCounts.get(keeper) ?? 0;
		if (current !== undefined && usable.includes(current) && count(current) <= (keeperByLife.size / usable.length) + MAX_EXCESS_WORKERS) {
			return current;
		}

		release(life);
		const [next] = [...usable].sort((left, right) => count(left) - count(right));
		if (next !== undefined) {
			keeperByLife.set(life, next);
			workerCounts.set(next, count(next) + 1);
		}

		return next;
	};

	const flush = (keeper: string): void => {
		const batch = batches.get(keeper);
		if (!batch) {
			return;
		}

		batches.delete(keeper);
		const calls = batch.calls.filter(({id}) => {
			const call = pending.get(id);
			if (call?.mayStart?.() !== false) {
				return true;
			}

			pending.delete(id);
			call.resolve({type: 'unsent', cause: 'withheld', isCarrierLost: true});
			return false;
		});
		if (calls.length > 0) {
			send(keeper, {
				type: 'worker-calls', term, batch: packCalls(calls), sendBy: batch.sendBy,
			});
		}
	};

	const enqueue = (keeper: string, call: RelayedCall): void => {
		const batch = batches.get(keeper);
		if (batch) {
			batch.calls.push(call);
			return;
		}

		// Taken now, as this process may be paused before the batch leaves.
		const least = clocks.least(keeper);
		batches.set(keeper, {calls: [call], sendBy: least && {...least, clockMs: least.clockMs + RESULT_TIMEOUT_MS}});
		setTimeout(flush, CALL_BATCH_MS, keeper);
	};

	const relay = async (keeper: string, {life, id, bornMs, address}: WorkerAddress, call: WorkerCall, mayStart?: () => boolean): Promise<HoldResult | OrderResult> => new Promise(resolve => {
		lastId += 1;
		const dueMs = clock.monotonicMs() + RESULT_TIMEOUT_MS + (call.type === 'hold' ? call.request.waitMs : 0);
		pending.set(lastId, {
			keeper, resolve, mayStart, dueMs, latestMs: dueMs + (call.type === 'start' ? MAX_START_WAIT_MS : 0),
		});
		enqueue(keeper, {
			id: lastId, call, worker: {
				life, id, bornMs, address,
			},
		});
	});

	return {
		/** Connects to a worker's life, through a relay where there is one. */
		connect(worker: WorkerAddress): WorkerPort {
			const directPort = direct(worker);
			const make = async (call: WorkerCall, mayStart?: () => boolean): Promise<HoldResult | OrderResult> => {
				const madeMs = clock.monotonicMs();
				await mayBegin;
				if (clock.monotonicMs() - madeMs > RESULT_TIMEOUT_MS) {
					return {type: 'unsent', cause: 'waited too long for the clocks of the other keepers', isCarrierLost: true};
				}

				if (usable.length === 0) {
					// Contact may be back since the last check, as after a pause of this process.
					usable = usableOf(liveKeepers());
				}

				const keeper = chooseKeeper(worker.life);
				return keeper === undefined ? makeCall(directPort, call, mayStart) : relay(keeper, worker, call, mayStart);
			};

			return {
				hold: async request => await make({type: 'hold', request}) as HoldResult,
				start: async (order, maySend) => await make({type: 'start', order}, maySend) as OrderResult,
				stop: async order => await make({type: 'stop', order}) as OrderResult,
				pace: async order => await make({type: 'pace', order}) as OrderResult,
				close(): void {
					release(worker.life);
					directPort.close();
				},
			};
		},

		/** Takes results from a relaying keeper; results of calls already resolved have no effect. */
		receive(from: string, results: readonly RelayedResult[], reading: ClockReading): void {
			clocks.read(from, reading);
			heardMs.set(from, clock.monotonicMs());
			if (results.length === 0) {
				refreshKeepers();
			}

			for (const {id, result} of results) {
				const call = pending.get(id);
				pending.delete(id);
				if (call && result.type === 'unknown' && result.isCarrierLost) {
					avoid(call.keeper, result.cause);
				}

				call?.resolve(result.type === 'done' || result.type === 'lists' ? result : {...result, relay: from});
			}
		},

		close(): void {
			clearInterval(timer);
			clearTimeout(beginTimer);
			startRelaying();
			batches.clear();
			for (const {keeper, resolve} of pending.values()) {
				resolve(relayLost(keeper));
			}

			pending.clear();
		},
	};
};

/** The relayed calls of one term. */
export type RelayedCalls = ReturnType<typeof createRelayedCalls>;
