/** What callers, operators and workers saw in a soak, and the promises that this must keep. */
import type {WorkerRun} from '../platform-stand-ins.js';

/** Answers to one job: the statuses of its submissions (0 for none), and whether it was cancelled. */
export type JobRecord = {id: string; statuses: number[]; lastState?: string; isCancelled: boolean};

/** A promise that was broken, with the case. */
export type Violation = {rule: 'accepted-job-lost' | 'refused-job-ran' | 'two-runs-at-once' | 'run-again-after-its-end' | 'manifest-older'; detail: string};

const isAccepted = (job: JobRecord): boolean => job.statuses.some(status => status >= 200 && status < 300);

/** True if every answer said that the job had not been accepted and never runs. */
const isRefused = (job: JobRecord): boolean => job.statuses.length > 0 && job.statuses.every(status => status === 429 || status === 503);

const checkJobs = (jobs: readonly JobRecord[], runs: readonly WorkerRun[]): Violation[] => {
	const started = new Set(runs.map(run => run.task.split('.')[0]!));
	return jobs.flatMap((job): Violation[] => {
		const answers = `job ${job.id}, answers ${job.statuses.join(' ')}`;
		const isLost = isAccepted(job) && !job.isCancelled && job.lastState !== 'completed';
		return [
			...(isLost ? [{rule: 'accepted-job-lost', detail: `${answers}, state ${job.lastState ?? 'unknown'}`} as const] : []),
			...(isRefused(job) && started.has(job.id) ? [{rule: 'refused-job-ran', detail: answers} as const] : []),
		];
	});
};

const describeRun = (run: WorkerRun): string => `${run.task}#${run.attempt} on ${run.worker} from ${run.startMs} to ${run.endMs} (${run.how === '' ? 'running' : run.how})`;

const checkRuns = (runs: readonly WorkerRun[]): Violation[] => {
	const byTask = new Map<string, WorkerRun[]>();
	for (const run of runs) {
		byTask.set(run.task, [...byTask.get(run.task) ?? [], run]);
	}

	return [...byTask.values()].flatMap(list => list.flatMap((run, index) => list.slice(index + 1).flatMap((later): Violation[] => {
		const detail = `${describeRun(run)}; ${describeRun(later)}`;
		const [first, second] = run.startMs <= later.startMs ? [run, later] : [later, run];
		const isBoth = second.startMs < first.endMs;
		const isAgain = !isBoth && first.how === 'done' && first.end === 'noted';
		return [
			...(isBoth ? [{rule: 'two-runs-at-once', detail} as const] : []),
			...(isAgain ? [{rule: 'run-again-after-its-end', detail} as const] : []),
		];
	})));
};

/** Checks a soak that has ended. */
export const findViolations = (seen: {jobs: readonly JobRecord[]; runs: readonly WorkerRun[]; acknowledgedVersion: number; readVersion: number}): Violation[] => [
	...checkJobs(seen.jobs, seen.runs),
	...checkRuns(seen.runs),
	...(seen.readVersion < seen.acknowledgedVersion ? [{rule: 'manifest-older', detail: `version ${seen.readVersion} was read, ${seen.acknowledgedVersion} was acknowledged`} as const] : []),
];
