/** The core machines of a soak, and what happens to them: no more of them are lost at once than the deployment tolerates. */
import type {Random} from '@bronzebend/core';
import {SEEDS, type Addresses, type Processes} from '../processes.js';
import {createEffects, isolate} from './effects.js';
import type {Closing, CoreFault, Target} from './faults.js';
import {createLearnerFault} from './learner-fault.js';
import type {Links} from './links.js';
import {candidatesFor, type Place} from './places.js';
import {createWideFaults} from './wide-faults.js';

/** Time after a disturbance until the core counts as calm, in milliseconds. */
export const CONTACT_MS = 3000;
/** Time for which a machine still counts as lost after it is back or new, in milliseconds. */
export const CATCH_UP_MS = 4000;
/** Time by which operators and workers learn of a changed list of keepers late, in milliseconds. */
const LIST_LAG_MS = 3000;
/** Interval at which a fault that waits for its turn tries again, in milliseconds. */
const TURN_MS = 50;
/** Time for which a fault waits for the machine that it is meant for, in milliseconds; then it hits any. */
const MAX_TARGET_WAIT_MS = 3000;
/** Time from SIGTERM until a process is killed, in milliseconds. */
const GRACE_MS = 6000;
/** Time for the relay to take note of an effect, in milliseconds. */
const RELAY_MS = 20;
/** First address of a successor. */
const FIRST_SUCCESSOR = 6;

/** A time in which something was disturbed, in Unix milliseconds. */
export type Disturbance = {
	what: string; startMs: number; endMs: number;
	/** The machines that are concerned; all if undefined. */
	hosts?: readonly string[];
	/** Keepers that were killed at the start and come back with their disks, if all were. */
	restarted?: readonly string[];
};

/** When a machine was part of the core, in Unix milliseconds: from the start of its first process until it was removed. */
export type Life = {startMs: number; endMs: number};

/** Faults that give a machine another disk or address. */
const RENEWING: ReadonlySet<string> = new Set(['wipe', 'replace', 'replace-planned', 'learner']);

const pause = async (milliseconds: number): Promise<void> => new Promise(resolve => {
	setTimeout(resolve, milliseconds);
});

export type CoreGroup = ReturnType<typeof createCoreGroup>;

