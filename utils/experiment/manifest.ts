/** The manifest of a simulated fleet. */
import type {JobQueue, JobStore} from '@bronzebend/core';
import type {Load} from './load.js';

/** Pool of the machines that are switched off. */
export const SPARE_POOL = 'spare';

/** The queue of a name, with a pool of the same name. */
export const queueOf = (name: string): JobQueue => ({
	name, host: 'desk.example', pathPrefix: `/${name}/`, pool: name, priority: 0, maxAttempts: 3, objectiveFactor: 1.6, objectiveMs: 600, timeoutMs: 3000, open: false,
});

/** Publishes the queues, pools and workspaces of a load. */
export const publish = (store: JobStore, load: Load): void => {
	store.apply({
		type: 'publish-fleet', manifest: {
			version: 1,
			queues: load.queues.map(queue => queueOf(queue.name)),
			pools: [...load.queues.map(queue => ({name: queue.name, guardsCapacity: true, standby: false})), {name: SPARE_POOL, guardsCapacity: true, standby: true}],
			workspaces: Array.from({length: load.workspaces}, (_, index) => ({
				name: `team-${index}`, keys: [`key-${index}`], weight: 1 + index, cap: {cpu: 0, memoryMb: 0, gpu: 0},
			})),
			maxBodyBytes: 1,
			document: '',
		},
	});
};
