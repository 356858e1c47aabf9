/** Describes broken promises: both runs, the faults near them, and what the keepers logged when they gave the first run up. */
import {readdirSync, readFileSync} from 'node:fs';
import path from 'node:path';
import {endOf, type JobRecord, type Violation} from './ledger.js';
import type {Fault} from './schedule.js';
import type {SoakRun} from './worker-life.js';

/** A line of a keeper's log. */
export type LogLine = {timestamp: string; node: string; message: string; worker?: string; unit?: string; attempt?: number; how?: string; cause?: string; units?: string; proof?: string};

/** Time before the second run in which a fault counts as near, in milliseconds. */
const NEAR_MS = 8000;
/** Time before the second run in which a keeper's line may have led to it, in milliseconds. */
const LOG_MS = 15_000;
const LOG_SLACK_MS = 50;

const parseLine = (line: string): LogLine[] => {
	try {
		return line.startsWith('{') ? [JSON.parse(line) as LogLine] : [];
	} catch {
		return [];
	}
};

/** Reads the logs of all processes. */
export const readLogs = (folder: string): LogLine[] => readdirSync(folder)
	.filter(name => name.endsWith('.log'))
	.flatMap(name => readFileSync(path.join(folder, name), 'utf8').split('\n').flatMap(line => parseLine(line)));

/** Finds the line with which a keeper gave a run up: the one that names it with a proof, or, in older programs, the end of its worker's life or what it says of this run alone. The run may have been ordered from an earlier life of its worker. */
export const findCause = (lines: readonly LogLine[], first: SoakRun, secondStartMs: number): LogLine | undefined => {
	const named = lines.findLast(line => line.message === 'Runs given up.' && line.units?.split(' ').includes(`${first.task}#${first.attempt}`));
	if (named) {
		return named;
	}

	const candidates = lines.filter(line => {
		const atMs = Date.parse(line.timestamp);
		const isNear = atMs >= first.startMs - LOG_SLACK_MS && atMs > secondStartMs - LOG_MS && atMs <= secondStartMs + LOG_SLACK_MS;
		const isOfLife = (line.worker ?? '').startsWith(`${first.worker}@`) && (line.message.startsWith('Worker life ') || line.message === 'Start had no effect.');
		const isOfRun = line.unit === first.task && line.attempt === first.attempt && (line.message !== 'Run placed.');
		return isNear && ((isOfLife && line.unit === undefined) || isOfRun);
	});
	return candidates.findLast(line => line.cause !== undefined) ?? candidates.at(-1);
};

/** Kinds of the faults that were under way, or had been, shortly before the second run began and after the first had: those of the first run's worker, and of processes. */
export const faultsNear = (faults: readonly Fault[], indexOf: (worker: string) => number | undefined, {first, second, soakStartMs}: {first: SoakRun; second: SoakRun; soakStartMs: number}): string[] => {
	const near = faults.filter(fault => {
		const beganMs = soakStartMs + fault.atMs;
		const isOnTime = beganMs <= second.startMs && beganMs + fault.forMs >= Math.max(first.startMs - 1000, second.startMs - NEAR_MS);
		return isOnTime && ('process' in fault || fault.workers.includes(indexOf(first.worker) ?? -1));
	});
	return [...new Set(near.map(fault => fault.type))];
};

/** Facts of one break about two runs, in a line each. */
export const describeBreak = (violation: Violation<SoakRun>, context: {
	jobs: readonly JobRecord[]; faults: readonly Fault[]; lines: readonly LogLine[]; soakStartMs: number;
	/** Index of the machine on which a worker ran. */
	indexOf(worker: string): number | undefined;
}): {rule: string; text: string; end: string; cause: string; kinds: string[]; delayMs?: number} => {
	const {rule, detail, runs} = violation;
	if (!runs) {
		return {
			rule, text: `${rule}: ${detail}`, end: '', cause: '', kinds: [],
		};
	}

	const [first, second] = runs;
	const job = context.jobs.find(each => each.id === first.task.split('.')[0]);
	const line = findCause(context.lines, first, second.startMs);
	const cause = line === undefined ? 'no line' : [line.message, line.proof ?? line.cause ?? line.how].join(' ');
	const kinds = faultsNear(context.faults, context.indexOf, {first, second, soakStartMs: context.soakStartMs});
	const delayMs = job?.acceptedMs === undefined ? undefined : second.startMs - job.acceptedMs;
	const firstAge = second.startMs - first.startMs;
	const end = endOf(first);
	return {
		rule, end, cause, kinds, delayMs,
		text: [
			`${rule}: ${detail}`,
			`    first run ended ${end}${first.isLate ? ', started late' : ''}, stop ${first.stopMs === undefined ? 'none' : 'sent'}, noted ${first.notedMs ?? '-'}, was ${firstAge} ms old when the second began; the second began ${delayMs ?? '?'} ms after the job was accepted${second.isLate ? ' (late start)' : ''}`,
			`    faults near: ${kinds.join(' ') || 'none'}; fences ${first.fence} ${second.fence}`,
			`    given up by: ${line === undefined ? 'no line of a keeper' : JSON.stringify(line)}`,
		].join('\n'),
	};
};
