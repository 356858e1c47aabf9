/* eslint-disable @typescript-eslint/no-unsafe-call, @typescript-eslint/no-unsafe-assignment, @typescript-eslint/no-unsafe-argument -- plain script without types */
/* eslint-disable @typescript-eslint/restrict-plus-operands, @typescript-eslint/use-unknown-in-catch-callback-variable -- plain script without types */
/** Hundreds of changes of a manifest with many routes: do the processes of the core stay up? */
/* eslint-disable no-await-in-loop, no-unmodified-loop-condition -- steps of a case follow one another; names of the settings file */
import process from 'node:process';
import {pause} from '../stand-ins-2/http.mjs';
import {manifestOf} from '../stand-ins-2/manifest.mjs';
import {createRecord} from '../stand-ins-2/record.mjs';
import {
	EXIT, isTroubled, runCase, startSite,
} from '../stand-ins-2/site.mjs';

const KEY = 'sjnbanfqasnmgkcuyj8p';
/** Routes that `big_config` adds at its largest dose on the site. */
const ROUTES = 1400;
/** A storm of changes, as the site's days have them, and the pause until the next one. */
const GAP_MS = 80;
const STORM_MS = 2000;
const REST_MS = 1500;
/** Time from the start of the script until no more changes are sent, in milliseconds. */
const LAST_CHANGE_MS = 103_000;
const RESTART_MS = 500;
/** Ends of its own in a day, on half of the core, that make a fault. */
const ENDS = 3;

const startedMs = Date.now();
const record = createRecord(process.cwd());
const extraRoutes = isTroubled
	? Array.from({length: ROUTES}, (_, index) => ({name: `r-${index.toString(36).padStart(7, '0')}`, host: 'jepu9.example', 'path-prefix': `/wuhu${index}/`}))
	: [];

await runCase(record, async () => {
	const tenants = {cugo130: [KEY]};
	const site = await startSite({record, manifest: manifestOf({version: 1, tenants})});
	const {processes} = site;
	const job = {id: '00000000000000a1', key: KEY};
	const {status: jobStatus} = await site.call('POST', {
		...job, body: {
			spec: '{"ms":500}', steps: [{
				count: 2, cpu: 1000, 'mem-mb': 256, 'estimate-ms': 500,
			}],
		},
	});
	const ends = new Map();
	const untilMs = startedMs + LAST_CHANGE_MS;
	let acknowledged = 1;
	let stormMs = Date.now();
	let isOver = false;

	/** Starts a process again a short time after it has ended by itself. */
	const keepUp = async host => {
		while (!isOver) {
			const {code, signal} = await processes.exited(host);
			if (isOver) {
				return;
			}

			ends.set(host, (ends.get(host) ?? 0) + 1);
			record.note('process ended by itself', {
				host, code, signal, changes: acknowledged - 1, heap: /^FATAL ERROR.*$/mu.exec(processes.logOf(host))?.[0],
			});
			await pause(RESTART_MS);
			if (!isOver) {
				processes.start(host);
			}
		}
	};

	for (const host of processes.core) {
		keepUp(host).catch(error => {
			record.note('could not restart', {host, cause: String(error)});
		});
	}

	const isFault = () => [...ends.values()].filter(count => count >= ENDS).length * 2 >= processes.core.length;
	for (let version = 2; Date.now() < untilMs && !isFault(); version += 1) {
		const nextMs = Date.now() + GAP_MS;
		const {status, tookMs} = await site.operate('POST', '/Config.Replace', manifestOf({
			version, tenants, extraRoutes, timeoutMs: 2000 + version,
		}), {forMs: Math.min(15_000, untilMs - Date.now())});
		record.note('change', {version, status, tookMs});
		acknowledged = status === 200 ? version : acknowledged;
		const isStormOver = Date.now() - stormMs > STORM_MS;
		await pause(isStormOver ? REST_MS : Math.max(0, nextMs - Date.now()));
		stormMs = isStormOver ? Date.now() : stormMs;
	}

	const read = await site.operate('GET', '/Config.Read', undefined, {forMs: 2000});
	const look = await site.call('GET', job);
	isOver = true;
	record.note('result', {
		changes: acknowledged - 1, ends: Object.fromEntries(ends), manifestRead: read.status, jobAccepted: jobStatus, jobRead: look.status,
	});
	const isBroken = isFault();
	await site.stop();
	return isBroken ? EXIT.broken : EXIT.held;
});
