/** Operator of a soak: changes the manifest all the while, reads it back, and probes the routes that changes add and remove. */
import {isDeepStrictEqual} from 'node:util';
import type {Random} from '@bronzebend/core';
import {HOST, KEYS} from '../callers.js';
import {send, type SendResult} from '../send.js';

/** Mean times between two changes, two reads and two probes, in milliseconds. */
const CHANGE_MS = 1000;
const READ_MS = 250;
const PROBE_MS = 200;
/** Time limit of one call, and of the pauses between the attempts of a change, in milliseconds. */
const CALL_TIMEOUT_MS = 1000;
const RETRY_MS = {min: 100, max: 800} as const;
const ACK_POLL_MS = 2;
const MAX_OPEN_CHANGES = 8;
const INVALID_SHARE = 0.15;
const RACE_SHARE = 0.1;
const RESENT_SHARE = 0.15;
const REMOVED_SHARE = 0.3;
/** Statuses that end a change at once. */
const REFUSALS: ReadonlySet<number> = new Set([400, 409, 412, 413, 422]);

type Manifest = {version: number; routes: Array<Record<string, unknown>>; services: unknown[]; tenants: Array<Record<string, unknown>>};

/** A change of the manifest; times in Unix milliseconds. */
export type Change = {
	version: number; manifest: Manifest; isValid: boolean;
	/** Added routes that are in the manifest, by the version that added each. */
	added: readonly number[];
	sentMs: number; answeredMs: number; status: number; attempts: Array<{atMs: number; address: string; status: number}>;
};

/** One reading of the manifest at one keeper. */
export type Reading = {sentMs: number; address: string; status: number; manifest?: Manifest};

/** One call to an added route at one entry; `isServed` is undefined if the entry said neither. */
export type Probe = {sentMs: number; doneMs: number; entry: string; route: number; isServed?: boolean; status: number};

const pause = async (milliseconds: number): Promise<void> => new Promise(resolve => {
	setTimeout(resolve, milliseconds);
});

const pathOf = (version: number): string => `/added-${version}/`;

export type Operator = ReturnType<typeof createOperator>;

