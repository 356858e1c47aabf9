/**
`node utils/lib/leader-passes.js [TERMS]`: measures a leader's scheduling passes in the middle of a
queue's turn, with workers and machines that answer immediately. The first term includes the warm-up.
*/
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {
	createFleetBalancer, createArrivalMeter, createRunEstimates, measureDemand, type Clock,
} from '@bronzebend/core';
import {
	createJobLeader, createJobMetrics, type LogFactory, type WorkerPort,
} from '@bronzebend/daemon';
import {createSchedulingState, GROWN_SITE} from './scheduling-state.js';

const clock: Clock = {monotonicMs: () => performance.now(), wallMs: () => Date.now()};
const ignore = (): void => undefined;

const pause = async (milliseconds: number): Promise<void> => new Promise(resolve => {
	setTimeout(resolve, milliseconds);
});

/** Runs a leader for one term of 1.8 s, in which all waiting work that fits is placed; returns the times of its passes and starts. */
const timeTerm = async (term: number): Promise<{planMs: number[]; startsMs: number[]; processorMs: number}> => {
	const {store, directory, machines} = createSchedulingState({...GROWN_SITE, seed: term}, {wallMs: clock.wallMs(), nowMs: clock.monotonicMs()});
	const metrics = createJobMetrics();
	const planMs: number[] = [];
	const startsMs: number[] = [];
	const observe = metrics.planSeconds.observe.bind(metrics.planSeconds) as (seconds: number) => void;
	metrics.planSeconds.observe = (seconds: unknown): void => {
		planMs.push(Number(seconds) * 1000);
		observe(Number(seconds));
	};

	const connect = (): WorkerPort => ({
		hold: async () => new Promise(ignore),
		start: async () => ({type: 'done'}),
		stop: async () => ({type: 'done'}),
		pace: async () => ({type: 'done'}),
		close: ignore,
	});
	const logs: LogFactory = () => ({
		error: ignore, warn: ignore, info: ignore, debug: ignore,
	});
	const began = process.cpuUsage();
	const beganMs = clock.monotonicMs();
	const leader = createJobLeader({
		node: 'keeper',
		clock,
		logs,
		metrics,
		directory,
		connect,
		machines: {
			list: async () => ({machines, unreadable: []}),
			move: async () => ({type: 'rejected', reason: 'busy'}),
			upkeep: async () => ({type: 'rejected', reason: 'busy'}),
		},
		leaseMs: 4000,
		maxLeaseMs: 10_000,
		maxStopMs: 200,
		holderLeaseMs: 3000,
		reportMs: 1500,
		shareWorkers: ignore,
		send: ignore,
	}, {
		term,
		store,
		async propose(command) {
			const outcome = store.apply(command);
			if (outcome.type === 'runs-started') {
				startsMs.push(...outcome.accepted.map(() => Math.round(clock.monotonicMs() - beganMs)));
			}

			return outcome;
		},
		isLeading: () => true,
		liveKeepers: () => [],
		orderAppliedMs: () => undefined,
	});
	await pause(1800);
	leader.stop();
	const used = process.cpuUsage(began);
	return {planMs, startsMs, processorMs: (used.user + used.system) / 1000};
};

/** Measures the demand calculation and the fleet balancer, which share the thread with the passes. */
const timeBalance = (): number[] => Array.from({length: 5}, () => {
	const nowMs = clock.monotonicMs();
	const {store, directory, machines} = createSchedulingState(GROWN_SITE, {wallMs: clock.wallMs(), nowMs});
	const startedMs = performance.now();
	const demands = measureDemand(store, createArrivalMeter(), createRunEstimates(), {wallMs: clock.wallMs(), nowMs});
	createFleetBalancer().step({
		pools: store.manifest()!.manifest.pools,
		demands,
		workers: new Map([...demands.keys()].map(pool => [pool, directory.list().filter(entry => entry.pool === pool).length])),
		machines: machines.map(machine => ({
			name: machine.name, pool: machine.pool, capacity: machine.capacity, kind: 'kind', isIdle: store.busyLifeOn(machine.name, machine.workerId) === undefined,
		})),
		poolOfMachine: new Map(),
		fleetSize: machines.length,
		maxMoves: 2,
		nowMs,
	});
	return performance.now() - startedMs;
});

const terms = Number(process.argv[2] ?? 5);
const rounded = (values: number[]): string => values.map(value => value.toFixed(1)).join(' ');
for (let term = 1; term <= terms; term += 1) {
	const {planMs, startsMs, processorMs} = await timeTerm(term);
	process.stdout.write(`term ${term}: passes, ms: ${rounded(planMs.slice(0, 14))}\n`);
	process.stdout.write(`  starts ${startsMs.length}, half of them by ${startsMs[Math.floor(startsMs.length / 2)]} ms, the last at ${startsMs.at(-1)} ms, processor ${Math.round(processorMs)} ms\n`);
}

process.stdout.write(`demand and moves, ms: ${rounded(timeBalance())}\n`);
process.exit();
