/** Canonical JSON and digests of it, so that equal values have equal digests. */
import {Buffer} from 'node:buffer';
import {createHash, timingSafeEqual} from 'node:crypto';

const sortKeys = (value: unknown): unknown => {
	if (Array.isArray(value)) {
		return value.map(item => sortKeys(item));
	}

	if (typeof value === 'object' && value !== null) {
		const entries = Object.entries(value).filter(([, item]) => item !== undefined);
		entries.sort(([left], [right]) => (left < right ? -1 : 1));
		return Object.fromEntries(entries.map(([key, item]) => [key, sortKeys(item)]));
	}

	return value;
};

/** Serializes a value with its object keys in code-unit order. */
export const canonicalJson = (value: unknown): string => JSON.stringify(sortKeys(value));

/** Returns the SHA-256 of a text, in hex. */
export const sha256Hex = (text: string): string => createHash('sha256').update(text).digest('hex');

/** Compares two hex digests in constant time; digests of different lengths are not equal. */
export const equalDigests = (left: string, right: string): boolean => {
	const leftBytes = Buffer.from(left);
	const rightBytes = Buffer.from(right);
	return leftBytes.length === rightBytes.length && timingSafeEqual(leftBytes, rightBytes);
};
