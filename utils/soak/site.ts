/** A deployment for a soak: processes of a checkout, and stand-ins for all that they speak to. */
import {appendFileSync, mkdirSync} from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import {type Random, systemClock} from '@bronzebend/core';
import {
	HOST, KEYS, UNIT_CPU, workOf,
} from './callers.js';
import {startMachines} from './machines.js';
import {
	addressesOf, createProcesses, HEARTBEAT_MS, MAX_LEASE_MS, ZONES,
} from './processes.js';
import type {SeenWorker} from './core/idle-jobs.js';
import {startLinks} from './core/links.js';
import {send, type SendResult} from './send.js';
import {createSoakWorker} from './worker.js';
import type {SoakRun} from './worker-life.js';

/** Capacity of a worker. */
const CAPACITY = {cpu: 8000, 'mem-mb': 16_000, gpu: 0} as const;
/** Slowest clock of a worker: milliseconds that it counts in one. */
const SLOWEST_CLOCK = 0.98;
/** Time until the first manifest has to be accepted, in milliseconds. */
const FIRST_MANIFEST_MS = 20_000;
const MANIFEST_RETRY_MS = 300;
/** Time from the start of the workers until traffic, in milliseconds. */
const SETTLE_MS = 4000;
const RECORD_LINES = 200;
const STANDBY = 'standby';

const pause = async (milliseconds: number): Promise<void> => new Promise(resolve => {
	setTimeout(resolve, milliseconds);
});

/** Size of a deployment. Workers are spread evenly over the pools; the last pool is one of machines in standby. */
export type SiteSize = {keepers: number; entries: number; pools: number; workersPerPool: number};

/** The deployment could not begin. `answers` is what the keepers said to the first manifest. */
export class SiteError extends Error {
	override readonly name = 'SiteError';

	constructor(readonly answers: readonly string[]) {
		super(`the first manifest was not accepted within ${FIRST_MANIFEST_MS / 1000} s; load average ${os.loadavg().map(load => load.toFixed(1)).join(' ')}`);
	}
}

export type Site = Awaited<ReturnType<typeof startSite>>;

/** Data centre of a machine; each pool has machines in all of them. */
const zoneOfIndex = (index: number): string => ZONES[index % ZONES.length]!;

/** Path prefix of a pool's queue. */
const prefixOf = (pool: string): string => `/${pool}/`;

