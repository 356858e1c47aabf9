/** Reports what is left in evacuated data centres, in the log and the metrics. */
import type {JobStore, WorkerDirectory} from '@bronzebend/core';
import type {Log} from '../utils/log.js';
import type {JobMetrics} from './job-metrics.js';

/** What is left in one evacuated data centre. */
export type EvacuationRest = {
	dataCentre: string;
	/** Time since its evacuation was requested, in milliseconds. */
	forMs: number;
	runs: number;
	/** Those of the runs that belong to lasting steps. */
	lasting: number;
	/** Workers without runs that have not left. */
	idleWorkers: number;
};

/** Counts what is left in each evacuated data centre; runs also on workers that this leader has no announcement of. */
export const countEvacuationRests = (store: JobStore, directory: Pick<WorkerDirectory, 'list'>, wallMs: number): EvacuationRest[] => [...store.evacuations()].map(([dataCentre, atMs]) => {
	const runs = store.busyLives().filter(({zone}) => zone === dataCentre).flatMap(({life}) => [...store.runsOf(life).values()]);
	return {
		dataCentre,
		forMs: Math.round(wallMs - atMs),
		runs: runs.length,
		lasting: runs.filter(({job, step}) => job.order.steps[step]!.lasting).length,
		idleWorkers: directory.list().filter(entry => entry.zone === dataCentre && !entry.left && store.runsOf(entry.life).size === 0).length,
	};
});

/** Writes the log lines and sets the metrics. */
export const reportEvacuations = (rests: readonly EvacuationRest[], log: Log, metrics: JobMetrics): void => {
	metrics.evacuatedDataCentres.set(rests.length);
	// A data centre whose evacuation was withdrawn has no value.
	metrics.evacuatedRuns.reset();
	for (const rest of rests) {
		metrics.evacuatedRuns.set({data_centre: rest.dataCentre}, rest.runs);
		log.info('Evacuated data centre.', rest);
	}
};
