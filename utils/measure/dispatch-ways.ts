/** Three ways of dispatch on the same demand, each driven by the pure decisions. */
import {
	createPoolDispatcher, UNLIMITED_RUNNING, weightedMaxMin, type DispatchEvent, type PoolDispatcher,
} from '@bronzebend/core';
import type {DemandedRequest} from './demand.js';
import {createEventQueue, type EventQueue} from './event-queue.js';

/** The pool that all ways dispatch. */
export type PoolShape = {
	backends: number;
	slots: number;
	entries: number;
	hopMs: number;
	teams: ReadonlyArray<{team: string; weight: number}>;
	maxWaiting: number;
	deadlineMs: number;
};

/** What one way made of the demand. */
export type DispatchResult = {
	waits: Map<string, number[]>;
	refused: Map<string, number>;
	finished: number;
	/** Slot-milliseconds that were busy, of those that were there, while the pool was full. */
	utilisation: number;
	/** Largest gap of a team to its exact share over any window in which the pool was full, relative to that share. */
	worstGap: number;
	/** The same gap as a part of the pool. */
	worstGapOfPool: number;
	fullWindows: number;
};

const WINDOW_MS = 10_000;
const SAMPLE_MS = 10;

type Running = Map<string, number>;

/** Compares what teams have with their exact shares, sample by sample. */
const createFairnessProbe = (queue: EventQueue, shape: PoolShape, running: Running, waiting: Running) => {
	const capacity = shape.backends * shape.slots;
	type Sample = {full: boolean; busy: number; have: number[]; share: number[]};
	const samples: Sample[] = [];

	const sample = (): void => {
		const have = shape.teams.map(({team}) => running.get(team) ?? 0);
		const demand = shape.teams.map(({team, weight}, index) => ({weight, demand: have[index]! + (waiting.get(team) ?? 0)}));
		const total = demand.reduce((sum, item) => sum + item.demand, 0);
		samples.push({
			full: total >= capacity, busy: have.reduce((sum, value) => sum + value, 0), have, share: weightedMaxMin(capacity, demand),
		});
	};

	const worstOf = (relative: boolean): {worst: number; windows: number; busy: number} => {
		const perWindow = WINDOW_MS / SAMPLE_MS;
		let worst = 0;
		let windows = 0;
		let busy = 0;
		for (let start = 0; start + perWindow <= samples.length; start += perWindow / 10) {
			const window = samples.slice(start, start + perWindow);
			if (!window.every(item => item.full)) {
				continue;
			}

			windows += 1;
			busy += window.reduce((sum, item) => sum + item.busy, 0) / perWindow / capacity;
			for (const index of shape.teams.keys()) {
				const have = window.reduce((sum, item) => sum + item.have[index]!, 0) / perWindow;
				const share = window.reduce((sum, item) => sum + item.share[index]!, 0) / perWindow;
				const gap = Math.abs(have - share) / (relative ? Math.max(share, 1) : capacity);
				worst = Math.max(worst, gap);
			}
		}

		return {worst, windows, busy: windows === 0 ? 0 : busy / windows};
	};

	return {
		start(endMs: number): void {
			for (let atMs = 0; atMs <= endMs; atMs += SAMPLE_MS) {
				queue.at(atMs, sample);
			}
		},
		result: () => ({relative: worstOf(true), ofPool: worstOf(false)}),
	};
};

type Node = {dispatcher: PoolDispatcher; send(event: DispatchEvent): void};

type Bookkeeping = {queue: EventQueue; shape: PoolShape; running: Running; waiting: Running; waits: Map<string, number[]>; refused: Map<string, number>; requests: Map<string, DemandedRequest>; finished: number};

const bump = (map: Running, team: string, by: number): void => {
	map.set(team, (map.get(team) ?? 0) + by);
};

