/** The data centres that a leader knows: those in the settings, those that workers announced, and those in the job store. */
import type {Clock, JobStore, WorkerDirectory} from '@bronzebend/core';

/** Announcement intervals after the begin of a term by which every live worker has announced itself. */
const FIRST_REPORTS = 3;

/** The known data centres. */
export type KnownDataCentres = ReturnType<typeof createKnownDataCentres>;

/** Creates the view of one term. */
export const createKnownDataCentres = ({clock, store, directory, configured, reportMs}: {
	clock: Clock;
	store: Pick<JobStore, 'dataCentres'>;
	directory: Pick<WorkerDirectory, 'list'>;
	/** Data centres in the settings; none if the settings do not name them. */
	configured(): string[];
	/** Interval of a worker's announcements, in milliseconds. */
	reportMs: number;
}) => {
	const startedMs = clock.monotonicMs();

	return {
		list: (): string[] => [...new Set([...configured(), ...store.dataCentres(), ...directory.list().map(({zone}) => zone)])],

		/** False while workers of a data centre that the settings do not name may not have announced themselves to this leader. */
		isComplete: (): boolean => configured().length > 0 || clock.monotonicMs() - startedMs >= FIRST_REPORTS * reportMs,
	};
};
