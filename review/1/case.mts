/* eslint-disable @typescript-eslint/no-unsafe-call, @typescript-eslint/no-unsafe-assignment, @typescript-eslint/no-unsafe-argument, @typescript-eslint/no-unsafe-return -- plain script without types */
/* eslint-disable @typescript-eslint/restrict-plus-operands, @typescript-eslint/no-confusing-void-expression, @typescript-eslint/use-unknown-in-catch-callback-variable, @typescript-eslint/no-floating-promises -- plain script without types */
// An executor is cut off from the system with resets and runs on; its work units must not be started elsewhere meanwhile.
import process from 'node:process';
import {pause, runCase, until} from '../stand-ins/site.mjs';

const folder = process.cwd();
const CAPACITY = {cpu: 64_000, 'mem-mb': 131_072, gpu: 0};
const WORK_MS = 3000;
/** Time from the start of the work to the cut, and length of the cut, in milliseconds. */
const BEFORE_CUT_MS = 700;
const CUT_MS = 5500;
const JOB = '5c0e7a21d94b36f8';
const step = {
	count: 16, cpu: 3500, 'mem-mb': 5100, 'estimate-ms': WORK_MS,
};

await runCase(async ({isTroubled, site: start}) => {
	const site = await start({
		folder, workerCount: 8, capacity: CAPACITY, stepOf: () => ({...step, runMs: WORK_MS}),
	});
	await site.submit(JOB, {spec: 'many', steps: [step]});
	const running = () => site.workers.reduce((sum, worker) => sum + worker.running(), 0);
	if (!await until(() => running() === step.count, 8000)) {
		throw new Error(`only ${running()} work units started`);
	}

	const cut = site.workers.find(worker => worker.running() > 0);
	await pause(BEFORE_CUT_MS);
	if (isTroubled) {
		await cut.cut('reset');
	}

	await pause(CUT_MS);
	if (isTroubled) {
		await cut.heal();
	}

	await pause(5000);
	const runs = site.workers.flatMap(each => each.runs);
	const pairs = runs.flatMap((run, index) => runs.slice(index + 1).filter(other => other.task === run.task && run.startMs < (other.endMs ?? Infinity) && other.startMs < (run.endMs ?? Infinity)).map(other => [run, other]));
	const describe = run => `${run.task} run ${run.attempt} on ${run.worker} from ${run.startMs} to ${run.endMs} (${run.how})`;
	return {isBroken: pairs.length > 0, detail: `${runs.length} runs, ${pairs.length} times two of one work unit at the same time${pairs[0] ? `: ${pairs[0].map(run => describe(run)).join('; ')}` : ''}`};
});
