/**
Soak of the core: real keepers and entries as separate processes, whose machines are cut off, lost and replaced in chains that are drawn
from a seed or read from a day file, while an operator changes the manifest and callers submit jobs. `--renewals` draws a machine that
is away for long while the others are renewed one after another; `--wide` also draws faults of several machines at once, `--worker-faults`
those of workers and of the links to them, `--client-bursts` clients that keep to no rules; `--sync-ms` makes each sync to any disk take
that much longer. Ends with code 1 if a promise was broken, and with code 2 if a soak could not run; the logs of both are kept.

	npm run soak:core -- SEED... [--day FILE] [--programs FOLDER] [--logs FOLDER] [--entries N] [--pools N] [--workers-per-pool N]
		[--jobs-per-s N] [--busy N] [--renewals] [--wide] [--worker-faults] [--client-bursts] [--sync-ms N] [--keep]
*/
import {type ChildProcess, spawn} from 'node:child_process';
import {
	mkdirSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import {monitorEventLoopDelay} from 'node:perf_hooks';
import process from 'node:process';
import {parseArgs} from 'node:util';
import {createRandom} from '@bronzebend/core';
import {root} from './process-cluster.js';
import {createCallers} from './soak/callers.js';
import {
	calmSpans, checkReadBack, findCoreBreaks, type CoreBreak, type CoreSeen,
} from './soak/core/checks.js';
import {createClientBursts, drawClientBursts} from './soak/core/client-bursts.js';
import {
	describeCoreFault, drawClosing, drawCoreFaults, readDay, type Closing, type CoreFault,
} from './soak/core/faults.js';
import {CONTACT_MS, createCoreGroup, type Disturbance} from './soak/core/group.js';
import {createIdleJobs, findIdleJobs} from './soak/core/idle-jobs.js';
import {findLagInLogs} from './soak/core/log-lag.js';
import {createOperator} from './soak/core/operator.js';
import {drawRenewals} from './soak/core/renewals.js';
import {findStrayVoters} from './soak/core/voters.js';
import {createInjector} from './soak/inject.js';
import {findViolations} from './soak/ledger.js';
import {describeFault, drawFaults, workerKinds} from './soak/schedule.js';
import {startSite, type SiteSize} from './soak/site.js';

const KEEPERS = 5;
const TOLERATED = 2;
/** Time after the last fault for which changes go on, in milliseconds: until the core is calm, and the time of two changes. */
const CALM_MS = CONTACT_MS + 8000;
/** Time after the traffic in which jobs have to be known, in milliseconds, and in which they have to end. */
const KNOWN_MS = 14_000;
const FINISH_MS = 120_000;
const FINISH_PAUSE_MS = 500;
const MAX_PRINTED = 8;
/** Interval at which the soak looks at what runs, in milliseconds. */
const WATCH_MS = 200;

type Options = {seed: number; faults: CoreFault[]; closing: Closing | undefined; programs: string; folder: string; size: SiteSize; jobsPerS: number; hasWorkerFaults: boolean; hasClientBursts: boolean; syncDelayMs: number};
type Result = {breaks: CoreBreak[]; changes: number; acknowledged: number; jobs: number; faults: string[]; longestWaitMs: number; slowestStartMs: number};

const print = (text: string): void => {
	process.stdout.write(`${text}\n`);
};

const pause = async (milliseconds: number): Promise<void> => new Promise(resolve => {
	setTimeout(resolve, milliseconds);
});

/** Asks for the jobs until all have ended; a job that is unknown after its time is a break. */
const finishJobs = async (callers: ReturnType<typeof createCallers>): Promise<CoreBreak[]> => {
	const startMs = Date.now();
	const breaks: CoreBreak[] = [];
	let isChecked = false;
	for (let open = 1; open > 0 && Date.now() - startMs < FINISH_MS;) {
		await pause(FINISH_PAUSE_MS);
		open = await callers.finish();
		if (!isChecked && Date.now() - startMs > KNOWN_MS) {
			isChecked = true;
			breaks.push(...callers.jobs
				.filter(job => !job.isCancelled && job.statuses.includes(200) && (job.lastState ?? 'status').startsWith('status'))
				.map(job => ({rule: 'job-unknown' as const, detail: `job ${job.id}, state ${job.lastState ?? 'none'}`})));
		}
	}

	return breaks;
};

const soak = async ({seed, faults, closing, programs, folder, size, jobsPerS, hasWorkerFaults, hasClientBursts, syncDelayMs}: Options): Promise<Result> => {
	const site = await startSite({
		size, folder, programs, random: createRandom(seed + 1), isRelayed: true,
	});
	try {
		site.processes.slowAllDisks(syncDelayMs);
		const startMs = Date.now();
		let isOver = false;
		let isClosed = false;
		const entries = site.addresses.entries.map(host => `${host}:${site.addresses.callers}`);
		const group = createCoreGroup({
			...site, links: site.links!, random: createRandom(seed + 2), tolerated: TOLERATED,
		});
		const operator = createOperator({
			random: createRandom(seed + 3), controls: site.controls, entries, manifestOf: site.manifestOf, isOver: () => isOver,
		});
		const callers = createCallers({
			random: createRandom(seed + 4), seed, entries, queues: site.queues, jobsPerS, lasting: site.queues.length, isOver: () => isOver,
		});
		const idleJobs = createIdleJobs();
		const watching = setInterval(() => {
			idleJobs.observe({
				jobs: callers.jobs, runs: site.runs, workers: site.seenWorkers(), nowMs: Date.now(),
			});
		}, WATCH_MS);
		const traffic = Promise.all([operator.run(() => isClosed), callers.run()]);
		const injectAtWorker = createInjector({...site, nextId: site.newIdOf});
		const workerDisturbances: Disturbance[] = [];
		const workerFaults = hasWorkerFaults
			? drawFaults(createRandom(seed + 6), {
				keepers: size.keepers, entries: size.entries, workers: (size.pools - 1) * size.workersPerPool, lengthMs: Math.max(0, ...faults.map(({atMs}) => atMs)), kinds: workerKinds,
			})
			: [];
		const bursts = createClientBursts({...site, keeperHosts: group.hosts, disturbances: group.disturbances});
		await Promise.all([
			...(hasClientBursts ? drawClientBursts(createRandom(seed + 7), {entries: size.entries, keepers: size.keepers}) : []).map(async burst => {
				await pause(burst.atMs);
				await bursts.send(burst);
			}),
			...faults.map(async fault => {
				await pause(fault.atMs);
				await group.inject(fault);
			}),
			...workerFaults.map(async fault => {
				await pause(fault.atMs);
				const disturbance = {what: describeFault(fault), startMs: Date.now(), endMs: Infinity};
				workerDisturbances.push(disturbance);
				await injectAtWorker(fault);
				disturbance.endMs = Date.now();
			}),
		]);
		if (closing) {
			await group.close(closing, async () => operator.acknowledged(CONTACT_MS));
		}

		await pause(closing ? CONTACT_MS + CALM_MS : CALM_MS);
		isOver = true;
		clearInterval(watching);
		const endMs = Date.now();
		isClosed = true;
		await traffic;
		const last = await operator.readBack(CONTACT_MS);
		const unknown = await finishJobs(callers);
		const {changes, readings, probes} = operator;
		const seen: CoreSeen = {
			changes, readings, probes, disturbances: group.disturbances, startMs, endMs,
		};
		const violations = findViolations({
			jobs: callers.jobs, runs: site.runs, acknowledgedVersion: 0, readVersion: 0,
		});
		return {
			breaks: [
				...findLagInLogs(folder, {disturbances: group.disturbances, lives: group.lives, startMs}).map(detail => ({rule: 'log-behind' as const, detail})),
				...findCoreBreaks(seen),
				...checkReadBack(seen, last),
				...findStrayVoters(folder, group.hosts()),
				...unknown,
				...bursts.exceeded.map(detail => ({rule: 'memory-exceeded' as const, detail})),
				...findIdleJobs(idleJobs.spans, calmSpans({...seen, disturbances: [...group.disturbances, ...workerDisturbances]}), startMs).map(detail => ({rule: 'job-idle' as const, detail})),
				...violations,
				...site.processes.ended().map(host => ({rule: 'process-ended' as const, detail: host})),
			],
			changes: changes.length,
			acknowledged: changes.filter(change => change.status === 200).length,
			jobs: callers.jobs.length,
			faults: [...faults.map(fault => describeCoreFault(fault)), ...[...group.disturbances, ...workerDisturbances].map(({what, startMs: fromMs, endMs: toMs}) => `${what} from ${fromMs - startMs} to ${toMs - startMs} ms`)],
			slowestStartMs: site.processes.slowestStartMs(),
			longestWaitMs: Math.max(0, ...changes.map(change => Math.min(change.answeredMs, endMs) - change.sentMs)),
		};
	} finally {
		await site.stop();
	}
};

const number = (value: string, name: string): number => {
	const parsed = Number(value);
	if (!(parsed >= 0)) {
		process.stderr.write(`--${name} is a number.\n`);
		process.exit(2);
	}

	return parsed;
};

const {values, positionals} = parseArgs({
	allowPositionals: true, options: {
		day: {type: 'string'},
		programs: {type: 'string', default: root},
		logs: {type: 'string', default: os.tmpdir()},
		entries: {type: 'string', default: '2'},
		pools: {type: 'string', default: '3'},
		'workers-per-pool': {type: 'string', default: '4'},
		'jobs-per-s': {type: 'string', default: '5'},
		busy: {type: 'string', default: '0'},
		renewals: {type: 'boolean', default: false},
		wide: {type: 'boolean', default: false},
		'worker-faults': {type: 'boolean', default: false},
		'client-bursts': {type: 'boolean', default: false},
		'sync-ms': {type: 'string', default: '0'},
		keep: {type: 'boolean', default: false},
	},
});
const seeds = positionals.map(Number);
if (seeds.length === 0 || seeds.some(seed => !Number.isSafeInteger(seed))) {
	process.stderr.write('Usage: npm run soak:core -- SEED... [--day FILE] [--programs FOLDER]; a seed is a whole number.\n');
	process.exit(2);
}

for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP'] as const) {
	process.on(signal, () => process.exit(2));
}

