/**
Soak of the job programs: real keepers and entries as separate processes, with stand-in workers, callers
and an operator, under faults that are drawn from a seed. Ends with code 1 if a promise was broken.

	npm run soak -- SEED... [--minutes N]
*/
import process from 'node:process';
import {parseArgs} from 'node:util';
import {createRandom} from '@bronzebend/core';
import {createProcesses, startWorker, until} from './platform-stand-ins.js';
import {findViolations, type JobRecord, type Violation} from './soak/ledger.js';
import {describeFault, drawFaults, type Fault} from './soak/schedule.js';

const KEEPERS = ['127.0.92.1', '127.0.92.2', '127.0.92.3'];
const ENTRIES = ['127.0.92.11', '127.0.92.12'];
const WORKERS = ['127.0.92.21', '127.0.92.22', '127.0.92.23'];
const DEFAULT_MINUTES = 0.4;
/** Pause between two new jobs, in milliseconds. */
const JOB_INTERVAL_MS = 60;
/** Pause between two manifests, in milliseconds. */
const PUBLISH_INTERVAL_MS = 700;
/** Duration of a work unit on the stand-in workers, in milliseconds. */
const RUN_MS = 300;
/** Submissions of one job until its caller gives up. */
const MAX_SUBMISSIONS = 6;
/** Share of the jobs that are submitted again after they were accepted, as if the answer had been lost, and of those that are cancelled. */
const RESENT_SHARE = 0.2;
const CANCELLED_SHARE = 0.05;
const KEY = 'key-north';

const print = (text: string): void => {
	process.stdout.write(`${text}\n`);
};

const pause = async (milliseconds: number): Promise<void> => new Promise(resolve => {
	setTimeout(resolve, milliseconds);
});

const manifestOf = (version: number) => ({
	version,
	routes: [{
		name: 'quotes', host: 'desk.example', 'path-prefix': '/quotes/', 'timeout-ms': 3000, 'target-latency-ms': 600, service: 'bench', 'max-attempts': 3, 'slack-factor': 1.6,
	}],
	services: [{name: 'bench', 'admission-check': true}],
	limits: {'max-body-bytes': 5000},
	tenants: [{name: 'north', 'api-keys': [KEY], weight: 5}],
});

const jobBody = {
	spec: 'soak', steps: [{
		count: 3, cpu: 500, 'mem-mb': 50, 'estimate-ms': RUN_MS,
	}, {
		count: 1, cpu: 500, 'mem-mb': 50, 'estimate-ms': RUN_MS, 'depends-on': [0],
	}],
};

type Fleet = {processes: ReturnType<typeof createProcesses>; workers: Array<Awaited<ReturnType<typeof startWorker>>>};

const startFleet = async (): Promise<Fleet> => {
	const processes = createProcesses(KEEPERS, ENTRIES[0]!);
	for (const keeper of KEEPERS) {
		processes.start(keeper, 'keeper', true);
	}

	for (const entry of ENTRIES) {
		processes.start(entry, 'entry', true);
	}

	const workers = await Promise.all(WORKERS.map(async (host, index) => startWorker(`w-${index + 1}`, host, {pool: 'bench', runMs: RUN_MS, controls: KEEPERS})));
	await until('a manifest is accepted', async () => {
		const answer = await processes.control(KEEPERS[0]!, 'POST', '/Config.Replace', manifestOf(1));
		return answer.status === 200;
	});
	return {processes, workers};
};

const inject = async (fault: Fault, {processes, workers}: Fleet): Promise<void> => {
	switch (fault.type) {
		case 'kill':
		case 'stop': {
			await processes.end(fault.process, fault.type === 'kill' ? 'SIGKILL' : 'SIGTERM');
			await pause(fault.forMs);
			processes.start(fault.process, KEEPERS.includes(fault.process) ? 'keeper' : 'entry', false);
			return;
		}

		case 'pause': {
			processes.signal(fault.process, 'SIGSTOP');
			await pause(fault.forMs);
			processes.signal(fault.process, 'SIGCONT');
			return;
		}

		case 'silent-reports':
		case 'lost-answers': {
			workers[fault.worker]!.silence(fault.type === 'lost-answers' ? 'answers' : 'reports', fault.forMs);
		}
	}
};