export const createOperator = ({random, controls, entries, manifestOf, isOver}: {
	random: Random;
	/** Control addresses of the keepers; the list may change. */
	controls: readonly string[];
	entries: readonly string[];
	manifestOf(version: number): Manifest;
	isOver(): boolean;
}) => {
	const changes: Change[] = [];
	const readings: Reading[] = [];
	const probes: Probe[] = [];
	let version = 1;
	let added: number[] = [];

	const pick = <Item>(items: readonly Item[]): Item => items[Math.floor(random() * items.length)]!;

	const pickOther = (address: string): string => pick(controls.filter(other => other !== address));

	const call = async (method: string, address: string, path: string, body?: unknown): Promise<SendResult> => send({
		method, address, path, body, timeoutMs: CALL_TIMEOUT_MS,
	});

	const build = (number: number, routes: readonly number[]): Manifest => {
		const manifest = manifestOf(number);
		return {...manifest, routes: [...manifest.routes, ...routes.map(route => ({...manifest.routes[0], name: `added-${route}`, 'path-prefix': pathOf(route)}))]};
	};

	const spoil = (manifest: Manifest): Manifest => {
		const [first, ...rest] = manifest.routes;
		const [tenant, other] = manifest.tenants;
		return pick<Manifest>([
			{...manifest, routes: [{...first, service: 'nowhere'}, ...rest]},
			{...manifest, routes: [{...first, 'timeout-ms': 0}, ...rest]},
			{...manifest, routes: [first!, {...first, name: 'same-place'}, ...rest]},
			{...manifest, tenants: [tenant!, {...other, 'api-keys': tenant!['api-keys']}]},
		]);
	};

	/** Sends a change until it gets a clear answer; an answer that comes after the soak does not count. */
	const submit = async (change: Change, isClosed: () => boolean): Promise<void> => {
		let waitMs: number = RETRY_MS.min;
		let address = pick(controls);
		while (change.status === 0 && !isClosed()) {
			const atMs = Date.now();
			const {status} = await call('POST', address, '/Config.Replace', change.manifest);
			change.attempts.push({atMs, address, status});
			if (status === 200 || REFUSALS.has(status)) {
				change.status = status;
				change.answeredMs = Date.now();
				return;
			}

			await pause(waitMs);
			waitMs = Math.min(RETRY_MS.max, waitMs * 2);
			address = pickOther(address);
		}
	};

	const create = (number: number, routes: readonly number[], isValid: boolean): Change => {
		const manifest = build(number, routes);
		const change: Change = {
			version: number, manifest: isValid ? manifest : spoil(manifest), isValid, added: routes, sentMs: Date.now(), answeredMs: Infinity, status: 0, attempts: [],
		};
		changes.push(change);
		return change;
	};

	const nextVersion = (): number => {
		version += 1 + Math.floor(random() * 3);
		return version;
	};

	/** Changes that are sent at once: one, two on one version, or one that was acknowledged already. */
	const draw = (): Change[] => {
		const newest = changes.findLast(change => change.status === 200);
		if (newest && random() < RESENT_SHARE) {
			const again = {
				...newest, sentMs: Date.now(), answeredMs: Infinity, status: 0, attempts: [],
			};
			changes.push(again);
			return [again];
		}

		const number = nextVersion();
		if (random() < INVALID_SHARE) {
			return [create(number, [...added, number], false)];
		}

		const kept = random() < REMOVED_SHARE ? added.slice(1) : added;
		if (random() < RACE_SHARE) {
			added = kept;
			return [create(number, kept, true), create(number, [...kept, number], true)];
		}

		added = [...kept, number];
		return [create(number, added, true)];
	};

	const change = async (isClosed: () => boolean): Promise<void> => {
		const open = new Set<Promise<void>>();
		while (!isOver()) {
			for (const each of open.size < MAX_OPEN_CHANGES ? draw() : []) {
				const sending = submit(each, isClosed).finally(() => open.delete(sending));
				open.add(sending);
			}

			await pause(2 * random() * CHANGE_MS);
		}

		await Promise.all(open);
	};

	const read = async (address = pick(controls)): Promise<Reading> => {
		const sentMs = Date.now();
		const {status, body} = await call('GET', address, '/Config.Read');
		const reading = {
			sentMs, address, status, ...(status === 200 ? {manifest: body as Manifest} : {}),
		};
		readings.push(reading);
		return reading;
	};

	const probe = async (): Promise<void> => {
		const route = pick([...changes].filter(({isValid}) => isValid).slice(-4).map(each => each.version));
		const entry = pick(entries);
		const sentMs = Date.now();
		const {status} = await send({
			method: 'GET', address: entry, path: `${pathOf(route)}no-such-job`, headers: {host: HOST, 'x-api-key': KEYS[0], 'x-deadline-ms': String(CALL_TIMEOUT_MS)}, timeoutMs: CALL_TIMEOUT_MS,
		});
		probes.push({
			sentMs, doneMs: Date.now(), entry, route, status, ...(status === 410 || status === 404 ? {isServed: status === 410} : {}),
		});
	};

	const repeat = async (meanMs: number, act: () => Promise<unknown>): Promise<void> => {
		while (!isOver()) {
			void act();
			await pause(2 * random() * meanMs);
		}
	};

	return {
		changes,
		readings,
		probes,
		/** Works until the soak is over; open changes are sent again until `isClosed`. */
		async run(isClosed: () => boolean): Promise<void> {
			const changing = change(isClosed);
			while (changes.length === 0) {
				await pause(READ_MS);
			}

			await Promise.all([changing, repeat(READ_MS, read), repeat(PROBE_MS, probe)]);
		},
		/** Waits until the next change is acknowledged, or a time is over. */
		async acknowledged(limitMs: number): Promise<void> {
			const untilMs = Date.now() + limitMs;
			const count = (): number => changes.filter(each => each.status === 200).length;
			for (const before = count(); count() === before && Date.now() < untilMs;) {
				await pause(ACK_POLL_MS);
			}
		},
		/** Reads the manifest back until a keeper returns it or the time is over. */
		async readBack(forMs: number): Promise<Reading | undefined> {
			const untilMs = Date.now() + forMs;
			while (Date.now() < untilMs) {
				const reading = await read();
				if (reading.manifest) {
					return reading;
				}

				await pause(RETRY_MS.min);
			}

			return undefined;
		},
	};
};

/** True if a manifest that was read is what was sent. */
export const isSame = (read: Manifest, sent: Manifest): boolean => isDeepStrictEqual(read, sent);
