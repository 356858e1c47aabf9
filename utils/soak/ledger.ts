/** What callers, operators and workers saw in a soak, and the promises that this must keep. */
import type {WorkerRun} from '../platform-stand-ins.js';

/** What the caller of one job saw: the statuses of its submissions (0 for none), when the first was accepted, in Unix milliseconds, whether it was cancelled, and its number of work units. */
export type JobRecord = {
	id: string; queue: string; key: string; units: number; statuses: number[]; acceptedMs?: number; lastState?: string; isCancelled: boolean; isLasting: boolean;
};

/** A promise that was broken, with the case; the two runs if it is about runs, the earlier one first. */
export type Violation<Run extends WorkerRun = WorkerRun> = {rule: 'accepted-job-lost' | 'refused-job-ran' | 'two-runs-at-once' | 'run-again-after-its-end' | 'manifest-older' | 'start-in-evacuated' | 'evacuation-refused' | 'evacuation-unanswered'; detail: string; runs?: [Run, Run]};

const isAccepted = (job: JobRecord): boolean => job.statuses.some(status => status >= 200 && status < 300);

/** True if every answer said that the job had not been accepted and never runs. */
const isRefused = (job: JobRecord): boolean => job.statuses.length > 0 && job.statuses.every(status => status === 429 || status === 503);

const checkJobs = (jobs: readonly JobRecord[], runs: readonly WorkerRun[]): Array<Violation<never>> => {
	const started = new Set(runs.map(run => run.task.split('.')[0]!));
	return jobs.flatMap((job): Array<Violation<never>> => {
		const answers = `job ${job.id}, answers ${job.statuses.join(' ')}`;
		const isLost = isAccepted(job) && !job.isCancelled && job.lastState !== 'completed';
		return [
			...(isLost ? [{rule: 'accepted-job-lost', detail: `${answers}, state ${job.lastState ?? 'unknown'}`} as const] : []),
			...(isRefused(job) && started.has(job.id) ? [{rule: 'refused-job-ran', detail: answers} as const] : []),
		];
	});
};

const describeRun = (run: WorkerRun): string => `${run.task}#${run.attempt} on ${run.worker} from ${run.startMs} to ${Math.round(run.endMs)} (${run.how === '' ? 'running' : run.how})`;

const checkRuns = <Run extends WorkerRun>(runs: readonly Run[]): Array<Violation<Run>> => {
	const byTask = new Map<string, Run[]>();
	for (const run of runs) {
		const list = byTask.get(run.task) ?? [];
		list.push(run);
		byTask.set(run.task, list);
	}

	return [...byTask.values()].flatMap(list => list.flatMap((run, index) => list.slice(index + 1).flatMap((later): Array<Violation<Run>> => {
		const [first, second] = run.startMs <= later.startMs ? [run, later] : [later, run];
		const detail = `${describeRun(first)}; ${describeRun(second)}`;
		const isBoth = second.startMs < first.endMs;
		const isAgain = !isBoth && first.how === 'done' && first.end === 'noted';
		return [
			...(isBoth ? [{rule: 'two-runs-at-once', detail, runs: [first, second]} satisfies Violation<Run>] : []),
			...(isAgain ? [{rule: 'run-again-after-its-end', detail, runs: [first, second]} satisfies Violation<Run>] : []),
		];
	})));
};

/** Checks a soak that has ended. */
export const findViolations = <Run extends WorkerRun>(seen: {jobs: readonly JobRecord[]; runs: readonly Run[]; acknowledgedVersion: number; readVersion: number}): Array<Violation<Run>> => [
	...checkJobs(seen.jobs, seen.runs),
	...checkRuns(seen.runs),
	...(seen.readVersion < seen.acknowledgedVersion ? [{rule: 'manifest-older', detail: `version ${seen.readVersion} was read, ${seen.acknowledgedVersion} was acknowledged`} as const] : []),
];

/** How a run ended for its worker: `done-noted` if that end was acknowledged before the lease lapsed. */
export const endOf = (run: WorkerRun): string => (run.how === '' ? 'running' : (run.how === 'done' && run.end === 'noted' ? 'done-noted' : run.how));
