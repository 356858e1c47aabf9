/** Draws the jobs of a load at random. */
import {
	createRandom, unitName, type JobStep, type Random,
} from '@bronzebend/core';
import type {
	IrregularLoad, Load, QueueLoad, SimulatedJob,
} from './load.js';

/** Number of work units of a lasting job. */
const LASTING_UNITS = 5;

/** Draws uniformly from 0.25 to 1.75 times a mean, the spread of declared sizes that the users state. */
const drawAround = (random: Random, mean: number): number => mean * (0.25 + (1.5 * random()));

/** Draws from a log-normal distribution with a mean, up to four times the mean. */
const drawSkewed = (random: Random, mean: number, spread: number): number => {
	const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
	return Math.min(4 * mean, mean * Math.exp((spread * normal) - (spread * spread / 2)));
};

const drawInterval = (random: Random, perMs: number): number => -Math.log(1 - random()) / perMs;

const drawJob = (load: Load, queue: QueueLoad, atMs: number, number: number, random: Random): SimulatedJob => {
	const id = number.toString(16).padStart(16, '0');
	const count = Math.max(1, Math.round(drawAround(random, queue.steps)));
	const steps = Array.from({length: count}, (_, index): JobStep => ({
		count: Math.max(1, Math.round(drawAround(random, queue.width))),
		resources: {cpu: Math.round(drawAround(random, queue.cpu)), memoryMb: Math.round(drawAround(random, queue.memoryMb)), gpu: 0},
		estimateMs: Math.round(drawAround(random, queue.runMs)),
		dependsOn: index === 0 ? [] : [index - 1],
		checkpointing: false,
		gang: false,
		rackLocal: false,
		speculative: false,
		lasting: false,
		fillsSpare: false,
	}));
	const runMs = new Map(steps.flatMap((step, index) => {
		// Estimates are off by up to about half: by up to 40 % for a whole step, and by up to 15 % more for each of its units.
		const actual = step.estimateMs * (0.6 + (0.8 * random()));
		return Array.from({length: step.count}, (_, unit) => [unitName(id, 0, index, unit), actual * (0.85 + (0.3 * random()))] as const);
	}));
	return {
		atMs,
		queue,
		runMs,
		isPoison: random() < load.poisonShare,
		order: {
			id, queue: queue.name, workspace: `team-${Math.floor(load.workspaces * (random() ** 2))}`, spec: '', steps, times: 1, startAtMs: 0, intervalMs: 0,
		},
	};
};

/** A job of an irregular load: its sizes are skewed, and its estimates may be far off. */
const drawIrregularJob = (irregular: IrregularLoad, {queue, atMs, number, workspace}: {queue: QueueLoad; atMs: number; number: number; workspace: number}, random: Random): SimulatedJob => {
	const id = number.toString(16).padStart(16, '0');
	const count = Math.max(1, Math.round(drawSkewed(random, queue.steps, 0.4)));
	const runMs = new Map<string, number>();
	let chainMs = 0;
	const steps = Array.from({length: count}, (_, index): JobStep => {
		const actualMs = drawSkewed(random, queue.runMs, 0.5);
		const width = Math.max(1, Math.round(drawSkewed(random, queue.width, 0.6)));
		for (let unit = 0; unit < width; unit += 1) {
			const isLong = random() < irregular.longRuns.share;
			runMs.set(unitName(id, 0, index, unit), actualMs * (0.85 + (0.3 * random())) * (isLong ? irregular.longRuns.factor : 1));
		}

		chainMs += Math.max(...Array.from({length: width}, (__, unit) => runMs.get(unitName(id, 0, index, unit))!));
		return {
			count: width,
			resources: {cpu: Math.round(drawSkewed(random, queue.cpu, 0.45)), memoryMb: Math.round(drawSkewed(random, queue.memoryMb, 0.6)), gpu: 0},
			estimateMs: Math.max(1, Math.round(actualMs * (1 + (irregular.estimateError * ((2 * random()) - 1))))),
			dependsOn: index === 0 ? [] : [index - 1],
			checkpointing: false,
			gang: false,
			rackLocal: false,
			speculative: false,
			lasting: false,
			fillsSpare: false,
		};
	});
	return {
		atMs,
		queue,
		runMs,
		isPoison: false,
		objectiveMs: (1.6 * chainMs) + 600,
		order: {
			id, queue: queue.name, workspace: `team-${workspace}`, spec: '', steps, times: 1, startAtMs: 0, intervalMs: 0,
		},
	};
};

