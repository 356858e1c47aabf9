/** Memory and processor time per object, node, change and request. */
import process from 'node:process';
import {performance} from 'node:perf_hooks';
import {
	createClaims, createControlState, createPoolDispatcher, type Declaration, type DispatchEvent, type PublishCommand,
} from '@bronzebend/core';
import {createClusterCoordinator, createView} from '@bronzebend/daemon';
import {encodeBytes} from '@bronzebend/replica';
import {createFrameWriter, type Heartbeat} from '@bronzebend/wire';
import {largeFleet} from './capacity.js';
import type {Figure} from './table.js';

const section = 'slopes';
const TEAMS = 65;
const NODES = 60;
const BACKENDS = 55;
const HEARTBEATS_PER_SECOND = 2;
const TICKS_PER_SECOND = 10;

const heapMb = (): number => {
	globalThis.gc?.();
	return process.memoryUsage().heapUsed / 1_048_576;
};

const timeOf = (count: number, run: (index: number) => void): number => {
	const startedAtMs = performance.now();
	for (let index = 0; index < count; index += 1) {
		run(index);
	}

	return (performance.now() - startedAtMs) * 1000 / count;
};

const teamName = (index: number): string => `team-${index}`;

const largeDeclarations = (): Declaration[] => [
	...largeFleet(),
	...Array.from({length: TEAMS}, (_, index): Declaration => ({kind: 'team', name: teamName(index)})),
	...Array.from({length: TEAMS}, (_, index): Declaration => ({
		kind: 'limit', name: `limit-${index}`, team: teamName(index), running: 500,
	})),
	...Array.from({length: 68}, (_, index): Declaration => ({
		kind: 'queue', name: `queue-${index + 1}`, pool: `pool-${index + 1}`, prefix: `/q${index + 1}`, access: {type: 'teams', teams: Array.from({length: TEAMS}, (__, team) => teamName(team))}, weight: 1, urgent: false, maxWaiting: 1000, defaultDeadlineMs: 30_000, maxDeadlineMs: 300_000, maxBodyBytes: 1_000_000,
	})),
];

const measureDispatcher = (): Figure[] => {
	const dispatcher = createPoolDispatcher({
		pool: 'p', epoch: 1, entries: [], rebuildUntilMs: 0,
	});
	let nowMs = 0;
	const tickets: string[] = [];
	const send = (event: DispatchEvent): void => {
		for (const effect of dispatcher.handle(event, nowMs)) {
			if (effect.type === 'ticket') {
				tickets.push(effect.ticket.ticketId);
			}
		}
	};

	send({
		type: 'configure', configuration: {
			queues: [{
				name: 'q', weight: 1, urgent: false, maxWaiting: 100_000, maxDeadlineMs: 60_000,
			}], weights: [], maxOut: 3, excluded: [],
		},
	});
	send({type: 'grants', grants: Array.from({length: TEAMS}, (_, index) => ({team: teamName(index), amount: 500}))});
	send({type: 'lease', untilMs: Infinity});
	for (let index = 0; index < BACKENDS; index += 1) {
		send({
			type: 'announce', announcement: {
				instance: `i${index}`, service: 's', address: 'http://x', dataCentre: 'd', rack: 'r', slots: 8, connections: 64, healthy: true, leaving: false, inFlight: [],
			},
		});
	}

	const enqueue = (index: number): void => {
		send({
			type: 'enqueue', reportSeq: 1, request: {
				requestId: `r${index}`, entry: `n${index % 9}`, team: teamName(index % TEAMS), queue: 'q', deadlineMs: 1e9, tried: [],
			},
		});
	};

	const heapBefore = heapMb();
	const waiting = 20_000;
	for (let index = 0; index < waiting; index += 1) {
		enqueue(index);
	}

	const bytesPerWaiting = (heapMb() - heapBefore) * 1_048_576 / waiting;
	const rounds = 5000;
	const microseconds = timeOf(rounds, index => {
		nowMs += 0.2;
		send({
			type: 'release', ticketId: tickets[index]!, outcome: 'ok', ranMs: 20,
		});
		enqueue(waiting + index);
	});
	return [
		{
			section, name: `dispatcher, full pool of ${BACKENDS} instances and ${TEAMS} teams: processor time a request`, unit: 'µs', ours: microseconds,
		},
		{
			section, name: 'dispatcher: heap of a waiting request', unit: 'B', ours: bytesPerWaiting,
		},
	];
};

const measureClaims = (): Figure[] => {
	const claims = createClaims();
	const count = 50_000;
	const before = heapMb();
	const microseconds = timeOf(count, index => {
		claims.claim({
			type: 'claim', claimId: `${String(index).padStart(64, '0')}`, requestDigest: 'd'.repeat(64), attemptId: `a${index}`, atMs: index,
		});
	});
	const bytes = (heapMb() - before) * 1_048_576 / claims.size();
	return [
		{
			section, name: 'claim: heap of one without a kept body', unit: 'B', ours: bytes,
		}, {
			section, name: 'claim: processor time of applying one', unit: 'µs', ours: microseconds,
		},
	];
};

