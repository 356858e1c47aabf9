/** Reports, from the dispatchers' heartbeats, the requests that still run in evacuated data centres. */
import type {ControlState, DataCentreEvacuation} from '@bronzebend/core';
import type {NodeDirectory} from './node-directory.js';

/** An evacuated data centre with the requests that still run there. */
export type EvacuationStatus = DataCentreEvacuation & {
	/** Requests that still run there, as far as dispatchers have reported. */
	running: number;
	/** Pools whose dispatcher has not reported since it learned of the evacuation. */
	unreported: string[];
	/** Number of instances that are declared there. */
	instances: number;
};

/** Returns the evacuated data centres. Spare pools take no requests and are left out. */
export const describeEvacuations = (state: ControlState, directory: NodeDirectory): EvacuationStatus[] => {
	const evacuations = state.evacuations.list();
	if (evacuations.length === 0) {
		return [];
	}

	const catalogue = state.publications.catalogue();
	const reports = catalogue.list('pool').filter(pool => !pool.spare).map(({name: pool}) => {
		const assignment = state.assignments.find(pool);
		const report = assignment && directory.find(assignment.node)?.dispatch.get(pool);
		return {pool, evacuated: report?.epoch === assignment?.epoch ? report?.evacuated : undefined};
	});
	return evacuations.map(({dataCentre, sinceMs}) => {
		const counts = reports.map(({pool, evacuated}) => ({pool, running: evacuated?.find(item => item.dataCentre === dataCentre)?.running}));
		return {
			dataCentre,
			sinceMs,
			running: counts.reduce((sum, {running}) => sum + (running ?? 0), 0),
			unreported: counts.filter(({running}) => running === undefined).map(({pool}) => pool),
			instances: catalogue.list('instance').filter(instance => instance.dataCentre === dataCentre).length,
		};
	});
};
