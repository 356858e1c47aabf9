/** Runs the dispatchers of the pools that are assigned to this node, each under its lease. */
import {
	createPoolDispatcher,
	type Clock, type DataCentreEvacuation, type DispatchConfiguration, type DispatchEvent, type PoolDispatcher, type PoolDispatchEffect,
} from '@bronzebend/core';
import type {
	DispatchOrder, DispatchReport, DispatchRequest, PeerMessage,
} from '@bronzebend/wire';
import type {View} from '../node/view.js';
import type {Log} from '../utils/log.js';

/** Interval between ticks of each dispatcher, in milliseconds. */
const TICK_MS = 50;

type HostedPool = {
	dispatcher: PoolDispatcher;
	grantsVersion: string;
	leaseUntilMs: number;
	released: boolean;
	promises: Map<string, {amount: number; number: number}>;
	granted: Map<string, number>;
	nextPromise: number;
	/** Evacuations of the view with which the dispatcher was last configured. */
	evacuations: readonly DataCentreEvacuation[];
};

/** Receives every event of the dispatchers, for recordings. */
export type DispatchRecorder = {
	open(event: {atMs: number; pool: string; epoch: number; entries: string[]; rebuildUntilMs: number; leaseEnds: Array<{entry: string; untilMs: number}>}): void;
	dispatch(pool: string, epoch: number, event: DispatchEvent, nowMs: number): void;
};

/** Options of the dispatch host. */
export type DispatchHostOptions = {
	view: View;
	clock: Clock;
	log: Log;
	send(to: string, message: PeerMessage): void;
	record?: DispatchRecorder;
	/** Called when a dispatcher has promised to use less than its grant; the leader should be notified at once. */
	onPromise(): void;
};

/** The dispatchers of one node. */
export type DispatchHost = ReturnType<typeof createDispatchHost>;

/** Returns the configuration of one pool's dispatcher, from the view. */
export const configurationOf = (view: View, pool: string): DispatchConfiguration => {
	const catalogue = view.catalogue();
	const evacuated = view.evacuatedOf(pool);
	return {
		queues: catalogue.list('queue').filter(queue => queue.pool === pool).map(({name, weight, urgent, maxWaiting, maxDeadlineMs}) => ({
			name, weight, urgent, maxWaiting, maxDeadlineMs,
		})),
		weights: catalogue.list('share').filter(share => share.pool === pool).map(({team, weight}) => ({team, weight})),
		maxOut: catalogue.find('pool', pool)?.availability.maxOut ?? 0,
		excluded: view.excludedOf(pool),
		...(evacuated.length > 0 && {evacuated}),
	};
};

