/** Keepers and entries of a soak: real processes of a checkout, on loopback addresses of their own. */
import {type ChildProcess, spawn} from 'node:child_process';
import {appendFileSync, mkdirSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';

const PORTS = {
	peer: 17_400, control: 17_410, callers: 17_420, readiness: 17_421, machines: 17_430, worker: 17_440,
} as const;
export const HEARTBEAT_MS = 1500;
export const MAX_LEASE_MS = 10_000;

/** Addresses of a soak; those of two processes never meet. */
export const addressesOf = ({keepers, entries, workers}: {keepers: number; entries: number; workers: number}) => {
	const network = `127.${64 + (process.pid % 128)}.${Math.floor(process.pid / 128) % 250}`;
	const hosts = (count: number, first: number): string[] => Array.from({length: count}, (_, index) => `${network}.${first + index}`);
	return {
		...PORTS, keepers: hosts(keepers, 1), entries: hosts(entries, 21), machinesHost: `${network}.50`, workers: hosts(workers, 101),
	};
};

export type Addresses = ReturnType<typeof addressesOf>;

export type Processes = ReturnType<typeof createProcesses>;

/** @param programs Checkout whose programs run. */
export const createProcesses = ({folder, programs, addresses, record}: {folder: string; programs: string; addresses: Addresses; record(who: string, what: string, detail?: Record<string, unknown>): void}) => {
	const {keepers, entries} = addresses;
	const children = new Map<string, ChildProcess>();
	const away = new Set<string>();
	let leader: string | undefined;

	const settingsOf = (host: string, isFirst: boolean): string => {
		const isKeeper = keepers.includes(host);
		return JSON.stringify({
			'node-name': `${isKeeper ? 'keeper' : 'entry'}-${host}`,
			ip: host,
			zone: 'a',
			listen: isKeeper ? {'control-plane': `${host}:${addresses.control}`} : {frontend: `${host}:${addresses.callers}`, readiness: `${host}:${addresses.readiness}`},
			'internal-ports': [addresses.peer, addresses.peer + 9],
			seeds: keepers.slice(0, 3).map(seed => `${seed}:${addresses.control}`),
			bootstrap: isFirst,
			'data-dir': isKeeper ? path.join(folder, `data-${host}`) : null,
			'heartbeat-ms': HEARTBEAT_MS,
			'fault-tolerance': {machines: Math.floor((keepers.length - 1) / 2), zones: 0, regions: 0},
			bounds: {'hold-max-ms': MAX_LEASE_MS, 'lease-ms': 3000, 'grace-s': 6},
			'cloud-api': {
				addr: `${addresses.machinesHost}:${addresses.machines}`, 'rate-per-s': 64, duties: [], 'duty-per-s': 64,
			},
		});
	};

	const noteLeader = (host: string, output: Uint8Array): void => {
		if (new TextDecoder().decode(output).includes('"message":"Leading."')) {
			leader = host;
			record(host, 'leads');
		}
	};

	const start = (host: string, isFirst: boolean): void => {
		mkdirSync(path.join(folder, `data-${host}`), {recursive: true});
		const file = path.join(folder, `${host}.yaml`);
		writeFileSync(file, settingsOf(host, isFirst));
		const isKeeper = keepers.includes(host);
		const child = spawn(process.execPath, [`--max-old-space-size=${isKeeper ? 192 : 96}`, path.join(programs, 'platform/lib/main.js'), isKeeper ? 'keeper' : 'entry'], {
			stdio: ['ignore', 'pipe', 'pipe'],
			env: {...process.env, BRONZEBEND_CONFIG: file, BRONZEBEND_SECRET: 'a secret of this soak'},
		});
		const log = path.join(folder, `${host}.log`);
		for (const stream of [child.stdout, child.stderr]) {
			stream.on('data', (chunk: Uint8Array) => {
				appendFileSync(log, chunk);
				noteLeader(host, chunk);
			});
		}

		child.on('exit', (code, signal) => {
			record(host, 'exit', {code, signal});
		});
		children.set(host, child);
		away.delete(host);
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
