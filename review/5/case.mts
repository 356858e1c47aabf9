/* eslint-disable @typescript-eslint/no-unsafe-call, @typescript-eslint/no-unsafe-assignment, @typescript-eslint/no-unsafe-argument, @typescript-eslint/no-unsafe-return -- plain script without types */
/* eslint-disable @typescript-eslint/restrict-plus-operands, @typescript-eslint/no-confusing-void-expression, @typescript-eslint/use-unknown-in-catch-callback-variable, @typescript-eslint/no-floating-promises -- plain script without types */
// Two of four executors that a queue's policy allows are lost for good; a job must run on the two that are left.
import process from 'node:process';
import {
	BOUNDS, pause, runCase, until,
} from '../stand-ins/site.mjs';

const folder = process.cwd();
const CAPACITY = {cpu: 64_000, 'mem-mb': 131_072, gpu: 0};
const WORK_MS = 1000;
const JOB = '5c0e7a21d94b36f8';
const WORKERS = 40;
/** Positions of the executors that the policy allows. */
const APPROVED = [3, 6, WORKERS - 2, WORKERS - 1];
const recommendation = {'decision-ms': 20, 'period-ms': 5, 'validity-ms': 3000};
const step = {
	count: 6, cpu: 3500, 'mem-mb': 5100, 'estimate-ms': WORK_MS,
};
const idOf = position => `i-${(position + 1).toString(16).padStart(8, '0')}`;

await runCase(async ({isTroubled, site: start}) => {
	const approved = new Set(APPROVED.map(position => idOf(position)));
	const site = await start({
		folder, workerCount: WORKERS, capacity: CAPACITY, stepOf: () => ({...step, runMs: WORK_MS}), advice: {recommendation, isApproved: (_, id) => approved.has(id)},
	});
	if (isTroubled) {
		await site.workers[APPROVED[0]].crash();
		await site.workers[APPROVED[1]].crash();
	}

	// By now the system has taken note that the executors are gone.
	await pause(8000);
	const status = await site.submit(JOB, {spec: 'advised', steps: [step]});
	if (status !== 200) {
		throw new Error(`the job was not accepted: status ${status}`);
	}

	let state;
	const isCompleted = await until(async () => {
		({body: {state} = {}} = await site.call('GET', JOB));
		return state === 'completed';
	}, 2 * BOUNDS.finish_s * 1000, 500);
	const runs = site.workers.flatMap(worker => worker.runs);
	const free = APPROVED.slice(2).map(position => site.workers[position]).filter(worker => worker.running() === 0);
	return {
		isBroken: !isCompleted && runs.length === 0 && free.length === 2,
		detail: `job ${state}; ${runs.length} runs; ${free.length} idle executors that the policy allows, and ${WORKERS - (isTroubled ? 2 : 0)} executors in all`,
	};
});
