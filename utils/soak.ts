/**
Soak of the job programs: real keepers and entries as separate processes, with stand-in workers, callers
and an operator, under faults and evacuations of data centres that are drawn from a seed. Ends with code 1 if a promise was broken, and
with code 2 if a soak could not begin; the logs of both are kept.

	npm run soak -- SEED... [--seconds N] [--kinds KIND,...] [--programs FOLDER] [--logs FOLDER]
		[--keepers N] [--entries N] [--pools N] [--workers-per-pool N] [--jobs-per-s N] [--no-evacuations] [--keep]
*/
import {mkdirSync, rmSync, writeFileSync} from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import {monitorEventLoopDelay} from 'node:perf_hooks';
import process from 'node:process';
import {parseArgs} from 'node:util';
import {createRandom} from '@bronzebend/core';
import {root} from './process-cluster.js';
import {describeBreak, readLogs} from './soak/breaks.js';
import {createCallers} from './soak/callers.js';
import {
	createEvacuator, drawEvacuations, findEvacuationBreaks, longestEffectMs,
} from './soak/evacuations.js';
import {createInjector} from './soak/inject.js';
import {findViolations, type JobRecord, type Violation} from './soak/ledger.js';
import {
	describeFault, drawFaults, type Fault, type FaultKind, processKinds, workerKinds,
} from './soak/schedule.js';
import {
	type Site, SiteError, type SiteSize, startSite,
} from './soak/site.js';
import {ZONES} from './soak/processes.js';
import type {SoakRun} from './soak/worker-life.js';

/** Pause between two manifests, and between two waves, in milliseconds. */
const PUBLISH_MS = 2000;
const WAVE_MS = 9000;
const WAVE_SIZE = 2;
/** Time after the traffic in which the accepted jobs have to end, in milliseconds. */
const FINISH_MS = 120_000;
const FINISH_PAUSE_MS = 500;
/** Breaks that are printed in full; the file breaks.txt in the folder of the logs has all. */
const MAX_PRINTED = 3;

const print = (text: string): void => {
	process.stdout.write(`${text}\n`);
};

const pause = async (milliseconds: number): Promise<void> => new Promise(resolve => {
	setTimeout(resolve, milliseconds);
});

type SoakOptions = {seed: number; lengthMs: number; kinds: readonly FaultKind[]; programs: string; folder: string; size: SiteSize; jobsPerS: number; hasEvacuations: boolean};

type Seen = {violations: Array<Violation<SoakRun>>; jobs: JobRecord[]; faults: Fault[]; runs: SoakRun[]; startMs: number; ended: string[]; indexOf: Site['indexOf']; evacuations: number; effectMs: number};

/** Publishes manifests and requests waves until the soak is over; returns the newest version that was acknowledged. */
const operate = async (site: Site, random: () => number, isOver: () => boolean): Promise<number> => {
	let acknowledged = 1;
	let waveMs = performance.now() + WAVE_MS;
	let wave = 0;
	for (let version = 2; !isOver(); version += 1) {
		acknowledged = await site.publish(version) ? version : acknowledged;
		if (performance.now() > waveMs) {
			wave += 1;
			waveMs += WAVE_MS;
			const first = Math.floor(random() * site.workers.length);
			await site.startWave(wave, site.workers.slice(first, first + WAVE_SIZE).map(worker => worker.machine));
		}

		await pause(PUBLISH_MS);
	}

	return acknowledged;
};

const soak = async ({seed, lengthMs, kinds, programs, folder, size, jobsPerS, hasEvacuations}: SoakOptions): Promise<Seen> => {
	const random = createRandom(seed);
	const faults = drawFaults(random, {
		keepers: size.keepers, entries: size.entries, workers: (size.pools - 1) * size.workersPerPool, lengthMs, kinds,
	});
	const site = await startSite({
		size, folder, programs, random: createRandom(seed + 1),
	});
	try {
		const startMs = Date.now();
		const isOver = (): boolean => Date.now() - startMs > lengthMs;
		const inject = createInjector({...site, nextId: site.newIdOf});
		const callers = createCallers({
			random: createRandom(seed + 2), seed, entries: site.addresses.entries.map(host => `${host}:${site.addresses.callers}`), queues: site.queues, jobsPerS, lasting: 2 * site.queues.length, isOver,
		});
		const injected = faults.map(async fault => {
			await pause(fault.atMs);
			site.record('soak', 'fault', fault);
			await inject(fault);
		});
		// Drawn from numbers of their own, so that the faults of a seed stay the same.
		const evacuationRandom = createRandom(seed + 4);
		const evacuator = createEvacuator({
			random: evacuationRandom, controls: site.controls, zones: ZONES, record: site.record,
		});
		const evacuated = (hasEvacuations ? drawEvacuations(evacuationRandom, {zones: ZONES, lengthMs}) : []).map(async drawn => {
			await pause(drawn.atMs);
			await evacuator.carryOut(drawn, isOver);
		});
		const [acknowledgedVersion] = await Promise.all([operate(site, createRandom(seed + 3), isOver), callers.run(), ...injected, ...evacuated]);
		let readVersion = 0;
		const finishMs = Date.now() + FINISH_MS;
		for (let open = 1; (open > 0 || readVersion < acknowledgedVersion) && Date.now() < finishMs;) {
			await pause(FINISH_PAUSE_MS);
			open = await callers.finish();
			readVersion = await site.readVersion() ?? readVersion;
		}

		return {
			violations: [...findViolations({
				jobs: callers.jobs, runs: site.runs, acknowledgedVersion, readVersion,
			}), ...findEvacuationBreaks(evacuator.seen, site.runs, site.zoneOf)], evacuations: evacuator.seen.length, effectMs: longestEffectMs(evacuator.seen, site.runs, site.zoneOf), jobs: callers.jobs, faults, runs: site.runs, startMs, ended: site.processes.ended(), indexOf: site.indexOf,
		};
	} finally {
		await site.stop();
	}
};

