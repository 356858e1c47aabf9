/** Assignment of each pool to the node that dispatches it, with an epoch that fences earlier dispatchers. */

/** Assigns a pool to a node; `epoch` must be the current epoch plus one. */
export type AssignCommand = {type: 'assign'; pool: string; node: string; epoch: number};

/** The node that dispatches a pool. */
export type Assignment = {pool: string; node: string; epoch: number};

/** The assignments aggregate. */
export type Assignments = ReturnType<typeof createAssignments>;

/** Creates the aggregate, empty or from a snapshot. */
export const createAssignments = (snapshot: readonly Assignment[] = []) => {
	const byPool = new Map(snapshot.map(assignment => [assignment.pool, assignment]));

	return {
		find: (pool: string) => byPool.get(pool),
		list: (): Assignment[] => [...byPool.values()],

		/** Returns false if the epoch does not follow the current one, such as when another assignment was applied first. */
		assign({pool, node, epoch}: AssignCommand): boolean {
			const current = byPool.get(pool)?.epoch ?? 0;
			if (epoch !== current + 1) {
				return false;
			}

			byPool.set(pool, {pool, node, epoch});
			return true;
		},

		snapshot: (): Assignment[] => [...byPool.values()],
	};
};
