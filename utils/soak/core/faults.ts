/** Faults of the core in a soak: drawn from a seed, or read from a day file. */
import type {Random} from '@bronzebend/core';
import {parse} from 'smol-toml';

/** Which keeper is hit: one that seems to lead, one that does not, the one whose disk and address are the oldest, or any. */
export type Target = 'leader' | 'follower' | 'oldest' | 'any';

/** What happens to a machine for a time. */
export type Effect =
	/** The other keepers do not reach it, are not reached by it, or both; the entries neither, if it is cut off from all. */
	| {type: 'cut'; forMs: number; direction: 'both' | 'in' | 'out'; isFromAll?: boolean}
	| {type: 'freeze' | 'full-disk'; forMs: number}
	| {type: 'slow-link' | 'slow-disk'; forMs: number; delayMs: number}
	/** Its open connections to the other keepers go silent for good, one after another; new connections work. */
	| {type: 'silence'; forMs: number};

/** A fault, and its earliest time in milliseconds; it waits until the deployment may lose the machine. */
export type CoreFault = {atMs: number} & (
	| (Effect & {target: Target})
	| {type: 'kill' | 'power-loss' | 'wipe' | 'stop'; target: Target; forMs: number}
	/** Gone for good; an empty machine starts at another address after a time. */
	| {type: 'replace'; target: Target; afterMs: number}
	/** An empty machine starts; the one that it replaces is stopped after a time. */
	| {type: 'replace-planned'; target: Target; afterMs: number}
	/** Loses its disk, or is replaced at another address; the effect begins some time after it starts again, or after it is made a learner, before which its links are delayed. */
	| {type: 'learner'; target: Target; isNew: boolean; since: 'start' | 'learner'; afterMs: number; delayMs: number; effect: Effect}
	| {type: 'reset'; target: Target}
	/** The settings name the keepers that are up now. */
	| {type: 'seeds'}
	/** An entry and the keepers do not reach each other. */
	| {type: 'entry-cut'; entry: number; forMs: number}
	/** Half of the keepers and the other half do not reach each other. */
	| {type: 'split'; forMs: number}
	/** All keepers are killed at once. */
	| {type: 'kill-all'; forMs: number}
	/** A share of all machines is stopped in turn, each of which starts again. */
	| {type: 'rolling-stop'; share: number; gapMs: number}
);

/** Time of the first fault, in milliseconds. */
const FIRST_MS = 2000;
const CHAINS = {min: 2, max: 4} as const;
/** Time between two chains, in milliseconds; in most cases long enough for the group to settle between them. */
const CHAIN_GAP_MS = {min: 9000, max: 14_000} as const;
/** Time between two faults of a chain, in milliseconds. */
const LINK_GAP_MS = {min: 0, max: 3000} as const;
const FOR_MS = {min: 300, max: 6000} as const;
/** Length of a cut beside which another keeper is replaced; the group has to settle on one of the two first. */
const LONG_CUT_MS = {min: 3000, max: 7000} as const;
const SUCCESSOR_MS = {min: 200, max: 2500} as const;
const LEAD_MS = {min: 2000, max: 6000} as const;
const LINK_DELAY_MS = {min: 20, max: 700} as const;
const SYNC_DELAY_MS = {min: 20, max: 900} as const;

const between = (random: Random, {min, max}: {min: number; max: number}): number => Math.round(min + (random() * (max - min)));
const pick = <Item>(random: Random, items: readonly Item[]): Item => items[Math.floor(random() * items.length)]!;

const LOSSES = ['replace', 'replace', 'replace', 'wipe', 'wipe', 'power-loss'] as const;
/** Share of the soaks that begin with a cut beside a replacement. */
const CUT_FIRST_SHARE = 0.75;
/** Types of fault that a soak draws, unless it also draws those that hit several machines at once. */
const TYPES = ['cut', 'cut', 'cut', 'replace', 'replace', 'replace-planned', 'kill', 'power-loss', 'wipe', 'stop', 'freeze', 'slow-link', 'slow-disk', 'reset', 'seeds', 'entry-cut'] as const;
const WIDE_TYPES = [...TYPES, 'split', 'split', 'kill-all', 'kill-all', 'rolling-stop', 'rolling-stop', 'full-disk', 'full-disk'] as const;
const ROLL_SHARE = {min: 0.3, max: 1} as const;
const ROLL_GAP_MS = {min: 300, max: 2000} as const;

