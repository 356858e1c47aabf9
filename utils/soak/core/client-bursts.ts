/** Bursts of clients that keep to no rules, drawn for a soak and sent to one of its processes. */
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import path from 'node:path';
import process from 'node:process';
import type {Random} from '@bronzebend/core';
import {root} from '../../process-cluster.js';
import {residentMbOf} from '../../process-memory.js';
import type {Addresses, Processes} from '../processes.js';
import type {Disturbance} from './group.js';

const PROGRAM = path.join(root, 'tests/lib/fixtures/untrusted-clients.js');
/** Clients of a burst, by what they send. */
const COUNTS = {
	'small-chunks': 40, 'requests-ahead': 50, 'bare-requests-ahead': 50, 'large-chunks': 300, 'many-steps': 40, 'many-units': 40, 'many-valid-steps': 20,
} as const;
const BURSTS = {min: 1, max: 3} as const;
const FIRST_MS = 2000;
const FOR_MS = {min: 3000, max: 10_000} as const;
/** Memory of the smallest machines, in MB. */
const MEMORY_MB = {entry: 250, keeper: 346} as const;
const SAMPLE_MS = 100;

/** A burst of clients, and its time in milliseconds since the soak began. `index` names the entry or keeper. */
export type ClientBurst = {atMs: number; forMs: number; kind: keyof typeof COUNTS; server: 'callers' | 'readiness' | 'control'; index: number};

const within = (random: Random, {min, max}: {min: number; max: number}): number => Math.round(min + (random() * (max - min)));
const pick = <Item>(random: Random, items: readonly Item[]): Item => items[Math.floor(random() * items.length)]!;

/** Draws bursts that come one after the other, as each of them may use up a processor. */
export const drawClientBursts = (random: Random, {entries, keepers}: {entries: number; keepers: number}): ClientBurst[] => {
	let atMs = FIRST_MS;
	return Array.from({length: within(random, BURSTS)}, (): ClientBurst => {
		const server = pick(random, ['callers', 'callers', 'readiness', 'control'] as const);
		const burst = {
			atMs, forMs: within(random, FOR_MS), kind: pick(random, Object.keys(COUNTS) as Array<ClientBurst['kind']>), server, index: Math.floor(random() * (server === 'control' ? keepers : entries)),
		};
		atMs += burst.forMs + within(random, FOR_MS);
		return burst;
	});
};

/** Sends bursts to processes, and watches the memory of these. */
export const createClientBursts = ({processes, addresses, keeperHosts, disturbances, record}: {
	processes: Processes; addresses: Addresses; keeperHosts(): string[]; disturbances: Disturbance[];
	record(who: string, what: string, detail?: Record<string, unknown>): void;
}) => {
	/** What a process used of its memory, where that was too much. */
	const exceeded: string[] = [];

	const memoryMbOf = (host: string): number => {
		const pid = processes.pid(host);
		try {
			return pid === undefined ? 0 : residentMbOf(pid);
		} catch {
			// The process has ended meanwhile.
			return 0;
		}
	};

	const targetOf = ({server, index}: ClientBurst): {host: string; port: number; at: string} => {
		switch (server) {
			case 'callers': {
				return {host: addresses.entries[index]!, port: addresses.callers, at: '/pool-1/'};
			}

			case 'readiness': {
				return {host: addresses.entries[index]!, port: addresses.readiness, at: '/readyz'};
			}

			case 'control': {
				return {host: keeperHosts()[index]!, port: addresses.control, at: '/Config.Replace'};
			}
		}
	};

	return {
		exceeded,
		async send(burst: ClientBurst): Promise<void> {
			const {host, port, at} = targetOf(burst);
			const limitMb = burst.server === 'control' ? MEMORY_MB.keeper : MEMORY_MB.entry;
			const disturbance: Disturbance = {what: `${burst.kind} at ${burst.server} of ${host}`, startMs: Date.now(), endMs: Infinity};
			disturbances.push(disturbance);
			record('soak', 'burst', {...burst, host});
			let mostMb = 0;
			const sampler = setInterval(() => {
				mostMb = Math.max(mostMb, memoryMbOf(host));
			}, SAMPLE_MS);
			const clients = spawn(process.execPath, [PROGRAM, burst.kind, host, String(port), at, String(COUNTS[burst.kind]), String(burst.forMs)], {stdio: 'ignore'});
			await once(clients, 'exit');
			clearInterval(sampler);
			disturbance.endMs = Date.now();
			record('soak', 'burst over', {host, mostMb: Math.round(mostMb)});
			if (mostMb > limitMb) {
				exceeded.push(`${disturbance.what}: ${Math.round(mostMb)} of ${limitMb} MB`);
			}
		},
	};
};
