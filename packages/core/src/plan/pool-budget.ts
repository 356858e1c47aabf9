/** How many instances of a pool may still be taken out, counting all that are out for whatever reason. */
import type {Instance, Pool} from '../declarations/kinds.js';

/** The budget of one pool during one planning step. */
export type PoolBudget = ReturnType<typeof createPoolBudget>;

/** What a budget is made from. */
export type PoolBudgetOptions = {
	pool: Pool;
	members: readonly Instance[];
	/** Names of members that are out now, planned or not. */
	out: ReadonlySet<string>;
	/** False where the evidence is stale; nothing may be taken out then. */
	isFresh: boolean;
};

/** Why an instance may not be taken out. */
export type BudgetRefusal = 'stale-evidence' | 'out-already' | 'budget-used-up' | 'data-centre-budget-used-up';

/** Creates the budget as it stands before the step. */
export const createPoolBudget = ({pool, members, out, isFresh}: PoolBudgetOptions) => {
	const taken = new Set(out);

	/** What the pool lacks of its wanted capacity with `more` instances out; a member that was replaced costs nothing any more. */
	const outCount = (more = 0): number => {
		const out = taken.size + more;
		return Math.min(out, Math.max(0, pool.capacity.instances - (members.length - out)));
	};

	const dataCentreOf = new Map(members.map(member => [member.name, member.dataCentre]));
	const outByDataCentre = new Map<string, number>();
	for (const name of taken) {
		const dataCentre = dataCentreOf.get(name) ?? '';
		outByDataCentre.set(dataCentre, (outByDataCentre.get(dataCentre) ?? 0) + 1);
	}

	const {maxOut, maxOutPerDataCentre = Infinity} = pool.availability;

	return {
		outCount: (): number => outCount(),
		isOverspent: () => outCount() > maxOut,

		/** Why the instance may not be taken out; undefined where it may. */
		refusal(instance: Instance): BudgetRefusal | undefined {
			if (!isFresh) {
				return 'stale-evidence';
			}

			// Planned work would keep an instance out for longer that may be about to return.
			if (taken.has(instance.name)) {
				return 'out-already';
			}

			if (outCount(1) > maxOut) {
				return 'budget-used-up';
			}

			return (outByDataCentre.get(instance.dataCentre) ?? 0) + 1 > maxOutPerDataCentre ? 'data-centre-budget-used-up' : undefined;
		},

		take(instance: Instance): void {
			if (!taken.has(instance.name)) {
				taken.add(instance.name);
				outByDataCentre.set(instance.dataCentre, (outByDataCentre.get(instance.dataCentre) ?? 0) + 1);
			}
		},
	};
};
