/** Size of the spare buffer that covers the loss of the largest failure domain. */
import type {Instance} from '../declarations/kinds.js';

/** Counts the instances of the largest rack, spare pools excluded. */
export const largestRackLoss = (members: ReadonlyMap<string, readonly Instance[]>, sparePools: ReadonlySet<string>): number => {
	const byDataCentre = new Map<string, Map<string, number>>();
	for (const [pool, instances] of members) {
		if (sparePools.has(pool)) {
			continue;
		}

		for (const {dataCentre, rack} of instances) {
			const byRack = byDataCentre.get(dataCentre) ?? new Map<string, number>();
			byDataCentre.set(dataCentre, byRack);
			byRack.set(rack, (byRack.get(rack) ?? 0) + 1);
		}
	}

	return Math.max(0, ...[...byDataCentre.values()].flatMap(byRack => [...byRack.values()]));
};
