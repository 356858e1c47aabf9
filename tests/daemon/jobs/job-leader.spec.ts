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
});
