import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	storeWith, lifeNamed, orderOf, stepOf,
} from '../../fixtures/job-fixtures.js';
import {createLeaderHarness, LEASE_MS, waitUntilTrue} from '../../fixtures/leader-harness.js';

describe('the job leader', () => {
	it('should run a job whose starts were committed while the leader briefly had no lease', async () => {
		const book = storeWith([orderOf('a', [stepOf({count: 2})])]);
		const bench = createLeaderHarness(book);
		let commits = 0;
		bench.onCommit(({type}) => {
			commits += type === 'runs-start' ? 1 : 0;
			if (type === 'runs-start' && commits === 1) {
				bench.setLeading(false);
				setTimeout(() => {
					bench.setLeading(true);
				}, 50);
			}
		});
		await waitUntilTrue(() => bench.running.size === 2);
		bench.work.stop();
		assert.equal(bench.running.size, 2);
	});

	it('should run a job whose start call to its worker never returned', async () => {
		const book = storeWith([orderOf('a', [stepOf({count: 2})])]);
		let isSilent = true;
		const bench = createLeaderHarness(book, {
			async start(order) {
				if (isSilent) {
					return new Promise<never>(() => {
						// Never resolves.
					});
				}

				bench.running.set(order.unit, order.attempt);
				return {type: 'done'};
			},
		});
		await waitUntilTrue(() => bench.starts.length === 2);
		isSilent = false;
		await waitUntilTrue(() => bench.running.size === 2);
		bench.work.stop();
		assert.equal(bench.running.size, 2);
	});

	it('should run all jobs of a pass when one worker cannot be connected to', async () => {
		const capacity = {cpu: 1000, memoryMb: 4000, gpu: 0};
		const lives = [lifeNamed('bad', {capacity}), lifeNamed('good', {capacity: {...capacity, cpu: 4000}})];
		const book = storeWith([orderOf('a'), orderOf('b'), orderOf('c')]);
		const bench = createLeaderHarness(book, {lives, unreachable: 'bad'});
		await waitUntilTrue(() => bench.running.size === 3);
		bench.work.stop();
		assert.equal(bench.running.size, 3);
	});

	it('should not give up the runs of an earlier leader before their lease has expired', async () => {
		const life = lifeNamed('bad');
		const book = storeWith([orderOf('a')]);
		const unit = `${'a'.padEnd(16, '0')}.0.0.0`;
		book.apply({type: 'runs-start', lives: [life], runs: [{unit, attempt: 1, life: life.life}]});
		const startedMs = performance.now();
		const bench = createLeaderHarness(book, {lives: [life, lifeNamed('good')], unreachable: 'bad'});
		await waitUntilTrue(() => bench.running.size === 1);
		bench.work.stop();
		assert.ok(performance.now() - startedMs > LEASE_MS, `${performance.now() - startedMs}`);
		assert.equal(bench.running.size, 1);
	});
});
