/** Handshake in which both ends of a connection prove that they hold the cluster secret. */
import {Buffer} from 'node:buffer';
import {createHmac, randomBytes, timingSafeEqual} from 'node:crypto';
import {z} from 'zod';

const NONCE_BYTES = 24;

/** The three messages of the handshake, in order: server, client, server. */
export const handshakeSchema = z.discriminatedUnion('type', [
	z.strictObject({type: z.literal('challenge'), nonce: z.string()}),
	z.strictObject({
		type: z.literal('proof'), node: z.string().min(1).max(200), nonce: z.string(), proof: z.string(),
	}),
	z.strictObject({type: z.literal('accepted'), node: z.string(), proof: z.string()}),
]);
/** One message of the handshake. */
export type Handshake = z.infer<typeof handshakeSchema>;

/** Creates a random nonce. */
export const createNonce = (): string => randomBytes(NONCE_BYTES).toString('base64');

const sign = (secret: string, parts: readonly string[]): string => createHmac('sha256', secret).update(JSON.stringify(parts)).digest('base64');

/** Computes the proof of the connecting node. */
export const clientProof = (secret: string, serverNonce: string, clientNonce: string, node: string): string => sign(secret, ['client', serverNonce, clientNonce, node]);

/** Computes the proof of the accepting node. */
export const serverProof = (secret: string, serverNonce: string, clientNonce: string, node: string): string => sign(secret, ['server', serverNonce, clientNonce, node]);

/** Compares two proofs in constant time. */
export const proofsMatch = (left: string, right: string): boolean => {
	const leftBytes = Buffer.from(left);
	const rightBytes = Buffer.from(right);
	return leftBytes.length === rightBytes.length && timingSafeEqual(leftBytes, rightBytes);
};
