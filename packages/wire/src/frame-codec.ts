/** Length-prefixed CBOR frames on a byte stream. */
import {Buffer} from 'node:buffer';
import {BronzebendError} from '@bronzebend/core';
import {Decoder, Encoder} from 'cbor-x';

/** Largest frame that is sent or taken, in bytes. */
export const MAX_FRAME_BYTES = 64 * 1024 * 1024;
const LENGTH_BYTES = 4;

/** The peer sent bytes that are no frame; the connection is closed. */
export class BadFrameError extends BronzebendError {
	override readonly name = 'BadFrameError';

	constructor(what: string) {
		super('bad-frame', `Cannot read the peer's message: ${what}. Check that both run the same version.`);
	}
}

/** Encodes the values of one connection; every frame must be sent, in order. */
export const createFrameWriter = () => {
	// Shapes of objects are sent once a connection and referred to after that.
	const encoder = new Encoder({structuredClone: false, tagUint8Array: false, sequential: true});

	return {
		/** Encodes one value with its length in front. */
		encode(value: unknown): Buffer {
			const body = encoder.encode(value);
			const frame = Buffer.allocUnsafe(LENGTH_BYTES + body.length);
			frame.writeUInt32BE(body.length, 0);
			body.copy(frame, LENGTH_BYTES);
			return frame;
		},
	};
};

/** Encodes the values of one connection. */
export type FrameWriter = ReturnType<typeof createFrameWriter>;

/** Cuts a byte stream into values. */
export const createFrameReader = () => {
	const decoder = new Decoder({structuredClone: false, structures: []});
	let chunks: Buffer[] = [];
	let buffered = 0;

	const peekLength = (): number | undefined => {
		if (buffered < LENGTH_BYTES) {
			return undefined;
		}

		if (chunks[0]!.length < LENGTH_BYTES) {
			chunks = [Buffer.concat(chunks)];
		}

		return chunks[0]!.readUInt32BE(0);
	};

	return {
		/**
		Takes a chunk and returns the values that are whole.

		@throws {BadFrameError} A frame is too long or no CBOR.
		*/
		push(chunk: Buffer): unknown[] {
			chunks.push(chunk);
			buffered += chunk.length;
			const values: unknown[] = [];
			for (;;) {
				const length = peekLength();
				if (length === undefined) {
					return values;
				}

				if (length > MAX_FRAME_BYTES) {
					throw new BadFrameError(`${length} bytes in one frame`);
				}

				if (buffered < LENGTH_BYTES + length) {
					return values;
				}

				const all = chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
				try {
					values.push(decoder.decode(all.subarray(LENGTH_BYTES, LENGTH_BYTES + length)));
				} catch (error) {
					throw new BadFrameError(String(error));
				}

				const rest = all.subarray(LENGTH_BYTES + length);
				chunks = rest.length > 0 ? [rest] : [];
				buffered = rest.length;
			}
		},
	};
};
