import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {
	createJobStore, createRunEstimates, createWorkerTrack, planStarts, RunEnds,
	type EndedRun, type JobOrder, type JobStep, type JobStore, type JobStoreSnapshot, type RunEnd, type RunStart,
} from '@bronzebend/core';
import {
	lifeNamed, manifestOf, orderOf, queueOf, stepOf, storeWith,
} from '../../fixtures/job-fixtures.js';

const lives = [lifeNamed('w1'), lifeNamed('w2'), lifeNamed('w3')];
const id = 'a'.padEnd(16, '0');
const unit = (index: number, step = 0, occurrence = 0): string => `${id}.${occurrence}.${step}.${index}`;

const gangOf = (changes: Partial<JobStep> = {}): JobStep => stepOf({
	count: 2, gang: true, perWorker: 1, ...changes,
});

const storeOf = (steps: JobStep[] = [gangOf()], changes: Partial<JobOrder> = {}, maxAttempts = 3): JobStore => {
	const manifest = manifestOf({queues: [queueOf({maxAttempts})]});
	return storeWith([orderOf('a', steps, changes)], manifest);
};

const planned = (store: JobStore): RunStart[] => planStarts({
	store, manifest: store.manifest()!, estimates: createRunEstimates(), wallMs: 1000, avoided: () => undefined, approved: () => undefined, maxStarts: 100, workers: lives.map(life => ({...life, slowness: 1})),
}).starts;

/** Records what the scheduler plans. */
const startPlanned = (store: JobStore): RunStart[] => {
	const runs = planned(store);
	store.apply({type: 'runs-start', lives, runs});
	return runs;
};

const end = (store: JobStore, {unit: name, attempt, life}: RunStart, how: RunEnd, checkpoint = ''): void => {
	store.apply({
		type: 'runs-over', life, atMs: 10, runs: [{
			unit: name, attempt, how, checkpoint,
		}],
	});
};

/** Checkpoints with which the members of each of the job's gangs would start. */
const checkpoints = (store: JobStore): Array<Set<string>> => store.job(id)!.occurrences.flatMap(({steps}) => steps.map(units => new Set(units.map(member => member.checkpoint))));

const recorded = (store: JobStore): RunStart[] => lives.flatMap(({life}) => [...store.runsOf(life).values()].map(run => ({unit: run.unit.name, attempt: run.unit.attempt, life})));
const running = (store: JobStore): string[] => recorded(store).map(run => run.unit);
const stateOf = (store: JobStore): string => store.job(id)!.state;
const restored = (store: JobStore): JobStore => createJobStore(structuredClone(store.snapshot()));

/** Starts a gang of two; returns its runs. */
const startPair = (store: JobStore): [RunStart, RunStart] => {
	const runs = startPlanned(store);
	assert.equal(runs.length, 2);
	return runs as [RunStart, RunStart];
};

