/** Messages between keeper replicas. */
import {z} from 'zod';

const count = z.number().int().min(0);

/** A member of the replica group; learners receive the log and do not vote. */
export const memberSchema = z.strictObject({
	/** Identity of one data folder; a replaced disk has another. */
	replica: z.string(),
	node: z.string(),
	voter: z.boolean(),
});
/** A member of the replica group. */
export type Member = z.infer<typeof memberSchema>;

const payloadSchema = z.discriminatedUnion('type', [
	z.strictObject({type: z.literal('no-op')}),
	z.strictObject({type: z.literal('members'), members: z.array(memberSchema)}),
	// The group's state machine knows the commands; the log carries them unread.
	z.strictObject({type: z.literal('command'), command: z.unknown()}),
]);
/** What a log entry carries. */
export type LogPayload = z.infer<typeof payloadSchema>;

/** One entry of the replicated log. */
export const logEntrySchema = z.strictObject({index: count, term: count, payload: payloadSchema});
/** One entry of the replicated log. */
export type LogEntry = z.infer<typeof logEntrySchema>;

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
		entries: z.array(logEntrySchema),
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
