/* eslint-disable @typescript-eslint/no-unsafe-call, @typescript-eslint/no-unsafe-assignment, @typescript-eslint/no-unsafe-return -- plain script without types */

/** A rack goes dark while jobs wait for it: how many jobs are said to be pending? */
/* eslint-disable no-await-in-loop -- steps of a case follow one another */
import process from 'node:process';
import {pause} from '../stand-ins-2/http.mjs';
import {manifestOf} from '../stand-ins-2/manifest.mjs';
import {BOUNDS} from '../stand-ins-2/processes.mjs';
import {createRecord} from '../stand-ins-2/record.mjs';
import {
	EXIT, isTroubled, runCase, startSite,
} from '../stand-ins-2/site.mjs';

const KEY = 'sjnbanfqasnmgkcuyj8p';
const WORKERS = 8;
const PER_RACK = 4;
const JOBS = 12;
/** Time for which the rack is dark. */
const DARK_MS = 7000;
/** Age from which a job that has not begun counts: the bound `visible_ms` and the two seconds by which the number may be old. */
const COUNTED_MS = BOUNDS.visible_ms + 2000;
const ASK_MS = 200;
const POOL = 'huvo11a';

const record = createRecord(process.cwd());

await runCase(record, async () => {
	const site = await startSite({
		record, workers: WORKERS, pool: POOL, rackOf: index => `r1-${1 + Math.floor(index / PER_RACK)}`, manifest: manifestOf({version: 1, pools: [POOL], tenants: {cugo130: [KEY]}}),
	});
	const rack = site.machines.slice(PER_RACK);
	if (isTroubled) {
		for (const machine of rack) {
			machine.worker.goDark();
		}

		record.note('rack dark', {workers: rack.map(machine => machine.worker.id)});
	}

	const darkMs = Date.now();
	const jobs = [];
	for (let number = 1; number <= JOBS; number += 1) {
		const id = number.toString(16).padStart(16, '0');
		const {status} = await site.call('POST', {
			id, key: KEY, body: {
				spec: '{"ms":300}', steps: [{
					count: 1, cpu: 1000, 'mem-mb': 256, 'estimate-ms': 300, constraints: 'r1-2',
				}],
			},
		});
		jobs.push({id, status, acceptedMs: Date.now()});
	}

	const hasBegun = id => site.runs.some(run => run.what === 'start' && run.task.startsWith(id));
	let asked = 0;
	let wrong = 0;
	while (Date.now() - darkMs < DARK_MS) {
		const sentMs = Date.now();
		const {status, body} = await site.call('GET', {id: '', key: KEY});
		const waiting = jobs.filter(job => job.status === 200 && sentMs - job.acceptedMs > COUNTED_MS && !hasBegun(job.id)).length;
		if (status === 200 && sentMs - jobs.at(-1).acceptedMs > COUNTED_MS) {
			asked += 1;
			wrong += body.pending < waiting / 2 ? 1 : 0;
			record.note('pending', {said: body.pending, notBegun: waiting});
		}

		await pause(ASK_MS);
	}

	const {body: state} = await site.call('GET', {id: jobs[0].id, key: KEY});
	record.note('state of the first job', {state: state?.state, hasBegun: hasBegun(jobs[0].id)});
	if (isTroubled) {
		for (const machine of rack) {
			await machine.worker.end();
			machine.worker = await machine.boot();
		}
	}

	await pause(5000);
	record.note('result', {
		accepted: jobs.filter(job => job.status === 200).length, asked, wrong, begunAtLast: jobs.filter(job => hasBegun(job.id)).length,
	});
	await site.stop();
	return asked === 0 ? EXIT.notRun : (wrong > 0 ? EXIT.broken : EXIT.held);
});
