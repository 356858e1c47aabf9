/** Observations that a planner keeps between steps. */
import type {Placement} from '../control/placements.js';
import {createForecast} from './forecast.js';

/** Time that an instance must be out before it is replaced, in milliseconds; restarts are shorter. */
export const REPLACE_AFTER_MS = 5 * 60 * 1000;
/** Time that a pool must need more or fewer instances before one is moved, in milliseconds. */
export const SETTLE_MS = 2 * 60 * 1000;
/** Assumed length of a reboot before any was observed, in milliseconds. */
const FIRST_REBOOT_MS = 10 * 60 * 1000;
/** Weight of the newest reboot in the moving average of reboot lengths. */
const DURATION_GAIN = 0.2;

/** The history of one planner. */
export type PlannerHistory = ReturnType<typeof createPlannerHistory>;

/**
Creates an empty history.

@param options.isSettled Treats every condition as settled at once, for previews.
*/
export const createPlannerHistory = ({isSettled = false}: {isSettled?: boolean} = {}) => {
	const outSince = new Map<string, number>();
	const conditionsSince = new Map<string, number>();
	const rebootsSince = new Map<string, number>();
	let rebootMs = FIRST_REBOOT_MS;

	return {
		forecast: createForecast(),
		rebootMs: () => rebootMs,

		/** Records whether an instance is out without planned work. */
		recordOut(instance: string, isOut: boolean, wallMs: number): void {
			if (isOut) {
				outSince.set(instance, outSince.get(instance) ?? wallMs);
			} else {
				outSince.delete(instance);
			}
		},

		isOut: (instance: string): boolean => outSince.has(instance),
		/** Whether an instance is out for longer than a restart takes. */
		isLost: (instance: string, wallMs: number): boolean => wallMs - (outSince.get(instance) ?? Infinity) >= REPLACE_AFTER_MS,

		/** Whether a condition has held for {@link SETTLE_MS}; restarts its time if it does not hold now. */
		hasSettled(condition: string, holds: boolean, wallMs: number): boolean {
			if (!holds) {
				conditionsSince.delete(condition);
				return false;
			}

			const since = conditionsSince.get(condition) ?? wallMs;
			conditionsSince.set(condition, since);
			return isSettled || wallMs - since >= SETTLE_MS;
		},

		recordRebootStart(workId: string, wallMs: number): void {
			rebootsSince.set(workId, wallMs);
		},

		/** Updates the average reboot length, from the start of the drain to the return. */
		recordRebootEnd({work}: Placement, wallMs: number): void {
			const since = work && rebootsSince.get(work.id);
			if (work?.plan.type === 'reboot' && since !== undefined) {
				rebootsSince.delete(work.id);
				rebootMs += (wallMs - since - rebootMs) * DURATION_GAIN;
			}
		},
	};
};
