/** How many spare instances stand ready for the loss of the largest failure domain. */
import type {Instance} from '../declarations/kinds.js';

/** Instances that the loss of the largest rack takes from pools other than the spare one. */
export const largestRackLoss = (members: ReadonlyMap<string, readonly Instance[]>, sparePools: ReadonlySet<string>): number => {
	const byRack = new Map<string, number>();
	for (const [pool, instances] of members) {
		if (sparePools.has(pool)) {
			continue;
		}

		for (const {dataCentre, rack} of instances) {
			const domain = `${dataCentre}/${rack}`;
			byRack.set(domain, (byRack.get(domain) ?? 0) + 1);
		}
	}

	return Math.max(0, ...byRack.values());
};
