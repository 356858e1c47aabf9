/** State of a leader in the middle of a queue's turn (its period of high demand): workers, machines, open jobs and running work units. */
import {
	createJobStore, createRandom, createWorkerDirectory, lifeOf, planStarts, createRunEstimates,
	type FleetManifest, type JobStore, type JobOrder, type JobStep, type Machine, type Random, type SchedulableWorker, type WorkerDirectory,
} from '@bronzebend/core';

/** Size of a scheduling state. */
export type StateSize = {
	workers: number;
	/** Share of the workers that are in the pool of the queue with high demand. */
	share: number;
	/** Number of running work units. */
	running: number;
	/** Number of jobs with waiting work units. */
	waitingJobs: number;
	seed: number;
};

/** A scheduling state. */
export type SchedulingState = {store: JobStore; directory: WorkerDirectory; machines: Machine[]};

/** Size of the users' grown sites in the middle of a queue's turn. */
export const GROWN_SITE: StateSize = {
	workers: 250, share: 0.6, running: 1200, waitingJobs: 200, seed: 1,
};

const POOLS = ['first', 'second', 'third', 'fourth'];
const CAPACITY = {cpu: 64_000, memoryMb: 131_072, gpu: 0};
const UNLIMITED = {cpu: 0, memoryMb: 0, gpu: 0};

const manifest: FleetManifest = {
	version: 1,
	queues: POOLS.map(pool => ({
		name: `${pool}-queue`, host: 'desk.example', pathPrefix: `/${pool}/`, pool, priority: 0, maxAttempts: 3, objectiveFactor: 3, objectiveMs: 2000, timeoutMs: 3000, open: false,
	})),
	pools: [...POOLS.map(name => ({name, guardsCapacity: true, standby: false})), {name: 'spare', guardsCapacity: true, standby: true}],
	workspaces: Array.from({length: 20}, (_, number) => ({
		name: `team-${number}`, keys: [`key-${number}`], weight: 1 + (number % 3), cap: UNLIMITED,
	})),
	maxBodyBytes: 100_000,
	document: '',
};

/** Draws a whole number, at least 1, uniformly from 0.25 to 1.75 times a mean. */
const drawAround = (random: Random, mean: number): number => Math.max(1, Math.round(mean * (0.25 + (1.5 * random()))));

const stepOf = (random: Random, number: number): JobStep => ({
	count: drawAround(random, 6),
	resources: {cpu: drawAround(random, 3500), memoryMb: drawAround(random, 5100), gpu: 0},
	estimateMs: drawAround(random, 640),
	dependsOn: number === 0 ? [] : [number - 1],
	checkpointing: false,
	gang: false,
	rackLocal: false,
	speculative: false,
	lasting: false,
	fillsSpare: false,
});

const orderOf = (random: Random, number: number): JobOrder => ({
	id: number.toString(16).padStart(16, '0'),
	queue: `${POOLS[0]}-queue`,
	workspace: `team-${Math.floor(20 * random())}`,
	spec: '',
	steps: Array.from({length: drawAround(random, 1.6)}, (_, step) => stepOf(random, step)),
	times: 1,
	startAtMs: 0,
	intervalMs: 0,
});

/** Builds a scheduling state. Workers do not announce their machine; only the list of machines relates the two. */
export const createSchedulingState = (size: StateSize, {wallMs, nowMs}: {wallMs: number; nowMs: number}): SchedulingState => {
	const random = createRandom(size.seed);
	const book = createJobStore();
	book.apply({type: 'group-whole'});
	book.apply({type: 'publish-fleet', manifest});
	const directory = createWorkerDirectory();
	const bornMs = wallMs - 60_000;
	const busyPoolWorkers = Math.round(size.workers * size.share);
	const poolOf = (number: number): string => POOLS[number < busyPoolWorkers ? 0 : 1 + (number % (POOLS.length - 1))]!;
	const workers = Array.from({length: size.workers}, (_, number) => ({
		id: `worker-${number}`, pool: poolOf(number), address: `10.0.${Math.floor(number / 250)}.${number % 250}:80`, labels: ['kind', `rack-${number % 20}`],
	}));
	for (const worker of workers) {
		directory.announce({
			...worker, bornMs, seq: 1, zone: 'a', draining: false, coldLeftMs: 0, capacity: CAPACITY, clockMs: nowMs,
		}, nowMs);
	}

	const machines = workers.map(({id, pool, labels}, number): Machine => ({
		name: `machine-${number}`, pool, state: 'up', zone: 'a', labels, capacity: CAPACITY, workerId: id,
	}));
	const schedulable = directory.list().map(({life, id, pool, capacity, labels}): SchedulableWorker => ({
		life, id, pool, capacity, labels, slowness: 1,
	}));
	let jobs = 0;
	const submit = (): number => {
		const order = orderOf(random, jobs);
		jobs += 1;
		book.apply({type: 'submit', order, atMs: wallMs - Math.round(1000 * random())});
		return order.steps[0]!.count;
	};

	let ready = 0;
	while (ready < size.running) {
		ready += submit();
	}

	const {starts} = planStarts({
		store: book, manifest: book.manifest()!, workers: schedulable, estimates: createRunEstimates(), wallMs, avoided: () => undefined, approved: () => undefined, maxStarts: size.running,
	});
	book.apply({
		type: 'runs-start', runs: starts, lives: directory.list().map(({life, id, address, pool, zone, capacity, labels}) => ({
			life, id, bornMs, address, pool, zone, capacity, labels,
		})),
	});
	for (let number = 0; number < size.waitingJobs; number += 1) {
		submit();
	}

	return {store: book, directory, machines};
};

/** Life of a worker in a scheduling state. */
export const lifeOfWorker = (state: SchedulingState, id: string): string => lifeOf(id, state.directory.find(id)!.bornMs);