/** Types that are drawn one by one; the others belong to series of renewals. */
type DrawnType = Exclude<CoreFault['type'], 'learner' | 'silence'>;

const drawFault = (random: Random, type: DrawnType, atMs: number, entries: number): CoreFault => {
	const target = pick<Target>(random, ['leader', 'follower', 'follower', 'any']);
	const forMs = between(random, FOR_MS);
	switch (type) {
		case 'cut': {
			return {
				type, atMs, target, forMs, direction: pick(random, ['both', 'both', 'in', 'out']),
			};
		}

		case 'replace': {
			return {
				type, atMs, target, afterMs: between(random, SUCCESSOR_MS),
			};
		}

		case 'replace-planned': {
			return {
				type, atMs, target, afterMs: between(random, LEAD_MS),
			};
		}

		case 'slow-link':
		case 'slow-disk': {
			return {
				type, atMs, target, forMs, delayMs: between(random, type === 'slow-link' ? LINK_DELAY_MS : SYNC_DELAY_MS),
			};
		}

		case 'reset': {
			return {type, atMs, target};
		}

		case 'seeds': {
			return {type, atMs};
		}

		case 'entry-cut': {
			return {
				type, atMs, forMs, entry: Math.floor(random() * entries),
			};
		}

		case 'split':
		case 'kill-all': {
			return {type, atMs, forMs};
		}

		case 'rolling-stop': {
			return {
				type, atMs, share: ROLL_SHARE.min + (random() * (ROLL_SHARE.max - ROLL_SHARE.min)), gapMs: between(random, ROLL_GAP_MS),
			};
		}

		default: {
			return {
				type, atMs, target, forMs,
			};
		}
	}
};

/** Draws chains of faults: the first is often a cut beside a replacement, the last is two losses close to each other. */
export const drawCoreFaults = (random: Random, entries: number, isWide = false): CoreFault[] => {
	const chains = between(random, CHAINS);
	let atMs = FIRST_MS;
	return Array.from({length: chains}, (_, index) => {
		const isFirst = index === 0 && random() < CUT_FIRST_SHARE;
		const isLast = index === chains - 1;
		const count = isFirst || isLast ? 2 : between(random, {min: 1, max: 3});
		const types: DrawnType[] = Array.from({length: count}, () => pick<DrawnType>(random, isLast ? LOSSES : (isWide ? WIDE_TYPES : TYPES)));
		let faultAtMs = atMs;
		atMs += between(random, CHAIN_GAP_MS);
		return (isFirst ? ['cut', 'replace'] as const : types).map(type => {
			const drawn = drawFault(random, type, faultAtMs, entries);
			const fault = isFirst && drawn.type === 'cut' ? {...drawn, forMs: between(random, LONG_CUT_MS)} : drawn;
			faultAtMs += between(random, LINK_GAP_MS);
			return fault;
		});
	}).flat();
};

/** What happens to all keepers at once at the end: they are killed, right after a change was acknowledged, and some come back with empty disks. */
export type Closing = {
	lostDisks: number; delayMs: number; forMs: number;
	/** Time without a fault before it, in milliseconds, beyond the time to catch up. */
	calmMs?: number;
};

const CLOSING_SHARE = 0.6;
const CLOSING_DELAY_MS = {min: 0, max: 400} as const;
const CLOSING_FOR_MS = {min: 300, max: 3000} as const;

/** Draws the end of a soak; undefined if nothing more happens. */
export const drawClosing = (random: Random, tolerated: number): Closing | undefined => {
	const closing = {lostDisks: random() < 0.5 ? tolerated : 0, delayMs: between(random, CLOSING_DELAY_MS), forMs: between(random, CLOSING_FOR_MS)};
	return random() < CLOSING_SHARE ? closing : undefined;
};

