/** Messages between keeper replicas. */
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
		/** On the wire, the bytes of each entry. */
		entries: z.array(z.instanceof(Uint8Array).transform(bytes => decodeEntry(bytes))),
		commit: count,
		/** Leader's monotonic time of sending, in milliseconds; echoed for its lease. */
		sentAtMs: z.number(),
	}),
	z.strictObject({
		type: z.literal('append-reply'),
		term: count,
		success: z.boolean(),
		/** Last index known to match, or where the leader should try next. */
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