const heartbeatOf = (node: number, seq: number, version: number, pools: readonly string[], epoch: number): Heartbeat => ({
	type: 'heartbeat', seq, sentAtMs: seq, run: `run-${node}`, address: {
		node: `n${node}`, host: '10.0.0.1', port: 7850, dataCentre: `dc-${node % 27}`, region: `r${node % 7}`,
	}, isEntry: true, draining: false, viewVersion: version, clusterVersion: '', dispatch: pools.map(pool => ({
		pool, epoch, released: false, demands: Array.from({length: TEAMS}, (_, team) => ({team: teamName(team), running: 5, waiting: 3})), promises: [], drained: [], out: [], known: [], ready: [], slots: 400, live: 50, grantsVersion: '',
	})),
});

const measureLeader = (): Figure[] => {
	const before = heapMb();
	const state = createControlState();
	const command: PublishCommand = {
		type: 'publish', publicationId: 'p', base: 0, contentDigest: 'd', delta: {upserts: largeDeclarations(), removals: []}, author: 'x', atMs: 0,
	};
	state.apply(command);
	const coordinator = createClusterCoordinator({state, leadership: 'l', startedAtMs: 0});
	const commit = (nowMs: number): void => {
		for (const planned of coordinator.tick(nowMs)) {
			state.apply(planned);
			coordinator.onApplied(planned);
			coordinator.onProposalEnded(planned, nowMs);
		}
	};

	for (let node = 0; node < NODES; node += 1) {
		coordinator.heartbeat(heartbeatOf(node, 1, 0, [], 0), 1);
	}

	commit(10);
	const poolsOf = (node: number): string[] => state.assignments.list().filter(assignment => assignment.node === `n${node}`).map(assignment => assignment.pool);
	let seq = 1;
	const beatAll = (): void => {
		seq += 1;
		for (let node = 0; node < NODES; node += 1) {
			coordinator.heartbeat(heartbeatOf(node, seq, 1, poolsOf(node), 1), 10 + seq);
		}
	};

	beatAll();
	commit(20);
	const perRound = timeOf(20, beatAll);
	const perTick = timeOf(20, index => {
		commit(100 + index);
	});
	const heap = heapMb() - before;
	const perSecondMs = ((perRound * HEARTBEATS_PER_SECOND) + (perTick * TICKS_PER_SECOND)) / 1000;
	const writer = createFrameWriter();
	writer.encode(heartbeatOf(0, 1, 1, [], 1));
	const idleBytes = writer.encode(heartbeatOf(0, 2, 1, [], 1)).length;
	writer.encode(heartbeatOf(0, 3, 1, ['pool-1'], 1));
	const busyBytes = writer.encode(heartbeatOf(0, 4, 1, ['pool-1'], 1)).length;
	const fullView = encodeBytes(state.publications.updateSince(0)).length;
	const startedAtMs = performance.now();
	const snapshotBytes = encodeBytes(state.snapshot()).length;
	const snapshotMs = performance.now() - startedAtMs;
	return [
		{
			section, name: `leader, ${NODES} nodes, 69 pools, ${TEAMS} teams with demand everywhere: processor time of a round of heartbeats`, unit: 'µs', ours: perRound,
		},
		{
			section, name: 'leader: processor time of a tick', unit: 'µs', ours: perTick,
		},
		{
			section, name: 'leader: processor of heartbeats and ticks, without sockets and planning', unit: '% of a core', ours: perSecondMs / 10,
		},
		{
			section, name: 'leader: heap of state and desk', unit: 'MB', ours: heap,
		},
		{
			section, name: 'heartbeat of a node without pools, after the first', unit: 'B', ours: idleBytes,
		},
		{
			section, name: `heartbeat of a node with one pool and ${TEAMS} busy teams, after the first`, unit: 'B', ours: busyBytes,
		},
		{
			section, name: 'full view', unit: 'B', ours: fullView,
		},
		{
			section, name: 'snapshot of the state', unit: 'B', ours: snapshotBytes,
		},
		{
			section, name: 'snapshot: time to make it', unit: 'ms', ours: snapshotMs,
		},
	];
};

const measureView = (): Figure[] => {
	const declarations = largeDeclarations();
	const before = heapMb();
	const view = createView();
	const reply = (seq: number, update: NonNullable<Parameters<typeof view.applyReply>[0]['view']>): void => {
		view.applyReply({
			type: 'heartbeat-reply', seq, sentAtMs: seq, leaseMs: 1000, viewVersion: update.to, view: update, dispatch: [],
		});
	};

	reply(1, {
		type: 'full', to: 1, declarations: structuredClone(declarations), withdrawn: [],
	});
	const heap = heapMb() - before;
	const microseconds = timeOf(200, index => {
		reply(index + 2, {
			type: 'delta', from: index + 1, to: index + 2, delta: {upserts: [declarations[index]!], removals: []}, withdrawn: [],
		});
	});
	const delta = encodeBytes({
		type: 'delta', from: 1, to: 2, delta: {upserts: [declarations[100]!], removals: []}, withdrawn: [],
	}).length;
	return [
		{
			section, name: `view of ${declarations.length} objects at a node: heap`, unit: 'MB', ours: heap,
		}, {
			section, name: 'view: processor time of one change at a node', unit: 'µs', ours: microseconds,
		}, {
			section, name: 'delta of one changed object', unit: 'B', ours: delta,
		},
	];
};

/** Measures the cost per object, node, change and request. */
export const measureSlopes = async (): Promise<Figure[]> => [...measureDispatcher(), ...measureClaims(), ...measureView(), ...measureLeader()];
