/** Simulated fleet on a virtual clock that runs the work placed by the real scheduling code. */
import {
	chooseDraining, createArrivalMeter, createFleetBalancer, createJobStore, createRunEstimates, findRefusal, groupBy, lifeOf, measureBacklogs, measureDemand, measurePoolBacklogs, planStarts, retryAfterMs, RunEnds,
	type BalancerFeatures, type DrainCandidate, type JobOrder, type JobRank, type JobStore, type MovableMachine, type Resources, type SchedulingInput, type WorkerLife,
} from '@bronzebend/core';
import {createLeaderThread, PASS_LIMITS, type PassLimits} from './leader-thread.js';
import type {Load, SimulatedJob} from './load.js';
import {publish, queueOf, SPARE_POOL} from './manifest.js';
import {followDemand} from './oracle.js';
import {outcomeOf, type JobResult} from './outcome.js';
import {createUpkeep} from './upkeep.js';

export type {JobResult} from './outcome.js';

/** Step of the virtual clock, in milliseconds; about the duration of one commit. */
const STEP_MS = 10;
/** Interval between two steps of the fleet balancer, in milliseconds; the same as at the leader. */
const BALANCE_INTERVAL_MS = 200;
/** Time from a move order until the worker accepts work, in milliseconds: the users' move and the first announcement after it. */
const MOVE_MS = 1700;
/** Maximum number of moves in one step of the fleet balancer, and during a wave; the same as at the leader for the 64 orders a second that the users' platform accepts. */
const MAX_MOVES_PER_STEP = 11;
const MAX_MOVES_IN_WAVE = 10;
/** Time after the load in which jobs may still end, in milliseconds; the users query their states after it. */
const GRACE_PERIOD_MS = 14_000;

/** Number of times that a caller repeats a refused call, and the delay that a call without a leader is answered with, in milliseconds. */
const MAX_REPEATS = 4;
const NO_LEADER_RETRY_MS = 1000;

/** How machines come to pools: by our balancer, not at all, all of them from the start, or without delay by an oracle that knows the demand. */
export type Capacity = 'balancer' | 'fixed' | 'always-on' | 'oracle';

/** A scheduling strategy. */
export type Strategy = {
	name: string;
	/** Order of jobs; the scheduler's default order if undefined. */
	compare?: (left: JobRank, right: JobRank) => number;
	capacity: Capacity;
	/** Whether jobs are rejected while the backlog of their queue is too large. */
	refuses: boolean;
	/** Decisions of the balancer that are switched off. */
	without?: ReadonlyArray<keyof BalancerFeatures>;
	/** Maximum number of moves in one step of the balancer; the leader's if undefined. */
	movesPerStep?: number;
	/** Rule by which jobs are refused; by the backlog of the pool if undefined. */
	admission?: 'backlog' | 'timely';
	/** Order in pools that are short of room; the scheduler's default if undefined. */
	order?: SchedulingInput['order'];
	/** Whether callers repeat refused calls after `Retry-After`, up to `MAX_REPEATS` times. */
	repeats?: boolean;
	/** Limits of the passes; those of the leader if undefined. */
	passLimits?: PassLimits;
	/** Is told of each pass. */
	watch?: (pass: {nowMs: number; starts: number; waiting: ReadonlyMap<string, number>; workers: readonly WorkerLife[]; store: JobStore}) => void;
};

/** Result of a simulation. */
export type SimulationResult = {played: JobResult[]; machineSeconds: number; moves: number; lostCoreSeconds: number};

type ModelMachine = {name: string; pool: string; upAtMs: number; life?: WorkerLife; lives: number; isCrashed: boolean};
type ModelRun = {endMs: number; unit: string; attempt: number; life: string; startMs: number; cpu: number};

/** Work units of open jobs that are not done. */
const countOpenUnits = (store: JobStore): number => [...store.openJobs()].reduce((sum, {order, occurrences}) => sum + order.steps.reduce((units, {count}, step) => units + count - occurrences[0]!.doneInStep[step]!, 0), 0);

