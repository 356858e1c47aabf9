import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {
	createJobStore, type JobStore, type JobCommand, type RunEnd, RunEnds,
} from '@bronzebend/core';
import {
	storeWith, lifeNamed, manifestOf, orderOf, queueOf, stepOf,
} from '../../fixtures/job-fixtures.js';

const life = lifeNamed('w1');
const id = 'a'.padEnd(16, '0');
const unit = (step = 0, index = 0, occurrence = 0): string => `${id}.${occurrence}.${step}.${index}`;

const start = (store: JobStore, name: string, attempt = 1): boolean => {
	const outcome = store.apply({type: 'runs-start', lives: [life], runs: [{unit: name, attempt, life: life.life}]});
	return outcome.type === 'runs-started' && outcome.accepted.length === 1;
};

const end = (store: JobStore, name: string, how: RunEnd, attempt = 1): void => {
	store.apply({
		type: 'runs-over', life: life.life, atMs: 10, runs: [{
			unit: name, attempt, how, checkpoint: '',
		}],
	});
};

describe('the job store', () => {
	it('should keep the first job submitted under an ID', () => {
		const store = storeWith([orderOf('a')]);
		assert.deepEqual(store.apply({type: 'submit', order: orderOf('a', [stepOf({count: 5})]), atMs: 5}), {type: 'accepted', isNew: false});
		assert.equal(store.job(id)!.order.steps[0]!.count, 1);
	});

	it('should not start a cancelled job', () => {
		const store = storeWith([orderOf('a')]);
		store.apply({type: 'cancel', job: id, atMs: 1});
		assert.equal(start(store, unit()), false);
	});

	it('should not start a work unit that is running', () => {
		const store = storeWith([orderOf('a')]);
		assert.equal(start(store, unit()), true);
		assert.equal(start(store, unit(), 2), false);
	});

	it('should not start a work unit again after a run of it was done', () => {
		const store = storeWith([orderOf('a', [stepOf({count: 2})])]);
		start(store, unit());
		end(store, unit(), RunEnds.done);
		assert.equal(start(store, unit(), 2), false);
	});

	it('should not start a step before those it depends on are done', () => {
		const store = storeWith([orderOf('a', [stepOf({count: 2}), stepOf({dependsOn: [0]})])]);
		start(store, unit(0, 0));
		end(store, unit(0, 0), RunEnds.done);
		assert.equal(start(store, unit(1)), false);
		start(store, unit(0, 1));
		end(store, unit(0, 1), RunEnds.done);
		assert.equal(start(store, unit(1)), true);
	});

	it('should count only failed runs against the limit on attempts', () => {
		const store = storeWith([orderOf('a')], manifestOf({queues: [queueOf({maxAttempts: 2})]}));
		const ends: RunEnd[] = [RunEnds.lost, RunEnds.stopped, RunEnds.lapsed, RunEnds.failed];
		for (const [index, how] of ends.entries()) {
			assert.equal(start(store, unit(), index + 1), true);
			end(store, unit(), how, index + 1);
		}

		assert.equal(store.job(id)!.state, 'running');
		start(store, unit(), 5);
		end(store, unit(), RunEnds.failed, 5);
		assert.equal(store.job(id)!.state, 'failed');
		assert.equal(start(store, unit(), 6), false);
	});

	it('should restart lasting work units however they end', () => {
		const store = storeWith([orderOf('a', [stepOf({lasting: true})])]);
		for (let attempt = 1; attempt < 10; attempt += 1) {
			assert.equal(start(store, unit(), attempt), true);
			end(store, unit(), attempt % 2 === 0 ? RunEnds.done : RunEnds.failed, attempt);
		}

		assert.equal(store.job(id)!.state, 'running');
	});

	it('should show a job as completed only when every occurrence is done', () => {
		const store = storeWith([orderOf('a', [stepOf()], {times: 2, startAtMs: 1, intervalMs: 1})]);
		start(store, unit());
		end(store, unit(), RunEnds.done);
		assert.equal(store.job(id)!.state, 'running');
		start(store, unit(0, 0, 1));
		end(store, unit(0, 0, 1), RunEnds.done);
		assert.equal(store.job(id)!.state, 'completed');
	});

	it('should ignore ended runs of other lives and other attempts', () => {
		const store = storeWith([orderOf('a')]);
		start(store, unit(), 3);
		end(store, unit(), RunEnds.done, 2);
		store.apply({
			type: 'runs-over', life: 'other@1', atMs: 1, runs: [{
				unit: unit(), attempt: 3, how: RunEnds.done, checkpoint: '',
			}],
		});
		assert.equal(store.job(id)!.state, 'running');
	});

	it('should never replace the manifest by one of a lower or equal version', () => {
		const store = storeWith([], manifestOf({version: 7}));
		store.apply({type: 'publish-fleet', manifest: manifestOf({version: 7, queues: []})});
		store.apply({type: 'publish-fleet', manifest: manifestOf({version: 6, queues: []})});
		assert.equal(store.manifest()!.manifest.queues.length, 1);
	});

	it('should keep a checkpoint across runs that end without a new one', () => {
		const store = storeWith([orderOf('a')]);
		start(store, unit());
		store.apply({
			type: 'runs-over', life: life.life, atMs: 1, runs: [{
				unit: unit(), attempt: 1, how: RunEnds.stopped, checkpoint: 'half',
			}],
		});
		start(store, unit(), 2);
		end(store, unit(), RunEnds.lost, 2);
		assert.equal(store.find(unit())!.unit.checkpoint, 'half');
	});

	it('should restore the same state and the same resource usage from a snapshot at any point', () => {
		const commands = fc.array(fc.oneof(
			fc.record({step: fc.nat(1), index: fc.nat(2), attempt: fc.integer({min: 1, max: 4})}).map(({step, index, attempt}): JobCommand => ({type: 'runs-start', lives: [life], runs: [{unit: unit(step, index), attempt, life: life.life}]})),
			fc.record({
				step: fc.nat(1), index: fc.nat(2), attempt: fc.integer({min: 1, max: 4}), how: fc.constantFrom(...Object.values(RunEnds)),
			}).map(({step, index, attempt, how}): JobCommand => ({
				type: 'runs-over', life: life.life, atMs: 5, runs: [{
					unit: unit(step, index), attempt, how, checkpoint: '',
				}],
			})),
			fc.constant<JobCommand>({type: 'cancel', job: id, atMs: 9}),
		), {maxLength: 30});
		fc.assert(fc.property(commands, fc.nat(30), (list, cut) => {
			const steps = [stepOf({count: 3}), stepOf({count: 3, dependsOn: [0], resources: {cpu: 7, memoryMb: 3, gpu: 1}})];
			const original = storeWith([orderOf('a', steps)]);
			let resumed = storeWith([orderOf('a', steps)]);
			for (const [position, command] of list.entries()) {
				original.apply(command);
				resumed.apply(command);
				if (position === cut) {
					resumed = createJobStore(structuredClone(resumed.snapshot()));
				}
			}

			assert.deepEqual(resumed.snapshot(), original.snapshot());
			assert.deepEqual(resumed.usageOfLife(life.life), original.usageOfLife(life.life));
			assert.deepEqual(resumed.usageOfWorkspace('north'), original.usageOfWorkspace('north'));
			assert.deepEqual([...resumed.runsOf(life.life).keys()].toSorted(), [...original.runsOf(life.life).keys()].toSorted());
		}), {seed: 7, numRuns: 300});
	});
});

