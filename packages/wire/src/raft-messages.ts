/** Schemas of the Raft messages between replicas. */
import {z} from 'zod';
import {decodeEntry} from './entry-codec.js';
import {memberSchema} from './log-entry.js';

const count = z.number().int().min(0);

/** A state machine snapshot with the log position it covers. */
export const snapshotSchema = z.strictObject({
	index: count,
	term: count,
	members: z.array(memberSchema),
	data: z.instanceof(Uint8Array),
});
/** A state machine snapshot with the log position it covers. */
export type Snapshot = z.infer<typeof snapshotSchema>;

const vote = {term: count, lastIndex: count, lastTerm: count};

/** One replica's message to another. */
export const raftMessageSchema = z.discriminatedUnion('type', [
	z.strictObject({type: z.literal('pre-vote'), ...vote}),
	z.strictObject({type: z.literal('pre-vote-reply'), term: count, granted: z.boolean()}),
	z.strictObject({type: z.literal('vote'), ...vote, transfer: z.boolean()}),
	z.strictObject({type: z.literal('vote-reply'), term: count, granted: z.boolean()}),
	z.strictObject({
		type: z.literal('append'),
		term: count,
		prevIndex: count,
		prevTerm: count,
		/** CBOR bytes of each entry on the wire; decoded on receipt. */
		entries: z.array(z.instanceof(Uint8Array).transform(bytes => decodeEntry(bytes))),
		commit: count,
		/** Leader's monotonic send time, in milliseconds; echoed in replies, as the basis of its lease. */
		sentAtMs: z.number(),
	}),
	z.strictObject({
		type: z.literal('append-reply'),
		term: count,
		success: z.boolean(),
		/** Last index known to match; on failure, the index that the leader should try next. */
		index: count,
		sentAtMs: z.number(),
	}),
	z.strictObject({
		type: z.literal('install'), term: count, snapshot: snapshotSchema, sentAtMs: z.number(),
	}),
	z.strictObject({type: z.literal('timeout-now'), term: count}),
]);
/** One replica's message to another. */
export type RaftMessage = z.infer<typeof raftMessageSchema>;