/** Simulates a fleet that processes the jobs under one strategy. */
export const simulate = (load: Load, jobs: readonly SimulatedJob[], strategy: Strategy): SimulationResult => {
	const store = createJobStore();
	publish(store, load);
	const manifest = store.manifest()!;
	const estimates = createRunEstimates();
	const arrivals = createArrivalMeter();
	const balancer = createFleetBalancer({drains: !strategy.without?.includes('drains'), lends: !strategy.without?.includes('lends'), forecasts: !strategy.without?.includes('forecasts')});
	const byId = new Map(jobs.map(job => [job.order.id, job]));
	const capacity = {cpu: load.machines.cpu, memoryMb: load.machines.memoryMb, gpu: 0};
	const limits = strategy.passLimits ?? PASS_LIMITS;
	const thread = createLeaderThread(load.leader, limits);
	const firstStart = new Map<string, number>();
	/** Number of refused calls, by job. */
	const refusals = new Map<string, number>();
	/** Refused calls that will be repeated, with the number of repetitions so far. */
	let refusedCalls: Array<{played: SimulatedJob; atMs: number; repeats: number}> = [];
	let runs: ModelRun[] = [];
	let machineSeconds = 0;
	let moves = 0;
	let lostCoreSeconds = 0;
	let nextJob = 0;
	/** Lives that drain for a move, as at the leader. */
	let draining: ReadonlySet<string> = new Set();

	const initialPools = (): string[] => {
		const pools = load.queues.map(queue => queue.name);
		const inPools = pools.flatMap(pool => Array.from({length: load.machines.inPool}, () => pool));
		const spares = Array.from({length: load.machines.spare}, (_, index) => (strategy.capacity === 'always-on' ? pools[index % pools.length]! : SPARE_POOL));
		return [...inPools, ...spares];
	};

	const machines: ModelMachine[] = initialPools()
		.map((pool, index) => ({
			name: `m${index}`, pool, upAtMs: 0, lives: 0, isCrashed: false,
		}));

	const startLife = (machine: ModelMachine, nowMs: number): void => {
		if (machine.life !== undefined || machine.isCrashed || machine.pool === SPARE_POOL || nowMs < machine.upAtMs) {
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
			store.apply({
				type: 'runs-over', life, atMs: nowMs, runs: lost.map(({unit, attempt}) => ({
					unit, attempt, how: RunEnds.lost, checkpoint: '',
				})),
			});
		}
	};

	const upkeep = createUpkeep({
		load,
		machines,
		sparePool: SPARE_POOL,
		hasWork: ({life}) => runs.some(run => run.life === life?.life && run.endMs < Infinity),
		takeOut(machine, nowMs, downMs) {
			endLife(machine, nowMs);
			machine.upAtMs = nowMs + downMs;
		},
	});

	const isOutage = (nowMs: number): boolean => load.irregular?.outages.some(({fromMs, forMs}) => nowMs >= fromMs && nowMs < fromMs + forMs) === true;

	const isIdle = (machine: ModelMachine): boolean => machine.life === undefined || store.runsOf(machine.life.life).size === 0;

	const backlogRetryOf = ({queue}: JobOrder): number | undefined => {
		// As at the leader: the pool's machines, also those on their way, and those in standby.
		const workers = machines.filter(machine => !machine.isCrashed && (machine.pool === queue || machine.pool === SPARE_POOL)).length;
		return retryAfterMs({coreMs: measureBacklogs(store, estimates).get(queue) ?? 0, capacityCpu: workers * capacity.cpu});
	};

	const timelyRetryOf = (order: JobOrder, nowMs: number): number | undefined => {
		const present = machines.filter(machine => machine.life?.pool === order.queue).length;
		const obtainable = strategy.capacity === 'fixed' || strategy.capacity === 'always-on' ? 0 : machines.filter(machine => !machine.isCrashed && machine.life?.pool !== order.queue && isIdle(machine)).length;
		const times = (count: number): Resources => ({cpu: count * capacity.cpu, memoryMb: count * capacity.memoryMb, gpu: 0});
		return findRefusal(order, queueOf(order.queue), {
			backlog: measurePoolBacklogs(store, estimates, nowMs).get(order.queue) ?? [], room: {present: times(present), obtainable: times(obtainable)}, estimates, wallMs: nowMs,
		})?.retryMs;
	};

	const admit = (played: SimulatedJob, nowMs: number, repeats: number): void => {
		const refusedMs = strategy.refuses ? (strategy.admission === 'timely' ? timelyRetryOf(played.order, nowMs) : backlogRetryOf(played.order)) : undefined;
		const retryMs = isOutage(nowMs) ? NO_LEADER_RETRY_MS : refusedMs;
		if (retryMs !== undefined) {
			refusals.set(played.order.id, repeats + 1);
			if (strategy.repeats && repeats < MAX_REPEATS) {
				refusedCalls.push({played, atMs: nowMs + (1000 * Math.max(1, Math.ceil(retryMs / 1000))), repeats: repeats + 1});
			}

			return;
		}

		store.apply({type: 'submit', order: played.order, atMs: nowMs});
		arrivals.add(store.job(played.order.id)!, played.order.queue, estimates, nowMs);
	};

	const takeCalls = (nowMs: number): void => {
		for (; nextJob < jobs.length && jobs[nextJob]!.atMs <= nowMs; nextJob += 1) {
			admit(jobs[nextJob]!, nowMs, 0);
		}

		const repeated = refusedCalls.filter(call => call.atMs <= nowMs);
		refusedCalls = refusedCalls.filter(call => call.atMs > nowMs);
		for (const {played, repeats} of repeated) {
			admit(played, nowMs, repeats);
		}
	};

	const endRuns = (nowMs: number): void => {
		const ended = runs.filter(run => run.endMs <= nowMs);
		if (ended.length === 0) {
			return;
		}

		runs = runs.filter(run => run.endMs > nowMs);
		thread.noteEnds(ended.length, nowMs);
		for (const [life, list] of groupBy(ended, run => run.life)) {
			for (const run of list) {
				const {job, step} = store.find(run.unit)!;
				estimates.recordRun(job.order.queue, job.order.steps[step]!.estimateMs, run.endMs - run.startMs);
			}

			store.apply({
				type: 'runs-over', life, atMs: nowMs, runs: list.map(({unit, attempt}) => ({
					unit, attempt, how: byId.get(unit.split('.')[0]!)!.isPoison ? RunEnds.failed : RunEnds.done, checkpoint: '',
				})),
			});
		}
	};

	/** Starts what fits; returns the number of work units that found no room, by pool. */
	const startRuns = (nowMs: number): ReadonlyMap<string, number> => {
		const workers = machines.flatMap(({name, life}) => (life && !draining.has(life.life) && !upkeep.isEmptying(name) ? [{...life, slowness: 1}] : []));
		const {starts, waiting} = planStarts({
			store, manifest, workers, estimates, wallMs: nowMs, avoided: () => undefined, approved: () => undefined, maxStarts: limits.maxStarts, compare: strategy.compare, order: strategy.order,
		});
		strategy.watch?.({
			nowMs, starts: starts.length, waiting, workers, store,
		});
		const startedAt = thread.pass({starts: starts.length, openUnits: load.leader ? countOpenUnits(store) : 0, nowMs});
		if (starts.length === 0) {
			return waiting;
		}

		store.apply({type: 'runs-start', lives: workers, runs: starts});
		for (const [index, {unit, attempt, life}] of starts.entries()) {
			const {job, step} = store.find(unit)!;
			const played = byId.get(job.order.id)!;
			const startMs = startedAt(index);
			firstStart.set(job.order.id, firstStart.get(job.order.id) ?? startMs);
			runs.push({
				unit, attempt, life, startMs, endMs: startMs + played.runMs.get(unit)!, cpu: job.order.steps[step]!.resources.cpu,
			});
		}

		return waiting;
	};

	const drainCandidate = ({life, pool}: WorkerLife, nowMs: number): DrainCandidate => {
		const own = [...store.runsOf(life).values()];
		const endsInMs = runs.filter(run => run.life === life && run.endMs < Infinity).map(run => {
			const {job, step} = store.find(run.unit)!;
			return Math.max(0, run.startMs + estimates.expectedMs(job.order.queue, job.order.steps[step]!.estimateMs) - nowMs);
		});
		return {
			life, pool, runsLasting: own.some(({job, step}) => job.order.steps[step]!.lasting), endsInMs: Math.max(0, ...endsInMs),
		};
	};

	const followOracle = (nowMs: number): void => {
		followDemand({
			machines,
			sparePool: SPARE_POOL,
			isIdle,
			assign(machine, pool) {
				endLife(machine, nowMs);
				machine.pool = pool;
				startLife(machine, nowMs);
			},
			startRuns: () => startRuns(nowMs),
		});
	};

	const move = (nowMs: number): void => {
		const up = machines.filter(machine => !machine.isCrashed && (machine.life !== undefined || (machine.pool === SPARE_POOL && nowMs >= machine.upAtMs)));
		const decided = balancer.step({
			pools: manifest.manifest.pools,
			demands: measureDemand(store, arrivals, estimates, {wallMs: nowMs, nowMs}),
			workers: new Map([...groupBy(up, machine => machine.pool)].map(([pool, list]) => [pool, list.length])),
			machines: up.map((machine): MovableMachine => ({
				name: machine.name, pool: machine.pool, capacity, kind: 'a', isIdle: isIdle(machine),
			})),
			poolOfMachine: new Map(machines.flatMap(machine => (machine.life ? [[machine.name, machine.life.pool] as const] : []))),
			fleetSize: machines.length,
			maxMoves: strategy.movesPerStep ?? (load.upkeep ? MAX_MOVES_IN_WAVE : MAX_MOVES_PER_STEP),
			nowMs,
		});
		draining = chooseDraining(up.flatMap(({life}) => (life ? [drainCandidate(life, nowMs)] : [])), balancer.drains(), draining);
		for (const chosen of decided) {
			const machine = machines.find(each => each.name === chosen.machine)!;
			balancer.ordered(chosen, nowMs);
			endLife(machine, nowMs);
			machine.pool = chosen.to;
			machine.upAtMs = nowMs + MOVE_MS;
			moves += 1;
		}
	};

	for (let nowMs = 0; nowMs < load.lengthMs + GRACE_PERIOD_MS; nowMs += STEP_MS) {
		if (load.crashedMachines > 0 && nowMs === load.lengthMs / 2) {
			for (const machine of machines.filter(each => each.life).slice(0, load.crashedMachines)) {
				machine.isCrashed = true;
				endLife(machine, nowMs);
			}
		}

		for (const machine of machines) {
			startLife(machine, nowMs);
		}

		// Without a leader, callers get an answer only where the load has the costs of one; elsewhere their calls wait.
		const isFree = thread.isFree(nowMs);
		if (isOutage(nowMs) ? load.leader : isFree) {
			takeCalls(nowMs);
		}

		if (isOutage(nowMs)) {
			continue;
		}

		if (isFree) {
			endRuns(nowMs);
		}

		if (strategy.capacity === 'oracle') {
			followOracle(nowMs);
		} else if (nowMs % (load.passMs ?? STEP_MS) === 0 && isFree && thread.isPassDue(nowMs)) {
			startRuns(nowMs);
		}

		if (load.upkeep && nowMs % BALANCE_INTERVAL_MS === 0) {
			upkeep.step(nowMs);
		}

		if (strategy.capacity === 'balancer' && nowMs % BALANCE_INTERVAL_MS === 0) {
			move(nowMs);
		}

		if (nowMs < load.lengthMs) {
			machineSeconds += machines.filter(machine => machine.pool !== SPARE_POOL && !machine.isCrashed).length * STEP_MS / 1000;
		}
	}

	const resultOf = (played: SimulatedJob): JobResult => {
		const waitMs = (firstStart.get(played.order.id) ?? load.lengthMs + GRACE_PERIOD_MS) - played.atMs;
		return {
			job: played, waitMs, refusals: refusals.get(played.order.id) ?? 0, outcome: outcomeOf(played, store.job(played.order.id), load),
		};
	};

	return {
		played: jobs.map(job => resultOf(job)), machineSeconds, moves, lostCoreSeconds,
	};
};
