/**
Durable state of one replica: identity, snapshot and log in one folder.

Each batch of operations is one record, written and synced before the next, so only the last
record can be torn.
*/
import {randomBytes} from 'node:crypto';
import {BronzebendError} from '@bronzebend/core';
import {
	decodeEntry, encodeEntry, removeCachedBytes, type LogEntry, type Member, type Snapshot,
} from '@bronzebend/wire';
import type {Disk} from './disk.js';
import {CorruptFileError, decodeFile, encodeRecord} from './record-codec.js';
import type {HardState, RestoredState} from './durable-state.js';

/** Number of random bytes in a replica's ID; small, because every message carries two IDs. */
const REPLICA_ID_BYTES = 9;
const LOG_FILE = 'log';
const SNAPSHOT_FILE = 'snapshot';
const IDENTITY_FILE = 'identity';
const TEMPORARY_SUFFIX = '.new';

/** One durable operation. */
export type StorageOperation =
	| {type: 'hard-state'; hardState: HardState}
	| {type: 'append'; entries: LogEntry[]};

/** An operation as stored in a record; logs of earlier versions hold entries as objects instead of bytes. */
type RecordedOperation = Exclude<StorageOperation, {type: 'append'}> | {type: 'append'; entries: Array<LogEntry | Uint8Array>};

/** The disk is full; the change was not accepted. */
export class DiskFullError extends BronzebendError {
	override readonly name = 'DiskFullError';

	constructor() {
		super('disk-full', 'Cannot accept changes: the disk of the data folder is full. Free some space; writing resumes by itself.');
	}
}

/** A write or sync failed, so it is unknown what is durable; the process must stop. */
export class SyncFailedError extends BronzebendError {
	override readonly name = 'SyncFailedError';

	constructor(cause: unknown) {
		super('sync-failed', `Cannot write state to disk: ${String(cause)}. Check the disk, then restart the process.`);
	}
}

type Identity = {replica: string; format: 1};

/** State read from a data folder. */
export type FolderContent = {
	/** Undefined while the replica has not joined a group. */
	snapshot: Snapshot | undefined;
	restored: RestoredState;
	/** Length of the torn record at the end of the log, in bytes; 0 if there is none. */
	tornBytes: number;
};

/** Durable state of one replica. */
export type Storage = Awaited<ReturnType<typeof openStorage>>;

const replay = (records: readonly unknown[], snapshot: Snapshot | undefined): RestoredState => {
	let hardState: HardState = {term: snapshot?.term ?? 0, votedFor: undefined};
	let entries: LogEntry[] = [];
	const base = {index: snapshot?.index ?? 0, term: snapshot?.term ?? 0, members: snapshot?.members ?? []};
	for (const operation of records.flat() as RecordedOperation[]) {
		if (operation.type === 'hard-state') {
			hardState = {term: operation.hardState.term, votedFor: operation.hardState.votedFor};
			continue;
		}

		const decoded = operation.entries.map(entry => (entry instanceof Uint8Array ? decodeEntry(entry) : entry));
		removeCachedBytes(decoded);
		const first = decoded[0]!.index;
		entries = [...entries.filter(entry => entry.index < first), ...decoded];
	}

	// A crash between saving a received snapshot and truncating the log leaves entries of a divergent history.
	const baseEntry = entries.find(entry => entry.index === base.index);
	const diverges = baseEntry !== undefined && baseEntry.term !== base.term;
	return {hardState, base, entries: diverges ? [] : entries.filter(entry => entry.index > base.index)};
};

const checkContiguous = (restored: RestoredState): void => {
	const gap = restored.entries.findIndex((entry, position) => entry.index !== restored.base.index + 1 + position);
	if (gap !== -1) {
		throw new CorruptFileError(LOG_FILE, 0, `entry ${restored.entries[gap]!.index} does not follow entry ${restored.base.index + gap}`);
	}
};

/**
Reads a folder without changing it.

@throws {CorruptFileError} A file is corrupt, other than by a torn record at its end.
*/
export const readFolder = async (disk: Disk): Promise<FolderContent & {replica: string | undefined; validBytes: number}> => {
	const identityBytes = await disk.read(IDENTITY_FILE);
	const identity = identityBytes && (decodeFile(IDENTITY_FILE, identityBytes).values[0] as Identity | undefined);
	const snapshotBytes = await disk.read(SNAPSHOT_FILE);
	const snapshot = snapshotBytes && (decodeFile(SNAPSHOT_FILE, snapshotBytes).values[0] as Snapshot | undefined);
	if (snapshotBytes && !snapshot) {
		throw new CorruptFileError(SNAPSHOT_FILE, 0, 'corrupt record');
	}

	const logBytes = await disk.read(LOG_FILE) ?? new Uint8Array();
	const {values, validBytes} = decodeFile(LOG_FILE, logBytes);
	const restored = replay(values, snapshot);
	checkContiguous(restored);
	return {
		replica: identity?.replica, snapshot, restored, tornBytes: logBytes.length - validBytes, validBytes,
	};
};

const encodeOperations = (operations: readonly StorageOperation[]): Uint8Array => encodeRecord(operations.map((operation): RecordedOperation => {
	if (operation.type !== 'append') {
		return operation;
	}

	const recorded = {...operation, entries: operation.entries.map(entry => encodeEntry(entry))};
	removeCachedBytes(operation.entries);
	return recorded;
}));

const isNoSpace = (error: unknown): boolean => (error as NodeJS.ErrnoException).code === 'ENOSPC';

