/** Faults of a soak that hit several machines at once, beyond what the deployment tolerates; no disk is lost. */
import type {Random} from '@bronzebend/core';
import type {Addresses, Processes} from '../processes.js';
import type {CoreFault} from './faults.js';
import type {Disturbance} from './group.js';
import type {Links} from './links.js';

/** Time from the end of a process until it is started again, in milliseconds. */
const RESTART_MS = 200;
const TURN_MS = 50;

export type WideFault = CoreFault & {type: 'split' | 'kill-all' | 'rolling-stop'};

const pause = async (milliseconds: number): Promise<void> => new Promise(resolve => {
	setTimeout(resolve, milliseconds);
});

export const createWideFaults = ({processes, addresses, links, random, hosts, takeAll, stopKeeper, endGracefully, disturbances, record}: {
	processes: Processes; addresses: Addresses; links: Links; random: Random;
	/** Hosts of the keepers that have not been replaced. */
	hosts(): string[];
	/** Takes all machines of the core, so that nothing else disturbs one; undefined while one is disturbed. Returns a function that releases them. */
	takeAll(): (() => void) | undefined;
	/** Stops a keeper by SIGTERM and starts it again, as soon as it may be lost. */
	stopKeeper(host: string, forMs: number): Promise<void>;
	endGracefully(host: string): Promise<void>;
	disturbances: Disturbance[];
	record(who: string, what: string, detail?: Record<string, unknown>): void;
}) => {
	/** Entries that are stopped now. */
	const stopping = new Set<string>();

	const begin = (what: string, fields: Pick<Disturbance, 'hosts' | 'restarted'> = {}): Disturbance => {
		const disturbance = {
			what, startMs: Date.now(), endMs: Infinity, ...fields,
		};
		disturbances.push(disturbance);
		record('soak', 'fault', {type: what});
		return disturbance;
	};

	const shuffled = (items: readonly string[]): string[] => items.map(item => ({item, key: random()})).toSorted((one, other) => one.key - other.key).map(({item}) => item);

	/** Cuts half of the keepers off from the other half; all others reach both. */
	const split = async (forMs: number): Promise<void> => {
		const all = shuffled(hosts());
		const half = all.slice(0, Math.floor(all.length / 2));
		const rest = all.filter(host => !half.includes(host));
		const disturbance = begin(`split ${half.join(' ')}`);
		const heals = [links.begin({from: half, to: rest, blocks: true}), links.begin({from: rest, to: half, blocks: true})];
		await pause(forMs);
		for (const heal of heals) {
			heal();
		}

		disturbance.endMs = Date.now();
	};

	/** Kills all keepers at once. */
	const killAll = async (forMs: number): Promise<void> => {
		let release = takeAll();
		while (!release) {
			await pause(TURN_MS);
			release = takeAll();
		}

		const all = hosts();
		const disturbance = begin('kill-all', {restarted: all});
		await Promise.all(all.map(async host => processes.end(host, 'SIGKILL')));
		await pause(forMs);
		for (const host of all) {
			processes.start(host, false);
		}

		disturbance.endMs = Date.now();
		release();
	};

	/** Stops an entry and starts it again, unless it is stopped already. */
	const stopEntry = async (host: string): Promise<void> => {
		if (stopping.has(host)) {
			return;
		}

		stopping.add(host);
		const disturbance = begin(`stop ${host}`, {hosts: [host]});
		await endGracefully(host);
		await pause(RESTART_MS);
		processes.start(host, false);
		disturbance.endMs = Date.now();
		stopping.delete(host);
	};

	/** Stops machines in turn, each of which starts again. */
	const stopInTurn = async ({share, gapMs}: {share: number; gapMs: number}): Promise<void> => {
		const all = shuffled([...hosts(), ...addresses.entries]);
		await Promise.all(all.slice(0, Math.ceil(all.length * share)).map(async (host, index) => {
			await pause(index * gapMs);
			await (addresses.entries.includes(host) ? stopEntry(host) : stopKeeper(host, RESTART_MS));
		}));
	};

	return async (fault: WideFault): Promise<void> => {
		switch (fault.type) {
			case 'split': {
				await split(fault.forMs);
				return;
			}

			case 'kill-all': {
				await killAll(fault.forMs);
				return;
			}

			case 'rolling-stop': {
				await stopInTurn(fault);
			}
		}
	};
};
