/** Draws the faults of one soak from a seed. */
import type {Random} from '@bronzebend/core';

/** Kinds of fault of processes. A stop is a SIGTERM; a process that was killed or stopped is started again after the fault's time. */
export const processKinds = ['leader-kill', 'leader-pause', 'leader-stop', 'keeper-kill', 'keeper-pause', 'keeper-stop', 'entry-kill', 'entry-stop'] as const;
/** Kinds of fault of workers, and of the links to them. */
export const workerKinds = [
	'refuse',
	'reset',
	'blink',
	'answers-lost',
	'silence',
	'silence-late',
	'deaf',
	'mute',
	'slow',
	'held-up',
	'late-orders',
	'unhealthy',
	'pause',
	'crash',
	'power-loss',
	'replace',
	'leave',
	'gone',
	'reborn-unseen',
] as const;

export type ProcessKind = typeof processKinds[number];
export type WorkerKind = typeof workerKinds[number];
export type FaultKind = ProcessKind | WorkerKind;

/** A fault, when it begins, in milliseconds since the soak began, and how long it lasts. */
export type Fault = {atMs: number; forMs: number} & (
	| {type: ProcessKind; process: number}
	/** `luck` is a number in [0, 1) for what the kind leaves open. */
	| {type: WorkerKind; workers: number[]; luck: number}
);

/** What the faults may hit. Processes and workers are named by their index. */
export type FaultTargets = {keepers: number; entries: number; workers: number; lengthMs: number; kinds?: readonly FaultKind[]};

/** Time of the first fault; the workers have work by then. */
const FIRST_MS = 2000;
/** Longest pause between the beginnings of two faults, in milliseconds; shorter than most faults, so that they overlap. */
const MAX_GAP_MS = 2000;
const FAULT_MS = {min: 500, max: 6000} as const;
const BLINK_MS = {min: 50, max: 300} as const;
/** Time between the ends and beginnings of two faults of one process, in milliseconds. */
const PROCESS_REST_MS = 3000;
/** Keepers that may be away at once; half of the group has to remain. */
const MAX_KEEPERS_AWAY = 2;
/** Share of the workers that one fault hits. */
const HIT_SHARE = 0.15;
/** Share of the machines that may be lost for good in one soak. */
const GONE_SHARE = 0.1;

const isProcessKind = (kind: FaultKind): kind is ProcessKind => (processKinds as readonly FaultKind[]).includes(kind);

const pick = <Item>(random: Random, items: readonly Item[]): Item => items[Math.floor(random() * items.length)]!;
const within = (random: Random, {min, max}: {min: number; max: number}): number => Math.round(min + (random() * (max - min)));

const drawWorkers = (random: Random, count: number): number[] => Array.from({length: count}, (_, index) => index).filter(() => random() < HIT_SHARE);

const overlaps = (one: {atMs: number; forMs: number}, other: {atMs: number; forMs: number}, restMs: number): boolean => one.atMs < other.atMs + other.forMs + restMs && other.atMs < one.atMs + one.forMs + restMs;

/** Draws faults in order of time. Workers and links have any number at once; of the keepers at most two are away at a time. */
export const drawFaults = (random: Random, {keepers, entries, workers, lengthMs, kinds = [...processKinds, ...workerKinds]}: FaultTargets): Fault[] => {
	const faults: Fault[] = [];
	let gone = 0;
	let atMs = FIRST_MS;
	while (atMs < lengthMs && kinds.length > 0) {
		const type = pick(random, kinds);
		const forMs = within(random, type === 'blink' ? BLINK_MS : FAULT_MS);
		if (isProcessKind(type)) {
			const isEntry = type.startsWith('entry');
			const fault = {
				type, process: Math.floor(random() * (isEntry ? entries : keepers)), atMs, forMs,
			};
			const same = faults.filter(other => 'process' in other && other.type.startsWith('entry') === isEntry && overlaps(fault, other, PROCESS_REST_MS));
			if (same.length < (isEntry ? 1 : MAX_KEEPERS_AWAY)) {
				faults.push(fault);
			}
		} else {
			const luck = random();
			const hit = drawWorkers(random, workers);
			const isForGood = type === 'gone';
			const chosen = hit.length === 0 ? [Math.floor(luck * workers)] : hit;
			const hitWorkers = isForGood ? chosen.slice(0, Math.max(0, Math.floor(workers * GONE_SHARE) - gone)) : chosen;
			gone += isForGood ? hitWorkers.length : 0;
			if (hitWorkers.length > 0) {
				faults.push({
					type, workers: hitWorkers, luck, atMs, forMs,
				});
			}
		}

		atMs += Math.round(random() * MAX_GAP_MS);
	}

	return faults;
};

/** Describes a fault in one line. */
export const describeFault = (fault: Fault): string => `${(fault.atMs / 1000).toFixed(1)} s, for ${(fault.forMs / 1000).toFixed(1)} s: ${fault.type} ${'process' in fault ? `process ${fault.process + 1}` : `workers ${fault.workers.map(index => index + 1).join(' ')}`}`;
