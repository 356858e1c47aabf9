/* eslint-disable @typescript-eslint/no-unsafe-call, @typescript-eslint/no-unsafe-assignment, @typescript-eslint/no-unsafe-argument, @typescript-eslint/no-unsafe-return -- plain script without types */
/* eslint-disable @typescript-eslint/restrict-plus-operands, @typescript-eslint/no-confusing-void-expression, @typescript-eslint/use-unknown-in-catch-callback-variable, @typescript-eslint/no-floating-promises -- plain script without types */
// An executor loses power for some seconds and starts again under its id; orders to start that were sent to its life before must not be carried out beside new ones.
import process from 'node:process';
import {pause, runCase, until} from '../stand-ins/site.mjs';

const folder = process.cwd();
const CAPACITY = {cpu: 64_000, 'mem-mb': 131_072, gpu: 0};
const WORK_MS = 4000;
/** Time without power, in milliseconds. */
const DARK_MS = 3000;
const step = {
	count: 24, cpu: 1000, 'mem-mb': 1000, 'estimate-ms': WORK_MS,
};

await runCase(async ({isTroubled, site: start}) => {
	const site = await start({
		folder, workerCount: 8, capacity: CAPACITY, stepOf: task => ({...step, runMs: task.startsWith('00000000') ? 20_000 : WORK_MS}),
	});
	// One job that runs for long shows which executor is filled first.
	await site.submit('0000000000000001', {spec: 'first', steps: [{...step, count: 1}]});
	if (!await until(() => site.workers.some(worker => worker.running() > 0), 8000)) {
		throw new Error('the first job did not start');
	}

	const worker = site.workers.find(each => each.running() > 0);
	await pause(1000);
	if (isTroubled) {
		await worker.crash({isDark: true});
	}

	await pause(300);
	await Promise.all(['5c0e7a21d94b36f8', '5c0e7a21d94b36f9'].map(async id => site.submit(id, {spec: 'many', steps: [step]})));
	await pause(DARK_MS - 300);
	if (isTroubled) {
		await worker.boot();
	}

	await pause((2 * WORK_MS) + 6000);
	const runs = site.workers.flatMap(each => each.runs);
	const pairs = runs.flatMap((run, index) => runs.slice(index + 1).filter(other => other.task === run.task && run.startMs < (other.endMs ?? Infinity) && other.startMs < (run.endMs ?? Infinity)).map(other => [run, other]));
	const describe = run => `${run.task} run ${run.attempt} on ${run.worker} from ${run.startMs} to ${run.endMs} (${run.how})`;
	return {isBroken: pairs.length > 0, detail: `${runs.length} runs, ${pairs.length} times two of one work unit at the same time${pairs[0] ? `: ${pairs[0].map(run => describe(run)).join('; ')}` : ''}`};
});
