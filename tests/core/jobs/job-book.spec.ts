import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {
	createJobBook, type JobBook, type JobCommand, type RunEnd, RunEnds,
} from '@bronzebend/core';
import {
	bookWith, lifeNamed, manifestOf, orderOf, queueOf, stepOf,
} from '../../fixtures/job-fixtures.js';

const life = lifeNamed('w1');
const id = 'a'.padEnd(16, '0');
const unit = (step = 0, index = 0, occurrence = 0): string => `${id}.${occurrence}.${step}.${index}`;

const start = (book: JobBook, name: string, attempt = 1): boolean => {
	const outcome = book.apply({type: 'runs-start', lives: [life], runs: [{unit: name, attempt, life: life.life}]});
	return outcome.type === 'runs-started' && outcome.accepted.length === 1;
};

const end = (book: JobBook, name: string, how: RunEnd, attempt = 1): void => {
	book.apply({
		type: 'runs-over', life: life.life, atMs: 10, runs: [{
			unit: name, attempt, how, checkpoint: '',
		}],
	});
};

describe('the job record', () => {
	it('should keep one job for one ID', () => {
		const book = bookWith([orderOf('a')]);
		assert.deepEqual(book.apply({type: 'submit', order: orderOf('a', [stepOf({count: 5})]), atMs: 5}), {type: 'accepted', isNew: false});
		assert.equal(book.job(id)!.order.steps[0]!.count, 1);
	});

	it('should not start a cancelled job', () => {
		const book = bookWith([orderOf('a')]);
		book.apply({type: 'cancel', job: id, atMs: 1});
		assert.equal(start(book, unit()), false);
	});

	it('should not start a unit twice at the same time', () => {
		const book = bookWith([orderOf('a')]);
		assert.equal(start(book, unit()), true);
		assert.equal(start(book, unit(), 2), false);
	});

	it('should not start a unit after a run of it was done', () => {
		const book = bookWith([orderOf('a', [stepOf({count: 2})])]);
		start(book, unit());
		end(book, unit(), RunEnds.done);
		assert.equal(start(book, unit(), 2), false);
	});

	it('should not start a step before those it depends on are done', () => {
		const book = bookWith([orderOf('a', [stepOf({count: 2}), stepOf({dependsOn: [0]})])]);
		start(book, unit(0, 0));
		end(book, unit(0, 0), RunEnds.done);
		assert.equal(start(book, unit(1)), false);
		start(book, unit(0, 1));
		end(book, unit(0, 1), RunEnds.done);
		assert.equal(start(book, unit(1)), true);
	});

	it('should count only failed ends as attempts', () => {
		const book = bookWith([orderOf('a')], manifestOf({queues: [queueOf({maxAttempts: 2})]}));
		const ends: RunEnd[] = [RunEnds.lost, RunEnds.stopped, RunEnds.lapsed, RunEnds.failed];
		for (const [index, how] of ends.entries()) {
			assert.equal(start(book, unit(), index + 1), true);
			end(book, unit(), how, index + 1);
		}

		assert.equal(book.job(id)!.state, 'running');
		start(book, unit(), 5);
		end(book, unit(), RunEnds.failed, 5);
		assert.equal(book.job(id)!.state, 'failed');
		assert.equal(start(book, unit(), 6), false);
	});

	it('should restart lasting units however they end', () => {
		const book = bookWith([orderOf('a', [stepOf({lasting: true})])]);
		for (let attempt = 1; attempt < 10; attempt += 1) {
			assert.equal(start(book, unit(), attempt), true);
			end(book, unit(), attempt % 2 === 0 ? RunEnds.done : RunEnds.failed, attempt);
		}

		assert.equal(book.job(id)!.state, 'running');
	});

	it('should show a job as completed only when every occurrence is done', () => {
		const book = bookWith([orderOf('a', [stepOf()], {times: 2, startAtMs: 1, intervalMs: 1})]);
		start(book, unit());
		end(book, unit(), RunEnds.done);
		assert.equal(book.job(id)!.state, 'running');
		start(book, unit(0, 0, 1));
		end(book, unit(0, 0, 1), RunEnds.done);
		assert.equal(book.job(id)!.state, 'completed');
	});

	it('should ignore ends of other lives and other attempts', () => {
		const book = bookWith([orderOf('a')]);
		start(book, unit(), 3);
		end(book, unit(), RunEnds.done, 2);
		book.apply({
			type: 'runs-over', life: 'other@1', atMs: 1, runs: [{
				unit: unit(), attempt: 3, how: RunEnds.done, checkpoint: '',
			}],
		});
		assert.equal(book.job(id)!.state, 'running');
	});

	it('should never let a lower or equal version change the manifest', () => {
		const book = bookWith([], manifestOf({version: 7}));
		book.apply({type: 'publish-fleet', manifest: manifestOf({version: 7, queues: []})});
		book.apply({type: 'publish-fleet', manifest: manifestOf({version: 6, queues: []})});
		assert.equal(book.manifest()!.manifest.queues.length, 1);
	});

	it('should keep a run\'s checkpoint for the next run', () => {
		const book = bookWith([orderOf('a')]);
		start(book, unit());
		book.apply({
			type: 'runs-over', life: life.life, atMs: 1, runs: [{
				unit: unit(), attempt: 1, how: RunEnds.stopped, checkpoint: 'half',
			}],
		});
		start(book, unit(), 2);
		end(book, unit(), RunEnds.lost, 2);
		assert.equal(book.find(unit())!.unit.checkpoint, 'half');
	});

	it('should give the same record and the same sums from a snapshot at any point', () => {
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
			const whole = bookWith([orderOf('a', steps)]);
			let resumed = bookWith([orderOf('a', steps)]);
			for (const [position, command] of list.entries()) {
				whole.apply(command);
				resumed.apply(command);
				if (position === cut) {
					resumed = createJobBook(structuredClone(resumed.snapshot()));
				}
			}

			assert.deepEqual(resumed.snapshot(), whole.snapshot());
			assert.deepEqual(resumed.usageOfLife(life.life), whole.usageOfLife(life.life));
			assert.deepEqual(resumed.usageOfWorkspace('north'), whole.usageOfWorkspace('north'));
			assert.deepEqual([...resumed.runsOf(life.life).keys()].toSorted(), [...whole.runsOf(life.life).keys()].toSorted());
		}), {seed: 7, numRuns: 300});
	});
});

