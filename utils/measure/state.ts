/** The durable state with real processes and real disk syncs: publications, fan-out and cost of a node. */
import process from 'node:process';
import {performance} from 'node:perf_hooks';
import {
	type Declaration, type PublishOutcome, createControlState, type PublishCommand,
} from '@bronzebend/core';
import type {ClusterStatus} from '@bronzebend/daemon';
import {readExample, waitUntil} from '../local-cluster.js';
import {
	clientOf, controlBytesOf, ended, root, startProcessCluster, usageOf, type ProcessCluster,
} from '../process-cluster.js';
import {largeFleet} from './capacity.js';
import {mean, percentile, type Figure} from './table.js';

const ENTRIES = 9;
const PUBLICATIONS = 120;
const IDLE_MS = 8000;
const section = 'state';

const pause = async (milliseconds: number): Promise<void> => new Promise(resolve => {
	setTimeout(resolve, milliseconds);
});

const changed = (declarations: readonly Declaration[], weight: number): Declaration[] => declarations.map((item): Declaration => (item.kind === 'queue' && item.name === 'audit' ? {...item, weight} : item));

/** Publishes one change after another; returns the time of each in milliseconds. */
const publishMany = async (cluster: ProcessCluster, declarations: readonly Declaration[], count: number): Promise<number[]> => {
	const client = clientOf(cluster.nodes[0]!);
	let {version} = await client.call({type: 'read-set'}) as {version: number};
	const times: number[] = [];
	for (let number = 0; number < count; number += 1) {
		const startedAtMs = performance.now();
		const {outcome} = await client.call({
			type: 'publish', publicationId: `measure-${version}`, base: version, author: 'measure', declarations: changed(declarations, 2 + number),
		}) as {outcome: PublishOutcome};
		times.push(performance.now() - startedAtMs);
		if (outcome.type === 'accepted') {
			version = outcome.version;
		}
	}

	return times;
};

/** Time from acceptance until the status shows the version at every node, in milliseconds; the status is polled about every 10 ms. */
const measureFanOut = async (cluster: ProcessCluster, declarations: readonly Declaration[]): Promise<number[]> => {
	const client = clientOf(cluster.nodes[0]!);
	const times: number[] = [];
	for (let number = 0; number < 10; number += 1) {
		const {version} = await client.call({type: 'read-set'}) as {version: number};
		await client.call({
			type: 'publish', publicationId: `fan-out-${number}`, base: version, author: 'measure', declarations: changed(declarations, 500 + number),
		});
		const startedAtMs = performance.now();
		await waitUntil('the version is in force everywhere', async () => {
			const status = await client.call({type: 'status'}) as ClusterStatus;
			return status.nodes.length === ENTRIES && status.nodes.every(node => node.version > version);
		});
		times.push(performance.now() - startedAtMs);
	}

	return times;
};

type NodeCost = {cpuPercent: number[]; bytesPerSecond: number[]; residentMb: number[]};

/** Measures the processor time, control bytes and memory of each node while `work` runs. */
const measureCost = async (cluster: ProcessCluster, work: () => Promise<unknown>): Promise<NodeCost> => {
	const before = cluster.nodes.map(node => usageOf(node));
	const bytesBefore = await Promise.all(cluster.nodes.map(async node => controlBytesOf(node)));
	const startedAtMs = performance.now();
	await work();
	const seconds = (performance.now() - startedAtMs) / 1000;
	const bytesAfter = await Promise.all(cluster.nodes.map(async node => controlBytesOf(node)));
	const after = cluster.nodes.map(node => usageOf(node));
	return {
		cpuPercent: after.map((usage, index) => (usage.cpuSeconds - before[index]!.cpuSeconds) / seconds * 100),
		bytesPerSecond: bytesAfter.map((bytes, index) => (bytes - bytesBefore[index]!) / seconds),
		residentMb: after.map(usage => usage.residentMb),
	};
};

