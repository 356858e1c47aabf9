import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	storeWith, lifeNamed, orderOf, stepOf,
} from '../../fixtures/job-fixtures.js';
import {createLeaderHarness, LEASE_MS, waitUntilTrue} from '../../fixtures/leader-harness.js';

describe('the job leader', () => {
	it('should run a job whose starts were committed while the leader briefly had no lease', async () => {
		const store = storeWith([orderOf('a', [stepOf({count: 2})])]);
		const harness = createLeaderHarness(store);
		let commits = 0;
		harness.onCommit(({type}) => {
			commits += type === 'runs-start' ? 1 : 0;
			if (type === 'runs-start' && commits === 1) {
				harness.setLeading(false);
				setTimeout(() => {
					harness.setLeading(true);
				}, 50);
			}
		});
		await waitUntilTrue(() => harness.running.size === 2);
		harness.work.stop();
		assert.equal(harness.running.size, 2);
	});

	it('should run a job whose start call to its worker never returned', async () => {
		const store = storeWith([orderOf('a', [stepOf({count: 2})])]);
		let isSilent = true;
		const harness = createLeaderHarness(store, {
			async start(order) {
				if (isSilent) {
					return new Promise<never>(() => {
						// Never resolves.
					});
				}

				harness.running.set(order.unit, order.attempt);
				return {type: 'done'};
			},
		});
		await waitUntilTrue(() => harness.starts.length === 2);
		isSilent = false;
		await waitUntilTrue(() => harness.running.size === 2);
		harness.work.stop();
		assert.equal(harness.running.size, 2);
	});

	it('should run all jobs of a pass when one worker cannot be connected to', async () => {
		const capacity = {cpu: 1000, memoryMb: 4000, gpu: 0};
		const lives = [lifeNamed('bad', {capacity}), lifeNamed('good', {capacity: {...capacity, cpu: 4000}})];
		const store = storeWith([orderOf('a'), orderOf('b'), orderOf('c')]);
		const harness = createLeaderHarness(store, {lives, unreachable: 'bad'});
		await waitUntilTrue(() => harness.running.size === 3);
		harness.work.stop();
		assert.equal(harness.running.size, 3);
	});

	it('should not give up the runs of an earlier leader before their lease has expired', async () => {
		const life = lifeNamed('bad');
		const store = storeWith([orderOf('a')]);
		const unit = `${'a'.padEnd(16, '0')}.0.0.0`;
		store.apply({type: 'runs-start', lives: [life], runs: [{unit, attempt: 1, life: life.life}]});
		const startedMs = performance.now();
		const harness = createLeaderHarness(store, {lives: [life, lifeNamed('good')], unreachable: 'bad'});
		await waitUntilTrue(() => harness.running.size === 1);
		harness.work.stop();
		assert.ok(performance.now() - startedMs > LEASE_MS, `${performance.now() - startedMs}`);
		assert.equal(harness.running.size, 1);
	});

	it('should place nothing on a worker with runs of an earlier leader before it has answered', async () => {
		const silent = lifeNamed('silent');
		const store = storeWith([orderOf('a')]);
		store.apply({type: 'runs-start', lives: [silent], runs: [{unit: `${'a'.padEnd(16, '0')}.0.0.0`, attempt: 1, life: silent.life}]});
		const harness = createLeaderHarness(store, {
			lives: [silent, lifeNamed('good', {capacity: {cpu: 2000, memoryMb: 4000, gpu: 0}})], silent: 'silent',
		});
		const placedOn: string[] = [];
		harness.onCommit(command => {
			placedOn.push(...(command.type === 'runs-start' ? command.runs.map(run => run.life) : []));
		});
		for (const id of ['b', 'c', 'd', 'e']) {
			store.apply({type: 'submit', order: orderOf(id), atMs: Date.now()});
		}

		await waitUntilTrue(() => harness.running.size === 2);
		await new Promise(resolve => {
			setTimeout(resolve, 500);
		});
		harness.work.stop();
		assert.deepEqual(placedOn, ['good@1', 'good@1']);
	});
});
