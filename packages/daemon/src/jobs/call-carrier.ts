/** Makes calls to workers for the leader, which sends them in batches, and sends back what came of them. */
import {
	unpackCalls,
	type CarriedCall, type CarriedResult, type Clock, type HoldResult, type OrderResult, type WorkerAddress, type WorkerCall,
} from '@bronzebend/core';
import type {PeerMessage} from '@bronzebend/wire';
import type {Log} from '../utils/log.js';
import type {WorkerConnector, WorkerPort} from './ports.js';

/** Time in which results gather before they are sent together, in milliseconds. */
const GATHER_MS = 6;
/** Time without a call after which the connections to a worker are closed, in milliseconds. */
const UNUSED_MS = 20_000;
/** Pause between two looks for unused connections, in milliseconds. */
const SWEEP_MS = 5000;

/** What a carrier is made of. */
export type CallCarrierOptions = {
	clock: Clock;
	log: Log;
	connect: WorkerConnector;
	/** Latest term of the group that this process knows. */
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

/** Creates the carrier of one process. */
export const createCallCarrier = ({clock, log, connect, term, send}: CallCarrierOptions) => {
	const ports = new Map<string, {port: WorkerPort; usedMs: number}>();
	let results: CarriedResult[] = [];
	let addressee: {leader: string; term: number} | undefined;
	let isDraining = false;

	const flush = (): void => {
		if (addressee && results.length > 0) {
			send(addressee.leader, {type: 'worker-results', term: addressee.term, results});
		}

		results = [];
	};

	const report = (callTerm: number, result: CarriedResult): void => {
		if (callTerm !== addressee?.term) {
			return;
		}

		results.push(result);
		if (results.length === 1) {
			setTimeout(flush, GATHER_MS);
		}
	};

	const portOf = (worker: WorkerAddress): WorkerPort => {
		const entry = ports.get(worker.life) ?? {port: connect(worker), usedMs: 0};
		entry.usedMs = clock.monotonicMs();
		ports.set(worker.life, entry);
		return entry.port;
	};

	const carry = async (callTerm: number, {id, worker, call}: CarriedCall): Promise<void> => {
		if (isDraining) {
			report(callTerm, {id, result: {type: 'unknown', cause: 'the keeper stops', isCarrierLost: true}});
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
			if (clock.monotonicMs() - usedMs > UNUSED_MS) {
				ports.delete(life);
				port.close();
			}
		}
	}, SWEEP_MS);
	timer.unref();

	return {
		/** Takes a batch; one of a term that is over is dropped, as its leader must give no orders. */
		receive(from: string, message: PeerMessage & {type: 'worker-calls'}): void {
			if (message.term < Math.max(term(), addressee?.term ?? 0)) {
				log.warn('Dropped calls of an earlier leader.', {leader: from, term: message.term, calls: message.batch.calls.length});
				return;
			}

			if (message.term !== addressee?.term) {
				results = [];
				addressee = {leader: from, term: message.term};
				log.info('Making calls for the leader.', {leader: from, term: message.term});
			}

			for (const call of unpackCalls(message.batch)) {
				void carry(message.term, call);
			}
		},

		/** Makes no further calls; the leader hears of it with the next one and turns to other keepers. */
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

/** The carrier of one process. */
export type CallCarrier = ReturnType<typeof createCallCarrier>;
