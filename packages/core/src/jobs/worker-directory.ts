/** Workers by what they say of themselves; late and foreign announcements change nothing. */
import type {Resources} from './fleet-manifest.js';
import {lifeOf, type WorkerLife, workerOfLife} from './job-commands.js';

/** A worker's liveness report. */
export type WorkerAnnouncement = {
	id: string;
	/** Start of this life, in Unix milliseconds. */
	bornMs: number;
	/** Counts up within a life. */
	seq: number;
	pool: string;
	address: string;
	zone: string;
	machine?: string;
	draining: boolean;
	/** Least time that a draining worker still has, in milliseconds. */
	remainingMs?: number;
	/** Time for which it stays slow after its start, in milliseconds. */
	coldLeftMs: number;
	capacity: Resources;
	labels: string[];
	/** The worker's steady clock, in milliseconds. */
	clockMs?: number;
};

/** A report with the time that has passed since it was heard, in milliseconds. */
export type WorkerHeard = {announcement: WorkerAnnouncement; ageMs: number};

/** What the directory knows of one worker. */
export type WorkerEntry = WorkerLife & {
	seq: number;
	draining: boolean;
	heardMs: number;
	clockMs?: number;
	/** It said that it leaves, or another life took its place. */
	left: boolean;
};

/** What an announcement changed. */
export type AnnounceEffect = 'new-life' | 'updated' | 'draining' | 'stale';

/** The directory. */
export type WorkerDirectory = ReturnType<typeof createWorkerDirectory>;

/** Creates an empty directory. */
export const createWorkerDirectory = () => {
	const byId = new Map<string, WorkerEntry>();
	const byAddress = new Map<string, WorkerEntry>();
	/** The latest life on each machine, left or not. */
	const byMachine = new Map<string, WorkerEntry>();
	let fresh = new Map<string, {announcement: WorkerAnnouncement; atMs: number}>();

	/** A machine lives one life at a time: the latest one ends those before it, whatever their ids. */
	const retire = (entry: WorkerEntry): void => {
		if (entry.machine === undefined) {
			return;
		}

		const other = byMachine.get(entry.machine);
		if (other && other.id !== entry.id && other.bornMs >= entry.bornMs) {
			entry.left = true;
			return;
		}

		if (other && other.id !== entry.id) {
			other.left = true;
		}

		byMachine.set(entry.machine, entry);
	};

	const ofLife = (life: string): WorkerEntry | undefined => {
		const entry = byId.get(workerOfLife(life));
		return entry?.life === life ? entry : undefined;
	};

	return {
		/** Takes an announcement that arrived now. */
		announce(announcement: WorkerAnnouncement, nowMs: number): AnnounceEffect {
			const {id, bornMs, address} = announcement;
			const known = byId.get(id);
			const isOlder = known && (bornMs < known.bornMs || (bornMs === known.bornMs && announcement.seq <= known.seq));
			const occupant = byAddress.get(address);
			const isEvicted = occupant && occupant.id !== id && occupant.bornMs > bornMs;
			if (isOlder === true || isEvicted === true) {
				return 'stale';
			}

			const isSameLife = known?.bornMs === bornMs;
			const entry: WorkerEntry = {
				life: lifeOf(id, bornMs),
				id,
				bornMs,
				address,
				pool: announcement.pool,
				zone: announcement.zone,
				capacity: announcement.capacity,
				labels: announcement.labels,
				machine: announcement.machine,
				seq: announcement.seq,
				// A draining worker does not come back in the same life.
				draining: announcement.draining || (isSameLife && known.draining),
				heardMs: nowMs,
				clockMs: announcement.clockMs,
				left: isSameLife && known.left,
			};
			if (occupant && occupant.id !== id) {
				occupant.left = true;
			}

			retire(entry);

			if (known && known.address !== address && byAddress.get(known.address) === known) {
				byAddress.delete(known.address);
			}

			byId.set(id, entry);
			fresh.set(id, {announcement, atMs: nowMs});
			byAddress.set(address, entry);
			if (!isSameLife) {
				return 'new-life';
			}

			return entry.draining && !known.draining ? 'draining' : 'updated';
		},

		/** A worker said that it leaves. */
		leave(id: string, bornMs: number | undefined): WorkerEntry | undefined {
			const entry = byId.get(id);
			if (entry && (bornMs === undefined || bornMs === entry.bornMs)) {
				entry.left = true;
				return entry;
			}

			return undefined;
		},

		/** A life is proven over. */
		ended(life: string): void {
			const entry = ofLife(life);
			if (entry) {
				entry.left = true;
			}
		},

		/** Drops workers that have been silent for a span. */
		forgetSilent(beforeMs: number): void {
			for (const entry of byId.values()) {
				if (entry.heardMs < beforeMs) {
					byId.delete(entry.id);
					if (entry.machine !== undefined && byMachine.get(entry.machine) === entry) {
						byMachine.delete(entry.machine);
					}

					if (byAddress.get(entry.address) === entry) {
						byAddress.delete(entry.address);
					}
				}
			}
		},

		/** Reports since the last call, for keepers that may have to lead next. */
		takeHeard(nowMs: number): WorkerHeard[] {
			const heard = [...fresh.values()].map(({announcement, atMs}) => ({announcement, ageMs: nowMs - atMs}));
			fresh = new Map();
			return heard;
		},

		find: (id: string): WorkerEntry | undefined => byId.get(id),
		/** The worker in one of its lives; undefined where it has begun another. */
		ofLife,
		/** The worker that lives on a machine; undefined where none does. */
		ofMachine(machine: string): WorkerEntry | undefined {
			const entry = byMachine.get(machine);
			return entry?.left === false ? entry : undefined;
		},
		list: (): WorkerEntry[] => [...byId.values()],
	};
};