describe('a gang of which one member ended done', () => {
	for (const how of Object.values(RunEnds)) {
		it(`should be done if another member is recorded as ${how} afterwards`, () => {
			const store = storeOf();
			const [first, second] = startPair(store);
			end(store, first, RunEnds.done);
			assert.equal(stateOf(store), 'completed');
			end(store, second, how);
			assert.equal(stateOf(store), 'completed');
			assert.deepEqual([planned(store), running(store), store.openCount()], [[], [], 0]);
		});
	}

	for (const how of [RunEnds.lost, RunEnds.lapsed]) {
		it(`should be done if another member was recorded as ${how} before its list was read`, () => {
			const store = storeOf();
			const [first, second] = startPair(store);
			end(store, second, how);
			assert.deepEqual([stateOf(store), planned(store)], ['running', []]);
			end(store, first, RunEnds.done);
			assert.deepEqual([stateOf(store), store.openCount()], ['completed', 0]);
		});
	}

	it('should let the steps that depend on it start', () => {
		const store = storeOf([gangOf(), stepOf({dependsOn: [0]})]);
		const [first, second] = startPair(store);
		end(store, first, RunEnds.done);
		const [next] = startPlanned(store);
		assert.equal(next!.unit, unit(0, 1));
		end(store, second, RunEnds.lost);
		assert.deepEqual(planned(store), []);
		end(store, next!, RunEnds.done);
		assert.deepEqual([stateOf(store), store.openCount()], ['completed', 0]);
	});

	it('should be done in its own occurrence only', () => {
		const store = storeOf([gangOf()], {times: 2, startAtMs: 1, intervalMs: 1});
		const [first, second, ...others] = startPlanned(store);
		assert.equal(others.length, 2);
		end(store, first!, RunEnds.done);
		end(store, second!, RunEnds.lapsed);
		assert.deepEqual(running(store).toSorted(), [unit(0, 0, 1), unit(1, 0, 1)]);
		assert.equal(stateOf(store), 'running');
		for (const run of others) {
			end(store, run, RunEnds.lost);
		}

		assert.deepEqual(startPlanned(store).map(run => run.unit), [unit(0, 0, 1), unit(1, 0, 1)]);
	});

	it('should be done if its step may have copies', () => {
		const store = storeOf([gangOf({speculative: true})]);
		const [first, second] = startPair(store);
		end(store, first, RunEnds.done);
		end(store, second, RunEnds.lapsed);
		assert.deepEqual([stateOf(store), planned(store)], ['completed', []]);
	});

	it('should not fail its job by an end of another member, however often that one failed before', () => {
		const store = storeOf([gangOf(), stepOf({dependsOn: [0]})], {}, 2);
		const [failing, broken] = startPair(store);
		end(store, failing, RunEnds.failed);
		end(store, broken, RunEnds.broken);
		const again = startPair(store);
		end(store, again.find(run => run.unit !== failing.unit)!, RunEnds.done);
		end(store, again.find(run => run.unit === failing.unit)!, RunEnds.failed);
		assert.equal(stateOf(store), 'running');
		assert.deepEqual(planned(store).map(run => run.unit), [unit(0, 1)]);
	});

	it('should start again if the end belongs to an earlier attempt', () => {
		const store = storeOf();
		const [first, second] = startPair(store);
		end(store, first, RunEnds.lost);
		end(store, second, RunEnds.lost);
		const again = startPair(store);
		end(store, first, RunEnds.done);
		end(store, {...again[0], attempt: 1}, RunEnds.done);
		assert.equal(stateOf(store), 'running');
		end(store, again[0], RunEnds.lapsed);
		end(store, again[1], RunEnds.lapsed);
		assert.deepEqual(startPlanned(store).map(run => run.attempt), [3, 3]);
	});

	it('should count against its worker and its workspace until the other members\' ends are recorded', () => {
		const store = storeOf();
		const [first, second] = startPair(store);
		end(store, first, RunEnds.done);
		assert.deepEqual([store.usageOfLife(first.life).cpu, store.usageOfLife(second.life).cpu, store.usageOfWorkspace('north').cpu], [0, 1000, 1000]);
		assert.deepEqual(store.busyLives().map(({life}) => life), [second.life]);
		assert.equal(store.openCount(), 1);
		const again = restored(store);
		assert.deepEqual([again.usageOfLife(second.life).cpu, again.usageOfWorkspace('north').cpu, again.openCount()], [1000, 1000, 1]);
		for (const each of [store, again]) {
			end(each, second, RunEnds.lost);
			assert.deepEqual([each.usageOfLife(second.life).cpu, each.usageOfWorkspace('north').cpu, each.openCount()], [0, 0, 0]);
		}
	});

	for (const how of [RunEnds.done, RunEnds.lapsed, RunEnds.lost]) {
		it(`should stay done with a snapshot and a change of leader before the other member is ${how}`, () => {
			const store = storeOf([gangOf(), stepOf({dependsOn: [0]})]);
			const [first, second] = startPair(store);
			end(store, first, RunEnds.done);
			const next = restored(store);
			const track = createWorkerTrack({
				life: second.life, store: next, leaseMs: 4000, inherited: true, nowMs: 0,
			});
			assert.deepEqual([...track.runs.keys()], [second.unit]);
			const finished = [{
				seq: 1, unit: second.unit, attempt: second.attempt, how, checkpoint: '',
			}].filter(run => run.how !== RunEnds.lost);
			const {endedRuns} = track.reconcile({
				clockMs: 100, active: [], isCut: false, finished,
			}, 1, 2);
			assert.deepEqual(endedRuns.map((run: EndedRun) => run.how), [how]);
			end(next, second, endedRuns[0]!.how);
			assert.deepEqual(running(next), []);
			assert.deepEqual(planned(next).map(run => run.unit), [unit(0, 1)]);
		});
	}
});

