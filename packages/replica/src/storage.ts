/**
Durable state of one replica: identity, snapshot and log in one folder.

Each batch of operations is one record, written and synced before the next, so only the last
record can be torn.
*/
import {randomBytes} from 'node:crypto';
import {BronzebendError} from '@bronzebend/core';
import {
	decodeEntry, encodeEntry, forgetEncoded, type LogEntry, type Member, type Snapshot,
} from '@bronzebend/wire';
import type {Disk} from './disk.js';
import {CorruptFileError, decodeFile, encodeFrame} from './frames.js';
import type {HardState, RestoredState} from './raft.js';

/** Random bytes of a replica's identity; short, since every message carries two. */
const REPLICA_ID_BYTES = 9;
const LOG_FILE = 'log';
const SNAPSHOT_FILE = 'snapshot';
const IDENTITY_FILE = 'identity';
const ASIDE = '.new';

/** One durable operation. */
export type StorageOperation =
	| {type: 'hard-state'; hardState: HardState}
	| {type: 'append'; entries: LogEntry[]};

/** An operation as a record holds it; logs of earlier versions hold entries that are not bytes. */
type RecordedOperation = Exclude<StorageOperation, {type: 'append'}> | {type: 'append'; entries: Array<LogEntry | Uint8Array>};

/** No room is left on the disk; nothing was accepted. */
export class DiskFullError extends BronzebendError {
	override readonly name = 'DiskFullError';

	constructor() {
		super('disk-full', 'Cannot accept changes: the data folder has no room left. Free some; writing goes on by itself.');
	}
}

/** A sync failed, so what is durable is unknown; this process must stop. */
export class SyncFailedError extends BronzebendError {
	override readonly name = 'SyncFailedError';

	constructor(cause: unknown) {
		super('sync-failed', `Cannot make state durable: ${String(cause)}. Check the disk, then restart the process.`);
	}
}

type Identity = {replica: string; format: 1};

/** Everything that a folder holds. */
export type FolderContent = {
	/** Undefined while the replica has not joined a group. */
	snapshot: Snapshot | undefined;
	restored: RestoredState;
	/** Bytes of a torn record that were cut off the log. */
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

		const read = operation.entries.map(entry => (entry instanceof Uint8Array ? decodeEntry(entry) : entry));
		forgetEncoded(read);
		const first = read[0]!.index;
		entries = [...entries.filter(entry => entry.index < first), ...read];
	}

	// A crash between a received snapshot and the cut of the log leaves entries of another history.
	const covered = entries.find(entry => entry.index === base.index);
	const diverges = covered !== undefined && covered.term !== base.term;
	return {hardState, base, entries: diverges ? [] : entries.filter(entry => entry.index > base.index)};
};

const checkContiguous = (restored: RestoredState): void => {
	const gap = restored.entries.findIndex((entry, position) => entry.index !== restored.base.index + 1 + position);
	if (gap !== -1) {
		throw new CorruptFileError(LOG_FILE, 0, `entry ${restored.entries[gap]!.index} does not follow ${restored.base.index + gap}`);
	}
};

/**
Reads a folder without changing it.

@throws {CorruptFileError} A file is damaged other than by a torn end.
*/
export const readFolder = async (disk: Disk): Promise<FolderContent & {replica: string | undefined; wholeBytes: number}> => {
	const identityBytes = await disk.read(IDENTITY_FILE);
	const identity = identityBytes && (decodeFile(IDENTITY_FILE, identityBytes).values[0] as Identity | undefined);
	const snapshotBytes = await disk.read(SNAPSHOT_FILE);
	const snapshot = snapshotBytes && (decodeFile(SNAPSHOT_FILE, snapshotBytes).values[0] as Snapshot | undefined);
	if (snapshotBytes && !snapshot) {
		throw new CorruptFileError(SNAPSHOT_FILE, 0, 'a damaged record');
	}

	const logBytes = await disk.read(LOG_FILE) ?? new Uint8Array();
	const {values, wholeBytes} = decodeFile(LOG_FILE, logBytes);
	const restored = replay(values, snapshot);
	checkContiguous(restored);
	return {
		replica: identity?.replica, snapshot, restored, tornBytes: logBytes.length - wholeBytes, wholeBytes,
	};
};

