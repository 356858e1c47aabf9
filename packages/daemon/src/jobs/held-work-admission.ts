/** Admits jobs by the work that the keepers hold in memory, including that of jobs whose acceptance is being committed. */
import {
	mayHold, weightOf, type Clock, type JobOrder, type JobStore,
} from '@bronzebend/core';

/** Creates the admission of one term; `limit` returns the work units of jobs that the keepers may hold. */
export const createHeldWorkAdmission = ({store, clock, limit}: {store: Pick<JobStore, 'heldWork'>; clock: Clock; limit(): number}) => {
	const committing = new Set<JobOrder>();

	return {
		/** Whether a job may be accepted beside what is held. */
		mayAccept(order: JobOrder): boolean {
			const held = store.heldWork(clock.wallMs(), order.workspace);
			const sum = (orders: readonly JobOrder[]): number => orders.reduce((weight, other) => weight + weightOf(other), 0);
			const added = [...committing];
			return mayHold(weightOf(order), {
				total: held.total + sum(added),
				ofWorkspace: held.ofWorkspace + sum(added.filter(other => other.workspace === order.workspace)),
			}, limit());
		},

		/** Counts a job while its acceptance is being committed. */
		async during<Result>(order: JobOrder, commit: Promise<Result>): Promise<Result> {
			committing.add(order);
			try {
				return await commit;
			} finally {
				committing.delete(order);
			}
		},
	};
};
