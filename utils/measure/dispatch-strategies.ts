/** Simulations of three dispatch strategies on the same demand, each with the real dispatch code. */
import {
	createPoolDispatcher, UNLIMITED_RUNNING, weightedMaxMin, type DispatchEvent, type PoolDispatcher,
} from '@bronzebend/core';
import type {RecordedRequest} from './demand.js';
import {createEventQueue, type EventQueue} from './event-queue.js';

/** The pool that is simulated with every strategy. */
export type PoolShape = {
	backends: number;
	slots: number;
	entries: number;
	hopMs: number;
	teams: ReadonlyArray<{team: string; weight: number}>;
	maxWaiting: number;
	deadlineMs: number;
};

/** Result of one strategy. */
export type DispatchResult = {
	waits: Map<string, number[]>;
	refused: Map<string, number>;
	finished: number;
	/** Fraction of the slot time that was busy while the pool was full. */
	utilisation: number;
	/** Largest difference of a team from its exact share, over any window in which the pool was full, relative to that share. */
	worstGap: number;
	/** The same difference as a fraction of the pool's capacity. */
	worstGapOfPool: number;
	fullWindows: number;
};

const WINDOW_MS = 10_000;
const SAMPLE_MS = 10;

type CountByTeam = Map<string, number>;

/** Samples the running requests of each team and compares them with its exact share. */
const createFairnessProbe = (queue: EventQueue, shape: PoolShape, running: CountByTeam, waiting: CountByTeam) => {
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

type SimulationState = {queue: EventQueue; shape: PoolShape; running: CountByTeam; waiting: CountByTeam; waits: Map<string, number[]>; refused: Map<string, number>; requests: Map<string, RecordedRequest>; finished: number};

const addTo = (map: CountByTeam, team: string, by: number): void => {
	map.set(team, (map.get(team) ?? 0) + by);
};

/** Creates a dispatcher for some slots of the pool; a ticket takes `hopMs` to reach its entry. */
const createNode = (simulation: SimulationState, slotsPerBackend: readonly number[], hopMs: number): Node => {
	const {queue, shape} = simulation;
	const dispatcher = createPoolDispatcher({
		pool: 'p', epoch: 1, entries: [], rebuildUntilMs: 0,
	});

	const startWork = (requestId: string, ticketId: string): void => {
		const request = simulation.requests.get(requestId)!;
		const waits = simulation.waits.get(request.team) ?? [];
		waits.push(queue.nowMs() - request.atMs);
		simulation.waits.set(request.team, waits);
		addTo(simulation.waiting, request.team, -1);
		addTo(simulation.running, request.team, 1);
		queue.at(queue.nowMs() + request.runMs, () => {
			addTo(simulation.running, request.team, -1);
			simulation.finished += queue.nowMs() - request.atMs <= shape.deadlineMs + request.runMs ? 1 : 0;
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
				const {team} = simulation.requests.get(effect.requestId)!;
				addTo(simulation.waiting, team, -1);
				addTo(simulation.refused, team, 1);
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

const keepAnnounced = (simulation: SimulationState, nodes: readonly Node[], slotsOf: (node: number) => readonly number[], endMs: number): void => {
	for (let atMs = 500; atMs < endMs; atMs += 1000) {
		simulation.queue.at(atMs, () => {
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

const run = (shape: PoolShape, demand: readonly RecordedRequest[], durationMs: number, build: (simulation: SimulationState, endMs: number) => (request: RecordedRequest, requestId: string) => void): DispatchResult => {
	const queue = createEventQueue();
	const simulation: SimulationState = {
		queue, shape, running: new Map(), waiting: new Map(), waits: new Map(), refused: new Map(), requests: new Map(), finished: 0,
	};
	const probe = createFairnessProbe(queue, shape, simulation.running, simulation.waiting);
	const submit = build(simulation, durationMs);
	for (const [index, request] of demand.entries()) {
		const requestId = `r${index}`;
		simulation.requests.set(requestId, request);
		queue.at(request.atMs, () => {
			addTo(simulation.waiting, request.team, 1);
			submit(request, requestId);
		});
	}

	probe.start(durationMs);
	queue.runUntil(durationMs);
	const {relative, ofPool} = probe.result();
	return {
		waits: simulation.waits, refused: simulation.refused, finished: simulation.finished, utilisation: relative.busy, worstGap: relative.worst, worstGapOfPool: ofPool.worst, fullWindows: relative.windows,
	};
};

const enqueueEvent = (request: RecordedRequest, requestId: string, shape: PoolShape): DispatchEvent => ({
	type: 'enqueue', reportSeq: 1, request: {
		requestId, entry: `e${request.entry}`, team: request.team, queue: 'q', deadlineMs: shape.deadlineMs, tried: [],
	},
});

/** One dispatcher for the pool, one network hop away from the entries. */
export const runPoolDispatcher = (shape: PoolShape, demand: readonly RecordedRequest[], durationMs: number): DispatchResult => run(shape, demand, durationMs, (simulation, endMs) => {
	const slots = Array.from({length: shape.backends}, () => shape.slots);
	const node = createNode(simulation, slots, shape.hopMs);
	keepAnnounced(simulation, [node], () => slots, endMs);
	return (request, requestId) => {
		simulation.queue.at(simulation.queue.nowMs() + shape.hopMs, () => {
			node.send(enqueueEvent(request, requestId, shape));
		});
	};
});

/** Distributes the slots of the pool to the entries round-robin. */
const distributeSlots = (shape: PoolShape): number[][] => {
	const portions = Array.from({length: shape.entries}, () => Array.from({length: shape.backends}, () => 0));
	for (let slot = 0; slot < shape.backends * shape.slots; slot += 1) {
		portions[slot % shape.entries]![Math.floor(slot / shape.slots)]! += 1;
	}

	return portions;
};

/** Each entry dispatches independently with a static portion of the slots. */
export const runEntriesAlone = (shape: PoolShape, demand: readonly RecordedRequest[], durationMs: number): DispatchResult => run(shape, demand, durationMs, (simulation, endMs) => {
	const portions = distributeSlots(shape);
	const nodes = portions.map(portion => createNode(simulation, portion, 0));
	keepAnnounced(simulation, nodes, index => portions[index]!, endMs);
	return (request, requestId) => {
		nodes[request.entry]!.send(enqueueEvent(request, requestId, shape));
	};
});

const TRADE_INTERVAL_MS = 250;

/** Entries hold leased slots; four times a second, idle slots move to entries with waiting requests. */
export const runTradedLeases = (shape: PoolShape, demand: readonly RecordedRequest[], durationMs: number): DispatchResult => run(shape, demand, durationMs, (simulation, endMs) => {
	const portions = distributeSlots(shape);
	const nodes = portions.map(portion => createNode(simulation, portion, 0));
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

	for (let atMs = TRADE_INTERVAL_MS; atMs < endMs; atMs += TRADE_INTERVAL_MS) {
		simulation.queue.at(atMs, trade);
	}

	keepAnnounced(simulation, nodes, index => portions[index]!, endMs);
	return (request, requestId) => {
		nodes[request.entry]!.send(enqueueEvent(request, requestId, shape));
	};
});
