/** Saves snapshots of one replica, and copes with a disk that is full for a while. */
import type {Clock} from '@bronzebend/core';
import type {LogEntry, Snapshot} from '@bronzebend/wire';
import {DiskFullError, type Storage} from './storage.js';

/** Pause before a snapshot is saved again on a full disk, in milliseconds. */
const RETRY_MS = 500;

/** Saver of one replica. */
export type SnapshotSaver = ReturnType<typeof createSnapshotSaver>;

/** Creates a saver. */
export const createSnapshotSaver = ({storage, clock, sleep, isStopped}: {
	storage: Storage;
	clock: Clock;
	sleep(milliseconds: number): Promise<void>;
	isStopped(): boolean;
}) => {
	let isWaitingForRoom = false;
	let retryAtMs = -Infinity;

	/** Returns false if the disk is full. */
	const save = async (snapshot: Snapshot, entriesAfter: LogEntry[]): Promise<boolean> => {
		try {
			await storage.saveSnapshot(snapshot, entriesAfter);
			return true;
		} catch (error) {
			if (error instanceof DiskFullError) {
				return false;
			}

			throw error;
		}
	};

	return {
		/** True while a received snapshot waits for room on the disk. */
		isWaitingForRoom: () => isWaitingForRoom,
		/** False for a moment after a full disk refused a snapshot of the replica's own. */
		mayTake: (): boolean => clock.monotonicMs() >= retryAtMs,

		/** Saves a snapshot of the replica's own state; returns false if the disk is full. */
		async take(snapshot: Snapshot, entriesAfter: LogEntry[]): Promise<boolean> {
			const isSaved = await save(snapshot, entriesAfter);
			retryAtMs = isSaved ? -Infinity : clock.monotonicMs() + RETRY_MS;
			return isSaved;
		},

		/** Saves a received snapshot, which replaces the log; on a full disk, waits for room until the replica stops. */
		async install(snapshot: Snapshot): Promise<void> {
			// Each attempt follows the failure of the previous one.
			// eslint-disable-next-line no-await-in-loop
			while (!isStopped() && !await save(snapshot, [])) {
				isWaitingForRoom = true;
				// eslint-disable-next-line no-await-in-loop
				await sleep(RETRY_MS);
			}

			isWaitingForRoom = false;
		},
	};
};
