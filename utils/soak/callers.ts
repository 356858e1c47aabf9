/** Callers of a soak, which submit jobs, ask for their states and cancel some. */
import type {Random} from '@bronzebend/core';
import type {JobRecord} from './ledger.js';
import {send, type SendResult} from './send.js';

export const HOST = 'desk.example';
/** API keys of the tenants. */
export const KEYS = ['key-north', 'key-south'] as const;
/** Time of one submission, in milliseconds. */
const DEADLINE_MS = 3000;
/** Submissions of one job until its caller gives up. */
const MAX_SUBMISSIONS = 6;
/** Share of the jobs that are submitted again after they were accepted, as if the answer had been lost, and of those that are cancelled. */
const RESENT_SHARE = 0.1;
const CANCELLED_SHARE = 0.05;
/** Pause between two questions for the state of a job, in milliseconds. */
const ASK_MS = 1500;
const ASK_AT_ONCE = 40;
/** Thousandths of a core of a work unit. */
export const UNIT_CPU = 500;
/** Shares of the jobs with long work units, and of those with a second step. */
const LONG_SHARE = 0.12;
const TWO_STEPS_SHARE = 0.2;
const SHORT_MS = {min: 1000, max: 3500} as const;
const LONG_MS = {min: 9000, max: 16_000} as const;

const pause = async (milliseconds: number): Promise<void> => new Promise(resolve => {
	setTimeout(resolve, milliseconds);
});

/** Work that a text of a work unit asks for: its duration in milliseconds, which is infinite if it lasts, and its thousandths of a core. */
export const workOf = (spec: string): {runMs: number; cpu: number} => {
	const runMs = Number(/^soak (\d+)/u.exec(spec)?.[1]);
	return {runMs: Number.isFinite(runMs) ? runMs : Infinity, cpu: UNIT_CPU};
};

type JobBody = {spec: string; steps: Array<{count: number} & Record<string, unknown>>};

export type Callers = ReturnType<typeof createCallers>;

export const createCallers = ({random, seed, entries, queues, jobsPerS, lasting, isOver}: {
	random: Random; seed: number;
	/** Addresses of the entries. */
	entries: readonly string[];
	/** Path prefixes of the queues. */
	queues: readonly string[];
	jobsPerS: number;
	/** Number of jobs that run until they are cancelled. */
	lasting: number;
	isOver(): boolean;
}) => {
	const jobs: JobRecord[] = [];
	const pick = <Item>(items: readonly Item[]): Item => items[Math.floor(random() * items.length)]!;

	const ask = async (method: string, job: JobRecord, body?: unknown): Promise<SendResult> => send({
		method, address: pick(entries), path: `${job.queue}${job.id}`, body, headers: {host: HOST, 'x-api-key': job.key, 'x-deadline-ms': String(DEADLINE_MS)}, timeoutMs: DEADLINE_MS,
	});

	const drawBody = (isLasting: boolean): JobBody => {
		const isLong = random() < LONG_SHARE;
		const {min, max} = isLong ? LONG_MS : SHORT_MS;
		const runMs = Math.round(min + (random() * (max - min)));
		const count = isLong ? 1 + Math.floor(random() * 2) : 8 + Math.floor(random() * 9);
		const step = {cpu: UNIT_CPU, 'mem-mb': 50, 'estimate-ms': runMs};
		if (isLasting) {
			return {spec: 'soak lasting', steps: [{...step, count: 4, 'long-running': true}]};
		}

		return {spec: `soak ${runMs}`, steps: [{...step, count}, ...(random() < TWO_STEPS_SHARE ? [{...step, count: 2, 'depends-on': [0]}] : [])]};
	};

	const readState = async (job: JobRecord): Promise<void> => {
		const answer = await ask('GET', job);
		job.lastState = answer.status === 200 ? (answer.body as {state: string}).state : `status ${answer.status}`;
	};

	const submit = async (job: JobRecord, body: unknown): Promise<void> => {
		for (let attempt = 0; attempt < MAX_SUBMISSIONS && !job.statuses.includes(200); attempt += 1) {
			const {status} = await ask('POST', job, body);
			job.statuses.push(status);
			if (status === 200) {
				job.acceptedMs = Date.now();
			} else {
				await pause(200 + (random() * 400));
			}
		}
	};

	const runJob = async (job: JobRecord): Promise<void> => {
		const body = drawBody(job.isLasting);
		job.units = body.steps.reduce((sum, {count}) => sum + count, 0);
		const isResent = random() < RESENT_SHARE;
		const cancelAfterMs = !job.isLasting && random() < CANCELLED_SHARE ? random() * 4000 : undefined;
		await submit(job, body);
		if (isResent) {
			await pause(random() * 2000);
			const again = await ask('POST', job, body);
			job.statuses.push(again.status);
		}

		if (cancelAfterMs !== undefined) {
			await pause(cancelAfterMs);
			job.isCancelled = true;
			await ask('DELETE', job);
		}

		while (!isOver() && !job.isCancelled && job.lastState !== 'completed') {
			await pause(ASK_MS);
			await readState(job);
		}
	};

	return {
		jobs,
		/** Submits jobs until the soak is over. */
		async run(): Promise<void> {
			const calls: Array<Promise<void>> = [];
			for (let number = 1; !isOver(); number += 1) {
				const job: JobRecord = {
					id: ((seed * 1_000_000) + number).toString(16).padStart(16, '0'), queue: pick(queues), key: pick(KEYS), units: 0, statuses: [], isCancelled: false, isLasting: number <= lasting,
				};
				jobs.push(job);
				calls.push(runJob(job));
				await pause(number < lasting ? 20 : 2 * random() * 1000 / jobsPerS);
			}

			await Promise.all(calls);
		},
		/** Cancels the jobs that last; asks for the states of the others and returns how many have not ended. */
		async finish(): Promise<number> {
			for (const job of jobs.filter(each => each.isLasting && !each.isCancelled)) {
				job.isCancelled = true;
				await ask('DELETE', job);
			}

			const open = jobs.filter(job => job.lastState !== 'completed' && !job.isCancelled && job.statuses.includes(200));
			for (let first = 0; first < open.length; first += ASK_AT_ONCE) {
				await Promise.all(open.slice(first, first + ASK_AT_ONCE).map(async job => readState(job)));
			}

			return open.filter(job => job.lastState !== 'completed').length;
		},
	};
};
