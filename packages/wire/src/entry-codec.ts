/** Log entries as bytes: each is encoded once, for the disk and for every other replica. */
import {Decoder, Encoder} from 'cbor-x';
import {BadFrameError} from './frame-codec.js';
import {logEntrySchema, type LogEntry} from './log-entry.js';

const encoder = new Encoder({structuredClone: false, tagUint8Array: false});
const decoder = new Decoder({structuredClone: false});
/** Bytes of entries that are not on this disk yet; kept only until then. */
const encoded = new WeakMap<LogEntry, Uint8Array>();

/** Bytes of an entry. */
export const encodeEntry = (entry: LogEntry): Uint8Array => {
	const known = encoded.get(entry);
	if (known) {
		return known;
	}

	const bytes = new Uint8Array(encoder.encode(entry));
	encoded.set(entry, bytes);
	return bytes;
};

/**
Reads an entry and keeps its bytes for the disk.

@throws {BadFrameError} The bytes hold no entry.
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
		throw new BadFrameError(`no log entry: ${result.error.issues[0]?.message ?? ''}`);
	}

	encoded.set(result.data, bytes);
	return result.data;
};

/** Drops the bytes of entries that are on disk. */
export const forgetEncoded = (entries: readonly LogEntry[]): void => {
	for (const entry of entries) {
		encoded.delete(entry);
	}
};