describe('lives in the job record', () => {
	const startOn = (book: JobBook, name: string, lives: Array<ReturnType<typeof lifeNamed>>): number => {
		const outcome = book.apply({type: 'runs-start', lives, runs: [{unit: name, attempt: 1, life: life.life}]});
		return outcome.type === 'runs-started' ? outcome.accepted.length : 0;
	};

	it('should start no run on a life that the record was not told of', () => {
		const book = bookWith([orderOf('a')]);
		assert.equal(startOn(book, unit(), []), 0);
		assert.equal(startOn(book, unit(), [life]), 1);
		assert.deepEqual(book.busyLives(), [life]);
	});

	it('should stay known after their last run, also in a snapshot', () => {
		const book = bookWith([orderOf('a', [stepOf({count: 2})])]);
		startOn(book, unit(0, 0), [life]);
		end(book, unit(0, 0), RunEnds.done);
		assert.deepEqual([book.knowsLife(life.life), book.busyLives()], [true, []]);
		const again = createJobBook(structuredClone(book.snapshot()));
		assert.equal(startOn(again, unit(0, 1), []), 1);
		assert.deepEqual(again.busyLives(), [life]);
	});

	it('should be forgotten in the end, but for those that run something', () => {
		const book = bookWith([orderOf('a')]);
		startOn(book, unit(), [life]);
		for (let number = 0; number < 3000; number += 1) {
			book.apply({type: 'runs-start', lives: [lifeNamed(`other-${number}`)], runs: []});
		}

		assert.ok(book.snapshot().lives.length <= 2000);
		assert.ok(book.knowsLife(life.life));
		assert.ok(book.knowsLife(lifeNamed('other-2999').life));
	});
});
