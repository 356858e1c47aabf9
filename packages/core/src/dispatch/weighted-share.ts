/** Exact weighted max-min shares of a capacity. */

/** One claimant. */
export type Claimant = {
	weight: number;
	/** Units it could use now. */
	demand: number;
};

/**
Computes the weighted max-min share of each claimant: no one gets more than its demand,
and what some leave unused goes to the others by weight.

@returns Shares in the order of the claimants, in units of `capacity`.
*/
export const weightedMaxMin = (capacity: number, claimants: readonly Claimant[]): number[] => {
	const shares = claimants.map(() => 0);
	const order = claimants.map((_, index) => index).filter(index => claimants[index]!.demand > 0);
	order.sort((left, right) => (claimants[left]!.demand / claimants[left]!.weight) - (claimants[right]!.demand / claimants[right]!.weight));
	let remaining = capacity;
	let weightLeft = order.map(index => claimants[index]!.weight).reduce((sum, weight) => sum + weight, 0);
	for (const index of order) {
		const {weight, demand} = claimants[index]!;
		const share = Math.min(demand, remaining * weight / weightLeft);
		shares[index] = share;
		remaining -= share;
		weightLeft -= weight;
	}

	return shares;
};
