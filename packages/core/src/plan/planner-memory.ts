/** What a planner remembers between steps. */
import type {Placement} from '../control/placements.js';
import {createForecast} from './forecast.js';

/** Time an instance must be out before another takes its place; restarts are shorter. */
export const REPLACE_AFTER_MS = 5 * 60 * 1000;
/** Time a pool must want more or fewer instances before one moves for it. */
export const SETTLE_MS = 2 * 60 * 1000;
/** Length of a reboot before any was seen, in milliseconds. */
const FIRST_REBOOT_MS = 10 * 60 * 1000;
/** Weight of the newest reboot in the learnt length. */
const DURATION_GAIN = 0.2;

/** The memory of one planner. */
export type PlannerMemory = ReturnType<typeof createPlannerMemory>;

/**
Creates an empty memory.

@param options.isSettled Takes every wish as standing for long enough, for previews.
*/
export const createPlannerMemory = ({isSettled = false}: {isSettled?: boolean} = {}) => {
	const outSince = new Map<string, number>();
	const wantsSince = new Map<string, number>();
	const rebootsSince = new Map<string, number>();
	let rebootMs = FIRST_REBOOT_MS;

	return {
		forecast: createForecast(),
		rebootMs: () => rebootMs,

		/** Notes whether an instance is out without a plan. */
		noteOut(instance: string, isOut: boolean, wallMs: number): void {
			if (isOut) {
				outSince.set(instance, outSince.get(instance) ?? wallMs);
			} else {
				outSince.delete(instance);
			}
		},

		isOut: (instance: string): boolean => outSince.has(instance),
		/** Whether an instance is out for longer than a restart takes. */
		isLost: (instance: string, wallMs: number): boolean => wallMs - (outSince.get(instance) ?? Infinity) >= REPLACE_AFTER_MS,

		/** Whether a wish has stood for long enough; forgets it where it does not hold. */
		hasSettled(wish: string, holds: boolean, wallMs: number): boolean {
			if (!holds) {
				wantsSince.delete(wish);
				return false;
			}

			const since = wantsSince.get(wish) ?? wallMs;
			wantsSince.set(wish, since);
			return isSettled || wallMs - since >= SETTLE_MS;
		},

		noteReboot(workId: string, wallMs: number): void {
			rebootsSince.set(workId, wallMs);
		},

		/** Learns how long reboots take from drain to return. */
		noteReturn({work}: Placement, wallMs: number): void {
			const since = work && rebootsSince.get(work.id);
			if (work?.plan.type === 'reboot' && since !== undefined) {
				rebootsSince.delete(work.id);
				rebootMs += (wallMs - since - rebootMs) * DURATION_GAIN;
			}
		},
	};
};