/** A dispatcher of some slots of the pool, whose tickets take `hopMs` to their entry. */
const createNode = (book: Bookkeeping, slotsPerBackend: readonly number[], hopMs: number): Node => {
	const {queue, shape} = book;
	const dispatcher = createPoolDispatcher({
		pool: 'p', epoch: 1, entries: [], rebuildUntilMs: 0,
	});

	const startWork = (requestId: string, ticketId: string): void => {
		const request = book.requests.get(requestId)!;
		const waits = book.waits.get(request.team) ?? [];
		waits.push(queue.nowMs() - request.atMs);
		book.waits.set(request.team, waits);
		bump(book.waiting, request.team, -1);
		bump(book.running, request.team, 1);
		queue.at(queue.nowMs() + request.runMs, () => {
			bump(book.running, request.team, -1);
			book.finished += queue.nowMs() - request.atMs <= shape.deadlineMs + request.runMs ? 1 : 0;
			queue.at(queue.nowMs() + hopMs, () => {
				send({
					type: 'release', ticketId, outcome: 'ok', ranMs: request.runMs,
				});
			});
		});
	};

	const send = (event: DispatchEvent): void => {
		for (const effect of dispatcher.handle(event, queue.nowMs())) {
			if (effect.type === 'ticket') {
				queue.at(queue.nowMs() + hopMs, () => {
					startWork(effect.ticket.requestId, effect.ticket.ticketId);
				});
			} else if (effect.type === 'refusal') {
				const {team} = book.requests.get(effect.requestId)!;
				bump(book.waiting, team, -1);
				bump(book.refused, team, 1);
			}
		}
	};

	send({
		type: 'configure', configuration: {
			queues: [{
				name: 'q', weight: 1, urgent: false, maxWaiting: shape.maxWaiting, maxDeadlineMs: 3_600_000,
			}], weights: shape.teams.map(({team, weight}) => ({team, weight})), maxOut: 1, excluded: [],
		},
	});
	send({type: 'grants', grants: shape.teams.map(({team}) => ({team, amount: UNLIMITED_RUNNING}))});
	send({type: 'lease', untilMs: Infinity});
	for (const [index, slots] of slotsPerBackend.entries()) {
		if (slots > 0) {
			send({
				type: 'announce', announcement: {
					instance: `i${index}`, service: 's', address: 'http://x', dataCentre: 'd', rack: `r${index}`, slots, connections: 1000, healthy: true, leaving: false, inFlight: [],
				},
			});
		}
	}

	return {dispatcher, send};
};

const keepAnnounced = (book: Bookkeeping, nodes: readonly Node[], slotsOf: (node: number) => readonly number[], endMs: number): void => {
	for (let atMs = 500; atMs < endMs; atMs += 1000) {
		book.queue.at(atMs, () => {
			for (const [index, node] of nodes.entries()) {
				for (const [backend, slots] of slotsOf(index).entries()) {
					node.send({
						type: 'announce', announcement: {
							instance: `i${backend}`, service: 's', address: 'http://x', dataCentre: 'd', rack: `r${backend}`, slots, connections: 1000, healthy: slots > 0, leaving: false, inFlight: [],
						},
					});
				}
			}
		});
	}
};

const run = (shape: PoolShape, demand: readonly DemandedRequest[], durationMs: number, build: (book: Bookkeeping, endMs: number) => (request: DemandedRequest, requestId: string) => void): DispatchResult => {
	const queue = createEventQueue();
	const book: Bookkeeping = {
		queue, shape, running: new Map(), waiting: new Map(), waits: new Map(), refused: new Map(), requests: new Map(), finished: 0,
	};
	const probe = createFairnessProbe(queue, shape, book.running, book.waiting);
	const submit = build(book, durationMs);
	for (const [index, request] of demand.entries()) {
		const requestId = `r${index}`;
		book.requests.set(requestId, request);
		queue.at(request.atMs, () => {
			bump(book.waiting, request.team, 1);
			submit(request, requestId);
		});
	}

	probe.start(durationMs);
	queue.runUntil(durationMs);
	const {relative, ofPool} = probe.result();
	return {
		waits: book.waits, refused: book.refused, finished: book.finished, utilisation: relative.busy, worstGap: relative.worst, worstGapOfPool: ofPool.worst, fullWindows: relative.windows,
	};
};

