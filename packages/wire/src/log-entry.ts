/** Entries of the replicated log, and the members of the replica group. */
import {z} from 'zod';

const count = z.number().int().min(0);

/** A member of the replica group; learners receive the log and do not vote. */
export const memberSchema = z.strictObject({
	/** ID of the replica's data folder; a replaced disk has a new one. */
	replica: z.string(),
	node: z.string(),
	voter: z.boolean(),
});
/** A member of the replica group. */
export type Member = z.infer<typeof memberSchema>;

const payloadSchema = z.discriminatedUnion('type', [
	z.strictObject({type: z.literal('no-op')}),
	z.strictObject({type: z.literal('members'), members: z.array(memberSchema)}),
	// Opaque to the log; the group's state machine interprets the command.
	z.strictObject({type: z.literal('command'), command: z.unknown()}),
]);
/** Payload of a log entry. */
export type LogPayload = z.infer<typeof payloadSchema>;

/** One entry of the replicated log. */
export const logEntrySchema = z.strictObject({index: count, term: count, payload: payloadSchema});
/** One entry of the replicated log. */
export type LogEntry = z.infer<typeof logEntrySchema>;
