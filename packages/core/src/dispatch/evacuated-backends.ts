/**
Decides which backend servers of a pool get no tickets because their data centre is evacuated.

Load: asked at each announcement of a backend server, and for all of them at each change of the configuration. Picks of
tickets, thousands a second, use the answer kept in the table.
*/
import type {Announcement} from './requests.js';

/** An evacuated data centre, and the pool's instances that are declared there. */
export type EvacuatedInstances = {dataCentre: string; instances: string[]};

/** The evacuated data centres as one pool's dispatcher knows them. */
export type EvacuatedBackends = ReturnType<typeof createEvacuatedBackends>;

/** Creates the decision from the configuration; nothing is evacuated without one. */
export const createEvacuatedBackends = (evacuated: readonly EvacuatedInstances[] = []) => {
	const dataCentres = new Set(evacuated.map(item => item.dataCentre));
	const declaredIn = new Map(evacuated.flatMap(({dataCentre, instances}) => instances.map(instance => [instance, dataCentre])));

	return {
		dataCentres: (): string[] => [...dataCentres],

		/** Returns the evacuated data centre in which a backend server is announced or declared; undefined if there is none. */
		dataCentreOf({instance, dataCentre}: Pick<Announcement, 'instance' | 'dataCentre'>): string | undefined {
			// A server may announce another data centre than its declaration names. The request covers both.
			return dataCentres.has(dataCentre) ? dataCentre : declaredIn.get(instance);
		},
	};
};
