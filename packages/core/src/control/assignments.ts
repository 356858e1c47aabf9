/** Which node dispatches each pool, with an epoch that fences earlier holders. */

/** Gives a pool to a node; `epoch` must be one above the current one. */
export type AssignCommand = {type: 'assign'; pool: string; node: string; epoch: number};

/** The holder of a pool's dispatch. */
export type Assignment = {pool: string; node: string; epoch: number};

/** The assignments aggregate. */
export type Assignments = ReturnType<typeof createAssignments>;

/** Creates the aggregate, empty or from a snapshot. */
export const createAssignments = (snapshot: readonly Assignment[] = []) => {
	const byPool = new Map(snapshot.map(assignment => [assignment.pool, assignment]));

	return {
		find: (pool: string) => byPool.get(pool),
		list: (): Assignment[] => [...byPool.values()],

		/** Returns false where another assignment came first. */
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
