/** A fleet on a virtual clock that runs what the real decisions place. */
import {
	createArrivalMeter, createFleetBalancer, createJobStore, createRunEstimates, groupBy, isOpen, lifeOf, measureBacklogs, measureDemand, objectiveOf, planStarts, retryAfterMs, RunEnds,
	type Job, type JobStore, type JobQueue, type JobRank, type MovableMachine, type WorkerLife,
} from '@bronzebend/core';
import type {Load, PlayedJob} from './load.js';

/** Step of the virtual clock, in milliseconds; about the time of one commit. */
const STEP_MS = 10;
/** Pause between two steps of the balance, in milliseconds, as at the leader. */
const BALANCE_MS = 200;
/** Time from an order to a worker that takes work, in milliseconds: the users' move and its first report. */
const MOVE_MS = 1700;
/** Moves in one step of the balance at most: 40 a second, short of what the users' platform takes. */
const MOST_MOVES = 8;
/** Time after the load in which jobs may still end, in milliseconds; the users ask for their states then. */
const FINISH_MS = 14_000;

/** A way to decide. */
export type Way = {
	name: string;
	/** Order of jobs; the product's own where undefined. */
	compare?: (left: JobRank, right: JobRank) => number;
	moves: boolean;
	/** Turns jobs away that cannot be served. */
	refuses: boolean;
};

/** What became of one job. */
export type Played = {job: PlayedJob; outcome: 'in-objective' | 'late' | 'refused' | 'failed' | 'unfinished'; waitMs: number};

/** What a play gave. */
export type PlayResult = {played: Played[]; machineSeconds: number; moves: number; lostCoreSeconds: number};

type ModelMachine = {name: string; pool: string; upAtMs: number; life?: WorkerLife; lives: number; isGone: boolean};
type ModelRun = {endMs: number; unit: string; attempt: number; life: string; startMs: number; cpu: number};

const queueOf = (name: string): JobQueue => ({
	name, host: 'desk.example', pathPrefix: `/${name}/`, pool: name, priority: 0, maxAttempts: 3, objectiveFactor: 1.6, objectiveMs: 600, timeoutMs: 3000, open: false,
});

const publish = (book: JobStore, load: Load): void => {
	book.apply({
		type: 'publish-fleet', manifest: {
			version: 1,
			queues: load.queues.map(queue => queueOf(queue.name)),
			pools: [...load.queues.map(queue => ({name: queue.name, guardsCapacity: true, standby: false})), {name: 'spare', guardsCapacity: true, standby: true}],
			workspaces: Array.from({length: load.workspaces}, (_, index) => ({
				name: `team-${index}`, keys: [`key-${index}`], weight: 1 + index, cap: {cpu: 0, memoryMb: 0, gpu: 0},
			})),
			maxBodyBytes: 1,
			document: '',
		},
	});
};

