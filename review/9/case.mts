/* eslint-disable @typescript-eslint/no-unsafe-call, @typescript-eslint/no-unsafe-assignment, @typescript-eslint/no-unsafe-return -- plain script without types */
/* eslint-disable @typescript-eslint/restrict-plus-operands -- plain script without types */
/** An entry stands still while jobs are handed in, and a key is taken away meanwhile: does a job run whose caller was told 401? */
/* eslint-disable no-await-in-loop -- steps of a case follow one another; names of the settings file */
import process from 'node:process';
import {pause} from '../stand-ins-2/http.mjs';
import {manifestOf} from '../stand-ins-2/manifest.mjs';
import {createRecord} from '../stand-ins-2/record.mjs';
import {
	EXIT, isTroubled, runCase, startSite,
} from '../stand-ins-2/site.mjs';

const ROUNDS = 5;
/** As many as the site has; with its five keepers, the one that stands still is a twelfth of the machines. */
const ENTRIES = 7;
/** Jobs that are handed in at once, each by a consumer with a connection of its own. */
const JOBS = 40;
const FIRST_FREEZE_MS = Number(process.env.FREEZE ?? 12);
const FREEZE_STEP_MS = 5;
/** Time for which the entry stands still; a third of the site's freezes. */
const FREEZE_MS = 1300;
const ROUND_MS = 6000;

const record = createRecord(process.cwd());
const keyOf = round => `key-of-round-${round}`;
const STAYS = 'jbvk9m68k7b2ex5wa5xw';
/** Manifest in which the keys of the rounds before this one are taken away. */
const manifestOfRound = round => manifestOf({
	version: round + 1, tenants: {cugo130: [STAYS, ...Array.from({length: ROUNDS - round}, (_, index) => keyOf(round + index))]},
});

await runCase(record, async () => {
	const site = await startSite({
		record, entries: ENTRIES, manifest: manifestOfRound(0), workers: 8,
	});
	const {processes} = site;
	const [edge] = processes.edge;
	const jobs = [];

	const submit = async (round, number) => {
		const id = `${String(round).padStart(8, '0')}${String(number).padStart(8, '0')}`;
		const {status} = await site.call('POST', {
			id, key: keyOf(round), edge, body: {
				spec: '{"ms":200,"cpu":500}', steps: [{
					count: 1, cpu: 500, 'mem-mb': 100, 'estimate-ms': 200,
				}],
			},
		});
		jobs.push({id, status});
	};

	for (let round = 0; round < ROUNDS; round += 1) {
		const endMs = Date.now() + ROUND_MS;
		const submissions = Array.from({length: JOBS}, async (_, number) => submit(round, number));
		await pause(FIRST_FREEZE_MS + (round * FREEZE_STEP_MS));
		if (isTroubled) {
			processes.signal(edge, 'SIGSTOP');
			record.note('SIGSTOP', {edge});
		}

		const wakeMs = Date.now() + FREEZE_MS;
		await pause(50);
		const {status} = await site.operate('POST', '/Config.Replace', manifestOfRound(round + 1));
		record.note('key taken away', {key: keyOf(round), status});
		await pause(Math.max(0, wakeMs - Date.now()));
		if (isTroubled) {
			processes.signal(edge, 'SIGCONT');
			record.note('SIGCONT', {edge});
		}

		await Promise.all(submissions);
		await pause(Math.max(0, endMs - Date.now()));
	}

	const started = new Set(site.runs.filter(run => run.what === 'start').map(run => run.task.split('.')[0]));
	const refusedAndRun = jobs.filter(({id, status}) => status === 401 && started.has(id));
	record.note('result', {
		jobs: jobs.length, accepted: jobs.filter(({status}) => status === 200).length, refused: jobs.filter(({status}) => status === 401).length, refusedAndRun: refusedAndRun.length, first: refusedAndRun[0]?.id,
	});
	await site.stop();
	return refusedAndRun.length > 0 ? EXIT.broken : EXIT.held;
});
