/** Relays calls to workers for the leader: takes them in batches, makes them, and sends the results back in batches. */
import {
	unpackCalls,
	type RelayedCall, type RelayedResult, type Clock, type HoldResult, type OrderResult, type WorkerAddress, type WorkerCall,
} from '@bronzebend/core';
import type {PeerMessage} from '@bronzebend/wire';
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
	/** Latest term of the group known to this process. */
	term(): number;
	send(to: string, message: PeerMessage): void;
};

/** Makes one call through a port. */
export const makeCall = async (port: WorkerPort, call: WorkerCall): Promise<HoldResult | OrderResult> => {
	switch (call.type) {
		case 'hold': {
			return port.hold(call.request);
		}

		case 'start': {
			return port.start(call.order);
		}

		case 'stop': {
			return port.stop(call.order);
		}

		case 'pace': {
			return port.pace(call.order);
		}
	}
};

/** Creates the call relay of one process. */
export const createCallRelay = ({clock, log, connect, term, send}: CallRelayOptions) => {
	const ports = new Map<string, {port: WorkerPort; usedMs: number}>();
	let results: RelayedResult[] = [];
	let caller: {leader: string; term: number} | undefined;
	let isDraining = false;

	const flush = (): void => {
		if (caller && results.length > 0) {
			send(caller.leader, {type: 'worker-results', term: caller.term, results});
		}

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

	const relay = async (callTerm: number, {id, worker, call}: RelayedCall): Promise<void> => {
		if (isDraining) {
			report(callTerm, {id, result: {type: 'unknown', cause: 'the keeper is shutting down', isCarrierLost: true}});
			return;
		}

		let result: HoldResult | OrderResult;
		try {
			result = await makeCall(portOf(worker), call);
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

			for (const call of unpackCalls(message.batch)) {
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