describe('a gang that starts again', () => {
	it('should carry one checkpoint, whichever members reported one', () => {
		const store = storeOf([gangOf({checkpointing: true})]);
		const [first, second] = startPair(store);
		end(store, first, RunEnds.broken, 'half');
		end(store, second, RunEnds.lost);
		assert.deepEqual(startPlanned(store).map(run => store.find(run.unit)!.unit.checkpoint), ['half', 'half']);
	});

	it('should not go back to what a lost member listed last', () => {
		const store = storeOf([gangOf({checkpointing: true})]);
		const [first, second] = startPair(store);
		end(store, first, RunEnds.broken, 'later');
		end(store, second, RunEnds.lost, 'earlier');
		assert.deepEqual([first, second].map(run => store.find(run.unit)!.unit.checkpoint), ['later', 'later']);
	});

	it('should not start before the ends of all its members are recorded', () => {
		const store = storeOf();
		const [first, second] = startPair(store);
		end(store, first, RunEnds.broken);
		assert.deepEqual(planned(store), []);
		end(store, second, RunEnds.failed);
		assert.deepEqual(planned(store).map(run => run.attempt), [2, 2]);
	});
});

describe('a gang in a snapshot from before one end stood for all members', () => {
	/** A snapshot in which the first member is done and counted alone. */
	const before = (store: JobStore, run: RunStart): JobStoreSnapshot => {
		end(store, run, RunEnds.lost);
		const snapshot = structuredClone(store.snapshot());
		const occurrence = snapshot.jobs[0]!.occurrences[0]!;
		occurrence.steps[0]!.find(member => member.name === run.unit)!.state = 'done';
		occurrence.doneInStep[0] = 1;
		return snapshot;
	};

	it('should be done if nothing of it runs any more', () => {
		const store = storeOf();
		const [first, second] = startPair(store);
		end(store, second, RunEnds.lost);
		const again = createJobStore(before(store, first));
		assert.deepEqual([stateOf(again), planned(again), again.openCount()], ['completed', [], 0]);
	});

	it('should be done once the end of the last running member is recorded', () => {
		const store = storeOf([gangOf(), stepOf({dependsOn: [0]})]);
		const [first, second] = startPair(store);
		const again = createJobStore(before(store, first));
		assert.deepEqual(running(again), [second.unit]);
		end(again, second, RunEnds.lapsed);
		assert.deepEqual(planned(again).map(run => run.unit), [unit(0, 1)]);
	});

	it('should get one checkpoint', () => {
		const store = storeOf();
		for (const run of startPair(store)) {
			end(store, run, RunEnds.lost);
		}

		const snapshot = structuredClone(store.snapshot());
		snapshot.jobs[0]!.occurrences[0]!.steps[0]![1]!.checkpoint = 'half';
		const again = createJobStore(snapshot);
		assert.deepEqual([0, 1].map(index => again.find(unit(index))!.unit.checkpoint), ['half', 'half']);
	});
});

describe('any order of starts and ends of gangs', () => {
	it('should leave no open job that neither runs nor can start, and the same state after a snapshot at any point', () => {
		const action = fc.record({index: fc.nat(4), how: fc.constantFrom(...Object.values(RunEnds)), checkpoint: fc.constantFrom('', 'c1', 'c2')});
		fc.assert(fc.property(fc.array(action, {maxLength: 25}), fc.nat(25), (actions, cut) => {
			const stores = [0, 1].map(() => storeOf([gangOf({count: 3}), gangOf({dependsOn: [0]})], {times: 2, startAtMs: 1, intervalMs: 1}, 4)) as [JobStore, JobStore];
			for (const [position, {index, how, checkpoint}] of actions.entries()) {
				const starts = planned(stores[0]);
				assert.deepEqual(planned(stores[1]), starts);
				const runs = recorded(stores[0]);
				const run = [...runs, ...starts][index % Math.max(1, runs.length + starts.length)];
				for (const store of stores) {
					store.apply({type: 'runs-start', lives, runs: starts});
					if (run) {
						end(store, run, how, checkpoint);
					}
				}

				if (position === cut) {
					stores[1] = restored(stores[1]);
				}

				const [store] = stores;
				assert.deepEqual(restored(stores[1]).snapshot(), restored(store).snapshot());
				const isOver = !['queued', 'running'].includes(stateOf(store));
				assert.ok(isOver || running(store).length > 0 || planned(store).length > 0, `after ${position + 1} ends`);
				assert.ok(checkpoints(store).every(({size}) => size === 1));
			}
		}), {seed: 36, numRuns: 400});
	});
});
