/** Keepers and entries of a soak: real processes of a checkout, on loopback addresses of their own. */
import {type ChildProcess, spawn} from 'node:child_process';
import {
	appendFileSync, mkdirSync, rmSync, writeFileSync,
} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {PROGRAM_VARIABLE, type ProgramMessage, type ProgramSettings} from './core/program-settings.js';

const PORTS = {
	peer: 17_400, control: 17_410, callers: 17_420, readiness: 17_421, machines: 17_430, worker: 17_440, relay: 17_450,
} as const;
/** Keepers named in the settings of a process. */
export const SEEDS = 3;
export const HEARTBEAT_MS = 1500;
export const MAX_LEASE_MS = 10_000;
/** Data centres of a soak. */
export const ZONES = ['a', 'b', 'c'] as const;
const WRAPPER = fileURLToPath(new URL('core/program.js', import.meta.url));

/** Addresses of a soak; those of two processes never meet. The keepers' list may change. */
export const addressesOf = ({keepers, entries, workers}: {keepers: number; entries: number; workers: number}) => {
	const network = `127.${64 + (process.pid % 128)}.${Math.floor(process.pid / 128) % 250}`;
	const hosts = (count: number, first: number): string[] => Array.from({length: count}, (_, index) => `${network}.${first + index}`);
	return {
		...PORTS, keepers: hosts(keepers, 1), entries: hosts(entries, 21), machinesHost: `${network}.50`, relayHost: `${network}.51`, workers: hosts(workers, 101),
	};
};

export type Addresses = ReturnType<typeof addressesOf>;

export type Processes = ReturnType<typeof createProcesses>;

