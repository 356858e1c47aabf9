/** Request bodies as bytes in growing buffers, whose memory is used again. */
import {Buffer} from 'node:buffer';

/** Smallest capacity of a buffer that holds anything, in bytes; capacities are powers of two. */
const MIN_CAPACITY = 1024;
/** Largest capacity that is kept for another body, in bytes. */
const MAX_KEPT_CAPACITY = 1_048_576;

const EMPTY = new Uint8Array(0);

/** Memory for bodies. */
export type BufferPool = ReturnType<typeof createBufferPool>;

/**
Creates a pool of memory for bodies. Buffers that are only dropped stay in memory until the next collection of garbage, which does not come
while a process allocates nothing but buffers; a burst of bodies would hold several times the memory of those that are open at once.
*/
export const createBufferPool = () => {
	const free = new Map<number, Uint8Array[]>();
	let freeBytes = 0;

	return {
		take(capacity: number): Uint8Array {
			const kept = free.get(capacity)?.pop();
			freeBytes -= kept?.length ?? 0;
			// Memory of its own, since a slice of Node's shared pool would keep the whole pool.
			return kept ?? Buffer.allocUnsafeSlow(capacity);
		},
		/** Takes a buffer back; drops it if more than `maxFreeBytes` would be free. */
		give(buffer: Uint8Array, maxFreeBytes: number): void {
			if (buffer.length === 0 || buffer.length > MAX_KEPT_CAPACITY || freeBytes + buffer.length > maxFreeBytes) {
				return;
			}

			freeBytes += buffer.length;
			const list = free.get(buffer.length);
			if (list) {
				list.push(buffer);
			} else {
				free.set(buffer.length, [buffer]);
			}
		},
		/** Drops half of the free buffers of each capacity. */
		shrink(): void {
			for (const list of free.values()) {
				for (const dropped of list.splice(Math.floor(list.length / 2))) {
					freeBytes -= dropped.length;
				}
			}
		},
		freeBytes: () => freeBytes,
	};
};

/** Capacity of a buffer that holds this number of bytes. */
export const capacityFor = (bytes: number): number => bytes === 0 ? 0 : Math.max(MIN_CAPACITY, 2 ** Math.ceil(Math.log2(bytes)));

/** Bytes of one body. */
export type BodyBuffer = ReturnType<typeof createBodyBuffer>;

/** Creates an empty buffer. `pool` and `maxFreeBytes` say where its memory comes from and goes to. */
export const createBodyBuffer = (pool: BufferPool, maxFreeBytes: () => number) => {
	let bytes: Uint8Array = EMPTY;
	let size = 0;

	return {
		capacity: () => bytes.length,
		/** Capacity that the buffer has after a chunk of this length is added. */
		capacityAfter: (length: number): number => size + length <= bytes.length ? bytes.length : capacityFor(size + length),
		add(chunk: Uint8Array): void {
			const capacity = this.capacityAfter(chunk.length);
			if (capacity !== bytes.length) {
				const grown = pool.take(capacity);
				grown.set(bytes.subarray(0, size));
				pool.give(bytes, maxFreeBytes());
				bytes = grown;
			}

			bytes.set(chunk, size);
			size += chunk.length;
		},
		clear(): void {
			pool.give(bytes, maxFreeBytes());
			bytes = EMPTY;
			size = 0;
		},
		content: (): Uint8Array => bytes.subarray(0, size),
	};
};