type DayEntry = {kind: string; at: number; for_s?: number; x?: number; how?: string; count?: number; share?: number; gap_s?: number; on?: string};

const DEFAULT_FOR_S = 5;

type Day = {plan?: DayEntry[]; faults?: DayEntry[]; closing?: {kind: string; down_s: number}};

const targetOf = (how: string): Target => (/leader|renewed|giver/u.test(how) ? 'leader' : (how.includes('follower') ? 'follower' : 'any'));

/** The faults of the core among those kinds that may hit other machines. */
const fromCoreEntry = ({kind, at, for_s: forS = DEFAULT_FOR_S, how = ''}: DayEntry): CoreFault | undefined => {
	const common = {atMs: at * 1000, target: targetOf(how), forMs: forS * 1000};
	switch (kind) {
		case 'node_kill': {
			return {...common, type: how.includes('wipe') ? 'wipe' : (how.includes('power') ? 'power-loss' : 'kill')};
		}

		case 'node_freeze': {
			return {...common, type: 'freeze'};
		}

		case 'herd_kill': {
			return {type: 'kill-all', atMs: common.atMs, forMs: common.forMs};
		}

		default: {
			return undefined;
		}
	}
};

const fromEntry = (entry: DayEntry): CoreFault | undefined => {
	const {kind, at, for_s: forS = DEFAULT_FOR_S, x = 1, how = ''} = entry;
	const common = {atMs: at * 1000, target: targetOf(how)};
	const forMs = forS * 1000;
	switch (kind) {
		case 'core_cut': {
			return how.includes('split')
				? {type: 'split', atMs: common.atMs, forMs}
				: {
					...common, type: 'cut', forMs, direction: how.includes('one_way') ? 'in' : 'both', ...(how.includes('all') && {isFromAll: true}),
				};
		}

		case 'roll_term': {
			return {
				type: 'rolling-stop', atMs: common.atMs, share: entry.share ?? 1, gapMs: (entry.gap_s ?? 1) * 1000,
			};
		}

		case 'disk_full': {
			return {...common, type: 'full-disk', forMs};
		}

		case 'replace_core': {
			return {...common, type: how.includes('planned') ? 'replace-planned' : 'replace', afterMs: x * 1000};
		}

		case 'after_ack_wipe': {
			return {...common, type: 'wipe', forMs};
		}

		case 'after_ack_kill': {
			return {...common, type: 'power-loss', forMs};
		}

		case 'seed_turnover': {
			return {type: 'seeds', atMs: at * 1000};
		}

		default: {
			return entry.on === 'core' ? fromCoreEntry(entry) : undefined;
		}
	}
};

/** Reads the entries of a day that concern the core, and its end; a file holds one day, or a list of days of which the first counts. `skipped` names the kinds of the other entries. */
export const readDay = (text: string, tolerated: number): {faults: CoreFault[]; closing: Closing | undefined; skipped: string[]} => {
	const file = parse(text) as Day & {day?: Day[]};
	const day = file.day?.[0] ?? file;
	const entries = [...(day.plan ?? []), ...(day.faults ?? [])].toSorted((one, other) => one.at - other.at);
	return {
		closing: day.closing && {lostDisks: day.closing.kind === 'wipe_after_ack' ? tolerated : 0, delayMs: 0, forMs: day.closing.down_s * 1000},
		faults: entries.flatMap(entry => Array.from({length: entry.count ?? 1}, () => fromEntry(entry)).filter(fault => fault !== undefined)),
		skipped: entries.filter(entry => fromEntry(entry) === undefined).map(entry => entry.kind),
	};
};

/** Describes a fault in one line. */
export const describeCoreFault = ({atMs, type, ...detail}: CoreFault): string => `${(atMs / 1000).toFixed(1)} s ${type} ${Object.entries(detail).map(([key, value]) => `${key} ${typeof value === 'object' ? JSON.stringify(value) : value}`).join(', ')}`;
