/** Directory of workers, built from their own announcements; stale and superseded announcements have no effect. */
import type {Resources} from './fleet-manifest.js';
import {lifeOf, type WorkerLife, workerOfLife} from './job-commands.js';

/** A worker's liveness report. */
export type WorkerAnnouncement = {
	id: string;
	/** Start of this life, in Unix milliseconds. */
	bornMs: number;
	/** Sequence number, which increases within a life. */
	seq: number;
	pool: string;
	address: string;
	zone: string;
	machine?: string;
	draining: boolean;
	/** Shortest time that a draining worker will still run, in milliseconds. */
	remainingMs?: number;
	/** Remaining time for which it is slow after its start, in milliseconds. */
	coldLeftMs: number;
	capacity: Resources;
	labels: string[];
	/** Reading of the worker's monotonic clock, in milliseconds. */
	clockMs?: number;
};

/** An announcement and the time since it was received, in milliseconds. */
export type ReceivedAnnouncement = {announcement: WorkerAnnouncement; ageMs: number};

/** A worker's entry in the directory. */
export type WorkerEntry = WorkerLife & {
	seq: number;
	draining: boolean;
	receivedMs: number;
	/** Time after `receivedMs` for which the worker is slow, in milliseconds. */
	coldLeftMs: number;
	clockMs?: number;
	/** The worker has announced that it leaves, its life is over, or another life has replaced it. */
	left: boolean;
};

/** What a directory learned since it was last asked, for keepers that may have to lead next. */
export type DirectoryChanges = {
	/** Latest announcement of each worker. */
	heard: ReceivedAnnouncement[];
	/** Lives that have left or are proven to be over. */
	left: string[];
};

/** Effect of an announcement on the directory. */
export type AnnounceEffect = 'new-life' | 'updated' | 'draining' | 'stale' | 'unknown-pool';

/** Directory of workers. */
export type WorkerDirectory = ReturnType<typeof createWorkerDirectory>;

/** Creates an empty directory. Announcements of a pool for which `knowsPool` returns false have no effect: another writer may have sent them under a worker's ID. */
export const createWorkerDirectory = ({knowsPool = () => true}: {knowsPool?(pool: string): boolean} = {}) => {
	const byId = new Map<string, WorkerEntry>();
	const byAddress = new Map<string, WorkerEntry>();
	/** Latest life on each machine, including those that have left. */
	const byMachine = new Map<string, WorkerEntry>();
	let unsent = new Map<string, {announcement: WorkerAnnouncement; atMs: number}>();
	let unsentLeft = new Set<string>();
	/** The unsent changes take workers out of use. */
	let isUrgent = false;

	const markLeft = (entry: WorkerEntry): void => {
		if (!entry.left) {
			unsentLeft.add(entry.life);
			isUrgent = true;
		}

		entry.left = true;
	};

	/** Applies the rule that a machine runs one life at a time: the latest one ends all earlier ones, whatever their worker IDs. */
	const replaceOnMachine = (entry: WorkerEntry): void => {
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
		/** Applies an announcement received now. */
		announce(announcement: WorkerAnnouncement, nowMs: number): AnnounceEffect {
			const {id, bornMs, address} = announcement;
			if (!knowsPool(announcement.pool)) {
				return 'unknown-pool';
			}

			const known = byId.get(id);
			const isStale = known && (bornMs < known.bornMs || (bornMs === known.bornMs && announcement.seq <= known.seq));
			const occupant = byAddress.get(address);
			const isReplaced = occupant && occupant.id !== id && occupant.bornMs > bornMs;
			if (isStale === true || isReplaced === true) {
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
				// A draining worker stays draining for the rest of its life.
				draining: announcement.draining || (isSameLife && known.draining),
				receivedMs: nowMs,
				coldLeftMs: announcement.coldLeftMs,
				clockMs: announcement.clockMs,
				left: isSameLife && known.left,
			};
			if (occupant && occupant.id !== id) {
				occupant.left = true;
			}

			replaceOnMachine(entry);

			if (known && known.address !== address && byAddress.get(known.address) === known) {
				byAddress.delete(known.address);
			}

			byId.set(id, entry);
			unsent.set(id, {announcement, atMs: nowMs});
			byAddress.set(address, entry);
			if (!isSameLife) {
				return 'new-life';
			}

			const drainsNow = entry.draining && !known.draining;
			isUrgent ||= drainsNow;
			return drainsNow ? 'draining' : 'updated';
		},

		/** Records that a worker leaves; returns undefined if it is unknown or has begun another life. */
		leave(id: string, bornMs: number | undefined): WorkerEntry | undefined {
			const entry = byId.get(id);
			if (entry && (bornMs === undefined || bornMs === entry.bornMs)) {
				markLeft(entry);
				return entry;
			}

			return undefined;
		},

		/** Records that a life is proven to be over. */
		ended(life: string): void {
			const entry = ofLife(life);
			if (entry) {
				markLeft(entry);
			}
		},

		/** Removes workers whose latest announcement was received before a time, in milliseconds. */
		forgetSilent(beforeMs: number): void {
			for (const entry of byId.values()) {
				if (entry.receivedMs < beforeMs) {
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

		/** True if the changes that were not taken yet take workers out of use, so that they should not wait. */
		hasUrgentChanges: () => isUrgent,

		/** Returns what was learned since the last call, for keepers that may have to lead next. */
		takeChanges(nowMs: number): DirectoryChanges {
			const heard = [...unsent.values()].map(({announcement, atMs}) => ({announcement, ageMs: nowMs - atMs}));
			const left = [...unsentLeft];
			unsent = new Map();
			unsentLeft = new Set();
			isUrgent = false;
			return {heard, left};
		},

		/** Applies what another keeper's directory learned. */
		applyChanges({heard, left}: DirectoryChanges, nowMs: number): void {
			for (const {announcement, ageMs} of heard) {
				this.announce(announcement, nowMs - ageMs);
			}

			for (const life of left) {
				this.ended(life);
			}
		},

		find: (id: string): WorkerEntry | undefined => byId.get(id),
		/** The worker in a given life; undefined if it is unknown or has begun another life. */
		ofLife,
		/** The worker that runs on a machine; undefined if there is none. */
		ofMachine(machine: string): WorkerEntry | undefined {
			const entry = byMachine.get(machine);
			return entry?.left === false ? entry : undefined;
		},
		list: (): WorkerEntry[] => [...byId.values()],
	};
};
