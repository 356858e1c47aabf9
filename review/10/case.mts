/* eslint-disable @typescript-eslint/no-unsafe-call, @typescript-eslint/no-unsafe-assignment, @typescript-eslint/no-unsafe-return -- plain script without types */

/** An entry of the list of machines cannot be read for a moment: is a wave said to be completed before its machine had its upkeep? */
/* eslint-disable no-await-in-loop -- steps of a case follow one another; names of the settings file */
import process from 'node:process';
import {pause, send} from '../stand-ins-2/http.mjs';
import {manifestOf} from '../stand-ins-2/manifest.mjs';
import {createRecord} from '../stand-ins-2/record.mjs';
import {
	EXIT, isTroubled, runCase, startSite,
} from '../stand-ins-2/site.mjs';

const KEY = 'sjnbanfqasnmgkcuyj8p';
const WAVE = 1;
const DEADLINE_S = 20;
/** Time for which another writer's entry stands in the list, from when the wave is ordered. */
const UNREADABLE_MS = 2000;
const ASK_MS = 250;

const record = createRecord(process.cwd());

await runCase(record, async () => {
	const names = ['m-1', 'm-2'];
	const waves = new Map([[WAVE, names]]);
	let unreadable = false;
	const site = await startSite({
		record, waves, workers: 8, manifest: manifestOf({version: 1, tenants: {cugo130: [KEY]}}), machineOptions: {
			alterList: entries => entries.map(entry => (unreadable && entry['host-machine'] === names[0] ? {...entry, 'host-machine': 17} : entry)),
		},
	});
	const {processes, service} = site;
	unreadable = isTroubled;
	await pause(1600);
	const orderedMs = Date.now();
	const {status} = await site.operate('POST', '/wave-start', {
		'rollout-wave': WAVE, machines: names, 'deadline-s': DEADLINE_S, cap: 1,
	});
	record.note('wave ordered', {status});
	let isEarly = false;
	let isCompleted = false;
	for (let turn = 0; Date.now() - orderedMs < DEADLINE_S * 1000 && !isCompleted; turn += 1) {
		unreadable &&= Date.now() - orderedMs < UNREADABLE_MS;
		const begun = names.filter(name => service.hasBegun(name, WAVE));
		const {status: askStatus, body} = await send({
			method: 'GET', address: processes.controls()[turn % processes.core.length], path: `/wave-get/${WAVE}`, timeoutMs: 1000,
		});
		record.note('wave', {status: askStatus, state: body?.state, begun});
		if (askStatus === 200 && body.state === 'completed') {
			isCompleted = true;
			isEarly = begun.length < names.length && names.some(name => !service.hasBegun(name, WAVE));
		}

		await pause(ASK_MS);
	}

	await pause(6000);
	const never = names.filter(name => !service.hasBegun(name, WAVE));
	record.note('result', {isCompleted, isEarly, neverBegun: never});
	await site.stop();
	return isEarly ? EXIT.broken : (isCompleted ? EXIT.held : EXIT.notRun);
});
