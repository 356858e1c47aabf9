/** Draws the faults of one soak from a seed. */
import type {Random} from '@bronzebend/core';

/** A fault, and when it begins, in milliseconds since the soak began. */
export type Fault = {atMs: number; forMs: number} & (
	| {type: 'kill' | 'pause' | 'stop'; process: string}
	| {type: 'silent-reports' | 'lost-answers'; worker: number}
);

/** Kinds of fault. A stop is a SIGTERM; the process of a kill or a stop is started again after the fault's time. */
const KINDS = ['kill', 'pause', 'stop', 'silent-reports', 'lost-answers'] as const;
/** Shortest and longest time of a fault, in milliseconds. */
const FAULT_MS = {min: 500, max: 6000} as const;
/** Longest pause between two faults, in milliseconds; shorter than most faults, so that they overlap. */
const MAX_GAP_MS = 2500;

/** What the faults may hit. */
export type FaultTargets = {keepers: readonly string[]; entries: readonly string[]; workers: number; lengthMs: number};

const pick = <Item>(random: Random, items: readonly Item[]): Item => items[Math.floor(random() * items.length)]!;

/** Draws faults in order of time; at most one process is away at a time, as one is what the group of keepers tolerates. */
export const drawFaults = (random: Random, {keepers, entries, workers, lengthMs}: FaultTargets): Fault[] => {
	const faults: Fault[] = [];
	let processFreeMs = 0;
	let atMs = 1000;
	while (atMs < lengthMs) {
		const forMs = Math.round(FAULT_MS.min + (random() * (FAULT_MS.max - FAULT_MS.min)));
		const type = pick(random, KINDS);
		switch (type) {
			case 'kill':
			case 'pause':
			case 'stop': {
				const at = Math.max(atMs, processFreeMs);
				processFreeMs = at + forMs + FAULT_MS.min;
				faults.push({
					type, process: pick(random, [...keepers, ...keepers, ...entries]), atMs: at, forMs,
				});
				break;
			}

			case 'silent-reports':
			case 'lost-answers': {
				faults.push({
					type, worker: Math.floor(random() * workers), atMs, forMs,
				});
				break;
			}
		}

		atMs += Math.round(random() * MAX_GAP_MS);
	}

	return faults.filter(fault => fault.atMs < lengthMs).toSorted((one, other) => one.atMs - other.atMs);
};

/** Describes a fault in one line. */
export const describeFault = (fault: Fault): string => `${(fault.atMs / 1000).toFixed(1)} s, for ${(fault.forMs / 1000).toFixed(1)} s: ${fault.type} ${'process' in fault ? fault.process : `worker ${fault.worker + 1}`}`;
