/** Records when this process applied the last order to each machine, which bounds the age of another holder's order. */
import type {Clock} from '@bronzebend/core';

/**
Creates the record of one process.

Entries of the log that were on disk when the process started are applied again after a restart. The moment of that says
nothing about the age of their orders, so they count as not applied by this process.
*/
export const createMachineOrderTimes = (clock: Clock, lastIndexAtStart: number) => {
	const appliedMs = new Map<string, number>();

	return {
		/** Records that the entry of an order was applied. */
		applied(machine: string, index: number): void {
			if (index > lastIndexAtStart) {
				appliedMs.set(machine, clock.monotonicMs());
			}
		},

		/** When the last order to a machine was applied, on the steady clock in milliseconds; undefined if that is not known. */
		of: (machine: string): number | undefined => appliedMs.get(machine),

		/** Forgets all times, as the state was replaced by a snapshot. */
		clear(): void {
			appliedMs.clear();
		},
	};
};
