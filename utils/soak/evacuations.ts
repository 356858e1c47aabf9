/** Evacuations of data centres in a soak: when an operator requests and withdraws them, and which starts break their promise. */
import type {Random} from '@bronzebend/core';
import type {WorkerRun} from '../platform-stand-ins.js';
import type {Violation} from './ledger.js';
import {send} from './send.js';

/** Time after the acknowledgement from which no work unit starts in the data centre, in milliseconds; the setting `evacuate-ms`. */
export const EVACUATE_MS = 5000;
/** Times until the first evacuation, between the beginnings of two, and of one, in milliseconds; most last for longer than the bound. */
const FIRST_MS = {min: 3000, max: 8000} as const;
const GAP_MS = {min: 4000, max: 10_000} as const;
const LENGTH_MS = {min: 5000, max: 14_000} as const;
/** Time after which an operator repeats a call at another keeper, the pause before that, and the time until a call is given up, in milliseconds. */
const CALL_TIMEOUT_MS = 1000;
const RETRY_MS = 100;
const GIVE_UP_MS = 30_000;
const POLL_MS = 50;
/** Statuses that end an operator's call at once. */
const REFUSALS: ReadonlySet<number> = new Set([400, 404, 409, 412, 413, 422]);

/** An evacuation to carry out; times in milliseconds since the soak began. */
export type DrawnEvacuation = {zone: string; atMs: number; forMs: number};

/** A call as its operator saw it; times in Unix milliseconds. */
export type EvacuationCall = {call: 'Begin' | 'Terminate'; zone: string; sentMs: number; ackMs?: number; refusal?: number; attempts: number};

/** An evacuation that was carried out; its second call is the withdrawal. */
export type SeenEvacuation = {zone: string; calls: EvacuationCall[]};

const pause = async (milliseconds: number): Promise<void> => new Promise(resolve => {
	setTimeout(resolve, milliseconds);
});

const within = (random: Random, {min, max}: {min: number; max: number}): number => Math.round(min + (random() * (max - min)));

/** Draws evacuations in order of time. They may overlap, of different data centres. */
export const drawEvacuations = (random: Random, {zones, lengthMs}: {zones: readonly string[]; lengthMs: number}): DrawnEvacuation[] => {
	const drawn: DrawnEvacuation[] = [];
	for (let atMs = within(random, FIRST_MS); atMs < lengthMs; atMs += within(random, GAP_MS)) {
		drawn.push({zone: zones[Math.floor(random() * zones.length)]!, atMs, forMs: within(random, LENGTH_MS)});
	}

	return drawn;
};

export type Evacuator = ReturnType<typeof createEvacuator>;

/** The operator that carries out evacuations; one data centre always stays in use. */
export const createEvacuator = ({random, controls, zones, record}: {
	random: Random;
	/** Control addresses of the keepers. */
	controls: readonly string[];
	zones: readonly string[];
	record(who: string, what: string, detail?: Record<string, unknown>): void;
}) => {
	const seen: SeenEvacuation[] = [];
	const inUse = new Set<string>();

	/** Repeats a call, to any keeper, until it is acknowledged or refused. */
	const repeat = async (call: EvacuationCall['call'], zone: string): Promise<EvacuationCall> => {
		const made: EvacuationCall = {
			call, zone, sentMs: Date.now(), attempts: 0,
		};
		while (made.ackMs === undefined && made.refusal === undefined && Date.now() - made.sentMs < GIVE_UP_MS) {
			made.attempts += 1;
			const address = controls[Math.floor(random() * controls.length)]!;
			const {status} = await send({
				method: 'POST', address, path: `/Evacuations.${call}/${zone}`, timeoutMs: CALL_TIMEOUT_MS,
			});
			record('operator', call, {zone, address, status});
			if (status === 200) {
				made.ackMs = Date.now();
			} else if (REFUSALS.has(status)) {
				made.refusal = status;
			} else {
				await pause(RETRY_MS);
			}
		}

		return made;
	};

	return {
		seen,

		/** Carries out one evacuation now, as soon as another data centre stays in use; withdraws it once its time is over or the soak is. */
		async carryOut({zone, forMs}: DrawnEvacuation, isOver: () => boolean): Promise<void> {
			while (!isOver() && (inUse.has(zone) || inUse.size >= zones.length - 1)) {
				await pause(POLL_MS);
			}

			if (isOver()) {
				return;
			}

			inUse.add(zone);
			const begin = await repeat('Begin', zone);
			const evacuation: SeenEvacuation = {zone, calls: [begin]};
			seen.push(evacuation);
			for (const endMs = Date.now() + forMs; Date.now() < endMs && !isOver();) {
				await pause(POLL_MS);
			}

			// Withdrawn even without an acknowledgement, as the request may have been accepted.
			evacuation.calls.push(await repeat('Terminate', zone));
			inUse.delete(zone);
		},
	};
};

/** Starts in an evacuated data centre between the acknowledgement and the request for the withdrawal. */
const startsWithin = <Run extends WorkerRun>({zone, calls: [begin, end]}: SeenEvacuation, runs: readonly Run[], zoneOf: (worker: string) => string | undefined): Run[] => runs.filter(run => run.startMs > (begin?.ackMs ?? Infinity) && run.startMs < (end?.sentMs ?? Infinity) && zoneOf(run.worker) === zone);

/** Longest time from an acknowledgement to a start in the data centre, in milliseconds; 0 if nothing started there any more. */
export const longestEffectMs = (evacuations: readonly SeenEvacuation[], runs: readonly WorkerRun[], zoneOf: (worker: string) => string | undefined): number => Math.max(0, ...evacuations.flatMap(evacuation => startsWithin(evacuation, runs, zoneOf).map(run => run.startMs - evacuation.calls[0]!.ackMs!)));

/** Finds starts in an evacuated data centre after the bound and before the withdrawal was requested, and calls that were refused or never acknowledged. */
export const findEvacuationBreaks = <Run extends WorkerRun>(evacuations: readonly SeenEvacuation[], runs: readonly Run[], zoneOf: (worker: string) => string | undefined): Array<Violation<Run>> => evacuations.flatMap(evacuation => {
	const {zone, calls} = evacuation;
	const failed = calls.filter(({ackMs}) => ackMs === undefined);
	const ackMs = calls[0]?.ackMs ?? Infinity;
	const late = startsWithin(evacuation, runs, zoneOf).filter(run => run.startMs > ackMs + EVACUATE_MS);
	return [
		...failed.map(({call, sentMs, refusal, attempts}): Violation<Run> => ({
			rule: refusal === undefined ? 'evacuation-unanswered' : 'evacuation-refused', detail: `${call} ${zone} sent at ${sentMs}, ${attempts} attempts, status ${refusal ?? 'none of use'}`,
		})),
		...late.map((run): Violation<Run> => ({rule: 'start-in-evacuated', detail: `${run.task}#${run.attempt} on ${run.worker} started ${Math.round(run.startMs - ackMs)} ms after the evacuation of ${zone} was acknowledged`})),
	];
});