const number = (value: string | undefined, name: string): number => {
	const parsed = Number(value);
	if (!(parsed > 0)) {
		process.stderr.write(`--${name} is a number above 0.\n`);
		process.exit(2);
	}

	return parsed;
};

const {values, positionals} = parseArgs({
	allowPositionals: true, options: {
		seconds: {type: 'string', default: '25'},
		kinds: {type: 'string', default: [...processKinds, ...workerKinds].join(',')},
		programs: {type: 'string', default: root},
		logs: {type: 'string', default: os.tmpdir()},
		keepers: {type: 'string', default: '5'},
		entries: {type: 'string', default: '7'},
		pools: {type: 'string', default: '5'},
		'workers-per-pool': {type: 'string', default: '8'},
		'jobs-per-s': {type: 'string', default: '10'},
		'no-evacuations': {type: 'boolean', default: false},
		keep: {type: 'boolean', default: false},
	},
});
const seeds = positionals.map(Number);
const kinds = values.kinds.split(',').filter(kind => kind !== 'none') as FaultKind[];
const unknown = kinds.filter(kind => ![...processKinds, ...workerKinds].includes(kind));
if (seeds.length === 0 || seeds.some(seed => !Number.isSafeInteger(seed)) || unknown.length > 0) {
	process.stderr.write(`Usage: npm run soak -- SEED... [--seconds N] [--kinds KIND,...]; a seed is a whole number, a kind is none or one of ${[...processKinds, ...workerKinds].join(', ')}.\n`);
	process.exit(2);
}

const size: SiteSize = {
	keepers: number(values.keepers, 'keepers'), entries: number(values.entries, 'entries'), pools: number(values.pools, 'pools'), workersPerPool: number(values['workers-per-pool'], 'workers-per-pool'),
};

for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP'] as const) {
	process.on(signal, () => process.exit(2));
}

/** Counts equal texts, the most frequent first. */
const tally = (texts: readonly string[]): string[] => {
	const counts = new Map<string, number>();
	for (const text of texts) {
		counts.set(text, (counts.get(text) ?? 0) + 1);
	}

	return [...counts].toSorted(([, one], [, other]) => other - one).map(([text, count]) => `${count} ${text}`);
};

const reportBreaks = (folder: string, seen: Seen): void => {
	const lines = readLogs(folder);
	const breaks = seen.violations.map(violation => describeBreak(violation, {...seen, lines, soakStartMs: seen.startMs}));
	const ended = seen.ended.map(host => `the process on ${host} ended by itself`);
	writeFileSync(path.join(folder, 'breaks.txt'), [...seen.faults.map(fault => describeFault(fault)), ...ended, ...breaks.map(({text}) => text), ''].join('\n'));
	print([
		...ended,
		...tally(breaks.map(({rule, end, cause}) => `${rule}: first run ${end}; ${cause}`)),
		`faults near: ${tally(breaks.map(({kinds: near}) => near.join('+'))).join(', ')}`,
		`second runs began ${breaks.map(({delayMs}) => delayMs ?? 0).toSorted((one, other) => one - other).join(' ')} ms after acceptance`,
		...breaks.slice(0, MAX_PRINTED).map(({text}) => text),
	].map(line => `  ${line}`).join('\n'));
};

let broken = 0;
let failed = 0;
print('| seed | faults | evacuations | jobs | accepted | runs | broken | latest start after an evacuation, ms | longest stall of the stand-ins, ms |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |');
for (const seed of seeds) {
	const folder = path.join(values.logs, `soak-${seed}-${process.pid}`);
	mkdirSync(folder, {recursive: true});
	const stalls = monitorEventLoopDelay({resolution: 10});
	stalls.enable();
	try {
		const seen = await soak({
			seed, lengthMs: number(values.seconds, 'seconds') * 1000, kinds, programs: path.resolve(values.programs), folder, size, jobsPerS: number(values['jobs-per-s'], 'jobs-per-s'), hasEvacuations: !values['no-evacuations'],
		});
		const {violations, jobs, faults, runs} = seen;
		print(`| ${seed} | ${faults.length} | ${seen.evacuations} | ${jobs.length} | ${jobs.filter(job => job.statuses.includes(200)).length} | ${runs.length} | ${violations.length} | ${Math.round(seen.effectMs)} | ${Math.round(stalls.max / 1e6)} |`);
		broken += violations.length;
		if (violations.length > 0) {
			reportBreaks(folder, seen);
		}

		if (violations.length > 0 || values.keep) {
			print(`  logs: ${folder}`);
		} else {
			rmSync(folder, {recursive: true, force: true});
		}
	} catch (error) {
		failed += 1;
		const answers = error instanceof SiteError ? error.answers : [];
		print(`| ${seed} | could not run: ${String(error)} |\n${answers.map(answer => `  ${answer}`).join('\n')}\n  logs: ${folder}`);
	}

	stalls.disable();
}

process.exit(broken > 0 ? 1 : (failed > 0 ? 2 : 0));
