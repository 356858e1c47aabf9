/**
Capacity as an oracle would give it: a machine serves a pool from the moment at which work waits there
to the moment at which nothing runs on it, and no move takes time. No balancer can use fewer
machine-seconds for the same service on the same machines, apart from tighter packing.
*/

/** A machine as the oracle sees it. */
export type OracleMachine = {pool: string; isCrashed: boolean};

/** What the oracle decides for. */
export type OracleInput<Machine extends OracleMachine> = {
	machines: readonly Machine[];
	/** Pool of the machines that cost nothing. */
	sparePool: string;
	isIdle(machine: Machine): boolean;
	/** Puts a machine into a pool at once, where it takes work in the next pass. */
	assign(machine: Machine, pool: string): void;
	/** Starts what fits; returns the number of work units that found no room, by pool. */
	startRuns(): ReadonlyMap<string, number>;
};

/** Gives idle machines back, then adds machines to the pools with waiting work, one each at a time, until no work waits or no machine is left. */
export const followDemand = <Machine extends OracleMachine>({machines, sparePool, isIdle, assign, startRuns}: OracleInput<Machine>): void => {
	for (const machine of machines.filter(each => each.pool !== sparePool && !each.isCrashed && isIdle(each))) {
		assign(machine, sparePool);
	}

	const spares = machines.filter(machine => machine.pool === sparePool && !machine.isCrashed);
	let waiting = startRuns();
	while (spares.length > 0) {
		// Pools with the most waiting work come first, so that a full fleet is shared by need.
		const short = [...waiting].filter(([, units]) => units > 0).toSorted(([, left], [, right]) => right - left).slice(0, spares.length);
		if (short.length === 0) {
			return;
		}

		for (const [pool] of short) {
			assign(spares.shift()!, pool);
		}

		waiting = startRuns();
	}
};
