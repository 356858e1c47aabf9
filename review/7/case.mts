/* eslint-disable @typescript-eslint/no-unsafe-call, @typescript-eslint/no-unsafe-assignment, @typescript-eslint/no-unsafe-return -- plain script without types */

/** A planned replacement of one core machine, then the loss of two disks: is what was accepted still there? */
/* eslint-disable no-await-in-loop -- steps of a case follow one another; names of the settings file */
import process from 'node:process';
import {pause} from '../stand-ins-2/http.mjs';
import {manifestOf} from '../stand-ins-2/manifest.mjs';
import {BOUNDS} from '../stand-ins-2/processes.mjs';
import {createRecord} from '../stand-ins-2/record.mjs';
import {
	EXIT, isTroubled, runCase, startSite,
} from '../stand-ins-2/site.mjs';

const KEY = 'sjnbanfqasnmgkcuyj8p';
const JOBS = 8;
const CATCH_UP_MS = BOUNDS['catch-up-s'] * 1000;
/** Time for which a wiped machine is away. */
const AWAY_MS = 1000;

const record = createRecord(process.cwd());
const idOf = number => number.toString(16).padStart(16, '0');

await runCase(record, async () => {
	const site = await startSite({record, manifest: manifestOf({version: 1, tenants: {cugo130: [KEY]}})});
	const {processes} = site;
	const accepted = [];
	for (let number = 1; number <= JOBS; number += 1) {
		const {status} = await site.call('POST', {
			id: idOf(number), key: KEY, body: {
				spec: '{"ms":500}', steps: [{
					count: 2, cpu: 1000, 'mem-mb': 256, 'estimate-ms': 500,
				}],
			},
		});
		if (status === 200) {
			accepted.push(idOf(number));
		}
	}

	if (accepted.length < JOBS) {
		return EXIT.notRun;
	}

	const old = processes.core[4];
	const [successor] = processes.spare;
	if (isTroubled) {
		record.note('successor starts', {successor});
		processes.start(successor);
		await pause(CATCH_UP_MS + 1000);
		record.note('SIGTERM', {old, exit: await processes.end(old, 'SIGTERM')});
		await pause(300);
		const {status} = await site.operate('POST', '/Config.Replace', manifestOf({version: 2, tenants: {cugo130: [KEY]}, timeoutMs: 2900}), {hosts: processes.core.slice(0, 4)});
		record.note('manifest 2', {status});
		const lost = processes.core.slice(0, 2);
		await Promise.all(lost.map(async host => processes.end(host)));
		for (const host of lost) {
			processes.wipe(host);
		}

		record.note('two disks lost', {lost});
		await pause(AWAY_MS);
		for (const host of lost) {
			processes.start(host);
		}

		record.note('back with empty disks', {lost});
	}

	await pause(BOUNDS['recovery-s'] * 1000);
	const hosts = [...processes.core.slice(0, 4), ...(isTroubled ? [successor] : [])];
	const read = await site.operate('GET', '/Config.Read', undefined, {hosts, forMs: 8000});
	record.note('manifest read back', {status: read.status, version: read.body?.version});
	let known = 0;
	for (const id of accepted) {
		const {status} = await site.call('GET', {id, key: KEY});
		known += status === 200 ? 1 : 0;
	}

	const later = await site.call('POST', {
		id: idOf(JOBS + 1), key: KEY, body: {
			spec: '{"ms":500}', steps: [{
				count: 1, cpu: 1000, 'mem-mb': 256, 'estimate-ms': 500,
			}],
		},
	});
	await site.stop();
	const isLost = known < accepted.length || read.status !== 200 || later.status !== 200;
	record.note('result', {
		accepted: accepted.length, known, manifestRead: read.status, laterJob: later.status,
	});
	return isLost ? EXIT.broken : EXIT.held;
});