/** Plays jobs against a fleet, deciding one way. */
export const play = (load: Load, jobs: readonly PlayedJob[], way: Way): PlayResult => {
	const book = createJobStore();
	publish(book, load);
	const manifest = book.manifest()!;
	const estimates = createRunEstimates();
	const arrivals = createArrivalMeter();
	const balance = createFleetBalancer();
	const byId = new Map(jobs.map(job => [job.order.id, job]));
	const capacity = {cpu: load.machines.cpu, memoryMb: load.machines.memoryMb, gpu: 0};
	const firstStart = new Map<string, number>();
	const refused = new Set<string>();
	let runs: ModelRun[] = [];
	let machineSeconds = 0;
	let moves = 0;
	let lostCoreSeconds = 0;
	let nextJob = 0;

	const machines: ModelMachine[] = [...load.queues.map(queue => queue.name).flatMap(pool => Array.from({length: load.machines.inPool}, () => pool)), ...Array.from({length: load.machines.spare}, () => 'spare')]
		.map((pool, index) => ({
			name: `m${index}`, pool, upAtMs: 0, lives: 0, isGone: false,
		}));

	const birth = (machine: ModelMachine, nowMs: number): void => {
		if (machine.life !== undefined || machine.isGone || machine.pool === 'spare' || nowMs < machine.upAtMs) {
			return;
		}

		machine.lives += 1;
		machine.life = {
			life: lifeOf(machine.name, machine.lives), id: machine.name, bornMs: machine.lives, address: machine.name, pool: machine.pool, zone: 'a', capacity, labels: ['a'],
		};
	};

	const endLife = (machine: ModelMachine, nowMs: number): void => {
		const life = machine.life?.life;
		machine.life = undefined;
		const lost = runs.filter(run => run.life === life);
		runs = runs.filter(run => run.life !== life);
		lostCoreSeconds += lost.reduce((sum, run) => sum + (run.cpu * (nowMs - run.startMs) / 1_000_000), 0);
		if (life !== undefined && lost.length > 0) {
			book.apply({
				type: 'runs-over', life, atMs: nowMs, runs: lost.map(({unit, attempt}) => ({
					unit, attempt, how: RunEnds.lost, checkpoint: '',
				})),
			});
		}
	};

	const admit = (played: PlayedJob, nowMs: number): void => {
		const workers = machines.filter(machine => machine.life?.pool === played.order.queue).length;
		const backlog = {coreMs: measureBacklogs(book, estimates).get(played.order.queue) ?? 0, capacityCpu: workers * capacity.cpu};
		if (way.refuses && retryAfterMs(backlog) !== undefined) {
			refused.add(played.order.id);
			return;
		}

		book.apply({type: 'submit', order: played.order, atMs: nowMs});
		arrivals.add(book.job(played.order.id)!, played.order.queue, estimates, nowMs);
	};

	const endRuns = (nowMs: number): void => {
		const ended = runs.filter(run => run.endMs <= nowMs);
		if (ended.length === 0) {
			return;
		}

		runs = runs.filter(run => run.endMs > nowMs);
		for (const [life, list] of groupBy(ended, run => run.life)) {
			for (const run of list) {
				const {job, step} = book.find(run.unit)!;
				estimates.recordRun(job.order.queue, job.order.steps[step]!.estimateMs, run.endMs - run.startMs);
			}

			book.apply({
				type: 'runs-over', life, atMs: nowMs, runs: list.map(({unit, attempt}) => ({
					unit, attempt, how: byId.get(unit.split('.')[0]!)!.isPoison ? RunEnds.failed : RunEnds.done, checkpoint: '',
				})),
			});
		}
	};

	const startRuns = (nowMs: number): void => {
		const workers = machines.flatMap(({life}) => (life ? [{...life, slowness: 1}] : []));
		const {starts} = planStarts({
			store: book, manifest, workers, estimates, wallMs: nowMs, avoided: () => undefined, approved: () => undefined, maxStarts: 200, compare: way.compare,
		});
		if (starts.length === 0) {
			return;
		}

		book.apply({type: 'runs-start', lives: workers, runs: starts});
		for (const {unit, attempt, life} of starts) {
			const {job, step} = book.find(unit)!;
			const played = byId.get(job.order.id)!;
			firstStart.set(job.order.id, firstStart.get(job.order.id) ?? nowMs);
			runs.push({
				unit, attempt, life, startMs: nowMs, endMs: nowMs + played.runMs.get(unit)!, cpu: job.order.steps[step]!.resources.cpu,
			});
		}
	};

	const move = (nowMs: number): void => {
		const up = machines.filter(machine => !machine.isGone && (machine.life !== undefined || (machine.pool === 'spare' && nowMs >= machine.upAtMs)));
		const decided = balance.step({
			pools: manifest.manifest.pools,
			demands: measureDemand(book, arrivals, estimates, {wallMs: nowMs, nowMs}),
			workers: new Map([...groupBy(up, machine => machine.pool)].map(([pool, list]) => [pool, list.length])),
			machines: up.map((machine): MovableMachine => ({
				name: machine.name, pool: machine.pool, capacity, kind: 'a', isIdle: machine.life === undefined || book.runsOf(machine.life.life).size === 0,
			})),
			poolOfMachine: new Map(machines.flatMap(machine => (machine.life ? [[machine.name, machine.life.pool] as const] : []))),
			fleetSize: machines.length,
			maxMoves: MOST_MOVES,
			nowMs,
		});
		for (const chosen of decided) {
			const machine = machines.find(each => each.name === chosen.machine)!;
			balance.ordered(chosen, nowMs);
			endLife(machine, nowMs);
			machine.pool = chosen.to;
			machine.upAtMs = nowMs + MOVE_MS;
			moves += 1;
		}
	};

	for (let nowMs = 0; nowMs < load.lengthMs + FINISH_MS; nowMs += STEP_MS) {
		if (load.crashes > 0 && nowMs === load.lengthMs / 2) {
			for (const machine of machines.filter(each => each.life).slice(0, load.crashes)) {
				machine.isGone = true;
				endLife(machine, nowMs);
			}
		}

		for (const machine of machines) {
			birth(machine, nowMs);
		}

		while (nextJob < jobs.length && jobs[nextJob]!.atMs <= nowMs) {
			admit(jobs[nextJob]!, nowMs);
			nextJob += 1;
		}

		endRuns(nowMs);
		startRuns(nowMs);
		if (way.moves && nowMs % BALANCE_MS === 0) {
			move(nowMs);
		}

		if (nowMs < load.lengthMs) {
			machineSeconds += machines.filter(machine => machine.pool !== 'spare' && !machine.isGone).length * STEP_MS / 1000;
		}
	}

	const judge = (played: PlayedJob): Played => {
		const job: Job | undefined = book.job(played.order.id);
		const waitMs = (firstStart.get(played.order.id) ?? load.lengthMs + FINISH_MS) - played.atMs;
		if (!job) {
			return {job: played, outcome: 'refused', waitMs};
		}

		if (isOpen(job) && !job.order.steps.some(step => step.lasting)) {
			return {job: played, outcome: 'unfinished', waitMs};
		}

		if (job.state === 'failed') {
			return {job: played, outcome: 'failed', waitMs};
		}

		if (isOpen(job)) {
			return {job: played, outcome: 'in-objective', waitMs};
		}

		return {job: played, outcome: job.endedAtMs - played.atMs <= objectiveOf(job) ? 'in-objective' : 'late', waitMs};
	};

	return {
		played: jobs.map(job => judge(job)), machineSeconds, moves, lostCoreSeconds,
	};
};