const enqueueEvent = (request: DemandedRequest, requestId: string, shape: PoolShape): DispatchEvent => ({
	type: 'enqueue', reportSeq: 1, request: {
		requestId, entry: `e${request.entry}`, team: request.team, queue: 'q', deadlineMs: shape.deadlineMs, tried: [],
	},
});

/** One dispatcher for the pool, a hop away from the entries. */
export const runPoolDispatcher = (shape: PoolShape, demand: readonly DemandedRequest[], durationMs: number): DispatchResult => run(shape, demand, durationMs, (book, endMs) => {
	const slots = Array.from({length: shape.backends}, () => shape.slots);
	const node = createNode(book, slots, shape.hopMs);
	keepAnnounced(book, [node], () => slots, endMs);
	return (request, requestId) => {
		book.queue.at(book.queue.nowMs() + shape.hopMs, () => {
			node.send(enqueueEvent(request, requestId, shape));
		});
	};
});

/** Slots of the pool dealt out to entries, one after another. */
const dealSlots = (shape: PoolShape): number[][] => {
	const portions = Array.from({length: shape.entries}, () => Array.from({length: shape.backends}, () => 0));
	for (let slot = 0; slot < shape.backends * shape.slots; slot += 1) {
		portions[slot % shape.entries]![Math.floor(slot / shape.slots)]! += 1;
	}

	return portions;
};

/** Each entry decides alone with a static portion of the slots. */
export const runEntriesAlone = (shape: PoolShape, demand: readonly DemandedRequest[], durationMs: number): DispatchResult => run(shape, demand, durationMs, (book, endMs) => {
	const portions = dealSlots(shape);
	const nodes = portions.map(portion => createNode(book, portion, 0));
	keepAnnounced(book, nodes, index => portions[index]!, endMs);
	return (request, requestId) => {
		nodes[request.entry]!.send(enqueueEvent(request, requestId, shape));
	};
});

const TRADE_MS = 250;

/** Entries hold leased slots; four times a second idle ones go to entries where work waits. */
export const runTradedLeases = (shape: PoolShape, demand: readonly DemandedRequest[], durationMs: number): DispatchResult => run(shape, demand, durationMs, (book, endMs) => {
	const portions = dealSlots(shape);
	const nodes = portions.map(portion => createNode(book, portion, 0));
	const waitingAt = (index: number): number => nodes[index]!.dispatcher.usage().reduce((sum, usage) => sum + usage.waiting, 0);
	const runningAt = (index: number, backend: number): number => nodes[index]!.dispatcher.backends().find(item => item.instance === `i${backend}`)?.running.size ?? 0;
	const announceSlots = (index: number): void => {
		for (const [backend, slots] of portions[index]!.entries()) {
			nodes[index]!.send({
				type: 'announce', announcement: {
					instance: `i${backend}`, service: 's', address: 'http://x', dataCentre: 'd', rack: `r${backend}`, slots, connections: 1000, healthy: slots > 0, leaving: false, inFlight: [],
				},
			});
		}
	};

	const trade = (): void => {
		const order = nodes.map((_, index) => index).sort((left, right) => waitingAt(right) - waitingAt(left));
		for (const taker of order.filter(index => waitingAt(index) > 0)) {
			for (const giver of order.filter(index => waitingAt(index) === 0)) {
				for (const backend of portions[giver]!.keys()) {
					const idle = portions[giver]![backend]! - runningAt(giver, backend);
					if (idle > 0 && waitingAt(taker) > 0) {
						portions[giver]![backend]! -= 1;
						portions[taker]![backend]! += 1;
						announceSlots(giver);
						announceSlots(taker);
					}
				}
			}
		}
	};

	for (let atMs = TRADE_MS; atMs < endMs; atMs += TRADE_MS) {
		book.queue.at(atMs, trade);
	}

	keepAnnounced(book, nodes, index => portions[index]!, endMs);
	return (request, requestId) => {
		nodes[request.entry]!.send(enqueueEvent(request, requestId, shape));
	};
});
