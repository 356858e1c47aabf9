/** Encodes log entries as CBOR. Each entry is encoded once; the disk and all other replicas use the same bytes. */
import {Decoder, Encoder} from 'cbor-x';
import {BadFrameError} from './frame-codec.js';
import {logEntrySchema, type LogEntry} from './log-entry.js';

const encoder = new Encoder({structuredClone: false, tagUint8Array: false});
const decoder = new Decoder({structuredClone: false});
/** Cached bytes of entries that are not on the local disk yet. */
const cachedBytes = new WeakMap<LogEntry, Uint8Array>();

/** Encodes an entry, or returns its cached bytes. */
export const encodeEntry = (entry: LogEntry): Uint8Array => {
	const cached = cachedBytes.get(entry);
	if (cached) {
		return cached;
	}

	const bytes = new Uint8Array(encoder.encode(entry));
	cachedBytes.set(entry, bytes);
	return bytes;
};

/**
Decodes an entry and caches its bytes for the write to disk.

@throws {BadFrameError} The bytes are not a valid log entry.
*/
export const decodeEntry = (bytes: Uint8Array): LogEntry => {
	let value: unknown;
	try {
		value = decoder.decode(bytes);
	} catch (error) {
		throw new BadFrameError(String(error));
	}

	const result = logEntrySchema.safeParse(value);
	if (!result.success) {
		throw new BadFrameError(`not a valid log entry: ${result.error.issues[0]?.message ?? ''}`);
	}

	cachedBytes.set(result.data, bytes);
	return result.data;
};

/** Removes the cached bytes of entries that are on disk. */
export const removeCachedBytes = (entries: readonly LogEntry[]): void => {
	for (const entry of entries) {
		cachedBytes.delete(entry);
	}
};
