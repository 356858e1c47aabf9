import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	createJobStore, createRandom, createWorkerDirectory, findLongWaits, createIdleTimes, type JobStep, type Random, type SchedulableWorker, type WorkerLife,
} from '@bronzebend/core';
import {createUsableWorkers} from '@bronzebend/daemon';
import {
	lifeNamed, manifestOf, orderOf, stepOf, storeWith,
} from '../../fixtures/job-fixtures.js';
import {planPass} from '../../fixtures/pool-fixtures.js';

const FLEETS = 80;
const ZONES = ['a', 'b', 'c', 'd'];

const below = (random: Random, bound: number): number => Math.floor(bound * random());

/** Usable and evacuated workers of a fleet. */
const viewOf = (store: ReturnType<typeof createJobStore>, lives: readonly WorkerLife[]) => {
	const directory = createWorkerDirectory();
	for (const life of lives) {
		directory.announce({
			...life, seq: 1, draining: false, coldLeftMs: 0,
		}, 0);
	}

	return createUsableWorkers({
		clock: {monotonicMs: () => 1, wallMs: () => 1}, store, directory, reportMs: 1000, fleet: {isReachable: () => true}, monitor: {heldBack: () => undefined, slowness: () => 1}, machines: () => undefined,
	});
};

const drawStep = (random: Random): JobStep => {
	const kind = below(random, 9);
	return stepOf({
		count: 1 + below(random, 5),
		resources: {cpu: 500 * (1 + below(random, 6)), memoryMb: 400 * below(random, 8), gpu: 0},
		gang: kind === 0,
		label: kind === 1 ? `rack-${below(random, 6)}` : undefined,
		dataRack: kind === 2 ? `rack-${below(random, 6)}` : undefined,
		perWorker: kind === 3 ? 1 + below(random, 2) : undefined,
		lasting: kind === 4,
		fillsSpare: kind === 5,
	});
};

/** A fleet in several data centres with jobs, some of which already run, and one or two data centres that are evacuated then. */
const drawFleet = (seed: number) => {
	const random = createRandom(seed);
	const zones = ZONES.slice(0, 2 + below(random, 3));
	const lives = Array.from({length: 2 + below(random, 14)}, (_, number) => lifeNamed(`w${number}`, {
		address: `10.0.0.${number}:80`, zone: zones[below(random, zones.length)]!, capacity: {cpu: 1000 * (1 + below(random, 8)), memoryMb: 4000, gpu: 0}, labels: [`rack-${number % 6}`],
	}));
	const store = storeWith(Array.from({length: 1 + below(random, 12)}, (_, number) => orderOf(`${number.toString(16)}a`, [drawStep(random)])), manifestOf({workspaces: []}));
	const before = planPass(store, viewOf(store, lives).list(), {maxStarts: below(random, 8)});
	store.apply({type: 'runs-start', lives, runs: before.starts});
	const evacuated = zones.slice(0, 1 + below(random, zones.length - 1));
	return {store, lives, evacuated};
};

const freeOf = (store: ReturnType<typeof createJobStore>, {life, capacity}: SchedulableWorker) => {
	const used = store.usageOfLife(life);
	return {cpu: capacity.cpu - used.cpu, memoryMb: capacity.memoryMb - used.memoryMb};
};

describe('the placement of work while data centres are evacuated', () => {
	it(`should start nothing there, and everything that fits elsewhere, on ${FLEETS} random fleets`, () => {
		let started = 0;
		for (let seed = 1; seed <= FLEETS; seed += 1) {
			const {store, lives, evacuated} = drawFleet(seed);
			// The same fleet without the machines of the data centres, and without any evacuation.
			const remaining = lives.filter(({zone}) => !evacuated.includes(zone));
			const expected = planPass(createJobStore(structuredClone(store.snapshot())), viewOf(createJobStore(), remaining).list());
			for (const dataCentre of evacuated) {
				store.apply({type: 'evacuate', dataCentre, atMs: 1});
			}

			const workers = viewOf(store, lives).list();
			const pass = planPass(store, workers);
			assert.deepEqual(pass.starts, expected.starts, `seed ${seed}`);
			const zoneOf = new Map(lives.map(({life, zone}) => [life, zone]));
			assert.deepEqual(pass.starts.filter(({life}) => evacuated.includes(zoneOf.get(life)!)), [], `seed ${seed}`);
			const outcome = store.apply({type: 'runs-start', lives, runs: pass.starts});
			assert.equal(outcome.type === 'runs-started' ? outcome.accepted.length : undefined, pass.starts.length, `seed ${seed}: the store accepts what the pass planned`);
			started += pass.starts.length;
			// Room that is reserved for wide work stays free.
			for (const job of pass.reserved.size > 0 ? [] : store.openJobs()) {
				const step = job.order.steps[0]!;
				const units = job.occurrences[0]!.steps[0]!;
				if (step.gang || !units.some(({state}) => state === 'idle')) {
					continue;
				}

				const fitting = workers.filter(worker => {
					const free = freeOf(store, worker);
					const onWorker = units.filter(unit => unit.state === 'running' && unit.worker === worker.life).length;
					return (step.label === undefined || worker.labels.includes(step.label)) && onWorker < (step.perWorker ?? Infinity) && (step.fillsSpare || step.resources.cpu <= free.cpu) && step.resources.memoryMb <= free.memoryMb;
				});
				assert.deepEqual(fitting, [], `seed ${seed}: ${job.order.id} waits beside room`);
			}
		}

		assert.ok(started > FLEETS, `${started} starts in all`);
	});

	// Guards against a wait that looks like a fault of the fleet while an operator's request explains it.
	it('should give the reason of a wait for a label that only workers there have', () => {
		const lives = [lifeNamed('w1', {zone: 'a', address: '10.0.0.1:80', labels: ['rack-1']}), lifeNamed('w2', {zone: 'b', address: '10.0.0.2:80', labels: ['rack-2']})];
		const reasonsOf = (step: JobStep): unknown => {
			const store = storeWith([orderOf('a', [step])]);
			store.apply({type: 'evacuate', dataCentre: 'a', atMs: 1});
			const view = viewOf(store, lives);
			return findLongWaits({
				store, workers: view.list(), evacuated: view.evacuated(), wallMs: 10_000, idleTimes: createIdleTimes(), avoided: () => undefined, approved: () => undefined, cutSteps: new Map(),
			})[0]?.reason;
		};

		assert.equal(reasonsOf(stepOf({label: 'rack-1'})), 'evacuated');
		assert.equal(reasonsOf(stepOf({label: 'rack-3'})), 'no-label');
		assert.equal(reasonsOf(stepOf({label: 'rack-1', resources: {cpu: 9000, memoryMb: 100, gpu: 0}})), 'no-label');
		assert.equal(reasonsOf(stepOf({label: 'rack-2', resources: {cpu: 9000, memoryMb: 100, gpu: 0}})), 'too-large');
	});
});
