/** Weighted max-min fair shares of a capacity, computed exactly. */

/** A party that competes for the capacity. */
export type Claimant = {
	weight: number;
	/** Units that it could use now. */
	demand: number;
};

/**
Computes the weighted max-min share of each claimant: no claimant gets more than its demand,
and capacity that some do not need is divided among the others by weight.

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