/** Factor of a queue's mean rate at a given time, with linear ramps at both ends of its turn. */
const rateFactorAt = (load: Load, position: number, atMs: number): number => {
	const cycleMs = load.turnMs * load.queues.length;
	const middleMs = ((position + 0.5) * load.turnMs);
	const distanceMs = Math.abs(((((atMs - middleMs) % cycleMs) + (1.5 * cycleMs)) % cycleMs) - (cycleMs / 2));
	const insideMs = (load.turnMs / 2) + (load.rampMs / 2) - distanceMs;
	const fraction = Math.min(1, Math.max(0, insideMs / load.rampMs));
	return load.lowFactor + ((load.highFactor - load.lowFactor) * fraction);
};

/** Draws the jobs of a queue of an irregular load; surges of a queue or a workspace add jobs to the regular rate. */
const drawIrregularQueue = (load: Load, irregular: IrregularLoad, position: number, firstNumber: number, random: Random): SimulatedJob[] => {
	const queue = load.queues[position]!;
	const jobs: SimulatedJob[] = [];
	const peak = load.highFactor * Math.max(1, ...irregular.surges.map(surge => surge.factor)) * 2;
	for (let atMs = drawInterval(random, queue.perSecond * peak / 1000); atMs < load.lengthMs; atMs += drawInterval(random, queue.perSecond * peak / 1000)) {
		// The last workspaces have the largest weights and send the most.
		const workspace = Math.floor(load.workspaces * Math.sqrt(random()));
		const factor = irregular.surges.filter(surge => atMs >= surge.fromMs && atMs < surge.fromMs + surge.forMs && ('queue' in surge ? surge.queue === queue.name : surge.workspace === load.workspaces - 1 - workspace)).reduce((product, surge) => product * surge.factor, 1);
		if (random() * peak < rateFactorAt(load, position, atMs) * factor) {
			jobs.push(drawIrregularJob(irregular, {
				queue, atMs, number: firstNumber + jobs.length, workspace,
			}, random));
		}
	}

	return jobs;
};

/** A job of lasting work units, at most two on a worker, as the users submit them before a day begins. */
const drawLastingJob = (load: Load, queue: QueueLoad, number: number, random: Random): SimulatedJob => {
	const id = number.toString(16).padStart(16, '0');
	const step: JobStep = {
		count: LASTING_UNITS,
		resources: {cpu: Math.round(drawAround(random, load.machines.cpu / 11)), memoryMb: Math.round(drawAround(random, load.machines.memoryMb / 8)), gpu: 0},
		estimateMs: 0,
		dependsOn: [],
		checkpointing: false,
		gang: false,
		rackLocal: false,
		perWorker: 2,
		speculative: false,
		lasting: true,
		fillsSpare: false,
		mayMiss: 1,
	};
	return {
		atMs: 0,
		queue: {...queue, worth: 0},
		runMs: new Map(Array.from({length: step.count}, (_, unit) => [unitName(id, 0, 0, unit), Infinity] as const)),
		isPoison: false,
		order: {
			id, queue: queue.name, workspace: 'team-0', spec: '', steps: [step], times: 1, startAtMs: 0, intervalMs: 0,
		},
	};
};

/** Draws all jobs of a load, sorted by arrival; the same seed gives the same jobs. */
export const drawJobs = (load: Load, seed: number): SimulatedJob[] => {
	const random = createRandom(seed);
	const jobs: SimulatedJob[] = [];
	for (const [position, queue] of load.queues.entries()) {
		for (let count = 0; count < load.lasting; count += 1) {
			jobs.push(drawLastingJob(load, queue, jobs.length + 1, random));
		}

		if (load.irregular) {
			jobs.push(...drawIrregularQueue(load, load.irregular, position, jobs.length + 1, random));
			continue;
		}

		// Thinning: draws arrivals at the peak rate and keeps each with a probability in proportion to the rate at its time.
		for (let atMs = drawInterval(random, queue.perSecond * load.highFactor / 1000); atMs < load.lengthMs; atMs += drawInterval(random, queue.perSecond * load.highFactor / 1000)) {
			if (random() * load.highFactor < rateFactorAt(load, position, atMs)) {
				jobs.push(drawJob(load, queue, atMs, jobs.length + 1, random));
			}
		}
	}

	return jobs.sort((left, right) => left.atMs - right.atMs);
};
