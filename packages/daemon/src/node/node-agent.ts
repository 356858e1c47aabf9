/** A node's tie to the leader: heartbeats, view, calls. */
import {BronzebendError, type Clock} from '@bronzebend/core';
import type {
	CallResult, DispatchOrder, DispatchReport, HeartbeatReply, LeaderCall, NodeAddress, PeerMessage,
} from '@bronzebend/wire';
import {NODE_HEARTBEAT_MS} from '../leader/timings.js';
import type {Log} from '../utils/log.js';
import {createView} from './view.js';

/** Silence after which another keeper is asked, in milliseconds. */
const LEADER_SILENCE_MS = 700;
/** Default time for a call, in milliseconds. */
const CALL_TIMEOUT_MS = 5000;

/** A call to the leader failed in a way that the leader named. */
export class CallFailedError extends BronzebendError {
	override readonly name = 'CallFailedError';
}

/** No answer to a call came in time; it may have been carried out. */
export class CallTimeoutError extends BronzebendError {
	override readonly name = 'CallTimeoutError';

	constructor() {
		super('no-leader', 'No leader answered in time. What was asked may have been done; ask again with the same ID.');
	}
}

/** What an agent is made of. */
export type NodeAgentOptions = {
	address(): NodeAddress;
	run: string;
	isEntry: boolean;
	keepers: readonly string[];
	clock: Clock;
	log: Log;
	send(to: string, message: PeerMessage): void;
	/** Reports of the pools that this node dispatches. */
	dispatchReports(): DispatchReport[];
	onOrders(orders: DispatchOrder[], sentAtMs: number): void;
	onChange(change: {view: boolean; cluster: boolean}): void;
};

type PendingCall = {resolve(result: CallResult): void; timer: NodeJS.Timeout};

/** A node's tie to the leader. */
export type NodeAgent = ReturnType<typeof createNodeAgent>;

/** Creates the tie; it does nothing before `start`. */
export const createNodeAgent = (options: NodeAgentOptions) => {
	const {clock, keepers, log} = options;
	const view = createView();
	const calls = new Map<number, PendingCall>();
	let target = 0;
	let leader: string | undefined;
	let seq = 0;
	let callId = 0;
	let answeredAtMs = clock.monotonicMs();
	let draining = false;
	let timer: NodeJS.Timeout | undefined;
	let isConnected = false;

	const upstream = (): string => leader ?? keepers[target % keepers.length]!;

	const beat = (): void => {
		seq += 1;
		options.send(upstream(), {
			type: 'heartbeat',
			seq,
			sentAtMs: clock.monotonicMs(),
			run: options.run,
			address: options.address(),
			isEntry: options.isEntry,
			draining,
			viewVersion: view.version(),
			clusterVersion: view.clusterVersion(),
			dispatch: options.dispatchReports(),
		});
	};

	const tick = (): void => {
		if (clock.monotonicMs() - answeredAtMs > LEADER_SILENCE_MS) {
			if (isConnected) {
				log.warn('Leader is silent; asking other keepers.', {leader: upstream()});
			}

			isConnected = false;
			leader = undefined;
			target += 1;
		}

		beat();
	};

	const onReply = (from: string, reply: HeartbeatReply): void => {
		answeredAtMs = clock.monotonicMs();
		if (!isConnected) {
			log.info('Leader found.', {leader: from, version: reply.viewVersion});
		}

		isConnected = true;
		leader = from;
		const change = view.take(reply);
		if (!change) {
			return;
		}

		options.onOrders(reply.dispatch, reply.sentAtMs);
		if (change.view || change.cluster) {
			options.onChange(change);
		}

		if (change.view) {
			// Tells the leader at once what is in force here.
			beat();
		}
	};

	const callOnce = async (call: LeaderCall, timeoutMs: number): Promise<CallResult | undefined> => new Promise(resolve => {
		callId += 1;
		const id = callId;
		const callTimer = setTimeout(() => {
			calls.delete(id);
			resolve(undefined);
		}, timeoutMs);
		calls.set(id, {resolve, timer: callTimer});
		options.send(upstream(), {type: 'call', id, call});
	});

	const pause = async (milliseconds: number): Promise<void> => new Promise(resolve => {
		setTimeout(resolve, milliseconds);
	});

	return {
		view,
		leader: () => leader,
		isConnected: () => isConnected,

		start(): void {
			timer = setInterval(tick, NODE_HEARTBEAT_MS);
			beat();
		},

		/** Tells the leader at once what has changed here. */
		beatNow: beat,

		/** From now on the leader gives this node no pools and takes those it has. */
		drain(): void {
			draining = true;
			beat();
		},

		/** Takes a message; returns false where it is not for the agent. */
		receive(from: string, message: PeerMessage): boolean {
			switch (message.type) {
				case 'heartbeat-reply': {
					onReply(from, message);
					return true;
				}

				case 'not-leader': {
					if (message.leader !== undefined && message.leader !== leader) {
						leader = message.leader;
						beat();
					}

					return true;
				}

				case 'poke': {
					beat();
					return true;
				}

				case 'call-reply': {
					const pending = calls.get(message.id);
					if (pending) {
						clearTimeout(pending.timer);
						calls.delete(message.id);
						pending.resolve(message.result);
					}

					return true;
				}

				default: {
					return false;
				}
			}
		},

		/**
		Asks the leader, and asks again where leadership moves. Only idempotent calls may be asked.

		@throws {CallFailedError} The leader refused, with its code.
		@throws {CallTimeoutError} No leader answered in time.
		*/
		async call(call: LeaderCall, {timeoutMs = CALL_TIMEOUT_MS, attemptMs = 1000}: {timeoutMs?: number; attemptMs?: number} = {}): Promise<unknown> {
			const endsAtMs = clock.monotonicMs() + timeoutMs;
			for (;;) {
				const leftMs = endsAtMs - clock.monotonicMs();
				if (leftMs <= 0) {
					throw new CallTimeoutError();
				}

				// Each attempt waits for the one before it.
				// eslint-disable-next-line no-await-in-loop
				const result = await callOnce(call, Math.min(attemptMs, leftMs));
				if (result?.type === 'value') {
					return result.value;
				}

				if (result && result.code !== 'not-leader' && result.code !== 'outcome-unknown') {
					throw new CallFailedError(result.code, result.message, result.details);
				}

				// eslint-disable-next-line no-await-in-loop
				await pause(Math.min(50, Math.max(0, endsAtMs - clock.monotonicMs())));
			}
		},

		stop(): void {
			clearInterval(timer);
			for (const {timer: callTimer, resolve} of calls.values()) {
				clearTimeout(callTimer);
				resolve({
					type: 'failure', code: 'stopped', message: 'This process stops.', details: {},
				});
			}

			calls.clear();
		},
	};
};
