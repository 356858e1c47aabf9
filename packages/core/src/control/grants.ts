/**
Grants to pools: the portion of each team's upper limit that a pool may use.

A portion belongs to the pool, not to the node that dispatches it, so a new dispatcher inherits it.
It shrinks only when the current dispatcher acknowledges the smaller portion; the epoch fences earlier dispatchers.
*/

/** One change of a portion. */
export type GrantChange = {
	pool: string;
	team: string;
	/** New portion, in units of running work. */
	amount: number;
	/** The dispatcher's acknowledgement of a smaller portion; absent if the portion grows. */
	promise?: GrantPromise;
};

/** A dispatcher's acknowledgement that it stays within a smaller portion; `number` increases within an epoch. */
export type GrantPromise = {epoch: number; number: number};

/** Changes of portions, applied in order. */
export type GrantsCommand = {type: 'grants'; changes: GrantChange[]};

/** A granted portion, with the last acknowledgement that shrank it. */
export type Grant = {pool: string; team: string; amount: number; promise?: GrantPromise};

/** Lookups into other aggregates that validate a change: team limits and pool epochs. */
export type GrantLookups = {
	limitOf(team: string): number;
	epochOf(pool: string): number;
};

/** The grants aggregate. */
export type Grants = ReturnType<typeof createGrants>;

/** Creates the aggregate, empty or from a snapshot. */
export const createGrants = (snapshot: readonly Grant[] = []) => {
	const byTeam = new Map<string, Map<string, number>>();
	const lastPromises = new Map<string, GrantPromise>();
	const totals = new Map<string, number>();

	const setAmount = (team: string, pool: string, amount: number): void => {
		const pools = byTeam.get(team) ?? new Map<string, number>();
		const before = pools.get(pool) ?? 0;
		if (amount === 0) {
			pools.delete(pool);
		} else {
			pools.set(pool, amount);
		}

		byTeam.set(team, pools);
		totals.set(team, (totals.get(team) ?? 0) - before + amount);
	};

	const grantId = (pool: string, team: string): string => `${pool} ${team}`;

	for (const {pool, team, amount, promise} of snapshot) {
		setAmount(team, pool, amount);
		if (promise) {
			lastPromises.set(grantId(pool, team), promise);
		}
	}

	/** Each acknowledgement is accepted once, and only from the current dispatcher. */
	const isNewPromise = (promise: GrantPromise | undefined, pool: string, team: string, lookups: GrantLookups): boolean => {
		if (promise?.epoch !== lookups.epochOf(pool)) {
			return false;
		}

		const last = lastPromises.get(grantId(pool, team));
		return last?.epoch !== promise.epoch || promise.number > last.number;
	};

	const toGrant = (pool: string, team: string, amount: number): Grant => {
		const promise = lastPromises.get(grantId(pool, team));
		return promise
			? {
				pool, team, amount, promise,
			}
			: {pool, team, amount};
	};

	const amountOf = (pool: string, team: string): number => byTeam.get(team)?.get(pool) ?? 0;

	return {
		amountOf,
		totalOf: (team: string): number => totals.get(team) ?? 0,
		ofTeam: (team: string): ReadonlyMap<string, number> => byTeam.get(team) ?? new Map<string, number>(),
		ofPool: (pool: string): Grant[] => [...byTeam].flatMap(([team, pools]) => {
			const amount = pools.get(pool);
			return amount === undefined && !lastPromises.has(grantId(pool, team)) ? [] : [toGrant(pool, team, amount ?? 0)];
		}),

		/** Applies the valid changes and ignores the others: growth must fit the team's limit, shrinks need a new acknowledgement. */
		apply({changes}: GrantsCommand, lookups: GrantLookups): void {
			for (const {pool, team, amount, promise} of changes) {
				const growth = amount - amountOf(pool, team);
				if (promise === undefined && growth > 0 && (totals.get(team) ?? 0) + growth <= lookups.limitOf(team)) {
					setAmount(team, pool, amount);
				}

				if (promise !== undefined && growth <= 0 && amount >= 0 && isNewPromise(promise, pool, team, lookups)) {
					setAmount(team, pool, amount);
					lastPromises.set(grantId(pool, team), promise);
				}
			}
		},

		snapshot(): Grant[] {
			const ids = new Set([...[...byTeam].flatMap(([team, pools]) => [...pools.keys()].map(pool => grantId(pool, team))), ...lastPromises.keys()]);
			return [...ids].map(id => {
				const [pool, team] = id.split(' ') as [string, string];
				return toGrant(pool, team, amountOf(pool, team));
			});
		},
	};
};
