/** Draws a soak in which a machine is away for long, or links go silent, while the others are renewed one after another. */
import type {Random} from '@bronzebend/core';
import type {
	Closing, CoreFault, Effect, Target,
} from './faults.js';

const FIRST_MS = 2000;
/** Time for which a machine is away, in milliseconds: that of four to seven renewals. */
const AWAY_MS = {min: 26_000, max: 40_000} as const;
/** Time from one renewal to the next, in milliseconds; more than the machine that is back needs to catch up, so that no more than two are lost. */
const GAP_MS = {min: 5000, max: 7000} as const;
/** Time for which a machine is down that loses its disk, until an unplanned successor starts, and for which a planned one runs beside it, in milliseconds. */
const DOWN_MS = {min: 200, max: 900} as const;
const BESIDE_MS = {min: 2000, max: 5000} as const;
/** Time for which an empty machine runs before it is disturbed, in milliseconds from its start, or in link delays from when it is a learner: the log needs one to three delays, the vote four or more. */
const STARTED_MS = {min: 100, max: 1000} as const;
const LEARNER_DELAYS = {min: 0.5, max: 4} as const;
const LEARNER_DELAY_MS = {min: 150, max: 500} as const;
/** Delay of the link or of each sync of a machine that is slow for long, in milliseconds. */
const SLOW_MS = {min: 300, max: 700} as const;
/** Time in which the connections of a keeper go silent one after another, in milliseconds. */
const SILENCE_MS = {min: 500, max: 4000} as const;
const SILENCE_GAP_MS = {min: 500, max: 3000} as const;
const WIDE_MS = {min: 300, max: 4000} as const;
const ROLL_GAP_MS = {min: 300, max: 2000} as const;
/** Calm before the end, in milliseconds: more than the 5 s between two lines of a leader about a keeper that is behind. */
const CALM_MS = {min: 5500, max: 8000} as const;
const CLOSING_DELAY_MS = {min: 0, max: 400} as const;
const CLOSING_FOR_MS = {min: 300, max: 1500} as const;

const between = (random: Random, {min, max}: {min: number; max: number}): number => Math.round(min + (random() * (max - min)));
const pick = <Item>(random: Random, items: readonly Item[]): Item => items[Math.floor(random() * items.length)]!;

const RENEWALS = {
	wipes: ['wipe'],
	replacements: ['replace', 'replace-planned'],
	mixed: ['wipe', 'wipe', 'replace', 'replace-planned'],
} as const;
const RENEWAL_TYPES: ReadonlySet<string> = new Set(RENEWALS.mixed);
/** Share of the soaks in which the machines are renewed in turn, so that none is left that was there before. */
const IN_TURN_SHARE = 0.4;
/** Share of these in which the settings of all machines name the others anew once the absent one is back; else it may know none that is left. */
const NEW_SEEDS_SHARE = 0.5;
const AWAY = ['cut', 'cut', 'freeze', 'learner', 'learner', 'silence'] as const;

/** Draws how a machine is renewed; the leader most often, as a group that a new member leads is unknown to the one that is away. */
const drawRenewal = (random: Random, types: ReadonlyArray<'wipe' | 'replace' | 'replace-planned'>, atMs: number): CoreFault => {
	const target = pick<Target>(random, ['leader', 'leader', 'follower']);
	const type = pick(random, types);
	return type === 'wipe'
		? {
			type, atMs, target, forMs: between(random, DOWN_MS),
		}
		: {
			type, atMs, target, afterMs: between(random, type === 'replace' ? DOWN_MS : BESIDE_MS),
		};
};

const drawEffect = (random: Random, forMs: number): Effect => {
	const type = pick(random, ['cut', 'cut', 'freeze', 'slow-link', 'slow-disk'] as const);
	switch (type) {
		case 'cut': {
			return {type, forMs, direction: pick(random, ['both', 'both', 'in', 'out'])};
		}

		case 'freeze': {
			return {type, forMs};
		}

		case 'slow-link':
		case 'slow-disk': {
			return {type, forMs, delayMs: between(random, SLOW_MS)};
		}
	}
};