const costFigures = (label: string, cost: NodeCost, targets: boolean): Figure[] => {
	const worst = (values: readonly number[]): number => Math.max(...values);
	return [
		{
			section, name: `${label}: processor of a node, mean over 9`, unit: '% of a core', ours: mean(cost.cpuPercent), ...(targets ? {target: 'at most 2.8 %', met: mean(cost.cpuPercent) <= 2.8} : {}),
		},
		{
			section, name: `${label}: processor of the busiest node`, unit: '% of a core', ours: worst(cost.cpuPercent), ...(targets ? {target: 'at most 2.8 %', met: worst(cost.cpuPercent) <= 2.8} : {}),
		},
		{
			section, name: `${label}: control bytes of a node, mean over 9`, unit: 'B/s', ours: mean(cost.bytesPerSecond), ...(targets ? {target: 'at most 3,000 B/s', met: mean(cost.bytesPerSecond) <= 3000} : {}),
		},
		{
			section, name: `${label}: control bytes of the busiest node`, unit: 'B/s', ours: worst(cost.bytesPerSecond), ...(targets ? {target: 'at most 3,000 B/s', met: worst(cost.bytesPerSecond) <= 3000} : {}),
		},
		{
			section, name: `${label}: resident memory of the largest node`, unit: 'MB', ours: worst(cost.residentMb), ...(targets ? {target: 'at most 64 MB', met: worst(cost.residentMb) <= 64} : {}),
		},
	];
};

const measureGroup = async (keepers: number): Promise<Figure[]> => {
	const cluster = await startProcessCluster({entries: ENTRIES, keepers});
	try {
		const declarations = readExample(`${root}/examples/schaumwerk`);
		await publishMany(cluster, declarations, 1);
		await pause(2000);
		const idle = await measureCost(cluster, async () => pause(IDLE_MS));
		const startedAtMs = performance.now();
		const times = await publishMany(cluster, declarations, PUBLICATIONS);
		const perSecond = PUBLICATIONS / ((performance.now() - startedAtMs) / 1000);
		const label = `${keepers} keepers`;
		const figures: Figure[] = [
			{
				section, name: `${label}: publications a second, one operator`, unit: '/s', ours: perSecond, target: '8,400 a day (0.1 /s)', met: perSecond > 0.1,
			},
			{
				section, name: `${label}: time of a publication, p50`, unit: 'ms', ours: percentile(times, 0.5),
			},
			{
				section, name: `${label}: time of a publication, p99`, unit: 'ms', ours: percentile(times, 0.99),
			},
			...costFigures(`${label}, idle`, idle, true),
		];
		if (keepers < 5) {
			return figures;
		}

		const fanOut = await measureFanOut(cluster, declarations);
		const busy = await measureCost(cluster, async () => publishMany(cluster, declarations, PUBLICATIONS));
		const keeper = cluster.nodes[4]!;
		keeper.child.kill('SIGKILL');
		await ended(keeper.child);
		const restartAtMs = performance.now();
		await cluster.restart(keeper);
		const restartMs = performance.now() - restartAtMs;
		return [
			...figures,
			{
				section, name: `${label}: from acceptance to in force at 9 nodes, worst of 10`, unit: 'ms', ours: Math.max(...fanOut), target: 'within 9 s', met: Math.max(...fanOut) < 9000,
			},
			...costFigures(`${label}, publishing without pause`, busy, false),
			{
				section, name: `${label}: restart of a keeper until ready`, unit: 'ms', ours: restartMs,
			},
		];
	} finally {
		cluster.kill();
	}
};

/** Measures the memory and time of the state machine with the object counts of the large fleet. */
const measureLargeState = (): Figure[] => {
	const declarations = largeFleet();
	globalThis.gc?.();
	const before = process.memoryUsage().heapUsed;
	const state = createControlState();
	const publish = (base: number, upserts: Declaration[]): PublishCommand => ({
		type: 'publish', publicationId: `p${base}`, base, contentDigest: `d${base}`, delta: {upserts, removals: []}, author: 'x', atMs: 0,
	});
	state.apply(publish(0, declarations));
	const startedAtMs = performance.now();
	const changes = 1000;
	for (let version = 1; version <= changes; version += 1) {
		state.apply(publish(version, [declarations[version % declarations.length]!]));
	}

	const perChangeMs = (performance.now() - startedAtMs) / changes;
	globalThis.gc?.();
	const heapMb = (process.memoryUsage().heapUsed - before) / 1_048_576;
	return [
		{
			section, name: `letter's size: applying a change to ${declarations.length} objects`, unit: 'ms', ours: perChangeMs,
		},
		{
			section, name: 'letter\'s size: heap of the state with 1,000 kept versions', unit: 'MB', ours: heapMb,
		},
	];
};

/** Measures the durable state with the large fleet, and groups of three and five keepers. */
export const measureState = async (): Promise<Figure[]> => [...measureLargeState(), ...await measureGroup(3), ...await measureGroup(5)];
