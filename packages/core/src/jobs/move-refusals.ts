/**
Holds machines back from pools after the platform refused to move them there.

A refusal does not tell whether the machine is gone, although it was listed, or whether the pool does not
take its kind. A kind is held back only once moves of two of its machines were refused, and each delay
expires, so that a list that was out of date takes no kind from a pool for long.
*/

/** First delay of a kind, in milliseconds; doubles with each further refusal after it has expired. */
const KIND_DELAY_MS = 1000;
/** First delay of a machine, in milliseconds; longer than that of a kind, so that another machine of the kind is tried first. */
const MACHINE_DELAY_MS = 2000;
/** Upper limit on both delays, in milliseconds. */
const MAX_DELAY_MS = 30_000;
/** First delay of a machine that is busy, in milliseconds; doubles with each further answer. */
const BUSY_DELAY_MS = 500;
/** Upper limit on the delay of a machine that is busy, in milliseconds; it may be free again at any moment. */
const MAX_BUSY_DELAY_MS = 2000;

type Delay = {untilMs: number; lengthMs: number};

/** A machine and the pool that it may move to. */
export type PossibleMove = {machine: string; kind: string; to: string};

/** Creates the record, without refusals. Times are in milliseconds on one monotonic clock. */
export const createMoveRefusals = () => {
	const delays = new Map<string, Delay>();
	/** Machines that were refused since the last accepted move of their kind, by kind and pool. */
	const refusedByKind = new Map<string, Set<string>>();

	const machineKey = ({machine, to}: PossibleMove): string => `machine ${machine} ${to}`;
	const busyKey = ({machine}: PossibleMove): string => `busy ${machine}`;
	const kindKey = ({kind, to}: PossibleMove): string => `kind ${kind} ${to}`;

	/** Begins the next delay; refusals during a delay are answers to moves ordered before it. */
	const delay = (key: string, {firstMs, maxMs}: {firstMs: number; maxMs: number}, nowMs: number): void => {
		const last = delays.get(key);
		if (last && nowMs < last.untilMs) {
			return;
		}

		const lengthMs = last ? Math.min(maxMs, last.lengthMs * 2) : firstMs;
		delays.set(key, {untilMs: nowMs + lengthMs, lengthMs});
	};

	return {
		/** Records that the platform cannot move a machine to a pool. */
		impossible(move: PossibleMove, nowMs: number): void {
			delay(machineKey(move), {firstMs: MACHINE_DELAY_MS, maxMs: MAX_DELAY_MS}, nowMs);
			const refused = refusedByKind.get(kindKey(move)) ?? new Set<string>();
			refused.add(move.machine);
			refusedByKind.set(kindKey(move), refused);
			if (refused.size > 1) {
				delay(kindKey(move), {firstMs: KIND_DELAY_MS, maxMs: MAX_DELAY_MS}, nowMs);
			}
		},

		/** Records that the platform did not move a machine now, whatever the pool. */
		busy(move: PossibleMove, nowMs: number): void {
			delay(busyKey(move), {firstMs: BUSY_DELAY_MS, maxMs: MAX_BUSY_DELAY_MS}, nowMs);
		},

		/** Records that the platform moved a machine to a pool, which therefore takes its kind. */
		accepted(move: PossibleMove): void {
			delays.delete(machineKey(move));
			delays.delete(busyKey(move));
			delays.delete(kindKey(move));
			refusedByKind.delete(kindKey(move));
		},

		/** True if a machine may be tried. */
		mayMove: (move: PossibleMove, nowMs: number): boolean => delays.size === 0 || [machineKey(move), busyKey(move), kindKey(move)].every(key => nowMs >= (delays.get(key)?.untilMs ?? -Infinity)),
	};
};
