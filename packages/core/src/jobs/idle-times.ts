/** When work units and jobs last stopped running, as far as one leader has seen it. */
import {
	isOpen, type Job, type JobStep, type Occurrence, type WorkUnit,
} from './job.js';

/** Jobs remembered at most; those with the earliest ends are forgotten first. */
const MAX_JOBS = 20_000;

/** When work last stopped running. */
export type IdleTimes = ReturnType<typeof createIdleTimes>;

/** Creates the record, empty at first. Times are Unix milliseconds. */
export const createIdleTimes = () => {
	const ends = new Map<string, {lastMs: number; units: Map<string, number>}>();

	return {
		/** Records that a run of a job's work unit ended; keeps the time of each work unit only for lasting steps. */
		ended(job: Job, {name}: WorkUnit, isLasting: boolean, atMs: number): void {
			const {id} = job.order;
			const units = ends.get(id)?.units ?? new Map<string, number>();
			ends.delete(id);
			if (!isOpen(job)) {
				return;
			}

			if (isLasting) {
				units.set(name, atMs);
			}

			ends.set(id, {lastMs: atMs, units});
			if (ends.size > MAX_JOBS) {
				ends.delete(ends.keys().next().value!);
			}
		},

		/** End of the latest run of any of a job's work units; -Infinity if none is known. */
		ofJob: (id: string): number => ends.get(id)?.lastMs ?? -Infinity,
		/** End of the latest run of one work unit of a lasting step; -Infinity if none is known. */
		ofUnit: (id: string, unit: string): number => ends.get(id)?.units.get(unit) ?? -Infinity,
	};
};

/** Since when a ready work unit has been idle: since its own last run if it lasts, otherwise since the last run of its job; a Unix time in milliseconds. */
export const idleSinceMs = (idleTimes: Pick<IdleTimes, 'ofJob' | 'ofUnit'>, job: Job, occurrence: Occurrence, step: JobStep, unit: WorkUnit): number => {
	const {id} = job.order;
	return Math.max(job.acceptedAtMs, occurrence.dueMs, step.lasting ? idleTimes.ofUnit(id, unit.name) : idleTimes.ofJob(id));
};
