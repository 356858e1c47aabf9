import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	createRandom, createRunEstimates, planStarts, type JobBook, type JobStep, type Random, type SchedulableWorker, type SchedulingInput,
} from '@bronzebend/core';
import {
	bookWith, lifeNamed, manifestOf, orderOf, stepOf,
} from '../../fixtures/job-fixtures.js';
import {planPlainly} from '../../fixtures/plain-scheduler.js';

/** Looks at workers that one pass may take: 200 starts have 33 ms, so that 2,000 a second take a third of the time, at 1 µs a look in cold code. */
const MOST_LOOKS = 33_000;

const workersOf = (count: number, capacity: {cpu: number; memoryMb: number; gpu: number}): SchedulableWorker[] => Array.from({length: count}, (_, number) => {
	const {life, id, pool} = lifeNamed(`w${number}`);
	return {
		life, id, pool, capacity, labels: ['kind', `rack-${number % 3}`], slowness: 1,
	};
});

const inputOf = (book: JobBook, workers: SchedulableWorker[], changes: Partial<SchedulingInput> = {}): SchedulingInput => ({
	book, manifest: book.manifest()!, workers, estimates: createRunEstimates(), wallMs: 100, avoided: () => undefined, approved: () => undefined, most: 200, ...changes,
});

const below = (random: Random, bound: number): number => Math.floor(bound * random());

const drawStep = (random: Random): JobStep => {
	const kind = below(random, 8);
	return stepOf({
		count: 1 + below(random, 5),
		resources: {cpu: 500 * below(random, 7), memoryMb: 400 * below(random, 8), gpu: below(random, 6) === 0 ? 1 : 0},
		gang: kind === 0,
		label: kind === 1 ? `rack-${below(random, 4)}` : undefined,
		dataRack: kind === 2 ? `rack-${below(random, 4)}` : undefined,
		perWorker: kind === 3 ? 1 + below(random, 2) : undefined,
		fillsSpare: kind === 4,
		lasting: kind === 5,
		targetMs: kind === 6 ? 50 : undefined,
	});
};

describe('the work of a scheduling pass', () => {
	it('should not look at every worker again for sizes that have found no room', () => {
		const steps = (number: number): JobStep[] => [stepOf({count: 3, resources: {cpu: 3000 + number, memoryMb: 10, gpu: 0}})];
		const book = bookWith(Array.from({length: 500}, (_, number) => orderOf(`${number.toString(16)}x`, steps(number))));
		const pass = planStarts(inputOf(book, workersOf(150, {cpu: 2000, memoryMb: 4000, gpu: 0})));
		assert.equal(pass.waiting.get('bench'), 1500);
		assert.ok(pass.looked <= MOST_LOOKS, `${pass.looked} looks`);
	});

	it('should place exactly what a pass places that looks at every worker for every work unit', () => {
		for (let seed = 1; seed <= 400; seed += 1) {
			const random = createRandom(seed);
			const manifest = manifestOf();
			manifest.workspaces[0]!.cap = {cpu: below(random, 2) * 9000, memoryMb: 0, gpu: 0};
			const orders = Array.from({length: 5 + below(random, 30)}, (_, number) => orderOf(`${(number + 16).toString(16)}c`, Array.from({length: 1 + below(random, 3)}, () => drawStep(random)), {workspace: random() < 0.5 ? 'north' : 'south'}));
			const book = bookWith(orders, manifest);
			const workers = workersOf(1 + below(random, 8), {cpu: 4000, memoryMb: 4000, gpu: below(random, 2)});
			const avoided = new Set(workers.filter(() => random() < 0.3).map(worker => worker.life));
			const input = inputOf(book, workers, {
				most: 5 + below(random, 60),
				avoided: unit => (unit.endsWith('1') ? avoided : undefined),
				approved: job => (job.order.id.startsWith('1') ? new Set(workers.slice(1).map(worker => worker.life)) : undefined),
			});
			for (let round = 0; round < 3; round += 1) {
				const expected = planPlainly(input);
				const {starts, waiting} = planStarts(input);
				assert.deepEqual({starts, waiting}, expected, `seed ${seed}`);
				book.apply({type: 'runs-start', lives: workers.map(worker => lifeNamed(worker.id)), runs: starts});
				for (const [index, {unit, attempt, life}] of starts.entries()) {
					if (index % 2 === 0) {
						book.apply({
							type: 'runs-over', life, atMs: 1, runs: [{
								unit, attempt, how: 'done', checkpoint: '',
							}],
						});
					}
				}
			}
		}
	});
});
