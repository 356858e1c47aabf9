/** Records on disk: magic, length and checksums, so that torn and damaged ones are told apart. */
import {Buffer} from 'node:buffer';
import {crc32} from 'node:zlib';
import {BronzebendError} from '@bronzebend/core';
import {Decoder, Encoder} from 'cbor-x';

const MAGIC = 0x42_42_46_31;
const HEADER_BYTES = 16;

const encoder = new Encoder({structuredClone: false, useRecords: false, tagUint8Array: false});
const decoder = new Decoder({structuredClone: false, useRecords: false});

/** A file that cannot be trusted; the process refuses to start on it. */
export class CorruptFileError extends BronzebendError {
	override readonly name = 'CorruptFileError';

	constructor(file: string, offset: number, what: string) {
		super('corrupt-file', `Cannot read ${file}: ${what} at offset ${offset}. Restore the folder from a backup, or replace this keeper by one with an empty folder.`, {file, offset});
	}
}

/** Encodes one value as a record. */
export const encodeFrame = (value: unknown): Uint8Array => {
	const body = encoder.encode(value);
	const frame = Buffer.alloc(HEADER_BYTES + body.length);
	frame.writeUInt32BE(MAGIC, 0);
	frame.writeUInt32BE(body.length, 4);
	frame.writeUInt32BE(crc32(body), 8);
	frame.writeUInt32BE(crc32(frame.subarray(0, 12)), 12);
	body.copy(frame, HEADER_BYTES);
	return frame;
};

/** Length of the record at an offset; undefined where none is whole. */
const wholeFrameAt = (bytes: Buffer, offset: number): number | undefined => {
	if (offset + HEADER_BYTES > bytes.length || bytes.readUInt32BE(offset) !== MAGIC) {
		return undefined;
	}

	if (crc32(bytes.subarray(offset, offset + 12)) !== bytes.readUInt32BE(offset + 12)) {
		return undefined;
	}

	const end = offset + HEADER_BYTES + bytes.readUInt32BE(offset + 4);
	const isWhole = end <= bytes.length && crc32(bytes.subarray(offset + HEADER_BYTES, end)) === bytes.readUInt32BE(offset + 8);
	return isWhole ? end - offset : undefined;
};

const hasFrameAfter = (bytes: Buffer, offset: number): boolean => {
	const magic = Buffer.alloc(4);
	magic.writeUInt32BE(MAGIC);
	let at = bytes.indexOf(magic, offset + 1);
	while (at !== -1) {
		if (wholeFrameAt(bytes, at) !== undefined) {
			return true;
		}

		at = bytes.indexOf(magic, at + 1);
	}

	return false;
};

/** The records of a file and the length up to which it is whole. */
export type DecodedFile = {values: unknown[]; wholeBytes: number};

/**
Decodes all records of a file. A torn record at the end is left out.

@throws {CorruptFileError} A record is damaged and whole ones follow it.
*/
export const decodeFile = (file: string, content: Uint8Array): DecodedFile => {
	const bytes = Buffer.from(content.buffer, content.byteOffset, content.length);
	const values: unknown[] = [];
	let offset = 0;
	while (offset < bytes.length) {
		const length = wholeFrameAt(bytes, offset);
		if (length === undefined) {
			if (hasFrameAfter(bytes, offset)) {
				throw new CorruptFileError(file, offset, 'a damaged record before whole ones');
			}

			break;
		}

		values.push(decoder.decode(bytes.subarray(offset + HEADER_BYTES, offset + length)));
		offset += length;
	}

	return {values, wholeBytes: offset};
};

/** Encodes a value the way records hold it, without a header. */
export const encodeBytes = (value: unknown): Uint8Array<ArrayBuffer> => new Uint8Array(encoder.encode(value));
/** Decodes what {@link encodeBytes} made. */
export const decodeBytes = (bytes: Uint8Array): unknown => decoder.decode(bytes);
