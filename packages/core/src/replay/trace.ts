/** Format of recorded traces: JSON Lines with a header line, then one event a line, each with its time. */
import {z} from 'zod';
import type {ControlCommand} from '../control/control-state.js';
import {declarationSchema} from '../declarations/kinds.js';
import type {DispatchEvent} from '../dispatch/dispatch-events.js';
import {BronzebendError} from '../utils/errors.js';

/** Version of the trace format. */
export const TRACE_SCHEMA_VERSION = 1;

const count = z.number().int().min(0);
const words = z.string().describe('The outcome in plain language');

const outcomeSchema = z.discriminatedUnion('type', [
	z.strictObject({
		type: z.literal('running-at-most'), words, team: z.string(), count,
	}),
	z.strictObject({type: z.literal('slots-not-exceeded'), words}),
	z.strictObject({type: z.literal('ticket-for'), words, requestId: z.string()}),
	z.strictObject({type: z.literal('no-ticket-for'), words, requestId: z.string()}),
	z.strictObject({
		type: z.literal('no-ticket-to'), words, instance: z.string(), fromMs: z.number(),
	}),
	z.strictObject({
		type: z.literal('tickets-at-least'), words, team: z.string(), count,
	}),
	z.strictObject({type: z.literal('one-ticket-a-request'), words}),
	z.strictObject({
		type: z.literal('refused'), words, requestId: z.string(), reason: z.string(),
	}),
	z.strictObject({type: z.literal('version-never-falls'), words}),
	z.strictObject({
		type: z.literal('outcome-of'), words, event: count, equals: z.record(z.string(), z.unknown()),
	}),
	z.strictObject({
		type: z.literal('granted-at-most'), words, team: z.string(), count,
	}),
	z.strictObject({
		type: z.literal('portion-is'), words, pool: z.string(), team: z.string(), count,
	}),
	z.strictObject({type: z.literal('key-withdrawn'), words, sha256: z.string()}),
	z.strictObject({type: z.literal('budget-holds'), words, pool: z.string()}),
	z.strictObject({type: z.literal('reboot-only-drained'), words}),
	z.strictObject({type: z.literal('one-pool-each'), words}),
	z.strictObject({type: z.literal('wave-done'), words, wave: z.string()}),
]);
/** An outcome that a trace states and a replay checks. */
export type StatedOutcome = z.infer<typeof outcomeSchema>;

const headerSchema = z.strictObject({
	type: z.literal('header'),
	schema: z.literal(TRACE_SCHEMA_VERSION),
	seed: z.number().int(),
	deployment: z.string(),
	declarations: z.array(declarationSchema),
	outcomes: z.array(outcomeSchema),
});
/** First line of a trace. */
export type TraceHeader = z.infer<typeof headerSchema>;

const eventSchema = z.discriminatedUnion('type', [
	z.strictObject({
		type: z.literal('open-dispatcher'), atMs: z.number(), pool: z.string(), epoch: count, entries: z.array(z.string()), rebuildUntilMs: z.number(), leaseEnds: z.array(z.strictObject({entry: z.string(), untilMs: z.number()})).optional(),
	}),
	z.strictObject({
		type: z.literal('dispatch'), atMs: z.number(), pool: z.string(), epoch: count, event: z.custom<DispatchEvent>(value => typeof value === 'object' && value !== null && 'type' in value),
	}),
	z.strictObject({
		type: z.literal('command'), atMs: z.number(), command: z.custom<ControlCommand>(value => typeof value === 'object' && value !== null && 'type' in value),
	}),
	z.strictObject({type: z.literal('restart-state'), atMs: z.number()}),
	z.strictObject({
		type: z.literal('plan'),
		atMs: z.number(),
		evidence: z.array(z.strictObject({
			pool: z.string(), atMs: z.number(), out: z.array(z.string()), undrained: z.array(z.string()), demand: z.number(),
		})),
		/** True if a new leader plans, with an empty history. */
		newLeader: z.boolean(),
		/** False if the platform's answers to the last orders were lost. */
		platformAnswers: z.boolean(),
	}),
	z.strictObject({type: z.literal('end'), atMs: z.number(), reason: z.string()}),
]);
/** An event of a trace. */
export type TraceEvent = z.infer<typeof eventSchema>;

/** A whole trace. */
export type Trace = {header: TraceHeader; events: TraceEvent[]};

/** A trace that cannot be parsed. */
export class TraceError extends BronzebendError {
	override readonly name = 'TraceError';

	constructor(readonly line: number, reason: string) {
		super('bad-trace', `Cannot read line ${line} of the trace: ${reason}`, {line});
	}
}

const parseLine = <T>(schema: z.ZodType<T>, text: string, line: number): T => {
	let value: unknown;
	try {
		value = JSON.parse(text);
	} catch (error) {
		throw new TraceError(line, (error as Error).message);
	}

	const result = schema.safeParse(value);
	if (!result.success) {
		const issue = result.error.issues[0]!;
		throw new TraceError(line, `${issue.path.join('.') || '(top)'}: ${issue.message}`);
	}

	return result.data;
};

/**
Parses a trace.

@throws {TraceError} A line is not valid JSON or does not match its schema; carries the first such line, from 1.
*/
export const parseTrace = (text: string): Trace => {
	const lines = text.split('\n');
	if (lines.at(-1) === '') {
		lines.pop();
	}

	const header = parseLine(headerSchema, lines[0] ?? '', 1);
	return {header, events: lines.slice(1).map((line, index) => parseLine(eventSchema, line, index + 2))};
};

