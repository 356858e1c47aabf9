/** A node's connection to the leader: heartbeats, view, calls. */
import {randomInt} from 'node:crypto';
import {BronzebendError, type Clock} from '@bronzebend/core';
import type {
	CallResult, DispatchOrder, DispatchReport, HeartbeatReply, LeaderCall, NodeAddress, PeerMessage,
} from '@bronzebend/wire';
import {NODE_HEARTBEAT_INTERVAL_MS} from '../leader/timings.js';
import type {Log} from '../utils/log.js';
import {createView} from './view.js';

/** Time without a reply after which heartbeats go to another keeper, in milliseconds. */
const LEADER_TIMEOUT_MS = 700;
/** Default time limit of a call, over all its attempts, in milliseconds. */
const CALL_TIMEOUT_MS = 5000;

/** The leader answered a call with an error; carries the leader's code and message. */
export class CallFailedError extends BronzebendError {
	override readonly name = 'CallFailedError';
}

/** No leader answered a call in time. The call may have been carried out. */
export class CallTimeoutError extends BronzebendError {
	override readonly name = 'CallTimeoutError';

	constructor() {
		super('no-leader', 'No leader answered the call in time. It may have been carried out; send it again with the same ID.');
	}
}

/** Options of the agent. */
export type NodeAgentOptions = {
	address(): NodeAddress;
	run: string;
	isEntry: boolean;
	keepers: readonly string[];
	clock: Clock;
	log: Log;
	send(to: string, message: PeerMessage): void;
	/** Returns reports of the pools that this node dispatches. */
	dispatchReports(): DispatchReport[];
	onOrders(orders: DispatchOrder[], sentAtMs: number): void;
	onChange(change: {view: boolean; cluster: boolean}): void;
};

/** Upper limit of the ID of the first call; leaves enough IDs for the calls of any process. */
const MAX_FIRST_CALL_ID = 2 ** 47;

type PendingCall = {resolve(result: CallResult): void; timer: NodeJS.Timeout};

/** A node's connection to the leader. */
export type NodeAgent = ReturnType<typeof createNodeAgent>;

/** Creates the agent. It sends nothing before `start`. */
export const createNodeAgent = (options: NodeAgentOptions) => {
	const {clock, keepers, log} = options;
	const view = createView();
	const calls = new Map<number, PendingCall>();
	let keeperIndex = 0;
	let leader: string | undefined;
	/** Address of the leader that a keeper named last, if it is in none of the keeper's settings. */
	let toldAddress: {node: string; host: string; port: number} | undefined;
	let seq = 0;
	// A late answer to the process before this one on the same address must not match a call of this one.
	let callId = randomInt(MAX_FIRST_CALL_ID);
	let lastReplyAtMs = clock.monotonicMs();
	let draining = false;
	let timer: NodeJS.Timeout | undefined;
	let isConnected = false;

	const upstream = (): string => leader ?? keepers[keeperIndex % keepers.length]!;

	const sendHeartbeat = (): void => {
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
		if (clock.monotonicMs() - lastReplyAtMs > LEADER_TIMEOUT_MS) {
			if (isConnected) {
				log.warn('No reply from the leader; trying other keepers.', {leader: upstream()});
			}

			isConnected = false;
			leader = undefined;
			keeperIndex += 1;
		}

		sendHeartbeat();
	};

	const onReply = (from: string, reply: HeartbeatReply): void => {
		lastReplyAtMs = clock.monotonicMs();
		if (!isConnected) {
			log.info('Connected to the leader.', {leader: from, version: reply.viewVersion});
		}

		isConnected = true;
		leader = from;
		const change = view.applyReply(reply);
		if (!change) {
			return;
		}

		options.onOrders(reply.dispatch, reply.sentAtMs);
		if (change.view || change.cluster) {
			options.onChange(change);
		}

		if (change.view) {
			// Report the version now in force on this node without waiting for the next heartbeat.
			sendHeartbeat();
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
		/** Returns the address of a node that a keeper named as the leader last; undefined for all others. */
		toldAddressOf: (node: string): {host: string; port: number} | undefined => (toldAddress?.node === node ? {host: toldAddress.host, port: toldAddress.port} : undefined),

		start(): void {
			timer = setInterval(tick, NODE_HEARTBEAT_INTERVAL_MS);
			sendHeartbeat();
		},

		/** Sends a heartbeat at once, so that the leader learns of a change on this node. */
		sendHeartbeatNow: sendHeartbeat,

		/** Marks this node as draining. The leader then assigns it no further pools, and reassigns those that it has released. */
		drain(): void {
			draining = true;
			sendHeartbeat();
		},

		/** Handles a message. Returns false if it is not for the agent. */
		receive(from: string, message: PeerMessage): boolean {
			switch (message.type) {
				case 'heartbeat-reply': {
					onReply(from, message);
					return true;
				}

				case 'not-leader': {
					if (message.leader !== undefined && message.leader !== leader) {
						leader = message.leader;
						sendHeartbeat();
					}

					return true;
				}

				case 'node-address': {
					toldAddress = {node: message.node, host: message.host, port: message.port};
					return true;
				}

				case 'poke': {
					sendHeartbeat();
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
		Calls the leader, and repeats the call if leadership moves or no answer comes. The call must be idempotent.

		@param options.timeoutMs Time limit over all attempts, in milliseconds.
		@param options.attemptMs Time limit of each attempt, in milliseconds.
		@throws {CallFailedError} The leader answered with an error.
		@throws {CallTimeoutError} No leader answered in time.
		*/
		async call(call: LeaderCall, {timeoutMs = CALL_TIMEOUT_MS, attemptMs = 1000}: {timeoutMs?: number; attemptMs?: number} = {}): Promise<unknown> {
			const endsAtMs = clock.monotonicMs() + timeoutMs;
			for (;;) {
				const leftMs = endsAtMs - clock.monotonicMs();
				if (leftMs <= 0) {
					throw new CallTimeoutError();
				}

				// Attempts run one after another.
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
					type: 'failure', code: 'stopped', message: 'The process is stopping; the call was abandoned.', details: {},
				});
			}

			calls.clear();
		},
	};
};
