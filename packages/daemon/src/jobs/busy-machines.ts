/** Machines that refused an order because they are not up or about to leave, which a list of machines may not show. */
import type {Clock} from '@bronzebend/core';

/** Time for which a machine that refused an order gets no other, in milliseconds; about the duration of a move or of an upkeep. */
const RETRY_MS = 2000;

/** Creates an empty record. */
export const createBusyMachines = (clock: Clock) => {
	const refusedMs = new Map<string, number>();

	return {
		/** Records that a machine refused an order as busy. */
		refused(machine: string): void {
			refusedMs.set(machine, clock.monotonicMs());
		},

		/** True if a machine refused an order so recently that it would refuse another one. */
		isBusy: (machine: string): boolean => clock.monotonicMs() - (refusedMs.get(machine) ?? -Infinity) < RETRY_MS,
	};
};
