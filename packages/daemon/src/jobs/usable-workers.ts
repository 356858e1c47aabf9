/** Tells which workers may take new work, and why the others may not. */
import {
	groupBy, type Clock, type JobStore, type SchedulableWorker, type WorkerDirectory, type WorkerEntry,
} from '@bronzebend/core';
import type {MachineController} from './machine-controller.js';
import type {RunMonitor} from './run-monitor.js';
import type {WorkerFleet} from './worker-fleet.js';

/** Announcement intervals of silence after which a worker gets no new work. */
const MAX_MISSED_REPORTS = 3;

/** Time after the withdrawal of an evacuation in which workers there that are still slow after their start are taken last, in milliseconds. Longer than machines take to return from standby. */
const COLD_PERIOD_MS = 60_000;
/** Slowness of such a worker; above the one from which a worker gets work only if no other has room. */
const COLD_SLOWNESS = 4;

/** Why a worker takes no new work: `unreachable` by its session, `suspect` or `paused` after failures, `machine` while its machine is ordered, emptied or in doubt, `evacuated` with its data centre, `draining-for-move` while its machine is to move to another pool. */
type OutOfUse = 'left' | 'draining' | 'unreachable' | 'silent' | 'suspect' | 'paused' | 'machine' | 'evacuated' | 'draining-for-move';

/** Creates the view of one term. */
export const createUsableWorkers = ({clock, store, directory, reportMs, fleet, monitor, machines}: {
	clock: Clock;
	store: Pick<JobStore, 'isEvacuated' | 'evacuationWithdrawnMs'>;
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

		return store.isEvacuated(entry.zone) ? 'evacuated' : monitor.heldBack(entry.life, nowMs) ?? (machines()?.isDraining?.(entry.life) ? 'draining-for-move' : undefined);
	};

	/** True if a worker of a data centre whose evacuation was withdrawn a short time ago is still slow after its start. */
	const isCold = ({zone, receivedMs, coldLeftMs}: WorkerEntry, nowMs: number): boolean => {
		const withdrawnMs = store.evacuationWithdrawnMs(zone);
		return withdrawnMs !== undefined && clock.wallMs() - withdrawnMs < COLD_PERIOD_MS && nowMs < receivedMs + coldLeftMs;
	};

	const slownessOf = (entry: WorkerEntry, nowMs: number): number => Math.max(monitor.slowness(entry.life), isCold(entry, nowMs) ? COLD_SLOWNESS : 0);

	const listWhere = (isListed: (cause: OutOfUse | undefined) => boolean): SchedulableWorker[] => {
		const nowMs = clock.monotonicMs();
		return directory.list().filter(entry => isListed(whyNot(entry, nowMs))).map(entry => ({
			life: entry.life, id: entry.id, pool: entry.pool, capacity: entry.capacity, labels: entry.labels, slowness: slownessOf(entry, nowMs),
		}));
	};

	return {
		/** Workers that may take work. */
		list: () => listWhere(cause => cause === undefined),

		/** Lives of the workers that may take work or drain for a move. */
		lives: () => new Set(listWhere(cause => cause === undefined || cause === 'draining-for-move').map(({life}) => life)),

		/** Workers that take no work for suspicion alone. */
		suspects: () => listWhere(cause => cause === 'suspect'),

		/** Workers that take no work because their data centre is evacuated. */
		evacuated: () => listWhere(cause => cause === 'evacuated'),

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
