/** The configuration that is in force in a pool's dispatcher. */
import type {BackendTable} from './backend-table.js';
import type {DispatchConfiguration, DispatchQueue} from './dispatch-events.js';
import {createEvacuatedBackends} from './evacuated-backends.js';
import type {TeamScheduler} from './team-scheduler.js';

/** Time within which work of any queue has ended, unless a queue allows longer, in milliseconds. */
const DEFAULT_DEADLINE_MS = 60_000;

/** Settings of one dispatcher. */
export type DispatchSettings = ReturnType<typeof createDispatchSettings>;

/** Creates the settings of a dispatcher that has no configuration yet. */
export const createDispatchSettings = ({scheduler, table}: {scheduler: TeamScheduler; table: BackendTable}) => {
	const queues = new Map<string, DispatchQueue>();
	let excluded = new Set<string>();
	let longestDeadlineMs = DEFAULT_DEADLINE_MS;

	return {
		queueOf: (name: string): DispatchQueue | undefined => queues.get(name),
		/** True if an instance gets no tickets because of planned work or its placement in another pool. */
		isExcluded: (instance: string): boolean => excluded.has(instance),
		/** Time within which work has ended whose queue is not known, in milliseconds: the longest deadline of all. */
		longestDeadlineMs: (): number => longestDeadlineMs,

		/** Puts a configuration into force in the scheduler and the table too. */
		apply(configuration: DispatchConfiguration): void {
			queues.clear();
			for (const queue of configuration.queues) {
				queues.set(queue.name, queue);
			}

			longestDeadlineMs = configuration.queues.reduce((longest, queue) => Math.max(longest, queue.maxDeadlineMs), DEFAULT_DEADLINE_MS);
			scheduler.configure(new Map(configuration.weights.map(({team, weight}) => [team, weight])), queues);
			for (const {team, weight} of configuration.weights) {
				scheduler.setWeight(team, weight);
			}

			table.setMaxEjected(configuration.maxOut);
			table.setEvacuated(createEvacuatedBackends(configuration.evacuated));
			excluded = new Set(configuration.excluded);
			for (const backend of table.list()) {
				backend.excluded = excluded.has(backend.instance);
			}
		},
	};
};
