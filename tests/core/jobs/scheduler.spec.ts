import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	createArrivalMeter, createIdleTimes, createRunEstimates, measureDemand, planStarts,
	type JobStore, type SchedulableWorker, type SchedulingInput,
} from '@bronzebend/core';
import {
	storeWith, lifeNamed, manifestOf, orderOf, queueOf, stepOf,
} from '../../fixtures/job-fixtures.js';

const workerOf = (id: string, changes: Partial<SchedulableWorker> = {}): SchedulableWorker => {
	const {life, pool, capacity, labels} = lifeNamed(id);
	return {
		life, id, pool, capacity, labels, slowness: 1, ...changes,
	};
};

const plan = (store: JobStore, workers: SchedulableWorker[], changes: Partial<SchedulingInput> = {}) => planStarts({
	store, manifest: store.manifest()!, workers, estimates: createRunEstimates(), wallMs: 100, avoided: () => undefined, approved: () => undefined, maxStarts: 100, ...changes,
});

const startPlanned = (store: JobStore, workers: SchedulableWorker[]): void => {
	const {starts} = plan(store, workers);
	store.apply({type: 'runs-start', lives: workers.map(worker => lifeNamed(worker.id)), runs: starts});
};

describe('a scheduling pass', () => {
	it('should never exceed the capacity of a worker', () => {
		const store = storeWith([orderOf('a', [stepOf({count: 9, resources: {cpu: 1500, memoryMb: 1, gpu: 0}})])]);
		const {starts, waiting} = plan(store, [workerOf('w1'), workerOf('w2')]);
		assert.equal(starts.length, 4);
		assert.equal(waiting.get('bench'), 5);
	});

	it('should count the resources of running work', () => {
		const store = storeWith([orderOf('a', [stepOf({count: 3})]), orderOf('b', [stepOf({count: 3})])]);
		startPlanned(store, [workerOf('w1')]);
		assert.equal(store.usageOfLife(lifeNamed('w1').life).cpu, 4000);
		assert.deepEqual(plan(store, [workerOf('w1')]).starts, []);
	});

	it('should never exceed the limit of a workspace', () => {
		const manifest = manifestOf();
		manifest.workspaces[0]!.cap = {cpu: 2500, memoryMb: 0, gpu: 0};
		const store = storeWith([orderOf('a', [stepOf({count: 4})]), orderOf('b', [stepOf({count: 2})], {workspace: 'south'})], manifest);
		const {starts} = plan(store, [workerOf('w1')]);
		assert.equal(starts.map(start => start.unit[0]).filter(job => job === 'a').length, 2);
		assert.equal(starts.length, 4);
	});

	it('should distinguish work held back by its workspace\'s limit from work that lacks room', () => {
		const manifest = manifestOf();
		manifest.workspaces[0]!.cap = {cpu: 2500, memoryMb: 0, gpu: 0};
		const store = storeWith([orderOf('a', [stepOf({count: 9})]), orderOf('b', [stepOf({count: 9})], {workspace: 'south'})], manifest);
		const pass = plan(store, [workerOf('w1')]);
		assert.equal(pass.starts.length, 4);
		assert.equal(pass.waiting.get('bench'), 7);
		const demand = measureDemand(store, createArrivalMeter(), createRunEstimates(), {wallMs: 0, nowMs: 0}).get('bench')!;
		assert.equal(demand.wanted.cpu, 11_000);
	});

	it('should respect the limit on work units of a step per worker', () => {
		const store = storeWith([orderOf('a', [stepOf({count: 3, perWorker: 1})])]);
		const {starts} = plan(store, [workerOf('w1'), workerOf('w2')]);
		assert.deepEqual(starts.map(start => start.life).toSorted(), [lifeNamed('w1').life, lifeNamed('w2').life]);
	});

	it('should start a gang as a whole or not at all', () => {
		const store = storeWith([orderOf('a', [stepOf({count: 5, gang: true})]), orderOf('b', [stepOf({count: 1})])]);
		assert.deepEqual(plan(store, [workerOf('w1')]).starts.map(start => start.unit[0]), ['b']);
		assert.equal(plan(store, [workerOf('w1'), workerOf('w2')]).starts.length, 6);
	});

	it('should give all members of a gang the same attempt', () => {
		const store = storeWith([orderOf('a', [stepOf({count: 2, gang: true})])]);
		const life = lifeNamed('w1');
		const units = [0, 1].map(index => `${'a'.padEnd(16, '0')}.0.0.${index}`);
		store.apply({type: 'runs-start', lives: [life], runs: units.map((unit, index) => ({unit, attempt: 1 + index, life: life.life}))});
		store.apply({
			type: 'runs-over', life: life.life, atMs: 1, runs: units.map((unit, index) => ({
				unit, attempt: 1 + index, how: 'broken' as const, checkpoint: '',
			})),
		});
		assert.deepEqual(plan(store, [workerOf('w1')]).starts.map(start => start.attempt), [3, 3]);
	});

	it('should place by label, and avoid workers on which the work unit failed', () => {
		const store = storeWith([orderOf('a', [stepOf({label: 'rack-2'})]), orderOf('b')]);
		const labelled = workerOf('w2', {labels: ['kind', 'rack-2']});
		const {starts} = plan(store, [workerOf('w1'), labelled], {avoided: unit => (unit.startsWith('b') ? {lives: new Set([labelled.life]), areBarred: true} : undefined)});
		assert.deepEqual(Object.fromEntries(starts.map(start => [start.unit[0], start.life])), {a: labelled.life, b: lifeNamed('w1').life});
	});

	it('should retry a work unit that failed on every worker of its pool', () => {
		const store = storeWith([orderOf('a')]);
		const workers = [workerOf('w1'), workerOf('w2')];
		const lives = new Set(workers.map(worker => worker.life));
		assert.equal(plan(store, workers, {avoided: () => ({lives, areBarred: false})}).starts.length, 1);
		assert.equal(plan(store, workers, {avoided: () => ({lives, areBarred: true})}).starts.length, 0);
	});

	it('should prefer workers on which the work unit did not fail, and then the one on which it failed first', () => {
		const [first, second, other] = [workerOf('w1'), workerOf('w2'), workerOf('w3')];
		const avoided = () => ({lives: new Set([second.life, first.life]), areBarred: false});
		assert.deepEqual(plan(storeWith([orderOf('a')]), [first, second, other], {avoided}).starts.map(({life}) => life), [other.life]);
		assert.deepEqual(plan(storeWith([orderOf('a')]), [first, second], {avoided}).starts.map(({life}) => life), [second.life]);
	});

	it('should try one work unit on a suspect only after it waited, and in a busy pool only if it lasts', () => {
		const orders = [orderOf('a', [stepOf({label: 'rack-2'})]), orderOf('b', [stepOf({label: 'rack-2'})])];
		const suspect = workerOf('w2', {labels: ['kind', 'rack-2']});
		const idleTimes = createIdleTimes();
		const countAt = (wallMs: number): number => plan(storeWith(orders), [workerOf('w1')], {suspects: [suspect], idleTimes, wallMs}).starts.filter(({life}) => life === suspect.life).length;
		assert.equal(countAt(1499), 0);
		assert.equal(countAt(1500), 1);
		const store = storeWith([orderOf('c', [stepOf({resources: {cpu: 4000, memoryMb: 100, gpu: 0}})]), ...orders]);
		store.apply({type: 'runs-start', lives: [lifeNamed('w1')], runs: [{unit: `${'c'.padEnd(16, '0')}.0.0.0`, attempt: 1, life: lifeNamed('w1').life}]});
		assert.equal(plan(store, [workerOf('w1')], {suspects: [suspect], idleTimes, wallMs: 1500}).starts.length, 0);
		store.apply({type: 'submit', order: orderOf('d', [stepOf({label: 'rack-2', lasting: true})]), atMs: 0});
		assert.deepEqual(plan(store, [workerOf('w1')], {suspects: [suspect], idleTimes, wallMs: 3000}).starts.map(({unit}) => unit[0]), ['d']);
	});

	it('should not try a suspect when its own starts make the pool busy', () => {
		const half = stepOf({resources: {cpu: 2000, memoryMb: 100, gpu: 0}});
		const store = storeWith(['a', 'b', 'c'].map(id => orderOf(id, [half])));
		const suspect = workerOf('w2');
		const {starts} = plan(store, [workerOf('w1')], {suspects: [suspect], idleTimes: createIdleTimes(), wallMs: 1500});
		assert.deepEqual(starts.map(({life}) => life), [lifeNamed('w1').life, lifeNamed('w1').life]);
	});

	it('should ask the policy about suspects for work that waits when no other workers are left', () => {
		const store = storeWith([orderOf('a')], manifestOf({queues: [queueOf({recommendation: {decisionMs: 1, periodMs: 1, validityMs: 1000}})]}));
		const suspect = workerOf('w2');
		const askedAt = (wallMs: number): string[] => plan(store, [], {
			suspects: [suspect], idleTimes: createIdleTimes(), wallMs, approved: () => undefined,
		}).unadvised.flatMap(({workers}) => workers.map(({life}) => life));
		assert.deepEqual(askedAt(1499), []);
		assert.deepEqual(askedAt(1500), [suspect.life]);
	});

	it('should keep work that fills spare capacity away from work that serves users', () => {
		const serving = stepOf({lasting: true, image: 'front', targetMs: 50});
		const filling = stepOf({lasting: true, image: 'batch', fillsSpare: true});
		const store = storeWith([orderOf('a', [serving]), orderOf('b', [filling])]);
		const lives = plan(store, [workerOf('w1'), workerOf('w2')]).starts.map(start => start.life);
		assert.equal(new Set(lives).size, 2);
	});

	it('should pack lasting work onto few workers, and other work beside it, so that the rest become idle', () => {
		const small = {cpu: 500, memoryMb: 1, gpu: 0};
		const lasting = stepOf({
			count: 4, lasting: true, perWorker: 2, resources: small,
		});
		const store = storeWith([orderOf('a', [lasting]), orderOf('b', [stepOf({count: 4, resources: small})])]);
		const workers = ['w1', 'w22', 'w333', 'w4444', 'w55555'].map(id => workerOf(id));
		const lives = plan(store, workers).starts.map(start => start.life);
		assert.equal(lives.length, 8);
		assert.equal(new Set(lives).size, 2);
	});

	it('should spread work with a target response time', () => {
		const store = storeWith([orderOf('a', [stepOf({count: 3, lasting: true, targetMs: 50})])]);
		const workers = ['w1', 'w22', 'w333'].map(id => workerOf(id));
		assert.equal(new Set(plan(store, workers).starts.map(start => start.life)).size, 3);
	});

	it('should not start an occurrence before it is due', () => {
		const store = storeWith([orderOf('a', [stepOf()], {times: 2, startAtMs: 50, intervalMs: 100})]);
		assert.deepEqual(plan(store, [workerOf('w1')]).starts.map(start => start.unit), [`${'a'.padEnd(16, '0')}.0.0.0`]);
	});

	it('should wait for advice if the queue has a policy', () => {
		const store = storeWith([orderOf('a')], manifestOf({queues: [queueOf({recommendation: {decisionMs: 1, periodMs: 1, validityMs: 1}})]}));
		const without = plan(store, [workerOf('w1')]);
		assert.deepEqual([without.starts.length, without.unadvised.map(({workers}) => workers.map(({id}) => id))], [0, [['w1']]]);
		const approved = plan(store, [workerOf('w1'), workerOf('w2')], {approved: () => new Set([lifeNamed('w2').life])});
		assert.deepEqual([approved.starts.map(start => start.life), approved.unadvised], [[lifeNamed('w2').life], []]);
	});

	// Work waited for good where the policy allowed none of the workers that were asked about first.
	it('should ask about more workers with room if those that the policy is known to allow have none', () => {
		const store = storeWith([orderOf('a', [stepOf({count: 6})])], manifestOf({queues: [queueOf({recommendation: {decisionMs: 1, periodMs: 1, validityMs: 1}})]}));
		const full = {...workerOf('w3'), capacity: {cpu: 0, memoryMb: 0, gpu: 0}};
		const input = [workerOf('w1'), workerOf('w2'), full];
		const asked = (lives: string[]) => {
			const {starts, unadvised} = plan(store, input, {approved: () => new Set(lives)});
			return [starts.length, unadvised.flatMap(({workers}) => workers.map(({id}) => id))];
		};

		assert.deepEqual(asked([]), [0, ['w1', 'w2']]);
		assert.deepEqual(asked([lifeNamed('w1').life]), [4, ['w2']]);
		assert.deepEqual(asked([lifeNamed('w1').life, lifeNamed('w2').life]), [6, []]);
	});
});

describe('the ranking of jobs', () => {
	it('should start a job that can meet its objective before one that cannot', () => {
		// A queue that submits several times what its pool can run must not make every job late.
		const store = storeWith([orderOf('a', [stepOf({count: 4})])]);
		store.apply({type: 'submit', order: orderOf('b', [stepOf({count: 4})]), atMs: 5000});
		const {starts} = plan(store, [workerOf('w1')], {wallMs: 5100});
		assert.deepEqual([...new Set(starts.map(start => start.unit[0]))], ['b']);
	});

	it('should start lasting work first', () => {
		const store = storeWith([orderOf('a', [stepOf({count: 4})]), orderOf('b', [stepOf({count: 2, lasting: true})])]);
		const {starts} = plan(store, [workerOf('w1')]);
		assert.equal(starts.filter(start => start.unit.startsWith('b')).length, 2);
	});

	it('should still start late jobs when there is room', () => {
		const store = storeWith([orderOf('a')]);
		assert.equal(plan(store, [workerOf('w1')], {wallMs: 100_000}).starts.length, 1);
	});
});
