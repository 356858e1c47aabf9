/* eslint-disable @typescript-eslint/no-unsafe-call, @typescript-eslint/no-unsafe-assignment, @typescript-eslint/no-unsafe-argument, @typescript-eslint/no-unsafe-return -- plain script without types */
/* eslint-disable @typescript-eslint/restrict-plus-operands, @typescript-eslint/no-confusing-void-expression, @typescript-eslint/use-unknown-in-catch-callback-variable, @typescript-eslint/no-floating-promises -- plain script without types */
// The leading keeper is killed while many work units end on one executor; units that ended `done` must not be started again.
import process from 'node:process';
import {pause, runCase, until} from '../stand-ins/site.mjs';

const folder = process.cwd();
/** The executors of the small deployment have about 64 cores and 128 GB. */
const CAPACITY = {cpu: 64_000, 'mem-mb': 131_072, gpu: 0};
/** Together as much work as fills two executors. */
const JOBS = 53;
const WORK_MS = 5000;
/** Time within which the work units end, in milliseconds; their durations differ accordingly. */
const ENDS_SPREAD_MS = 300;
/** Time before the first end at which the leader is killed, in milliseconds. */
const KILL_BEFORE_END_MS = 20;
const DOWN_MS = 3500;
const step = {
	count: 24, cpu: 100, 'mem-mb': 200, 'estimate-ms': WORK_MS,
};

await runCase(async ({isTroubled, site: start}) => {
	let firstStartMs;
	const runMsOf = () => {
		firstStartMs ??= Date.now();
		return Math.max(500, firstStartMs + WORK_MS + (Math.random() * ENDS_SPREAD_MS) - Date.now());
	};

	const site = await start({
		folder, workerCount: 8, capacity: CAPACITY, stepOf: () => ({...step, runMs: runMsOf()}),
	});
	const ids = Array.from({length: JOBS}, (_, index) => (0x5C_0E_7A_21_00_00 + index).toString(16).padStart(16, '0'));
	await Promise.all(ids.map(async id => site.submit(id, {spec: 'many', steps: [step]})));
	const runs = () => site.workers.flatMap(worker => worker.runs);
	if (!await until(() => runs().length >= JOBS * step.count, 10_000, 5)) {
		throw new Error(`only ${runs().length} work units started`);
	}

	const lastStartMs = Math.max(...runs().map(run => run.startMs));
	await pause(Math.max(0, firstStartMs + WORK_MS - KILL_BEFORE_END_MS - Date.now()));
	if (isTroubled) {
		const leader = site.leader();
		site.signal(leader, 'SIGKILL');
		await site.exited(leader);
		await pause(DOWN_MS);
		site.start(leader, false);
	}

	await pause(WORK_MS + 6000);
	const first = new Map(runs().filter(run => run.attempt === 1).map(run => [run.task, run]));
	const again = runs().filter(run => run.attempt > 1 && first.get(run.task).how === 'done' && first.get(run.task).noted && run.startMs > first.get(run.task).endMs);
	const [example] = again;
	return {
		isBroken: again.length > 0,
		detail: `${first.size} work units, first started over ${lastStartMs - firstStartMs} ms; ${again.length} were started again after their end \`done\`, which was taken note of${example ? `, such as ${example.task}, run 1 on ${first.get(example.task).worker}, run ${example.attempt} on ${example.worker}` : ''}`,
	};
});
