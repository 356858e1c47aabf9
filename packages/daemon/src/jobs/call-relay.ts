/** Relays calls to workers for the leader: takes them in batches, makes them, and sends the results back in batches. */
import {randomUUID} from 'node:crypto';
import {
	unpackCalls,
	type RelayedCall, type RelayedResult, type Clock, type HoldResult, type OrderResult, type WorkerAddress, type WorkerCall,
} from '@bronzebend/core';
import type {ClockReading, PeerMessage} from '@bronzebend/wire';
import type {Log} from '../utils/log.js';
import type {WorkerConnector, WorkerPort} from './ports.js';

/** Time for which results are collected into one message, in milliseconds. */
const RESULT_BATCH_MS = 6;
/** Time without a call after which the connection to a worker is closed, in milliseconds. */
const IDLE_CONNECTION_MS = 20_000;
/** Interval of the check for idle connections, in milliseconds. */
const IDLE_CHECK_INTERVAL_MS = 5000;

/** Options of a call relay. */
export type CallRelayOptions = {
	clock: Clock;
	log: Log;
	connect: WorkerConnector;
	/** False for a life on which no run may start any more, as far as this process knows. */
	mayStart?(life: string): boolean;
	/** Latest term of the group known to this process. */
	term(): number;
	send(to: string, message: PeerMessage): void;
};

/** Makes one call through a port; a start only if `mayStart` does not return false when it is about to be sent. */
export const makeCall = async (port: WorkerPort, call: WorkerCall, mayStart?: () => boolean): Promise<HoldResult | OrderResult> => {
	switch (call.type) {
		case 'hold': {
			return port.hold(call.request);
		}

		case 'start': {
			return port.start(call.order, mayStart);
		}

		case 'stop': {
			return port.stop(call.order);
		}

		case 'pace': {
			return port.pace(call.order);
		}
	}
};

/** The leader whose calls are relayed. */
type Caller = {leader: string; term: number};

/** Creates the call relay of one process. */
export const createCallRelay = ({clock, log, connect, mayStart, term, send}: CallRelayOptions) => {
	const ports = new Map<string, {port: WorkerPort; usedMs: number}>();
	let results: RelayedResult[] = [];
	let caller: Caller | undefined;
	let isDraining = false;
	/** Tells the leader's calls to this process from those to an earlier one at this node. */
	const processId = randomUUID();

	const flush = (): void => {
		if (caller && results.length > 0) {
			sendResults(caller);
		}
	};

	const sendResults = ({leader, term: callTerm}: Caller): void => {
		send(leader, {
			type: 'worker-results', term: callTerm, results, reading: {process: processId, clockMs: clock.monotonicMs()},
		});
		results = [];
	};

	const report = (callTerm: number, result: RelayedResult): void => {
		if (callTerm !== caller?.term) {
			return;
		}

		results.push(result);
		if (results.length === 1) {
			setTimeout(flush, RESULT_BATCH_MS);
		}
	};

	const portOf = (worker: WorkerAddress): WorkerPort => {
		const entry = ports.get(worker.life) ?? {port: connect(worker), usedMs: 0};
		entry.usedMs = clock.monotonicMs();
		ports.set(worker.life, entry);
		return entry.port;
	};

	/** True if calls must not be made any more, or were meant for an earlier process at this node. A process that was paused gets old calls. */
	const isExpired = (sendBy: ClockReading | undefined): boolean => !(sendBy?.process === processId && clock.monotonicMs() <= sendBy.clockMs);

	const relay = async (callTerm: number, {id, worker, call}: RelayedCall): Promise<void> => {
		if (isDraining) {
			report(callTerm, {id, result: {type: 'unknown', cause: 'the keeper is shutting down', isCarrierLost: true}});
			return;
		}

		let result: HoldResult | OrderResult;
		try {
			result = await makeCall(portOf(worker), call, () => mayStart?.(worker.life) !== false);
		} catch (error) {
			result = {type: 'unknown', cause: String(error)};
		}

		report(callTerm, {id, result});
	};

	const timer = setInterval(() => {
		for (const [life, {port, usedMs}] of ports) {
			if (clock.monotonicMs() - usedMs > IDLE_CONNECTION_MS) {
				ports.delete(life);
				port.close();
			}
		}
	}, IDLE_CHECK_INTERVAL_MS);
	timer.unref();

	return {
		/** Takes a batch of calls; a batch from an earlier term is dropped, because that leader may no longer give orders. */
		receive(from: string, message: PeerMessage & {type: 'worker-calls'}): void {
			if (message.term < Math.max(term(), caller?.term ?? 0)) {
				log.warn('Dropped worker calls from an earlier leader.', {leader: from, term: message.term, calls: message.batch.calls.length});
				return;
			}

			if (message.term !== caller?.term) {
				results = [];
				caller = {leader: from, term: message.term};
				log.info('Relaying worker calls for a new leader.', {leader: from, term: message.term});
			}

			const calls = unpackCalls(message.batch);
			if (calls.length === 0) {
				// The leader asks for a reading of this process's clock.
				sendResults(caller);
				return;
			}

			if (isExpired(message.sendBy)) {
				log.warn('Dropped worker calls that arrived too late.', {leader: from, term: message.term, calls: calls.length});
				for (const {id} of calls) {
					report(message.term, {id, result: {type: 'unsent', cause: 'arrived too late at the relaying keeper', isCarrierLost: true}});
				}

				return;
			}

			for (const call of calls) {
				void relay(message.term, call);
			}
		},

		/** Makes no further calls; each one is answered as `isCarrierLost`, so that the leader turns to other keepers. */
		drain(): void {
			isDraining = true;
		},

		close(): void {
			clearInterval(timer);
			for (const {port} of ports.values()) {
				port.close();
			}
		},
	};
};

/** The call relay of one process. */
export type CallRelay = ReturnType<typeof createCallRelay>;
