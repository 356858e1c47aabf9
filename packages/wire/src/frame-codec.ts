/** Length-prefixed CBOR frames on a byte stream. */
import {Buffer} from 'node:buffer';
import {BronzebendError} from '@bronzebend/core';
import {Decoder, Encoder} from 'cbor-x';

/** Maximum frame size in bytes, without the length prefix; the receiver rejects larger frames. */
export const MAX_FRAME_BYTES = 64 * 1024 * 1024;
const LENGTH_BYTES = 4;

/** The peer sent bytes that cannot be decoded; the connection is closed. */
export class BadFrameError extends BronzebendError {
	override readonly name = 'BadFrameError';

	constructor(reason: string) {
		super('bad-frame', `Cannot decode the peer's message: ${reason}. Check that both nodes run the same version.`);
	}
}

/** Creates the encoder of one connection; every frame must be sent, in order. */
export const createFrameWriter = () => {
	// The shape of an object is sent once per connection; later frames refer to it.
	const encoder = new Encoder({structuredClone: false, tagUint8Array: false, sequential: true});

	return {
		/** Encodes one value as a length-prefixed frame. */
		encode(value: unknown): Buffer {
			const body = encoder.encode(value);
			const frame = Buffer.allocUnsafe(LENGTH_BYTES + body.length);
			frame.writeUInt32BE(body.length, 0);
			body.copy(frame, LENGTH_BYTES);
			return frame;
		},
	};
};

/** Encoder of one connection. */
export type FrameWriter = ReturnType<typeof createFrameWriter>;

/** Creates a decoder that splits a byte stream into frames. `maxBytes` returns the size limit of the next frame. */
export const createFrameReader = (maxBytes: () => number = () => MAX_FRAME_BYTES) => {
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
		Adds a chunk and returns the values of all frames that are now complete.

		@throws {BadFrameError} A frame is larger than its limit or not valid CBOR.
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

				if (length > maxBytes()) {
					throw new BadFrameError(`frame of ${length} bytes is too large`);
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