/** @param isRelayed True if the processes reach each other through the relay of the soak. */
export const startSite = async ({size, folder, programs, random, isRelayed = false}: {size: SiteSize; folder: string; programs: string; random: Random; isRelayed?: boolean}) => {
	mkdirSync(folder, {recursive: true});
	const pools = [...Array.from({length: size.pools - 1}, (_, index) => `pool-${index + 1}`), STANDBY];
	const working = pools.filter(pool => pool !== STANDBY);
	const addresses = addressesOf({keepers: size.keepers, entries: size.entries, workers: pools.length * size.workersPerPool});
	const controls = addresses.keepers.map(host => `${host}:${addresses.control}`);
	const runs: SoakRun[] = [];
	const indexById = new Map<string, number>();
	const waves = new Map<number, string[]>();
	const recorded: string[] = [];

	const flush = (): void => {
		appendFileSync(path.join(folder, 'record.jsonl'), recorded.splice(0).join(''));
	};

	const record = (who: string, what: string, detail: Record<string, unknown> = {}): void => {
		recorded.push(`${JSON.stringify({
			at: new Date().toISOString(), who, what, ...detail,
		})}\n`);
		if (recorded.length > RECORD_LINES) {
			flush();
		}
	};

	let lastId = 0;
	const nextId = (index: number): string => {
		lastId += 1;
		const id = `i-${lastId.toString(16).padStart(8, '0')}`;
		indexById.set(id, index);
		return id;
	};

	const links = isRelayed ? await startLinks({host: addresses.relayHost, port: addresses.relay, peerPort: addresses.peer}) : undefined;
	const processes = createProcesses({
		folder, programs, addresses, record, isRelayed,
	});
	const workers = await Promise.all(addresses.workers.map(async (host, index) => createSoakWorker({
		machine: `m-${index + 1}`, id: nextId(index), pool: pools[Math.floor(index / size.workersPerPool)]!, zone: zoneOfIndex(index), host, port: addresses.worker, controls, clock: systemClock, clockRate: SLOWEST_CLOCK + (random() * (1 - SLOWEST_CLOCK)), capacity: CAPACITY, labels: ['a', `r1-${1 + (index % 4)}`], heartbeatMs: HEARTBEAT_MS, maxLeaseMs: MAX_LEASE_MS, random, workOf, runs, record,
	})));
	const newIdOf = (worker: {machine: string}): string => nextId(Number(worker.machine.slice(2)) - 1);
	const machines = await startMachines({
		host: addresses.machinesHost, port: addresses.machines, workers, standby: STANDBY, nextId: newIdOf, waves, record,
		describe: ({machine}) => ({zone: zoneOfIndex(Number(machine.slice(2)) - 1), labels: ['a', 'r1-1'], capacity: CAPACITY}),
	});

	const manifestOf = (version: number) => ({
		version,
		routes: working.map(pool => ({
			name: `r-${pool}`, host: HOST, 'path-prefix': prefixOf(pool), kind: 'non_idempotent', 'timeout-ms': 3000, 'target-latency-ms': 600, priority: 0, service: pool, 'max-attempts': 3, 'slack-factor': 1.6, public: false,
		})),
		services: pools.map(pool => ({
			name: pool, 'health-path': '/healthz', 'max-conns': 64, protocol: 'h1', tls: false, 'admission-check': true, standby: pool === STANDBY,
		})),
		limits: {
			'max-header-bytes': 16_384, 'max-body-bytes': 262_144, 'header-timeout-ms': 3000, 'idle-timeout-ms': 15_000,
		},
		tenants: KEYS.map(key => ({
			name: key, 'api-keys': [key], priority: 0, weight: 25, cap: {cpu: 0, 'mem-mb': 0, gpu: 0},
		})),
	});

	const control = async (method: string, at: string, body?: unknown): Promise<SendResult & {address: string}> => {
		const address = controls[Math.floor(random() * controls.length)]!;
		const answer = await send({
			method, address, path: at, body, timeoutMs: 1000,
		});
		return {...answer, address};
	};

	const stop = async (): Promise<void> => {
		for (const worker of workers) {
			worker.close();
		}

		machines.close();
		await processes.stopAll();
		await links?.close();
		flush();
	};

	processes.startAll();
	const answers: string[] = [];
	const startedMs = Date.now();
	for (let isAccepted = false; !isAccepted;) {
		const answer = await control('POST', '/Config.Replace', manifestOf(1));
		answers.push(`${Date.now() - startedMs} ms, ${answer.address}: ${answer.status} ${answer.cause ?? JSON.stringify(answer.body)}`);
		isAccepted = answer.status === 200;
		if (!isAccepted && Date.now() - startedMs > FIRST_MANIFEST_MS) {
			await stop();
			throw new SiteError(answers);
		}

		await pause(isAccepted ? 0 : MANIFEST_RETRY_MS);
	}

	for (const worker of workers.filter(each => each.pool() !== STANDBY)) {
		worker.boot();
	}

	await pause(SETTLE_MS);
	record('soak', 'settled', {startMs: Date.now() - startedMs});
	return {
		addresses, processes, workers, machines, runs, record, stop, links, manifestOf,
		/** Control addresses of the keepers, as operators and workers know them; the list may change. */
		controls,
		newIdOf,
		/** What the workers run now. */
		seenWorkers: (): SeenWorker[] => workers.map(worker => ({
			pool: worker.pool(), isUp: worker.isUp(), running: worker.running(), places: CAPACITY.cpu / UNIT_CPU,
		})),
		queues: working.map(pool => prefixOf(pool)),
		indexOf: (worker: string): number | undefined => indexById.get(worker),
		zoneOf: (worker: string): string | undefined => (indexById.has(worker) ? zoneOfIndex(indexById.get(worker)!) : undefined),
		/** Publishes a manifest; returns whether it was acknowledged. */
		async publish(version: number): Promise<boolean> {
			const {status, address} = await control('POST', '/Config.Replace', manifestOf(version));
			record('operator', 'publish', {version, address, status});
			return status === 200;
		},
		/** Version of the manifest that a keeper returns; undefined if it returns none. */
		async readVersion(): Promise<number | undefined> {
			const {body} = await control('GET', '/Config.Read');
			return (body as {version?: number} | undefined)?.version;
		},
		/** Requests the upkeep of some machines. */
		async startWave(wave: number, names: string[]): Promise<void> {
			waves.set(wave, names);
			const {status} = await control('POST', '/wave-start', {
				'rollout-wave': wave, machines: names, 'deadline-s': 20, cap: 1,
			});
			record('operator', 'wave', {wave, names, status});
		},
	};
};
