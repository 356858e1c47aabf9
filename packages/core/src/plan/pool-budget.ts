/**
Availability budget of a pool: how many more instances may be taken out, given all that are out for whatever reason.

Members in an evacuated data centre serve nothing, so they count as out. Planned work on one of them takes nothing more away.
*/
import type {Instance, Pool} from '../declarations/kinds.js';

/** The budget of one pool during one planning step. */
export type PoolBudget = ReturnType<typeof createPoolBudget>;

/** Options of a budget. */
export type PoolBudgetOptions = {
	pool: Pool;
	members: readonly Instance[];
	/** Names of members that are out now, planned or not. */
	out: ReadonlySet<string>;
	/** Names of members in evacuated data centres; they count as out. */
	evacuated?: ReadonlySet<string>;
	/** False if the evidence is stale; no instance may be taken out then. */
	isFresh: boolean;
};

/** Reason why an instance may not be taken out. */
export type BudgetRefusal = 'stale-evidence' | 'out-already' | 'budget-used-up' | 'data-centre-budget-used-up';

/** Creates the budget of a pool before any decision of the step. */
export const createPoolBudget = ({pool, members, out, evacuated = new Set(), isFresh}: PoolBudgetOptions) => {
	const taken = new Set([...out, ...evacuated]);

	/** Number of instances that the pool lacks of its declared capacity with `more` instances out; members that were replaced do not count. */
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

		/** Returns the reason why the instance may not be taken out; undefined if it may. */
		refusal(instance: Instance): BudgetRefusal | undefined {
			if (!isFresh) {
				return 'stale-evidence';
			}

			if (evacuated.has(instance.name) && !out.has(instance.name)) {
				return undefined;
			}

			// The instance may be about to return; planned work would keep it out for longer.
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
