import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	type JobBook, type OrderResult, type StartOrder, type WorkerLists,
} from '@bronzebend/core';
import {
	createJobMetrics, createWorkerRunner, silentLogs, type WorkerPort, type WorkerRunner,
} from '@bronzebend/daemon';
import {
	bookWith, lifeNamed, orderOf, stepOf,
} from '../../fixtures/job-fixtures.js';

const unit = `${'a'.padEnd(16, '0')}.0.0.0`;
const life = lifeNamed('w1');

/** Lets everything that is due run, in steps of the real timers. */
const settled = async (isDone: () => boolean): Promise<void> => {
	for (let turn = 0; turn < 400 && !isDone(); turn += 1) {
		// Each turn lets one timer of the task fire.

		await new Promise(resolve => {
			setTimeout(resolve, 10);
		});
	}
};

const started: OrderResult = {type: 'done'};

const setUp = (lists: () => Partial<WorkerLists>, startResult: OrderResult = started) => {
	const book: JobBook = bookWith([orderOf('a', [stepOf({lasting: true})])]);
	const calls = {
		holds: 0, starts: [] as StartOrder[], stops: 0, failed: [] as string[],
	};
	let leads = true;
	let nowMs = 1000;
	const port: WorkerPort = {
		async hold() {
			calls.holds += 1;
			nowMs += 10;
			// A worker takes a moment to answer.
			await new Promise(resolve => {
				setTimeout(resolve, 2);
			});
			return {
				type: 'lists', lists: {
					clockMs: nowMs, active: [], finished: [], ...lists(),
				},
			};
		},
		async start(order) {
			calls.starts.push(order);
			return startResult;
		},
		async stop() {
			calls.stops += 1;
			return {type: 'done'};
		},
		pace: async () => ({type: 'done'}),
		close: () => undefined,
	};
	const runner: WorkerRunner = createWorkerRunner({
		life,
		book,
		port,
		fence: 1,
		leaseMs: 4000,
		inherited: false,
		announcedClock: {clockMs: 1000, heardMs: 1000},
		clock: {wallMs: () => nowMs, monotonicMs: () => nowMs},
		log: silentLogs('test'),
		metrics: createJobMetrics(),
		async record(of, over) {
			book.apply({
				type: 'runs-over', life: of, runs: over, atMs: nowMs,
			});
			return true;
		},
		onLook: () => undefined,
		onStartFailed(_start, reason) {
			calls.failed.push(reason);
		},
		onOver: () => undefined,
		isLeading: () => leads,
	});
	const begin = (): void => {
		book.apply({type: 'runs-start', lives: [life], runs: [{unit, attempt: 1, life: life.life}]});
		runner.start({unit, attempt: 1, life: life.life}, undefined);
	};

	return {
		book, calls, runner, begin, lead(value: boolean): void {
			leads = value;
		},
	};
};

describe('the task of a worker', () => {
	it('should go on keeping leases after its leader lost its own for a moment', async () => {
		const {calls, runner, begin, lead} = setUp(() => ({
			active: [{
				unit, attempt: 1, checkpoint: '', percent: 100, load: 0,
			}],
		}));
		begin();
		await settled(() => calls.holds > 3);
		lead(false);
		// Longer than any pause of the task, so that it has seen the loss.
		await new Promise(resolve => {
			setTimeout(resolve, 200);
		});
		const before = calls.holds;
		lead(true);
		await settled(() => calls.holds > before + 3);
		runner.close();
		assert.ok(calls.holds > before + 3);
	});

	it('should find out that a start which it could not send never began', async () => {
		const {book, calls, runner, begin, lead} = setUp(() => ({}));
		lead(false);
		begin();
		lead(true);
		await settled(() => book.find(unit)!.unit.state === 'idle');
		runner.close();
		assert.equal(calls.starts.length, 0);
		assert.equal(book.find(unit)!.unit.state, 'idle');
		assert.ok(calls.stops > 0);
	});

	it('should not blame a worker for a start that got lost on the way to it', async () => {
		for (const isCarrierLost of [true, false]) {
			const {book, calls, runner, begin} = setUp(() => ({}), {type: 'unknown', cause: 'no result', isCarrierLost});
			begin();

			await settled(() => book.find(unit)!.unit.state === 'idle');
			runner.close();
			assert.deepEqual(calls.failed, isCarrierLost ? [] : ['no-answer']);
			assert.ok(calls.stops > 0);
			assert.equal(book.find(unit)!.unit.state, 'idle');
		}
	});
});
