/** Format of records on disk: magic, length and checksums, which distinguish a torn record from a corrupt one. */
import {Buffer} from 'node:buffer';
import {crc32} from 'node:zlib';
import {BronzebendError} from '@bronzebend/core';
import {Decoder, Encoder} from 'cbor-x';

const MAGIC = 0x42_42_46_31;
const HEADER_BYTES = 16;

const encoder = new Encoder({structuredClone: false, useRecords: false, tagUint8Array: false});
const decoder = new Decoder({structuredClone: false, useRecords: false});

/** A file is corrupt; the process refuses to start on it. */
export class CorruptFileError extends BronzebendError {
	override readonly name = 'CorruptFileError';

	constructor(file: string, offset: number, reason: string) {
		super('corrupt-file', `Cannot read ${file}: ${reason} at offset ${offset}. Restore the folder from a backup, or replace this keeper with one that has an empty folder.`, {file, offset});
	}
}

/** Encodes one value as a record. */
export const encodeRecord = (value: unknown): Uint8Array => {
	const body = encoder.encode(value);
	const record = Buffer.alloc(HEADER_BYTES + body.length);
	record.writeUInt32BE(MAGIC, 0);
	record.writeUInt32BE(body.length, 4);
	record.writeUInt32BE(crc32(body), 8);
	record.writeUInt32BE(crc32(record.subarray(0, 12)), 12);
	body.copy(record, HEADER_BYTES);
	return record;
};

/** Length of the record at an offset, with its header; undefined if there is no valid record. */
const validRecordLengthAt = (bytes: Buffer, offset: number): number | undefined => {
	if (offset + HEADER_BYTES > bytes.length || bytes.readUInt32BE(offset) !== MAGIC) {
		return undefined;
	}

	if (crc32(bytes.subarray(offset, offset + 12)) !== bytes.readUInt32BE(offset + 12)) {
		return undefined;
	}

	const end = offset + HEADER_BYTES + bytes.readUInt32BE(offset + 4);
	const isValid = end <= bytes.length && crc32(bytes.subarray(offset + HEADER_BYTES, end)) === bytes.readUInt32BE(offset + 8);
	return isValid ? end - offset : undefined;
};

const hasValidRecordAfter = (bytes: Buffer, offset: number): boolean => {
	const magic = Buffer.alloc(4);
	magic.writeUInt32BE(MAGIC);
	let at = bytes.indexOf(magic, offset + 1);
	while (at !== -1) {
		if (validRecordLengthAt(bytes, at) !== undefined) {
			return true;
		}

		at = bytes.indexOf(magic, at + 1);
	}

	return false;
};

/** The records of a file and the length of its valid part, in bytes. */
export type DecodedFile = {values: unknown[]; validBytes: number};

/**
Decodes all records of a file. A torn record at the end is skipped.

@throws {CorruptFileError} A corrupt record is followed by a valid one.
*/
export const decodeFile = (file: string, content: Uint8Array): DecodedFile => {
	const bytes = Buffer.from(content.buffer, content.byteOffset, content.length);
	const values: unknown[] = [];
	let offset = 0;
	while (offset < bytes.length) {
		const length = validRecordLengthAt(bytes, offset);
		if (length === undefined) {
			if (hasValidRecordAfter(bytes, offset)) {
				throw new CorruptFileError(file, offset, 'corrupt record followed by valid records');
			}

			break;
		}

		values.push(decoder.decode(bytes.subarray(offset + HEADER_BYTES, offset + length)));
		offset += length;
	}

	return {values, validBytes: offset};
};

/** Encodes a value in the format of record bodies, without a header. */
export const encodeBytes = (value: unknown): Uint8Array<ArrayBuffer> => new Uint8Array(encoder.encode(value));
/** Decodes the result of {@link encodeBytes}. */
export const decodeBytes = (bytes: Uint8Array): unknown => decoder.decode(bytes);