export const createCoreGroup = ({processes, addresses, controls, links, random, tolerated, record}: {
	processes: Processes; addresses: Addresses; controls: string[]; links: Links; random: Random; tolerated: number;
	record(who: string, what: string, detail?: Record<string, unknown>): void;
}) => {
	const places: Place[] = addresses.keepers.map(host => ({
		host, isBusy: false, lostUntilMs: 0, renewedMs: 0,
	}));
	const disturbances: Disturbance[] = [];
	const known = [...addresses.keepers];
	const lives = new Map<string, Life>(known.map(host => [host, {startMs: -Infinity, endMs: Infinity}]));
	let lastSuccessor = FIRST_SUCCESSOR - 1;

	const isLost = (place: Place): boolean => Date.now() < place.lostUntilMs;
	const everyoneExcept = (host: string): string[] => [...known.filter(other => other !== host), ...addresses.entries];
	const applyEffect = createEffects({
		processes, links, known, entries: addresses.entries,
	});

	/** Takes a place that may be lost now; a machine that is disturbed already is left alone. */
	const take = async (wanted: Target, host?: string): Promise<Place> => {
		const untilMs = Date.now() + MAX_TARGET_WAIT_MS;
		for (;;) {
			const target = Date.now() < untilMs ? wanted : 'any';
			const free = places.filter(place => !place.isBusy && (host === undefined || place.host === host));
			const candidates = candidatesFor(target, free, processes.leader());
			const place = candidates[Math.floor(random() * candidates.length)];
			const lost = places.filter(other => other !== place && isLost(other)).length;
			if (place && lost < tolerated) {
				place.isBusy = true;
				place.lostUntilMs = Infinity;
				return place;
			}

			await pause(TURN_MS);
		}
	};

	/** Runs what happens to a place; its machine counts as lost until some time after that, or until the time that `act` returns. */
	const disturb = async (fault: CoreFault & {target: Target}, act: (place: Place) => Promise<number | void>, host?: string): Promise<void> => {
		const place = await take(fault.target, host);
		const before = place.host;
		const disturbance: Disturbance = {
			what: `${fault.type} ${before}`, startMs: Date.now(), endMs: Infinity, hosts: [before],
		};
		disturbances.push(disturbance);
		record('soak', 'fault', {...fault, host: place.host, isLeader: place.host === processes.leader()});
		const lostUntilMs = await act(place);
		disturbance.endMs = Date.now();
		if (RENEWING.has(fault.type)) {
			place.renewedMs = disturbance.endMs;
		}

		if (place.host !== before) {
			lives.get(before)!.endMs = disturbance.startMs;
			disturbance.hosts = [before, ...(lostUntilMs === undefined ? [place.host] : [])];
		}

		place.lostUntilMs = lostUntilMs ?? Date.now() + CATCH_UP_MS;
		place.isBusy = false;
		record('soak', 'fault over', {type: fault.type, host: place.host});
	};

	/** Ends the process of a machine without a word to the others. */
	const darken = async (host: string): Promise<() => void> => {
		const heal = isolate(links, host, everyoneExcept(host), 'both');
		await pause(RELAY_MS);
		await processes.end(host, 'SIGKILL');
		return heal;
	};

	const startSuccessor = (): string => {
		lastSuccessor += 1;
		const host = addresses.keepers[0]!.replace(/\d+$/u, String(lastSuccessor));
		known.push(host);
		lives.set(host, {startMs: Date.now(), endMs: Infinity});
		processes.start(host, false);
		return host;
	};

	/** Names some keepers in the settings of processes that start from now on, and of those given. */
	const nameSeeds = (keepers: readonly string[], hosts: readonly string[]): void => {
		const seeds = keepers.toSorted(() => random() - 0.5).slice(0, SEEDS);
		processes.setSeeds(seeds, hosts);
		record('soak', 'seeds', {seeds, hosts});
	};

	const exchangeInList = (before: string, after: string): void => {
		setTimeout(() => {
			controls.splice(controls.indexOf(`${before}:${addresses.control}`), 1, `${after}:${addresses.control}`);
			nameSeeds(controls.map(address => address.split(':')[0]!), []);
		}, LIST_LAG_MS);
	};

	const endGracefully = async (host: string): Promise<void> => {
		const late = setTimeout(() => {
			void processes.end(host, 'SIGKILL');
		}, GRACE_MS);
		await processes.end(host, 'SIGTERM');
		clearTimeout(late);
	};

	/** Stops a keeper and starts it again. */
	const stopAndStart = async (host: string, forMs: number): Promise<void> => {
		await endGracefully(host);
		await pause(forMs);
		processes.start(host, false);
	};

	const disturbLearner = createLearnerFault({
		processes, links, everyoneExcept, darken, startSuccessor, exchangeInList, applyEffect,
	});

	const injectWide = createWideFaults({
		processes, addresses, links, random, endGracefully, disturbances, record,
		hosts: () => places.map(place => place.host),
		takeAll() {
			if (places.some(place => place.isBusy)) {
				return undefined;
			}

			for (const place of places) {
				place.isBusy = true;
				place.lostUntilMs = Infinity;
			}

			return () => {
				for (const place of places) {
					place.isBusy = false;
					place.lostUntilMs = Date.now() + CATCH_UP_MS;
				}
			};
		},
		stopKeeper: async (host, forMs) => (places.some(place => place.host === host)
			? disturb({
				type: 'stop', atMs: 0, target: 'any', forMs,
			}, async () => stopAndStart(host, forMs), host)
			: undefined),
	});

	/** Injects a fault as soon as its machine may be lost; resolves once it is over. */
	const inject = async (fault: CoreFault): Promise<void> => {
		switch (fault.type) {
			case 'cut':
			case 'freeze':
			case 'full-disk':
			case 'slow-link':
			case 'slow-disk':
			case 'silence': {
				await disturb(fault, async ({host}) => applyEffect(host, fault));
				return;
			}

			case 'learner': {
				await disturb(fault, async place => disturbLearner(fault, place));
				return;
			}

			case 'stop': {
				await disturb(fault, async ({host}) => stopAndStart(host, fault.forMs));
				return;
			}

			case 'kill':
			case 'power-loss':
			case 'wipe': {
				await disturb(fault, async ({host}) => {
					const heal = fault.type === 'kill' ? undefined : await darken(host);
					if (!heal) {
						await processes.end(host, 'SIGKILL');
					}

					await pause(fault.forMs);
					if (fault.type === 'wipe') {
						processes.wipe(host);
					}

					heal?.();
					processes.start(host, false);
				});
				return;
			}

			case 'replace': {
				await disturb(fault, async place => {
					const before = place.host;
					await darken(before);
					await pause(fault.afterMs);
					place.host = startSuccessor();
					exchangeInList(before, place.host);
				});
				return;
			}

			case 'replace-planned': {
				await disturb(fault, async place => {
					const before = place.host;
					const after = startSuccessor();
					const lostUntilMs = Date.now() + CATCH_UP_MS;
					await pause(fault.afterMs);
					place.host = after;
					place.lostUntilMs = lostUntilMs;
					exchangeInList(before, after);
					await endGracefully(before);
					return lostUntilMs;
				});
				return;
			}

			case 'split':
			case 'kill-all':
			case 'rolling-stop': {
				await injectWide(fault);
				return;
			}

			case 'reset': {
				await disturb(fault, async ({host}) => {
					links.reset([host]);
				});
				return;
			}

			case 'seeds': {
				setTimeout(() => {
					const hosts = places.map(place => place.host);
					nameSeeds(hosts, [...hosts, ...addresses.entries]);
				}, LIST_LAG_MS);
				return;
			}

			case 'entry-cut': {
				const host = addresses.entries[fault.entry]!;
				const disturbance = {
					what: `${fault.type} ${host}`, startMs: Date.now(), endMs: Infinity, hosts: [host],
				};
				disturbances.push(disturbance);
				record('soak', 'fault', {...fault, host});
				const heal = isolate(links, host, known, 'both');
				await pause(fault.forMs);
				heal();
				disturbance.endMs = Date.now();
			}
		}
	};

	/** Kills all keepers at once, as soon as none counts as lost and `acknowledged` resolves, and starts them again. */
	const close = async ({
		lostDisks, delayMs, forMs, calmMs = 0,
	}: Closing, acknowledged: () => Promise<void>): Promise<void> => {
		while (places.some(place => isLost(place))) {
			await pause(TURN_MS);
		}

		await pause(calmMs);
		await acknowledged();
		await pause(delayMs);

		const hosts = places.map(place => place.host).toSorted(() => random() - 0.5);
		const disturbance: Disturbance = {
			what: `all killed, ${lostDisks} disks lost`, startMs: Date.now(), endMs: Infinity, restarted: hosts.slice(lostDisks),
		};
		disturbances.push(disturbance);
		record('soak', 'closing', {lostDisks, forMs});
		await Promise.all(hosts.map(async host => processes.end(host, 'SIGKILL')));
		for (const host of hosts.slice(0, lostDisks)) {
			processes.wipe(host);
		}

		await pause(forMs);
		for (const host of hosts) {
			processes.start(host, false);
		}

		// After a fault of most of the core the contact time counts twice.
		disturbance.endMs = Date.now() + CONTACT_MS;
	};

	return {
		inject,
		close,
		disturbances,
		lives,
		/** Hosts of the keepers, without those that were removed. */
		hosts: (): string[] => places.map(place => place.host),
	};
};