const encodeOperations = (operations: readonly StorageOperation[]): Uint8Array => encodeFrame(operations.map((operation): RecordedOperation => {
	if (operation.type !== 'append') {
		return operation;
	}

	const recorded = {...operation, entries: operation.entries.map(entry => encodeEntry(entry))};
	forgetEncoded(operation.entries);
	return recorded;
}));

const writeAside = async (disk: Disk, name: string, frame: Uint8Array): Promise<void> => {
	await disk.write(`${name}${ASIDE}`, frame);
	await disk.sync(`${name}${ASIDE}`);
	await disk.rename(`${name}${ASIDE}`, name);
	await disk.syncFolder();
};

/** Opens a folder, gives it an identity where it has none, and cuts a torn end of its log. */
export const openStorage = async (disk: Disk) => {
	const content = await readFolder(disk);
	const replica = content.replica ?? randomBytes(REPLICA_ID_BYTES).toString('base64url');
	if (content.replica === undefined) {
		await writeAside(disk, IDENTITY_FILE, encodeFrame({replica, format: 1} satisfies Identity));
	}

	if (content.tornBytes > 0) {
		await disk.truncate(LOG_FILE, content.wholeBytes);
		await disk.sync(LOG_FILE);
	}

	let {snapshot, restored} = content;
	let {hardState} = restored;
	let logBytes = content.wholeBytes;
	let folderSynced = false;

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

	const appendRecord = async (frame: Uint8Array): Promise<void> => {
		try {
			await disk.append(LOG_FILE, frame);
		} catch (error) {
			if ((error as NodeJS.ErrnoException).code !== 'ENOSPC') {
				throw new SyncFailedError(error);
			}

			await disk.truncate(LOG_FILE, logBytes);
			throw new DiskFullError();
		}

		logBytes += frame.length;
	};

	const rewriteLog = async (entries: LogEntry[]): Promise<void> => {
		const operations: StorageOperation[] = [{type: 'hard-state', hardState}];
		if (entries.length > 0) {
			operations.push({type: 'append', entries});
		}

		const frame = encodeOperations(operations);
		await writeAside(disk, LOG_FILE, frame);
		logBytes = frame.length;
	};

	return {
		replica,
		restored: () => restored,
		tornBytes: content.tornBytes,
		snapshot: () => snapshot,
		logBytes: () => logBytes,

		/**
		Makes a batch durable.

		@throws {DiskFullError} There was no room; the batch is not in the log and may be saved again.
		@throws {SyncFailedError} The disk failed; this process must stop.
		*/
		async save(operations: readonly StorageOperation[]): Promise<void> {
			await appendRecord(encodeOperations(operations));
			const states = operations.filter(operation => operation.type === 'hard-state');
			hardState = states.at(-1)?.hardState ?? hardState;
			await syncLog();
		},

		/** Makes a snapshot durable, then cuts the log to the entries after it. */
		async saveSnapshot(next: Snapshot, entriesAfter: LogEntry[]): Promise<void> {
			try {
				await writeAside(disk, SNAPSHOT_FILE, encodeFrame(next));
				snapshot = next;
				await rewriteLog(entriesAfter);
			} catch (error) {
				if ((error as NodeJS.ErrnoException).code === 'ENOSPC') {
					await Promise.all([SNAPSHOT_FILE, LOG_FILE].map(async name => disk.remove(`${name}${ASIDE}`)));
					throw new DiskFullError();
				}

				throw new SyncFailedError(error);
			}
		},

		/** First members of a group, as a snapshot before the first entry. */
		async form(members: Member[], data: Uint8Array<ArrayBuffer>): Promise<void> {
			snapshot = {
				index: 0, term: 0, members, data,
			};
			await writeAside(disk, SNAPSHOT_FILE, encodeFrame(snapshot));
			restored = {hardState, base: {index: 0, term: 0, members}, entries: []};
		},

		close: async () => disk.close(),
	};
};
