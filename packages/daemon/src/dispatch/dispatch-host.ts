/** Runs the dispatchers of the pools that this node was given, each under its lease. */
import {
	createPoolDispatcher,
	type Clock, type DispatchConfiguration, type DispatchEvent, type PoolDispatcher, type PoolDispatchEffect,
} from '@bronzebend/core';
import type {
	DispatchOrder, DispatchReport, DispatchRequest, PeerMessage,
} from '@bronzebend/wire';
import type {View} from '../node/view.js';
import type {Log} from '../utils/log.js';

/** Pause between two ticks of a dispatcher, in milliseconds. */
const TICK_MS = 50;

type Hosted = {
	dispatcher: PoolDispatcher;
	grantsVersion: string;
	leaseUntilMs: number;
	released: boolean;
	promises: Map<string, {amount: number; number: number}>;
	granted: Map<string, number>;
	nextPromise: number;
};

/** Takes every event of the dispatchers, for recordings. */
export type DispatchRecorder = {
	open(event: {atMs: number; pool: string; epoch: number; entries: string[]; rebuildUntilMs: number; leaseEnds: Array<{entry: string; untilMs: number}>}): void;
	dispatch(pool: string, epoch: number, event: DispatchEvent, nowMs: number): void;
};

/** What a host is made of. */
export type DispatchHostOptions = {
	view: View;
	clock: Clock;
	log: Log;
	send(to: string, message: PeerMessage): void;
	record?: DispatchRecorder;
	/** A portion was given back; the leader should hear of it at once. */
	onPromise(): void;
};

/** The dispatchers of one node. */
export type DispatchHost = ReturnType<typeof createDispatchHost>;

/** The part of a view that concerns one pool's dispatcher. */
export const configurationOf = (view: View, pool: string): DispatchConfiguration => {
	const catalogue = view.catalogue();
	return {
		queues: catalogue.list('queue').filter(queue => queue.pool === pool).map(({name, weight, urgent, maxWaiting, maxDeadlineMs}) => ({
			name, weight, urgent, maxWaiting, maxDeadlineMs,
		})),
		weights: catalogue.list('share').filter(share => share.pool === pool).map(({team, weight}) => ({team, weight})),
		maxOut: catalogue.find('pool', pool)?.availability.maxOut ?? 0,
		excluded: view.excludedOf(pool),
	};
};