describe('lives in the job store', () => {
	const startOn = (store: JobStore, name: string, lives: Array<ReturnType<typeof lifeNamed>>): number => {
		const outcome = store.apply({type: 'runs-start', lives, runs: [{unit: name, attempt: 1, life: life.life}]});
		return outcome.type === 'runs-started' ? outcome.accepted.length : 0;
	};

	it('should start no run on an unknown life', () => {
		const store = storeWith([orderOf('a')]);
		assert.equal(startOn(store, unit(), []), 0);
		assert.equal(startOn(store, unit(), [life]), 1);
		assert.deepEqual(store.busyLives(), [life]);
	});

	it('should stay known after their last run, also in a snapshot', () => {
		const store = storeWith([orderOf('a', [stepOf({count: 2})])]);
		startOn(store, unit(0, 0), [life]);
		end(store, unit(0, 0), RunEnds.done);
		assert.deepEqual([store.knowsLife(life.life), store.busyLives()], [true, []]);
		const again = createJobStore(structuredClone(store.snapshot()));
		assert.equal(startOn(again, unit(0, 1), []), 1);
		assert.deepEqual(again.busyLives(), [life]);
	});

	it('should be removed above the limit, except for those that run work', () => {
		const store = storeWith([orderOf('a')]);
		startOn(store, unit(), [life]);
		for (let number = 0; number < 3000; number += 1) {
			store.apply({type: 'runs-start', lives: [lifeNamed(`other-${number}`)], runs: []});
		}

		assert.ok(store.snapshot().lives.length <= 2000);
		assert.ok(store.knowsLife(life.life));
		assert.ok(store.knowsLife(lifeNamed('other-2999').life));
	});
});