const size: SiteSize = {
	keepers: KEEPERS, entries: number(values.entries, 'entries'), pools: number(values.pools, 'pools'), workersPerPool: number(values['workers-per-pool'], 'workers-per-pool'),
};
const day = values.day === undefined ? undefined : readDay(readFileSync(values.day, 'utf8'), TOLERATED);
if (day && day.skipped.length > 0) {
	print(`Entries that do not concern the core are left out: ${day.skipped.join(' ')}`);
}

const busy: ChildProcess[] = Array.from({length: number(values.busy, 'busy')}, () => spawn(process.execPath, ['-e', 'for (;;);'], {stdio: 'ignore'}));
process.on('exit', () => {
	for (const child of busy) {
		child.kill('SIGKILL');
	}
});

let broken = 0;
let failed = 0;
print('| seed | faults | changes | acknowledged | jobs | longest wait for an answer, ms | broken | longest stall of the stand-ins, ms | slowest start of a process, ms |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |');
for (const seed of seeds) {
	const folder = path.join(values.logs, `soak-core-${seed}-${process.pid}`);
	mkdirSync(folder, {recursive: true});
	const {faults, closing} = day ?? (values.renewals
		? drawRenewals(createRandom(seed), TOLERATED, values.wide)
		: {
			faults: drawCoreFaults(createRandom(seed), size.entries, values.wide), closing: drawClosing(createRandom(seed + 5), TOLERATED),
		});
	const stalls = monitorEventLoopDelay({resolution: 10});
	stalls.enable();
	try {
		const result = await soak({
			seed, faults, closing, programs: path.resolve(values.programs), folder, size, jobsPerS: number(values['jobs-per-s'], 'jobs-per-s'), hasWorkerFaults: values['worker-faults'], hasClientBursts: values['client-bursts'], syncDelayMs: number(values['sync-ms'], 'sync-ms'),
		});
		broken += result.breaks.length;
		print(`| ${seed} | ${faults.length} | ${result.changes} | ${result.acknowledged} | ${result.jobs} | ${result.longestWaitMs} | ${result.breaks.length} | ${Math.round(stalls.max / 1e6)} | ${result.slowestStartMs} |`);
		const lines = [...result.faults, ...result.breaks.map(({rule, detail}) => `${rule}: ${detail}`)];
		writeFileSync(path.join(folder, 'breaks.txt'), `${lines.join('\n')}\n`);
		if (result.breaks.length > 0) {
			print([...result.faults, ...result.breaks.slice(0, MAX_PRINTED).map(({rule, detail}) => `${rule}: ${detail}`)].map(line => `  ${line}`).join('\n'));
		}

		if (result.breaks.length > 0 || values.keep) {
			print(`  logs: ${folder}`);
		} else {
			rmSync(folder, {recursive: true, force: true});
		}
	} catch (error) {
		failed += 1;
		print(`| ${seed} | could not run: ${String(error)} |\n  logs: ${folder}`);
	}

	stalls.disable();
}

process.exit(broken > 0 ? 1 : (failed > 0 ? 2 : 0));