/** Runs one soak; returns the broken promises and what was seen. */
const soak = async (seed: number, lengthMs: number): Promise<{violations: Violation[]; jobs: JobRecord[]; faults: Fault[]; starts: number}> => {
	const random = createRandom(seed);
	const faults = drawFaults(random, {
		keepers: KEEPERS, entries: ENTRIES, workers: WORKERS.length, lengthMs,
	});
	const fleet = await startFleet();
	const {processes, workers} = fleet;
	const jobs: JobRecord[] = [];
	const startedMs = performance.now();
	const isOver = (): boolean => performance.now() - startedMs > lengthMs;
	let acknowledgedVersion = 1;

	const ask = async (method: string, id: string, body?: unknown): Promise<{status: number; body: unknown}> => {
		const entry = ENTRIES[Math.floor(random() * ENTRIES.length)]!;
		return processes.callAt(entry, method, `/quotes/${id}`, body, KEY).catch(() => ({status: 0, body: undefined}));
	};

	const runJob = async (job: JobRecord): Promise<void> => {
		const isResent = random() < RESENT_SHARE;
		const isToCancel = random() < CANCELLED_SHARE;
		for (let attempt = 0; attempt < MAX_SUBMISSIONS; attempt += 1) {
			const answer = await ask('POST', job.id, jobBody);
			job.statuses.push(answer.status);
			if (answer.status === 200) {
				break;
			}

			await pause(200 + (random() * 400));
		}

		if (isResent) {
			const again = await ask('POST', job.id, jobBody);
			job.statuses.push(again.status);
		}

		if (isToCancel) {
			job.isCancelled = true;
			await ask('DELETE', job.id);
		}
	};

	const submitJobs = async (): Promise<void> => {
		const calls: Array<Promise<void>> = [];
		for (let number = 1; !isOver(); number += 1) {
			const job: JobRecord = {id: ((seed * 1_000_000) + number).toString(16).padStart(16, '0'), statuses: [], isCancelled: false};
			jobs.push(job);
			calls.push(runJob(job));
			await pause(JOB_INTERVAL_MS);
		}

		await Promise.all(calls);
	};

	const publishManifests = async (): Promise<void> => {
		for (let version = 2; !isOver(); version += 1) {
			const keeper = KEEPERS[Math.floor(random() * KEEPERS.length)]!;
			const answer = await processes.control(keeper, 'POST', '/Config.Replace', manifestOf(version)).catch(() => ({status: 0}));
			acknowledgedVersion = answer.status === 200 ? version : acknowledgedVersion;
			await pause(PUBLISH_INTERVAL_MS);
		}
	};

	const readStates = async (): Promise<void> => {
		for (const job of jobs.filter(each => each.lastState !== 'completed' && !each.isCancelled)) {
			const answer = await ask('GET', job.id);
			job.lastState = answer.status === 200 ? (answer.body as {state: string}).state : `status ${answer.status}`;
		}
	};

	try {
		const injected = faults.map(async fault => {
			await pause(fault.atMs);
			await inject(fault, fleet);
		});
		await Promise.all([submitJobs(), publishManifests(), ...injected]);
		let readVersion = 0;
		await until('all accepted jobs have ended', async () => {
			await readStates();
			const answer = await processes.control(KEEPERS[0]!, 'GET', '/Config.Read');
			readVersion = (answer.body as {version?: number}).version ?? readVersion;
			return readVersion >= acknowledgedVersion && jobs.every(job => job.isCancelled || job.lastState === 'completed' || !job.statuses.includes(200));
		}).catch(() => undefined);
		const runs = workers.flatMap(worker => worker.runs);
		return {
			violations: findViolations({
				jobs, runs, acknowledgedVersion, readVersion,
			}), jobs, faults, starts: runs.length,
		};
	} finally {
		for (const worker of workers) {
			worker.stop();
		}

		await processes.stopAll();
	}
};

const {values, positionals} = parseArgs({allowPositionals: true, options: {minutes: {type: 'string', default: String(DEFAULT_MINUTES)}}});
const seeds = positionals.map(Number);
const lengthMs = Number(values.minutes) * 60_000;
if (seeds.length === 0 || seeds.some(seed => !Number.isSafeInteger(seed)) || !(lengthMs > 0)) {
	process.stderr.write('Usage: npm run soak -- SEED... [--minutes N]; a seed is a whole number, N is above 0.\n');
	process.exit(2);
}

let broken = 0;
print('| seed | faults | jobs | accepted | refused | starts | broken |\n| --- | --- | --- | --- | --- | --- | --- |');
for (const seed of seeds) {
	const {violations, jobs, faults, starts} = await soak(seed, lengthMs);
	const accepted = jobs.filter(job => job.statuses.includes(200)).length;
	print(`| ${seed} | ${faults.length} | ${jobs.length} | ${accepted} | ${jobs.length - accepted} | ${starts} | ${violations.length} |`);
	broken += violations.length;
	if (violations.length > 0) {
		print(faults.map(fault => `  ${describeFault(fault)}`).join('\n'));
		print(violations.map(({rule, detail}) => `  ${rule}: ${detail}`).join('\n'));
	}
}

process.exit(broken === 0 ? 0 : 1);
