/**
Portions of each team's upper limit, granted to pools.

A portion belongs to the pool, not to the node that dispatches it, so a new dispatcher inherits it.
It shrinks only by an acknowledgement of the current dispatcher, fenced by epoch.
*/

/** One change of a portion. */
export type GrantChange = {
	pool: string;
	team: string;
	/** Units the pool may have running for the team from now on. */
	amount: number;
	/** Acknowledgement of a shrink by the pool's dispatcher; absent for growth. */
	promise?: GrantPromise;
};

/** A dispatcher's promise to stay within a smaller portion; numbers grow within an epoch. */
export type GrantPromise = {epoch: number; number: number};

/** A batch of changes, applied in order. */
export type GrantsCommand = {type: 'grants'; changes: GrantChange[]};

/** A granted portion, with the last promise that shrank it. */
export type Grant = {pool: string; team: string; amount: number; promise?: GrantPromise};

/** What the aggregate must know of others to keep its rule. */
export type GrantRules = {
	limitOf(team: string): number;
	epochOf(pool: string): number;
};

/** The grants aggregate. */
export type Grants = ReturnType<typeof createGrants>;

/** Creates the aggregate, empty or from a snapshot. */
export const createGrants = (snapshot: readonly Grant[] = []) => {
	const byTeam = new Map<string, Map<string, number>>();
	const promises = new Map<string, GrantPromise>();
	const totals = new Map<string, number>();

	const write = (team: string, pool: string, amount: number): void => {
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

	const promiseId = (pool: string, team: string): string => `${pool} ${team}`;

	for (const {pool, team, amount, promise} of snapshot) {
		write(team, pool, amount);
		if (promise) {
			promises.set(promiseId(pool, team), promise);
		}
	}

	/** A promise counts once, and only from the current dispatcher. */
	const isFresh = (promise: GrantPromise | undefined, pool: string, team: string, rules: GrantRules): boolean => {
		if (promise?.epoch !== rules.epochOf(pool)) {
			return false;
		}

		const last = promises.get(promiseId(pool, team));
		return last?.epoch !== promise.epoch || promise.number > last.number;
	};

	const describe = (pool: string, team: string, amount: number): Grant => {
		const promise = promises.get(promiseId(pool, team));
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
			return amount === undefined && !promises.has(promiseId(pool, team)) ? [] : [describe(pool, team, amount ?? 0)];
		}),

		/** Applies each change that keeps the rule and drops the others. */
		apply({changes}: GrantsCommand, rules: GrantRules): void {
			for (const {pool, team, amount, promise} of changes) {
				const growth = amount - amountOf(pool, team);
				if (promise === undefined && growth > 0 && (totals.get(team) ?? 0) + growth <= rules.limitOf(team)) {
					write(team, pool, amount);
				}

				if (promise !== undefined && growth <= 0 && amount >= 0 && isFresh(promise, pool, team, rules)) {
					write(team, pool, amount);
					promises.set(promiseId(pool, team), promise);
				}
			}
		},

		snapshot(): Grant[] {
			const ids = new Set([...[...byTeam].flatMap(([team, pools]) => [...pools.keys()].map(pool => promiseId(pool, team))), ...promises.keys()]);
			return [...ids].map(id => {
				const [pool, team] = id.split(' ') as [string, string];
				return describe(pool, team, amountOf(pool, team));
			});
		},
	};
};
