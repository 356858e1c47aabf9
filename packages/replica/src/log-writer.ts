/**
Writes what the agreement wants durable, in order and beside the events, and holds back the
messages that promise it until their sync.
*/
import type {Outgoing, RaftOutput} from './raft.js';
import {DiskFullError, type Storage, type StorageOperation} from './storage.js';

/** Operations that may wait for the disk before events do too; some seconds of them. */
const MAX_UNSAVED = 500;
/** Pause before a batch is tried again on a full disk, in milliseconds. */
const DISK_FULL_PAUSE_MS = 500;

/** Place of an entry in the log. */
export type LogPosition = {index: number; term: number};

/** What a writer is made of. */
export type LogWriterOptions = {
	storage: Storage;
	/** The last entry that the agreement holds; all up to it were added here or are saved. */
	position(): LogPosition;
	/** Everything up to this entry is durable. */
	onSynced(position: LogPosition): void;
	/** Sends messages whose promises hold now. */
	deliver(messages: readonly Outgoing[]): void;
	onDiskFull(): void;
	/** A batch is through. */
	onProgress(): void;
	/** Nothing waits any more. */
	onIdle(): void;
	/** The disk failed for good. */
	onFatal(error: unknown): void;
	sleep(milliseconds: number): Promise<void>;
};

/** Creates a writer; it works while something waits. */
export const createLogWriter = (options: LogWriterOptions) => {
	let unsaved: {operations: StorageOperation[]; deferred: Outgoing[]} = {operations: [], deferred: []};
	let saving: Promise<void> = Promise.resolve();
	let busy = false;
	let stopped = false;
	let diskFull = false;
	const isBusy = (): boolean => busy;
	const isStopped = (): boolean => stopped;

	const saveWhenRoom = async (operations: readonly StorageOperation[]): Promise<void> => {
		while (!isStopped()) {
			try {
				// Each batch waits for its own sync before the next may start.
				// eslint-disable-next-line no-await-in-loop
				await options.storage.save(operations);
				diskFull = false;
				return;
			} catch (error) {
				if (!(error instanceof DiskFullError)) {
					throw error;
				}

				diskFull = true;
				options.onDiskFull();
				// eslint-disable-next-line no-await-in-loop
				await options.sleep(DISK_FULL_PAUSE_MS);
			}
		}
	};

	const saveAll = async (): Promise<void> => {
		busy = true;
		try {
			while (!isStopped() && (unsaved.operations.length > 0 || unsaved.deferred.length > 0)) {
				const {operations, deferred} = unsaved;
				unsaved = {operations: [], deferred: []};
				if (operations.length > 0) {
					const position = options.position();
					// Batches reach the disk in order.
					// eslint-disable-next-line no-await-in-loop
					await saveWhenRoom(operations);
					if (isStopped()) {
						return;
					}

					options.onSynced(position);
				}

				options.deliver(deferred);
				options.onProgress();
			}
		} finally {
			busy = false;
			options.onIdle();
		}
	};

	return {
		isBusy,
		isDiskFull: () => diskFull,
		/** True where events should wait for the disk. */
		isCongested: (): boolean => diskFull || unsaved.operations.length > MAX_UNSAVED,

		/** Takes an output's durable part; must follow its event at once. */
		add({hardState, append, afterSync}: Pick<RaftOutput, 'hardState' | 'append' | 'afterSync'>): void {
			if (hardState) {
				unsaved.operations.push({type: 'hard-state', hardState});
			}

			if (append.length > 0) {
				unsaved.operations.push({type: 'append', entries: append});
			}

			unsaved.deferred.push(...afterSync);
		},

		/** Writes what was added, unless that is under way. */
		start(): void {
			if (!busy) {
				saving = saveAll().catch((error: unknown) => {
					stopped = true;
					options.onFatal(error);
				});
			}
		},

		/** Waits until the disk holds everything that was added. */
		async drained(): Promise<void> {
			while (isBusy()) {
				// More may have come meanwhile.
				// eslint-disable-next-line no-await-in-loop
				await saving;
			}
		},

		stop(): void {
			stopped = true;
		},
	};
};