/** Creates a host without pools. */
export const createDispatchHost = ({view, clock, log, send, record, onPromise}: DispatchHostOptions) => {
	const hosted = new Map<string, Hosted>();

	const deliver = (pool: string, epoch: number, effects: readonly PoolDispatchEffect[]): void => {
		for (const effect of effects) {
			const entry = effect.type === 'ticket' ? effect.ticket.entry : effect.entry;
			send(entry, {
				type: 'dispatch-answer', pool, epoch, answer: effect,
			});
		}
	};

	const run = (host: Hosted, event: DispatchEvent): void => {
		const {pool, epoch} = host.dispatcher;
		const nowMs = clock.monotonicMs();
		record?.dispatch(pool, epoch, event, nowMs);
		deliver(pool, epoch, host.dispatcher.handle(event, nowMs));
	};

	const open = (order: DispatchOrder): Hosted => {
		const {pool, epoch, entries, rebuildMs, leaseEnds} = order;
		const nowMs = clock.monotonicMs();
		const start = {
			pool, epoch, entries, rebuildUntilMs: nowMs + rebuildMs, leaseEnds: leaseEnds.map(({entry, leftMs}) => ({entry, untilMs: nowMs + leftMs})),
		};
		record?.open({...start, atMs: nowMs});
		const dispatcher = createPoolDispatcher(start);
		const host: Hosted = {
			dispatcher, grantsVersion: '', leaseUntilMs: -Infinity, released: false, promises: new Map(), granted: new Map(), nextPromise: 0,
		};
		hosted.set(pool, host);
		log.info('Dispatching a pool.', {pool, epoch});
		run(host, {type: 'configure', configuration: configurationOf(view, pool)});
		return host;
	};

	const takeGrants = (host: Hosted, order: DispatchOrder): void => {
		if (!order.grants) {
			return;
		}

		// A grant older than our own promise may be larger than what we promised.
		const current = order.grants.filter(({team, promise}) => {
			const promised = host.promises.get(team);
			return promised === undefined || (promise?.number ?? 0) >= promised.number;
		});
		for (const {team, amount} of current) {
			host.promises.delete(team);
			host.granted.set(team, amount);
		}

		host.grantsVersion = current.length === order.grants.length ? order.grantsVersion : '';
		run(host, {type: 'grants', grants: current.map(({team, amount}) => ({team, amount}))});
	};

	const takeShrinks = (host: Hosted, order: DispatchOrder): void => {
		host.dispatcher.endHolds(new Set(order.shrinks.map(({team}) => team)));
		for (const {team, target} of order.shrinks) {
			const granted = host.granted.get(team) ?? 0;
			if (host.promises.has(team) || target >= granted) {
				continue;
			}

			const amount = host.dispatcher.shrink(team, target);
			if (amount < granted) {
				host.nextPromise += 1;
				host.promises.set(team, {amount, number: host.nextPromise});
				setImmediate(onPromise);
			}
		}
	};

	const timer = setInterval(() => {
		for (const host of hosted.values()) {
			run(host, {type: 'tick'});
		}
	}, TICK_MS);

	return {
		/** Takes the leader's orders, which count from the heartbeat's time of sending. */
		takeOrders(orders: readonly DispatchOrder[], sentAtMs: number): void {
			for (const order of orders) {
				const existing = hosted.get(order.pool);
				if (existing && existing.dispatcher.epoch > order.epoch) {
					continue;
				}

				const host = existing?.dispatcher.epoch === order.epoch ? existing : open(order);
				if (host.released) {
					continue;
				}

				takeGrants(host, order);
				takeShrinks(host, order);
				host.leaseUntilMs = Math.max(host.leaseUntilMs, sentAtMs + order.leaseMs);
				run(host, {type: 'lease', untilMs: host.leaseUntilMs});
			}
		},

		/** Takes the view's new version, or new assignments. */
		onViewChange(node: string): void {
			for (const [pool, host] of hosted) {
				const assignment = view.assignmentOf(pool);
				const isOurs = assignment === undefined || assignment.epoch < host.dispatcher.epoch || (assignment.node === node && assignment.epoch === host.dispatcher.epoch);
				if (!isOurs) {
					log.info('Another node dispatches the pool now.', {pool, epoch: assignment.epoch});
					hosted.delete(pool);
					continue;
				}

				run(host, {type: 'configure', configuration: configurationOf(view, pool)});
			}
		},

		/** Takes an entry's request for a pool. */
		receive(from: string, pool: string, epoch: number, request: DispatchRequest): void {
			const host = hosted.get(pool);
			if (host?.dispatcher.epoch === epoch && !host.released) {
				run(host, request);
				return;
			}

			if (request.type === 'enqueue') {
				send(from, {
					type: 'dispatch-answer',
					pool,
					epoch,
					answer: {
						type: 'refusal', entry: from, requestId: request.request.requestId, reason: 'dispatcher-moved', retryAfterMs: 0,
					},
				});
			}
		},

		/** What the next heartbeat tells of each pool. */
		reports(): DispatchReport[] {
			const nowMs = clock.monotonicMs();
			return [...hosted.values()].map(host => {
				const {dispatcher} = host;
				const health = dispatcher.health(nowMs);
				return {
					pool: dispatcher.pool,
					epoch: dispatcher.epoch,
					released: host.released,
					demands: dispatcher.usage().filter(({running, waiting}) => running + waiting > 0).map(({team, running, waiting}) => ({team, running, waiting})),
					promises: [...host.promises].map(([team, {amount, number}]) => ({team, amount, number})),
					drained: view.excludedOf(dispatcher.pool).filter(instance => dispatcher.isDrained(instance, nowMs)),
					ready: view.excludedOf(dispatcher.pool).filter(instance => dispatcher.isReady(instance, nowMs)),
					known: health.known,
					out: health.out,
					slots: health.slots,
					live: health.live,
					grantsVersion: host.grantsVersion,
				};
			});
		},

		/** Gives no more tickets; the leader learns so by the next heartbeat. */
		releaseAll(): void {
			for (const host of hosted.values()) {
				host.released = true;
				run(host, {type: 'lease', untilMs: -Infinity});
			}
		},

		/** Usage by pool, for metrics and pages. */
		usage: () => [...hosted.values()].map(({dispatcher}) => ({pool: dispatcher.pool, epoch: dispatcher.epoch, teams: dispatcher.usage()})),

		stop(): void {
			clearInterval(timer);
		},
	};
};
