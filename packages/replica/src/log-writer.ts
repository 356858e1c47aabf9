/**
Writes the Raft log, hard state and received snapshots to disk, in order and in the background, and delays the messages
that depend on a write until it is synced. Between two batches it saves the snapshots that are due.
*/
import type {Clock} from '@bronzebend/core';
import {encodeEntry, type Snapshot} from '@bronzebend/wire';
import type {Outgoing, RaftOutput} from './raft-events.js';
import type {SnapshotSaver} from './snapshot-saver.js';
import {DiskFullError, type Storage, type StorageOperation} from './storage.js';

/** Number of operations waiting for the disk above which events have to wait too; some seconds' worth. */
const MAX_UNSAVED_OPERATIONS = 500;
/** Size of the entries waiting for the disk above which events have to wait too, in bytes. */
const MAX_UNSAVED_BYTES = 16 * 1024 * 1024;
/** Delay before a batch is retried on a full disk, in milliseconds. */
const DISK_FULL_RETRY_MS = 500;

/** Position of an entry in the log. */
export type LogPosition = {index: number; term: number};

/** Options of a log writer. */
export type LogWriterOptions = {
	storage: Storage;
	saver: Pick<SnapshotSaver, 'install' | 'isWaitingForRoom'>;
	clock: Clock;
	/** Returns the last entry of the Raft log; all entries up to it have been added here or are durable. */
	lastPosition(): LogPosition;
	/** True if a snapshot of the state machine should be taken now. */
	isSnapshotDue(): boolean;
	/** Takes a snapshot now; returns a function that saves it once all that has been added so far is durable. */
	takeSnapshot(): () => Promise<void>;
	/** Called when all entries up to this position are durable, with the duration of the write in milliseconds. */
	onSynced(position: LogPosition, tookMs: number): void;
	/** Sends delayed messages, whose writes are durable now. */
	deliver(messages: readonly Outgoing[]): void;
	onDiskFull(): void;
	/** Called after each batch has been written and its messages sent. */
	onProgress(): void;
	/** Called when the writer stops working because nothing is left to write, it was stopped, or it failed. */
	onIdle(): void;
	/** Called on a failure other than lack of space, which is not retried; the writer has stopped. */
	onFatal(error: unknown): void;
	sleep(milliseconds: number): Promise<void>;
};

/** What is written at once: a received snapshot, if there is one, then the operations that follow it. */
type Batch = {snapshot?: Snapshot; operations: StorageOperation[]; deferred: Outgoing[]; bytes: number};

const createBatch = (snapshot?: Snapshot): Batch => ({
	snapshot, operations: [], deferred: [], bytes: 0,
});

/** Creates a writer; once started, it works until nothing is left to write. */
export const createLogWriter = (options: LogWriterOptions) => {
	let unsaved = createBatch();
	/** Batches before `unsaved`, each of which ends at a received snapshot. */
	const earlier: Batch[] = [];
	let savePromise: Promise<void> = Promise.resolve();
	let busy = false;
	let stopped = false;
	let diskFull = false;
	const isBusy = (): boolean => busy;
	const isStopped = (): boolean => stopped;

	const saveWithRetries = async (operations: readonly StorageOperation[]): Promise<void> => {
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
				await options.sleep(DISK_FULL_RETRY_MS);
			}
		}
	};

	const hasWork = (): boolean => earlier.length > 0 || unsaved.snapshot !== undefined || unsaved.operations.length > 0 || unsaved.deferred.length > 0 || options.isSnapshotDue();

	/** Makes a batch durable; returns false if the writer was stopped meanwhile. */
	const saveBatch = async ({snapshot, operations}: Batch): Promise<boolean> => {
		if (snapshot) {
			await options.saver.install(snapshot);
		}

		if (operations.length > 0 && !isStopped()) {
			await saveWithRetries(operations);
		}

		return !isStopped();
	};

	/** Writes a batch that a received snapshot follows, which replaces the entries of this one. */
	const saveEarlier = async (batch: Batch): Promise<void> => {
		if (await saveBatch(batch)) {
			options.deliver(batch.deferred);
		}
	};

	const saveLatest = async (): Promise<void> => {
		const batch = unsaved;
		unsaved = createBatch();
		// Taken together with the operations, so that it covers nothing that the disk does not hold after them.
		const saveSnapshot = !batch.snapshot && options.isSnapshotDue() ? options.takeSnapshot() : undefined;
		if (batch.snapshot ?? batch.operations.length > 0) {
			const position = options.lastPosition();
			const startedMs = options.clock.monotonicMs();
			if (!await saveBatch(batch)) {
				return;
			}

			options.onSynced(position, options.clock.monotonicMs() - startedMs);
		}

		options.deliver(batch.deferred);
		options.onProgress();
		await saveSnapshot?.();
	};

	const saveAll = async (): Promise<void> => {
		busy = true;
		try {
			while (!isStopped() && hasWork()) {
				const next = earlier.shift();
				// Batches reach the disk in order.
				// eslint-disable-next-line no-await-in-loop
				await (next ? saveEarlier(next) : saveLatest());
			}
		} finally {
			busy = false;
			options.onIdle();
		}
	};

	/** Begins the batch of a received snapshot. One that was received before and is not being written yet is left out: of its batch, only the term and vote are still needed. */
	const startBatch = (snapshot: Snapshot): void => {
		const isReplaced = unsaved.snapshot !== undefined;
		if (!isReplaced) {
			earlier.push(unsaved);
		}

		const kept = isReplaced ? unsaved.operations.filter(({type}) => type === 'hard-state') : [];
		// The messages that waited for the replaced batch confirm entries that are never written, so they count as lost.
		unsaved = {...createBatch(snapshot), operations: kept};
	};

	return {
		isBusy,
		isDiskFull: () => diskFull,
		/** True if events should wait for the disk. */
		isCongested: (): boolean => diskFull || options.saver.isWaitingForRoom() || unsaved.operations.length > MAX_UNSAVED_OPERATIONS || unsaved.bytes > MAX_UNSAVED_BYTES,

		/** Adds the part of an output that needs the disk; must be called right after its event is handled. */
		add({snapshot, hardState, append, afterSync}: Pick<RaftOutput, 'snapshot' | 'hardState' | 'append' | 'afterSync'>): void {
			if (snapshot) {
				startBatch(snapshot);
			}

			if (hardState) {
				unsaved.operations.push({type: 'hard-state', hardState});
			}

			if (append.length > 0) {
				unsaved.operations.push({type: 'append', entries: append});
				unsaved.bytes += append.reduce((sum, entry) => sum + encodeEntry(entry).length, 0);
			}

			unsaved.deferred.push(...afterSync);
		},

		/** Starts writing what was added, unless a write is in progress. */
		start(): void {
			if (!busy) {
				savePromise = saveAll().catch((error: unknown) => {
					stopped = true;
					options.onFatal(error);
				});
			}
		},

		/** Waits until everything that was added is written. */
		async drained(): Promise<void> {
			while (isBusy()) {
				// More may have been added meanwhile.
				// eslint-disable-next-line no-await-in-loop
				await savePromise;
			}
		},

		stop(): void {
			stopped = true;
		},
	};
};
