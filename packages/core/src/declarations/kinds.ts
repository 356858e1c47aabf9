/** Schemas of the objects that operators publish, one per kind. The types and JSON Schemas are derived from them. */
import {z} from 'zod';

const nameSchema = z.string().regex(/^[a-z\d][a-z\d-]{0,62}$/, 'use 1 to 63 of a-z, 0-9 and "-", starting with a letter or digit');
const count = z.number().int().min(0);
const positive = z.number().int().min(1);
const millisecondsSchema = z.number().int().min(1);
const timeOfDay = z.string().regex(/^([01]\d|2[0-3]):[0-5]\d$/, 'use HH:MM in UTC');

/** A daily span of time in UTC; `to` before `from` runs past midnight. */
const dailyWindow = z.strictObject({from: timeOfDay, to: timeOfDay});

const pool = z.strictObject({
	kind: z.literal('pool'),
	name: nameSchema,
	service: nameSchema.describe('Service whose backend servers this pool holds'),
	capacity: z.strictObject({
		instances: count.describe('Instances the pool wants'),
		slotsPerInstance: positive.default(8),
	}),
	availability: z.strictObject({
		maxOut: count.describe('Instances that may be out at once, for whatever reason'),
		maxOutPerDataCentre: count.optional(),
	}),
	spare: z.boolean().default(false).describe('True for the pool that others borrow from'),
	sparePool: nameSchema.optional().describe('Pool that fills gaps of this one'),
});

const instance = z.strictObject({
	kind: z.literal('instance'),
	name: nameSchema,
	region: nameSchema.default('home'),
	dataCentre: nameSchema,
	rack: nameSchema,
	pool: nameSchema.describe('Pool the instance starts in'),
	resources: z.strictObject({cores: count, memoryGb: count, accelerators: count.default(0)}).optional(),
});

const workspace = z.strictObject({
	kind: z.literal('workspace'),
	name: nameSchema,
	parent: nameSchema.optional(),
});

const team = z.strictObject({
	kind: z.literal('team'),
	name: nameSchema,
	workspace: nameSchema.optional(),
});

/** What a key may be used for. */
export const keyPurposes = {submit: 'submit', announce: 'announce'} as const;

const key = z.strictObject({
	kind: z.literal('key'),
	name: nameSchema,
	sha256: z.string().regex(/^[\da-f]{64}$/, 'use the SHA-256 of the secret in hex, never the secret'),
	purpose: z.enum(keyPurposes).default('submit'),
	team: nameSchema.optional().describe('Team of a submit key'),
	service: nameSchema.optional().describe('Service of an announce key'),
});

const share = z.strictObject({
	kind: z.literal('share'),
	name: nameSchema,
	team: nameSchema,
	pool: nameSchema,
	weight: z.number().positive().max(1_000_000),
	minimum: count.default(0).describe('Slots the weight is meant to give when the pool is full'),
});

const limit = z.strictObject({
	kind: z.literal('limit'),
	name: nameSchema,
	team: nameSchema,
	running: positive.describe('Most that may run for the team over the whole fleet'),
});

const queueAccess = z.discriminatedUnion('type', [
	z.strictObject({type: z.literal('teams'), teams: z.array(nameSchema).min(1)}),
	z.strictObject({type: z.literal('open'), team: nameSchema.describe('Team that open work counts for')}),
]);

const queue = z.strictObject({
	kind: z.literal('queue'),
	name: nameSchema,
	pool: nameSchema,
	prefix: z.string().regex(/^\/[\w\-./~]*$/, 'start with "/"'),
	access: queueAccess,
	weight: z.number().positive().max(1_000_000).default(1),
	urgent: z.boolean().default(false),
	maxWaiting: positive.default(1000).describe('Requests that may wait per team'),
	defaultDeadlineMs: millisecondsSchema.default(30_000),
	maxDeadlineMs: millisecondsSchema.default(300_000),
	maxBodyBytes: positive.default(16_777_216),
});

const wave = z.strictObject({
	kind: z.literal('wave'),
	name: nameSchema,
	pools: z.array(nameSchema).min(1),
	start: z.iso.datetime(),
	paused: z.boolean().default(false),
	windows: z.array(dailyWindow).default([]).describe('Hours in which the wave may work; empty for always'),
});

const policy = z.strictObject({
	kind: z.literal('policy'),
	name: nameSchema,
	objective: z.strictObject({
		bufferCost: z.number().min(0),
		rollOutTime: z.number().min(0),
		moves: z.number().min(0),
		closenessToShare: z.number().min(0),
	}),
	quietWindows: z.array(dailyWindow).default([]).describe('Hours in which no planned move or reboot starts'),
});

/** Schema of one declaration; the `kind` field selects the variant. */
export const declarationSchema = z.discriminatedUnion('kind', [
	pool, instance, workspace, team, key, share, limit, queue, wave, policy,
]);

/** Schemas by kind, for generating JSON Schemas. */
export const kindSchemas = {
	pool, instance, workspace, team, key, share, limit, queue, wave, policy,
} as const;

/** A declaration that matches the schema of its kind. */
export type Declaration = z.infer<typeof declarationSchema>;
/** Kind of a declaration. */
export type Kind = Declaration['kind'];
/** The declaration type of one kind. */
export type DeclarationOf<K extends Kind> = Extract<Declaration, {kind: K}>;
/** A daily span of time in UTC. */
export type DailyWindow = z.infer<typeof dailyWindow>;
export type Pool = DeclarationOf<'pool'>;
export type Instance = DeclarationOf<'instance'>;
export type Team = DeclarationOf<'team'>;
export type Key = DeclarationOf<'key'>;
export type Share = DeclarationOf<'share'>;
export type Limit = DeclarationOf<'limit'>;
export type Queue = DeclarationOf<'queue'>;
export type Wave = DeclarationOf<'wave'>;
export type Policy = DeclarationOf<'policy'>;