/** Creates a host that runs no dispatchers yet. */
export const createDispatchHost = ({view, clock, log, send, record, onPromise}: DispatchHostOptions) => {
	const hosted = new Map<string, HostedPool>();

	const sendEffects = (pool: string, epoch: number, effects: readonly PoolDispatchEffect[]): void => {
		for (const effect of effects) {
			const entry = effect.type === 'ticket' ? effect.ticket.entry : effect.entry;
			send(entry, {
				type: 'dispatch-answer', pool, epoch, answer: effect,
			});
		}
	};

	const handleEvent = (host: HostedPool, event: DispatchEvent): void => {
		const {pool, epoch} = host.dispatcher;
		const nowMs = clock.monotonicMs();
		record?.dispatch(pool, epoch, event, nowMs);
		sendEffects(pool, epoch, host.dispatcher.handle(event, nowMs));
	};

	const configure = (host: HostedPool): void => {
		host.evacuations = view.evacuations();
		handleEvent(host, {type: 'configure', configuration: configurationOf(view, host.dispatcher.pool)});
	};

	const open = (order: DispatchOrder): HostedPool => {
		const {pool, epoch, entries, rebuildMs, leaseEnds} = order;
		const nowMs = clock.monotonicMs();
		const start = {
			pool, epoch, entries, rebuildUntilMs: nowMs + rebuildMs, leaseEnds: leaseEnds.map(({entry, leftMs}) => ({entry, untilMs: nowMs + leftMs})),
		};
		record?.open({...start, atMs: nowMs});
		const dispatcher = createPoolDispatcher(start);
		const host: HostedPool = {
			dispatcher, grantsVersion: '', leaseUntilMs: -Infinity, released: false, promises: new Map(), granted: new Map(), nextPromise: 0, evacuations: view.evacuations(),
		};
		hosted.set(pool, host);
		log.info('Started dispatching a pool.', {pool, epoch});
		configure(host);
		return host;
	};

	const applyGrants = (host: HostedPool, order: DispatchOrder): void => {
		if (!order.grants) {
			return;
		}

		// A grant from before this node's latest promise may be larger than the amount promised.
		const current = order.grants.filter(({team, promise}) => {
			const promised = host.promises.get(team);
			return promised === undefined || (promise?.number ?? 0) >= promised.number;
		});
		for (const {team, amount} of current) {
			host.promises.delete(team);
			host.granted.set(team, amount);
		}

		host.grantsVersion = current.length === order.grants.length ? order.grantsVersion : '';
		handleEvent(host, {type: 'grants', grants: current.map(({team, amount}) => ({team, amount}))});
	};

	const applyShrinks = (host: HostedPool, order: DispatchOrder): void => {
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
			handleEvent(host, {type: 'tick'});
		}
	}, TICK_MS);

	return {
		/** Applies the leader's orders. Their leases run from `sentAtMs`, the time at which the heartbeat was sent. */
		applyOrders(orders: readonly DispatchOrder[], sentAtMs: number): void {
			for (const order of orders) {
				const existing = hosted.get(order.pool);
				if (existing && existing.dispatcher.epoch > order.epoch) {
					continue;
				}

				const host = existing?.dispatcher.epoch === order.epoch ? existing : open(order);
				if (host.released) {
					continue;
				}

				// Orders arrive before the change of the view is announced, and a renewed lease lets waiting requests start.
				if (host.evacuations !== view.evacuations()) {
					configure(host);
				}

				applyGrants(host, order);
				applyShrinks(host, order);
				host.leaseUntilMs = Math.max(host.leaseUntilMs, sentAtMs + order.leaseMs);
				handleEvent(host, {type: 'lease', untilMs: host.leaseUntilMs});
			}
		},

		/** Applies a new version of the view or new assignments. */
		onViewChange(node: string): void {
			for (const [pool, host] of hosted) {
				const assignment = view.assignmentOf(pool);
				const isOurs = assignment === undefined || assignment.epoch < host.dispatcher.epoch || (assignment.node === node && assignment.epoch === host.dispatcher.epoch);
				if (!isOurs) {
					log.info('Stopped dispatching a pool; another node took over.', {pool, epoch: assignment.epoch});
					hosted.delete(pool);
					continue;
				}

				configure(host);
			}
		},

		/** Handles a request that an entry sent to a pool's dispatcher. */
		receive(from: string, pool: string, epoch: number, request: DispatchRequest): void {
			const host = hosted.get(pool);
			if (host?.dispatcher.epoch === epoch && !host.released) {
				handleEvent(host, request);
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

		/** Returns a report of each pool, for the next heartbeat. */
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
					...(view.evacuations().length > 0 && {evacuated: dispatcher.evacuatedUsage()}),
				};
			});
		},

		/** Stops issuing tickets for all pools. The next heartbeat reports this to the leader. */
		releaseAll(): void {
			for (const host of hosted.values()) {
				host.released = true;
				handleEvent(host, {type: 'lease', untilMs: -Infinity});
			}
		},

		/** Returns the requests that still run in each evacuated data centre, for metrics. */
		evacuatedUsage: () => [...hosted.values()].flatMap(({dispatcher}) => dispatcher.evacuatedUsage()),

		/** Returns the usage of each pool by team, for metrics. */
		usage: () => [...hosted.values()].map(({dispatcher}) => ({pool: dispatcher.pool, epoch: dispatcher.epoch, teams: dispatcher.usage()})),

		stop(): void {
			clearInterval(timer);
		},
	};
};
