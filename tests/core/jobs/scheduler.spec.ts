import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	createArrivalMeter, createRunEstimates, measureDemand, planStarts,
	type JobBook, type SchedulableWorker, type SchedulingInput,
} from '@bronzebend/core';
import {
	bookWith, lifeNamed, manifestOf, orderOf, queueOf, stepOf,
} from '../../fixtures/job-fixtures.js';

const workerOf = (id: string, changes: Partial<SchedulableWorker> = {}): SchedulableWorker => {
	const {life, pool, capacity, labels} = lifeNamed(id);
	return {
		life, id, pool, capacity, labels, slowness: 1, ...changes,
	};
};

const plan = (book: JobBook, workers: SchedulableWorker[], changes: Partial<SchedulingInput> = {}) => planStarts({
	book, manifest: book.manifest()!, workers, estimates: createRunEstimates(), wallMs: 100, avoided: () => undefined, approved: () => undefined, most: 100, ...changes,
});

const apply = (book: JobBook, workers: SchedulableWorker[]): void => {
	const {starts} = plan(book, workers);
	book.apply({type: 'runs-start', lives: workers.map(worker => lifeNamed(worker.id)), runs: starts});
};

describe('a scheduling pass', () => {
	it('should never give a worker more than it holds', () => {
		const book = bookWith([orderOf('a', [stepOf({count: 9, resources: {cpu: 1500, memoryMb: 1, gpu: 0}})])]);
		const {starts, waiting} = plan(book, [workerOf('w1'), workerOf('w2')]);
		assert.equal(starts.length, 4);
		assert.equal(waiting.get('bench'), 5);
	});

	it('should count what runs already', () => {
		const book = bookWith([orderOf('a', [stepOf({count: 3})]), orderOf('b', [stepOf({count: 3})])]);
		apply(book, [workerOf('w1')]);
		assert.equal(book.usageOfLife(lifeNamed('w1').life).cpu, 4000);
		assert.deepEqual(plan(book, [workerOf('w1')]).starts, []);
	});

	it('should never bring a workspace above its limit', () => {
		const manifest = manifestOf();
		manifest.workspaces[0]!.cap = {cpu: 2500, memoryMb: 0, gpu: 0};
		const book = bookWith([orderOf('a', [stepOf({count: 4})]), orderOf('b', [stepOf({count: 2})], {workspace: 'south'})], manifest);
		const {starts} = plan(book, [workerOf('w1')]);
		assert.equal(starts.map(start => start.unit[0]).filter(job => job === 'a').length, 2);
		assert.equal(starts.length, 4);
	});

	it('should tell work beyond its workspace\'s limit from work that lacks room', () => {
		const manifest = manifestOf();
		manifest.workspaces[0]!.cap = {cpu: 2500, memoryMb: 0, gpu: 0};
		const book = bookWith([orderOf('a', [stepOf({count: 9})]), orderOf('b', [stepOf({count: 9})], {workspace: 'south'})], manifest);
		const pass = plan(book, [workerOf('w1')]);
		assert.equal(pass.starts.length, 4);
		assert.equal(pass.waiting.get('bench'), 7);
		const demand = measureDemand(book, createArrivalMeter(), createRunEstimates(), {wallMs: 0, nowMs: 0}).get('bench')!;
		assert.equal(demand.wanted.cpu, 11_000);
	});

	it('should keep units of a step apart', () => {
		const book = bookWith([orderOf('a', [stepOf({count: 3, perWorker: 1})])]);
		const {starts} = plan(book, [workerOf('w1'), workerOf('w2')]);
		assert.deepEqual(starts.map(start => start.life).toSorted(), [lifeNamed('w1').life, lifeNamed('w2').life]);
	});

	it('should start a gang whole or not at all', () => {
		const book = bookWith([orderOf('a', [stepOf({count: 5, gang: true})]), orderOf('b', [stepOf({count: 1})])]);
		assert.deepEqual(plan(book, [workerOf('w1')]).starts.map(start => start.unit[0]), ['b']);
		assert.equal(plan(book, [workerOf('w1'), workerOf('w2')]).starts.length, 6);
	});

	it('should give all members of a gang the same attempt', () => {
		const book = bookWith([orderOf('a', [stepOf({count: 2, gang: true})])]);
		const life = lifeNamed('w1');
		const units = [0, 1].map(index => `${'a'.padEnd(16, '0')}.0.0.${index}`);
		book.apply({type: 'runs-start', lives: [life], runs: units.map((unit, index) => ({unit, attempt: 1 + index, life: life.life}))});
		book.apply({
			type: 'runs-over', life: life.life, atMs: 1, runs: units.map((unit, index) => ({
				unit, attempt: 1 + index, how: 'broken' as const, checkpoint: '',
			})),
		});
		assert.deepEqual(plan(book, [workerOf('w1')]).starts.map(start => start.attempt), [3, 3]);
	});

	it('should place by label and avoid workers where the unit failed', () => {
		const book = bookWith([orderOf('a', [stepOf({label: 'rack-2'})]), orderOf('b')]);
		const near = workerOf('w2', {labels: ['kind', 'rack-2']});
		const {starts} = plan(book, [workerOf('w1'), near], {avoided: unit => (unit.startsWith('b') ? new Set([near.life]) : undefined)});
		assert.deepEqual(Object.fromEntries(starts.map(start => [start.unit[0], start.life])), {a: near.life, b: lifeNamed('w1').life});
	});

	it('should try a unit again that failed on every worker of its pool', () => {
		const book = bookWith([orderOf('a')]);
		const workers = [workerOf('w1'), workerOf('w2')];
		const {starts} = plan(book, workers, {avoided: () => new Set(workers.map(worker => worker.life))});
		assert.equal(starts.length, 1);
	});

	it('should keep work that fills spare capacity away from work that serves', () => {
		const serving = stepOf({lasting: true, image: 'front', targetMs: 50});
		const filling = stepOf({lasting: true, image: 'batch', fillsSpare: true});
		const book = bookWith([orderOf('a', [serving]), orderOf('b', [filling])]);
		const lives = plan(book, [workerOf('w1'), workerOf('w2')]).starts.map(start => start.life);
		assert.equal(new Set(lives).size, 2);
	});

	it('should run lasting work on few workers and other work beside it, so that the rest fall idle', () => {
		const small = {cpu: 500, memoryMb: 1, gpu: 0};
		const lasting = stepOf({
			count: 4, lasting: true, perWorker: 2, resources: small,
		});
		const book = bookWith([orderOf('a', [lasting]), orderOf('b', [stepOf({count: 4, resources: small})])]);
		const workers = ['w1', 'w22', 'w333', 'w4444', 'w55555'].map(id => workerOf(id));
		const lives = plan(book, workers).starts.map(start => start.life);
		assert.equal(lives.length, 8);
		assert.equal(new Set(lives).size, 2);
	});

	it('should spread work under a target', () => {
		const book = bookWith([orderOf('a', [stepOf({count: 3, lasting: true, targetMs: 50})])]);
		const workers = ['w1', 'w22', 'w333'].map(id => workerOf(id));
		assert.equal(new Set(plan(book, workers).starts.map(start => start.life)).size, 3);
	});

	it('should not start an occurrence before it is due', () => {
		const book = bookWith([orderOf('a', [stepOf()], {times: 2, startAtMs: 50, intervalMs: 100})]);
		assert.deepEqual(plan(book, [workerOf('w1')]).starts.map(start => start.unit), [`${'a'.padEnd(16, '0')}.0.0.0`]);
	});

	it('should wait for advice where the queue has a policy', () => {
		const book = bookWith([orderOf('a')], manifestOf({queues: [queueOf({recommendation: {decisionMs: 1, periodMs: 1, validityMs: 1}})]}));
		const without = plan(book, [workerOf('w1')]);
		assert.deepEqual([without.starts.length, without.unadvised.length], [0, 1]);
		const approved = plan(book, [workerOf('w1'), workerOf('w2')], {approved: () => new Set([lifeNamed('w2').life])});
		assert.deepEqual(approved.starts.map(start => start.life), [lifeNamed('w2').life]);
	});
});

describe('the order of jobs', () => {
	it('should let a job that can be in time go before one that cannot', () => {
		// Answers a queue that asks for several times what its pool holds.
		const book = bookWith([orderOf('a', [stepOf({count: 4})])]);
		book.apply({type: 'submit', order: orderOf('b', [stepOf({count: 4})]), atMs: 5000});
		const {starts} = plan(book, [workerOf('w1')], {wallMs: 5100});
		assert.deepEqual([...new Set(starts.map(start => start.unit[0]))], ['b']);
	});

	it('should let lasting work go first', () => {
		const book = bookWith([orderOf('a', [stepOf({count: 4})]), orderOf('b', [stepOf({count: 2, lasting: true})])]);
		const {starts} = plan(book, [workerOf('w1')]);
		assert.equal(starts.filter(start => start.unit.startsWith('b')).length, 2);
	});

	it('should still start late jobs when there is room', () => {
		const book = bookWith([orderOf('a')]);
		assert.equal(plan(book, [workerOf('w1')], {wallMs: 100_000}).starts.length, 1);
	});
});
