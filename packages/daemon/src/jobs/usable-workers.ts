/** Tells which workers may take new work, and why the others may not. */
import {
	groupBy, type Clock, type SchedulableWorker, type WorkerDirectory, type WorkerEntry,
} from '@bronzebend/core';
import type {MachineController} from './machine-controller.js';
import type {RunMonitor} from './run-monitor.js';
import type {WorkerFleet} from './worker-fleet.js';

/** Announcement intervals of silence after which a worker gets no new work. */
const MAX_MISSED_REPORTS = 3;

/** Why a worker takes no new work: `unreachable` by its session, `suspect` or `paused` after failures, `machine` while its machine is ordered, emptied or in doubt, `draining-for-move` while its machine is to move to another pool. */
type OutOfUse = 'left' | 'draining' | 'unreachable' | 'silent' | 'suspect' | 'paused' | 'machine' | 'draining-for-move';

/** Creates the view of one term. */
export const createUsableWorkers = ({clock, directory, reportMs, fleet, monitor, machines}: {
	clock: Clock;
	directory: WorkerDirectory;
	/** Interval of a worker's announcements, in milliseconds. */
	reportMs: number;
	fleet: Pick<WorkerFleet, 'isReachable'>;
	monitor: Pick<RunMonitor, 'heldBack' | 'slowness'>;
	/** Returns the control of machines, if there is one. */
	machines(): (Pick<MachineController, 'mayTakeWork'> & Partial<Pick<MachineController, 'isDraining'>>) | undefined;
}) => {
	const whyNot = (entry: WorkerEntry, nowMs: number): OutOfUse | undefined => {
		if (entry.left) {
			return 'left';
		}

		if (entry.draining) {
			return 'draining';
		}

		if (!fleet.isReachable(entry.life)) {
			return 'unreachable';
		}

		if (nowMs - entry.receivedMs >= MAX_MISSED_REPORTS * reportMs) {
			return 'silent';
		}

		if (machines()?.mayTakeWork(entry) === false) {
			return 'machine';
		}

		return monitor.heldBack(entry.life, nowMs) ?? (machines()?.isDraining?.(entry.life) ? 'draining-for-move' : undefined);
	};

	const listWhere = (isListed: (cause: OutOfUse | undefined) => boolean): SchedulableWorker[] => {
		const nowMs = clock.monotonicMs();
		return directory.list().filter(entry => isListed(whyNot(entry, nowMs))).map(entry => ({
			life: entry.life, id: entry.id, pool: entry.pool, capacity: entry.capacity, labels: entry.labels, slowness: monitor.slowness(entry.life),
		}));
	};

	return {
		/** Workers that may take work. */
		list: () => listWhere(cause => cause === undefined),

		/** Lives of the workers that may take work or drain for a move. */
		lives: () => new Set(listWhere(cause => cause === undefined || cause === 'draining-for-move').map(({life}) => life)),

		/** Workers that take no work for suspicion alone. */
		suspects: () => listWhere(cause => cause === 'suspect'),

		/** Numbers of a pool's known workers that take no work, by cause, as text; undefined if there are none. */
		outOfUse(pool: string): string | undefined {
			const nowMs = clock.monotonicMs();
			const causes = directory.list().filter(entry => entry.pool === pool).flatMap(entry => whyNot(entry, nowMs) ?? []);
			return causes.length === 0 ? undefined : [...groupBy(causes, cause => cause)].map(([cause, all]) => `${cause}:${all.length}`).join(' ');
		},
	};
};

/** The view of one term. */
export type UsableWorkers = ReturnType<typeof createUsableWorkers>;
