/** Settings of one process, read from a JSON file. */
import {readFileSync} from 'node:fs';
import path from 'node:path';
import {BronzebendError} from '@bronzebend/core';
import {z} from 'zod';

const port = z.number().int().min(0).max(65_535);
const listen = z.strictObject({host: z.string().default('127.0.0.1'), port});
const nodeName = z.string().regex(/^[a-z\d][a-z\d-]{0,62}$/, 'use 1 to 63 of a-z, 0-9 and "-"');
const tlsFiles = z.strictObject({keyFile: z.string(), certFile: z.string(), caFile: z.string().optional()});

/** Roles of a process: an `entry` takes callers' requests, a `keeper` holds a replica of the shared state. */
export const roles = {entry: 'entry', keeper: 'keeper'} as const;

/** Schema of the settings file. */
export const settingsSchema = z.strictObject({
	$schema: z.string().optional(),
	node: nodeName.describe('Name of this process, unique in the cluster'),
	region: nodeName.default('home'),
	dataCentre: nodeName,
	roles: z.array(z.enum(roles)).min(1),
	dataFolder: z.string().optional().describe('Folder of durable state; needed by keepers'),
	callers: listen.optional().describe('Where callers and backend servers reach an entry'),
	callersTls: tlsFiles.optional(),
	peers: listen.extend({advertise: z.string().optional().describe('Address that other nodes use; the host by default')}),
	peersTls: tlsFiles.extend({caFile: z.string()}).optional(),
	operators: listen.optional().describe('Where operators, metrics and health checks reach this process'),
	operatorsTls: tlsFiles.optional(),
	keepers: z.array(z.strictObject({node: nodeName, host: z.string(), port})).min(1),
	clusterSecretFile: z.string().describe('File with the secret that all processes share'),
	operatorKeyFile: z.string().describe('File with the key that operators present'),
	allowInsecure: z.boolean().default(false).describe('Listen on other than loopback addresses without TLS'),
	drainSeconds: z.number().min(0).default(60).describe('Longest wait for running requests on a stop'),
	platform: z.strictObject({url: z.url(), keyFile: z.string().optional()}).optional(),
	log: z.strictObject({
		level: z.enum(['error', 'warn', 'info', 'debug']).default('info'),
		format: z.enum(['json', 'text']).default('text'),
	}).prefault({}),
	traces: z.strictObject({file: z.string()}).optional().describe('File that finished spans are appended to, one JSON object a line'),
	recording: z.strictObject({file: z.string(), maxBytes: z.number().int().min(1).default(16_777_216)}).optional(),
});
/** Validated settings of one process. */
export type Settings = z.infer<typeof settingsSchema>;

/** A settings or secret file is missing or invalid; the process does not start. */
export class SettingsError extends BronzebendError {
	override readonly name = 'SettingsError';

	constructor(file: string, readonly faults: readonly string[]) {
		super('bad-settings', `Cannot start with ${file}:\n${faults.map(fault => `  ${fault}`).join('\n')}\nCorrect these; schemas/settings.json describes every field.`, {file, faults});
	}
}

const loopbackHosts = new Set(['localhost', '::1']);
const isLoopback = (host: string): boolean => host.startsWith('127.') || loopbackHosts.has(host);

const findCrossFieldFaults = (settings: Settings): string[] => {
	const faults: string[] = [];
	const isKeeper = settings.roles.includes(roles.keeper);
	if (isKeeper && settings.dataFolder === undefined) {
		faults.push('dataFolder: required for the role keeper, which stores its state there');
	}

	if (isKeeper && !settings.keepers.some(keeper => keeper.node === settings.node)) {
		faults.push(`keepers: this node "${settings.node}" has the role keeper but is not listed`);
	}

	if (settings.roles.includes(roles.entry) && settings.callers === undefined) {
		faults.push('callers: required for the role entry, which listens for callers there');
	}

	const listeners = [
		['callers', settings.callers, settings.callersTls],
		['peers', settings.peers, settings.peersTls],
		['operators', settings.operators, settings.operatorsTls],
	] as const;
	for (const [name, address, tls] of listeners) {
		if (address && !isLoopback(address.host) && !tls && !settings.allowInsecure) {
			faults.push(`${name}.host: ${address.host} is not a loopback address; set ${name}Tls, or allowInsecure if the network is trusted`);
		}
	}

	return faults;
};

/**
Validates a settings value.

@throws {SettingsError} The settings are invalid; lists every faulty path.
*/
export const parseSettings = (value: unknown, file: string): Settings => {
	const result = settingsSchema.safeParse(value);
	if (!result.success) {
		throw new SettingsError(file, result.error.issues.map(issue => {
			const extra = issue.code === 'unrecognized_keys' ? issue.keys : [];
			return `${[...issue.path, ...extra].join('.') || '(top)'}: ${issue.message}`;
		}));
	}

	const faults = findCrossFieldFaults(result.data);
	if (faults.length > 0) {
		throw new SettingsError(file, faults);
	}

	return result.data;
};

/**
Reads a settings file. Relative paths in it are resolved against the file's folder.

@throws {SettingsError} The file is missing, not valid JSON, or has invalid settings.
*/
export const readSettings = (file: string): Settings => {
	let value: unknown;
	try {
		value = JSON.parse(readFileSync(file, 'utf8'));
	} catch (error) {
		throw new SettingsError(file, [(error as Error).message]);
	}

	const settings = parseSettings(value, file);
	const resolve = (name: string): string => path.resolve(path.dirname(file), name);
	const resolveTls = <T extends z.infer<typeof tlsFiles>>(tls: T | undefined): T | undefined => tls && {
		...tls, keyFile: resolve(tls.keyFile), certFile: resolve(tls.certFile), ...(tls.caFile === undefined ? {} : {caFile: resolve(tls.caFile)}),
	};
	return {
		...settings,
		dataFolder: settings.dataFolder === undefined ? undefined : resolve(settings.dataFolder),
		clusterSecretFile: resolve(settings.clusterSecretFile),
		operatorKeyFile: resolve(settings.operatorKeyFile),
		callersTls: resolveTls(settings.callersTls),
		peersTls: resolveTls(settings.peersTls),
		operatorsTls: resolveTls(settings.operatorsTls),
		platform: settings.platform && {...settings.platform, ...(settings.platform.keyFile === undefined ? {} : {keyFile: resolve(settings.platform.keyFile)})},
		traces: settings.traces && {file: resolve(settings.traces.file)},
		recording: settings.recording && {...settings.recording, file: resolve(settings.recording.file)},
	};
};

/**
Reads a secret from a file, without surrounding white space.

@throws {SettingsError} The file is missing or the secret is too short.
*/
export const readSecret = (file: string): string => {
	let secret: string;
	try {
		secret = readFileSync(file, 'utf8').trim();
	} catch (error) {
		throw new SettingsError(file, [(error as Error).message]);
	}

	if (secret.length < 16) {
		throw new SettingsError(file, ['the secret in this file is shorter than 16 characters']);
	}

	return secret;
};