const drawLearner = (random: Random, atMs: number, forMs: number): CoreFault => {
	const since = pick(random, ['start', 'learner', 'learner'] as const);
	const common = {
		type: 'learner', atMs, target: 'follower', isNew: random() < 0.5, effect: drawEffect(random, forMs),
	} as const;
	if (since === 'start') {
		return {
			...common, since, afterMs: between(random, STARTED_MS), delayMs: 0,
		};
	}

	const delayMs = between(random, LEARNER_DELAY_MS);
	return {
		...common, since, afterMs: Math.round(delayMs * (LEARNER_DELAYS.min + (random() * (LEARNER_DELAYS.max - LEARNER_DELAYS.min)))), delayMs,
	};
};

/** Links of one keeper after another that go silent between the renewals, of which some receive the log meanwhile. */
const drawSilences = (random: Random, untilMs: number): CoreFault[] => {
	const faults: CoreFault[] = [];
	for (let atMs = FIRST_MS + between(random, SILENCE_GAP_MS); atMs < untilMs; atMs += between(random, GAP_MS)) {
		const forMs = between(random, SILENCE_MS);
		faults.push(random() < 0.5
			? {
				type: 'learner', atMs, target: 'any', isNew: random() < 0.5, since: 'start', afterMs: between(random, STARTED_MS), delayMs: 0, effect: {type: 'silence', forMs},
			}
			: {
				type: 'silence', atMs, target: 'any', forMs,
			});
	}

	return faults;
};

/** Draws a fault of several machines at once; the loss of all waits until the machine that is away is back. */
const drawWide = (random: Random, atMs: number): CoreFault => {
	const type = pick(random, ['split', 'kill-all', 'rolling-stop'] as const);
	return type === 'rolling-stop'
		? {
			type, atMs, share: 1, gapMs: between(random, ROLL_GAP_MS),
		}
		: {type, atMs, forMs: between(random, WIDE_MS)};
};

/** Draws the faults and the end of a soak with renewals: two disks are lost at the end. */
export const drawRenewals = (random: Random, tolerated: number, isWide = false): {faults: CoreFault[]; closing: Closing} => {
	const closing = {
		lostDisks: tolerated, delayMs: between(random, CLOSING_DELAY_MS), forMs: between(random, CLOSING_FOR_MS), calmMs: between(random, CALM_MS),
	};
	const forMs = between(random, AWAY_MS);
	const away = pick(random, AWAY);
	const types = RENEWALS[pick(random, ['wipes', 'wipes', 'mixed', 'replacements'] as const)];
	const faults: CoreFault[] = [];
	switch (away) {
		case 'cut': {
			faults.push({
				type: away, atMs: FIRST_MS, target: 'follower', forMs, direction: pick(random, ['both', 'both', 'in', 'out']),
			});
			break;
		}

		case 'freeze': {
			faults.push({
				type: away, atMs: FIRST_MS, target: 'follower', forMs,
			});
			break;
		}

		case 'learner': {
			faults.push(drawLearner(random, FIRST_MS, forMs));
			break;
		}

		case 'silence': {
			faults.push(...drawSilences(random, forMs));
			break;
		}
	}

	for (let atMs = FIRST_MS + between(random, GAP_MS); atMs < forMs; atMs += between(random, GAP_MS)) {
		faults.push(drawRenewal(random, types, atMs));
	}

	if (random() < IN_TURN_SHARE) {
		for (const fault of faults.filter(({type}) => RENEWAL_TYPES.has(type))) {
			Object.assign(fault, {target: 'oldest'});
		}

		if (random() < NEW_SEEDS_SHARE) {
			faults.push({type: 'seeds', atMs: FIRST_MS + forMs});
		}
	}

	if (isWide) {
		faults.push(drawWide(random, between(random, {min: FIRST_MS, max: forMs})));
	}

	return {faults: faults.toSorted((one, other) => one.atMs - other.atMs), closing};
};