const replaceFile = async (disk: Disk, name: string, record: Uint8Array): Promise<void> => {
	await disk.write(`${name}${TEMPORARY_SUFFIX}`, record);
	await disk.sync(`${name}${TEMPORARY_SUFFIX}`);
	await disk.rename(`${name}${TEMPORARY_SUFFIX}`, name);
	await disk.syncFolder();
};

/** @throws {DiskFullError} The disk is full; the file is as it was. */
const createFile = async (disk: Disk, name: string, record: Uint8Array): Promise<void> => {
	try {
		await replaceFile(disk, name, record);
	} catch (error) {
		throw isNoSpace(error) ? new DiskFullError() : error;
	}
};

/**
Opens a folder, creates a replica ID if it has none, and truncates a torn record at the end of its log.

@throws {CorruptFileError} A file is corrupt, other than by a torn record at its end.
@throws {DiskFullError} The folder has no replica ID yet, and the disk is full.
*/
export const openStorage = async (disk: Disk) => {
	const content = await readFolder(disk);
	const replica = content.replica ?? randomBytes(REPLICA_ID_BYTES).toString('base64url');
	if (content.replica === undefined) {
		await createFile(disk, IDENTITY_FILE, encodeRecord({replica, format: 1} satisfies Identity));
	}

	if (content.tornBytes > 0) {
		await disk.truncate(LOG_FILE, content.validBytes);
		await disk.sync(LOG_FILE);
	}

	let {snapshot, restored} = content;
	let {hardState} = restored;
	let logBytes = content.validBytes;
	/** Size of the log when it was last rewritten. */
	let rewrittenBytes = 0;
	let folderSynced = false;
	/** The log ends with part of a record that a full disk refused to take and to remove. */
	let hasPartialRecord = false;

	const syncLog = async (): Promise<void> => {
		try {
			await disk.sync(LOG_FILE);
			if (!folderSynced) {
				await disk.syncFolder();
				folderSynced = true;
			}
		} catch (error) {
			throw new SyncFailedError(error);
		}
	};

	const removePartialRecord = async (): Promise<void> => {
		try {
			await disk.truncate(LOG_FILE, logBytes);
			hasPartialRecord = false;
		} catch (error) {
			// A full disk may refuse to create the log; then there is nothing to remove.
			const isMissing = (error as NodeJS.ErrnoException).code === 'ENOENT';
			hasPartialRecord = !isMissing;
			if (!isMissing && !isNoSpace(error)) {
				throw new SyncFailedError(error);
			}
		}
	};

	const appendRecord = async (record: Uint8Array): Promise<void> => {
		if (hasPartialRecord) {
			await removePartialRecord();
		}

		if (hasPartialRecord) {
			throw new DiskFullError();
		}

		try {
			await disk.append(LOG_FILE, record);
		} catch (error) {
			if (!isNoSpace(error)) {
				throw new SyncFailedError(error);
			}

			await removePartialRecord();
			throw new DiskFullError();
		}

		logBytes += record.length;
	};

	const rewriteLog = async (entries: LogEntry[]): Promise<void> => {
		const operations: StorageOperation[] = [{type: 'hard-state', hardState}];
		if (entries.length > 0) {
			operations.push({type: 'append', entries});
		}

		const record = encodeOperations(operations);
		await replaceFile(disk, LOG_FILE, record);
		logBytes = record.length;
		rewrittenBytes = record.length;
		hasPartialRecord = false;
	};

	return {
		replica,
		restored: () => restored,
		tornBytes: content.tornBytes,
		snapshot: () => snapshot,
		logBytes: () => logBytes,
		/** Bytes by which the log has grown since the last snapshot; its whole size after a start. */
		grownBytes: () => logBytes - rewrittenBytes,

		/**
		Makes a batch durable.

		@throws {DiskFullError} The disk is full; the batch is not in the log and may be saved again.
		@throws {SyncFailedError} The write or sync failed; the process must stop.
		*/
		async save(operations: readonly StorageOperation[]): Promise<void> {
			await appendRecord(encodeOperations(operations));
			const states = operations.filter(operation => operation.type === 'hard-state');
			hardState = states.at(-1)?.hardState ?? hardState;
			await syncLog();
		},

		/**
		Makes a snapshot durable, then rewrites the log with only the entries after it.

		@throws {DiskFullError} The disk is full.
		@throws {SyncFailedError} The write or sync failed; the process must stop.
		*/
		async saveSnapshot(next: Snapshot, entriesAfter: LogEntry[]): Promise<void> {
			try {
				await replaceFile(disk, SNAPSHOT_FILE, encodeRecord(next));
				snapshot = next;
				await rewriteLog(entriesAfter);
			} catch (error) {
				if (isNoSpace(error)) {
					await Promise.all([SNAPSHOT_FILE, LOG_FILE].map(async name => disk.remove(`${name}${TEMPORARY_SUFFIX}`)));
					throw new DiskFullError();
				}

				throw new SyncFailedError(error);
			}
		},

		/**
		Stores the first members of a group, as a snapshot before the first entry.

		@throws {DiskFullError} The disk is full; the replica has not joined and may try again.
		*/
		async form(members: Member[], data: Uint8Array<ArrayBuffer>): Promise<void> {
			const first: Snapshot = {
				index: 0, term: 0, members, data,
			};
			await createFile(disk, SNAPSHOT_FILE, encodeRecord(first));
			snapshot = first;
			restored = {hardState, base: {index: 0, term: 0, members}, entries: []};
		},

		close: async () => disk.close(),
	};
};
