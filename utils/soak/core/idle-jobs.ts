/** Finds work of a soak that could run and does not, from what the workers run. */
import type {JobRecord} from '../ledger.js';

/** Time of calm before idleness counts, and the idleness that is a break: of a whole job, and of a work unit that lasts; in milliseconds. */
const SETTLE_MS = 4000;
const IDLE_MS = 3000;
const LASTING_IDLE_MS = 6000;

type Span = {startMs: number; endMs: number};

/** A time in which a job had less at work than it could have had. */
export type IdleSpan = Span & {job: string; isLasting: boolean};

/** What is seen of a worker: its pool, the work units that it runs, and how many it can run at once. */
export type SeenWorker = {pool: string; isUp: boolean; running: number; places: number};

/** What is seen of a run: the name of its work unit, when it ended, in Unix milliseconds, and how. */
export type SeenRun = {task: string; endMs: number; how: string};

const poolOf = ({queue}: JobRecord): string => queue.replaceAll('/', '');
const jobOf = (task: string): string => task.split('.')[0]!;

/** True if a pool has room for two work units more, and under half of it is in use. */
const hasRoom = (workers: readonly SeenWorker[], pool: string): boolean => {
	const own = workers.filter(worker => worker.isUp && worker.pool === pool);
	const places = own.reduce((sum, worker) => sum + worker.places, 0);
	const running = own.reduce((sum, worker) => sum + worker.running, 0);
	return places - running >= 2 && running * 2 < places;
};

/** Creates the record of a soak. */
export const createIdleJobs = () => {
	const spans: IdleSpan[] = [];
	const open = new Map<string, IdleSpan>();

	return {
		spans,
		/** Takes note of what runs now; called a few times a second. */
		observe({jobs, runs, workers, nowMs}: {jobs: readonly JobRecord[]; runs: readonly SeenRun[]; workers: readonly SeenWorker[]; nowMs: number}): void {
			const running = new Map<string, number>();
			const done = new Map<string, Set<string>>();
			for (const {task, endMs, how} of runs) {
				const job = jobOf(task);
				if (endMs === Infinity) {
					running.set(job, (running.get(job) ?? 0) + 1);
				} else if (how === 'done') {
					done.set(job, (done.get(job) ?? new Set()).add(task));
				}
			}

			const pools = new Set(workers.filter(worker => hasRoom(workers, worker.pool)).map(worker => worker.pool));
			for (const job of jobs) {
				const atWork = running.get(job.id) ?? 0;
				const isOpen = job.acceptedMs !== undefined && !job.isCancelled && (done.get(job.id)?.size ?? 0) < job.units;
				const isIdle = isOpen && pools.has(poolOf(job)) && (job.isLasting ? atWork < job.units : atWork === 0);
				if (!isIdle) {
					open.delete(job.id);
					continue;
				}

				const span = open.get(job.id);
				if (span) {
					span.endMs = nowMs;
				} else {
					const begun = {
						job: job.id, isLasting: job.isLasting, startMs: nowMs, endMs: nowMs,
					};
					open.set(job.id, begun);
					spans.push(begun);
				}
			}
		},
	};
};

/** Describes each job that was idle for too long in calm; times in milliseconds after `startMs`. */
export const findIdleJobs = (spans: readonly IdleSpan[], calm: readonly Span[], startMs: number): string[] => spans.flatMap(({job, isLasting, startMs: fromMs, endMs}) => {
	const idleMs = Math.max(0, ...calm.map(span => Math.min(span.endMs, endMs) - Math.max(span.startMs + SETTLE_MS, fromMs)));
	return idleMs > (isLasting ? LASTING_IDLE_MS : IDLE_MS) ? [`job ${job}${isLasting ? ', which lasts,' : ''} had room and was idle from ${fromMs - startMs} to ${endMs - startMs} ms, ${idleMs} ms of it in calm`] : [];
});