/**
@param programs Checkout whose programs run.
@param isRelayed True if the processes reach each other through the relay of the soak.
*/
export const createProcesses = ({folder, programs, addresses, record, isRelayed = false}: {folder: string; programs: string; addresses: Addresses; record(who: string, what: string, detail?: Record<string, unknown>): void; isRelayed?: boolean}) => {
	const {keepers, entries} = addresses;
	const tolerated = Math.floor((keepers.length - 1) / 2);
	const started = new Map<string, boolean>();
	let seeds = keepers.slice(0, SEEDS);
	const children = new Map<string, ChildProcess>();
	const away = new Set<string>();
	let leader: string | undefined;
	let slowestStartMs = 0;
	/** Time by which each sync to a disk takes longer, in milliseconds. */
	let syncDelayMs = 0;

	const settingsOf = (host: string, isFirst: boolean): string => {
		const isKeeper = !entries.includes(host);
		return JSON.stringify({
			zones: Object.fromEntries(ZONES.map(zone => [zone, 'region-1'])),
			'node-name': `${isKeeper ? 'keeper' : 'entry'}-${host}`,
			ip: host,
			zone: 'a',
			listen: isKeeper ? {'control-plane': `${host}:${addresses.control}`} : {frontend: `${host}:${addresses.callers}`, readiness: `${host}:${addresses.readiness}`},
			'internal-ports': [addresses.peer, addresses.peer + 9],
			seeds: seeds.map(seed => `${seed}:${addresses.control}`),
			bootstrap: isFirst,
			'data-dir': isKeeper ? dataFolder(host) : null,
			'heartbeat-ms': HEARTBEAT_MS,
			'fault-tolerance': {machines: tolerated, zones: 0, regions: 0},
			bounds: {'hold-max-ms': MAX_LEASE_MS, 'lease-ms': 3000, 'grace-s': 6},
			'cloud-api': {
				addr: `${addresses.machinesHost}:${addresses.machines}`, 'rate-per-s': 64, duties: [], 'duty-per-s': 64,
			},
		});
	};

	/** Hosts that a leader has made learners since their processes started. */
	const learners = new Set<string>();

	const noteGroup = (host: string, output: Uint8Array): void => {
		const text = new TextDecoder().decode(output);
		if (text.includes('"message":"Leading."')) {
			leader = host;
			record(host, 'leads');
		}

		for (const [, learner] of text.matchAll(/([\d.]+):\d+ \(learner\)/gu)) {
			learners.add(learner!);
		}
	};

	const settingsFile = (host: string): string => path.join(folder, `${host}.yaml`);
	const dataFolder = (host: string): string => path.join(folder, `data-${host}`);

	const start = (host: string, isFirst: boolean): void => {
		mkdirSync(dataFolder(host), {recursive: true});
		started.set(host, isFirst);
		writeFileSync(settingsFile(host), settingsOf(host, isFirst));
		const isKeeper = !entries.includes(host);
		const program: ProgramSettings = {
			self: host, peerPort: addresses.peer, relay: {host: addresses.relayHost, port: addresses.relay}, syncDelayMs,
		};
		const child = spawn(process.execPath, [`--max-old-space-size=${isKeeper ? 192 : 96}`, ...(isRelayed ? [WRAPPER] : []), path.join(programs, 'platform/lib/main.js'), isKeeper ? 'keeper' : 'entry'], {
			stdio: ['ignore', 'pipe', 'pipe', ...(isRelayed ? ['ipc' as const] : [])],
			env: {
				...process.env, BRONZEBEND_CONFIG: settingsFile(host), BRONZEBEND_SECRET: 'a secret of this soak', ...(isRelayed ? {[PROGRAM_VARIABLE]: JSON.stringify(program)} : {}),
			},
		});
		const log = path.join(folder, `${host}.log`);
		const startMs = Date.now();
		child.stdout!.once('data', () => {
			slowestStartMs = Math.max(slowestStartMs, Date.now() - startMs);
		});
		for (const stream of [child.stdout!, child.stderr!]) {
			stream.on('data', (chunk: Uint8Array) => {
				appendFileSync(log, chunk);
				noteGroup(host, chunk);
			});
		}

		child.on('exit', (code, signal) => {
			record(host, 'exit', {code, signal});
		});
		children.set(host, child);
		away.delete(host);
		learners.delete(host);
		record(host, 'started', {pid: child.pid});
	};

	const exited = async (host: string): Promise<void> => {
		const child = children.get(host)!;
		if (child.exitCode === null && child.signalCode === null) {
			await new Promise(resolve => {
				child.once('exit', resolve);
			});
		}
	};

	// Also where the soak itself is ended.
	process.on('exit', () => {
		for (const child of children.values()) {
			child.kill('SIGKILL');
		}
	});

	return {
		leader: () => leader,
		/** Longest time from the start of a process to its first output, in milliseconds; on a busy machine that may be longer than the time to catch up. */
		slowestStartMs: (): number => slowestStartMs,
		/** True once a leader has made the host a learner since its process started. */
		isLearner: (host: string): boolean => learners.has(host),
		start,
		/** ID of a process that runs; undefined while it is away. */
		pid: (host: string): number | undefined => (away.has(host) || children.get(host)?.exitCode !== null || children.get(host)!.signalCode !== null ? undefined : children.get(host)!.pid),
		/** Ends a process and waits until it has exited; it is then away. */
		async end(host: string, signal: 'SIGKILL' | 'SIGTERM'): Promise<void> {
			away.add(host);
			record(host, signal);
			children.get(host)!.kill(signal);
			await exited(host);
		},
		/** Stops a process where it stands, or lets it go on. */
		freeze(host: string, isFrozen: boolean): void {
			record(host, isFrozen ? 'SIGSTOP' : 'SIGCONT');
			children.get(host)!.kill(isFrozen ? 'SIGSTOP' : 'SIGCONT');
		},
		/** Empties the data folder of a process that is away. */
		wipe(host: string): void {
			rmSync(dataFolder(host), {recursive: true, force: true});
		},
		/** Makes each sync to any disk take longer, in milliseconds, also for processes that start later. */
		slowAllDisks(delayMs: number): void {
			syncDelayMs = delayMs;
			for (const [host, child] of children) {
				if (!away.has(host)) {
					child.send({syncDelayMs} satisfies ProgramMessage, () => undefined);
				}
			}
		},
		/** Adds to the delay of each sync to the disk of a running process, in milliseconds. */
		slowDisk(host: string, addedMs: number): void {
			children.get(host)!.send({syncDelayMs: syncDelayMs + addedMs} satisfies ProgramMessage, () => undefined);
		},
		/** Makes the disk of a running process take no more bytes, or take them again. */
		fillDisk(host: string, isDiskFull: boolean): void {
			children.get(host)!.send({isDiskFull} satisfies ProgramMessage, () => undefined);
		},
		/** Changes the seeds in the settings of some processes, and of those that start from now on. */
		setSeeds(next: readonly string[], hosts: readonly string[]): void {
			seeds = [...next];
			for (const host of hosts) {
				writeFileSync(settingsFile(host), settingsOf(host, started.get(host)!));
			}
		},
		/** Ends or pauses a process, and starts or wakes it after a time, in milliseconds. A process that is away is left alone. */
		async disturb(host: string, how: 'kill' | 'stop' | 'pause', forMs: number): Promise<void> {
			if (away.has(host)) {
				return;
			}

			away.add(host);
			record(host, how, {forMs});
			const signals = {kill: 'SIGKILL', stop: 'SIGTERM', pause: 'SIGSTOP'} as const;
			children.get(host)!.kill(signals[how]);
			if (how !== 'pause') {
				await exited(host);
			}

			await new Promise(resolve => {
				setTimeout(resolve, forMs);
			});
			if (how === 'pause') {
				children.get(host)!.kill('SIGCONT');
				away.delete(host);
				record(host, 'woken');
			} else {
				start(host, false);
			}
		},
		/** Hosts whose process has ended by itself. */
		ended: (): string[] => [...children].filter(([host, child]) => !away.has(host) && (child.exitCode !== null || child.signalCode !== null)).map(([host]) => host),
		startAll(): void {
			for (const host of [...keepers, ...entries]) {
				start(host, true);
			}
		},
		async stopAll(): Promise<void> {
			for (const child of children.values()) {
				child.kill('SIGKILL');
			}

			await Promise.all([...children.keys()].map(async host => exited(host)));
		},
	};
};
