import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	createIdleTimes, createRunEstimates, findLongWaits, planStarts, type JobStep, type JobStore, type LongWaitInput, type SchedulableWorker, type WaitReason, type WorkerLife,
} from '@bronzebend/core';
import {
	storeWith, lifeNamed, manifestOf, orderOf, queueOf, stepOf,
} from '../../fixtures/job-fixtures.js';

const worker: SchedulableWorker & WorkerLife = {...lifeNamed('w1'), slowness: 1};
const other: SchedulableWorker & WorkerLife = {...lifeNamed('w2'), slowness: 1};
const large = stepOf({resources: {cpu: 3000, memoryMb: 100, gpu: 0}});

const waitsIn = (store: JobStore, workers: SchedulableWorker[], changes: Partial<LongWaitInput> = {}) => findLongWaits({
	store, workers, wallMs: 10_000, idleTimes: createIdleTimes(), avoided: () => undefined, approved: () => undefined, cutSteps: new Map(), ...changes,
});

const reasonFor = (step: JobStep, workers: SchedulableWorker[], manifest = manifestOf(), changes: Partial<LongWaitInput> = {}): WaitReason | undefined => waitsIn(storeWith([orderOf('a', [step])], manifest), workers, changes)[0]?.reason;

const unitOf = (job: string, index = 0): string => `${job.padEnd(16, '0')}.0.0.${index}`;

const start = (store: JobStore, unit: string, life = worker): void => {
	store.apply({type: 'runs-start', lives: [life], runs: [{unit, attempt: 1, life: life.life}]});
};

describe('long waits', () => {
	it('should report the reason why a job has not started', () => {
		const [north, south] = manifestOf().workspaces;
		const limited = manifestOf({workspaces: [{...north!, cap: {cpu: 500, memoryMb: 0, gpu: 0}}, south!]});
		assert.equal(reasonFor(large, []), 'no-worker');
		assert.equal(reasonFor(stepOf({label: 'rack-2'}), [worker]), 'no-label');
		assert.equal(reasonFor(stepOf({resources: {cpu: 9000, memoryMb: 100, gpu: 0}}), [worker]), 'too-large');
		assert.equal(reasonFor(large, [worker], limited), 'workspace-limit');
		assert.equal(reasonFor(large, [worker]), 'not-placed');
	});

	it('should distinguish a full pool from a job that was not placed', () => {
		const store = storeWith([orderOf('a', [large]), orderOf('b', [large])]);
		start(store, unitOf('a'));
		const [wait, ...others] = waitsIn(store, [worker]);
		assert.equal(wait?.reason, 'no-room');
		assert.equal(wait?.jobs, 1);
		assert.equal(wait?.unit, unitOf('b'));
		assert.deepEqual(others, []);
	});

	it('should not report jobs that were accepted recently', () => {
		const store = storeWith([orderOf('a', [large])]);
		assert.deepEqual(waitsIn(store, [], {wallMs: 1000}), []);
		assert.deepEqual(waitsIn(store, [], {wallMs: 2999}), []);
		assert.equal(waitsIn(store, [], {wallMs: 3000}).length, 1);
	});

	it('should tell a missing decision of the policy from one that excludes all workers with room', () => {
		const advised = manifestOf({queues: [queueOf({recommendation: {decisionMs: 1, periodMs: 1, validityMs: 1}})]});
		assert.equal(reasonFor(large, [worker], advised), 'awaits-advice');
		assert.equal(reasonFor(large, [worker], advised, {approved: () => new Set(['another'])}), 'not-approved');
		assert.equal(reasonFor(large, [worker], advised, {approved: () => new Set([worker.life])}), 'not-placed');
	});

	it('should report that only avoided workers have room', () => {
		const store = storeWith([orderOf('a', [large]), orderOf('b', [large])]);
		start(store, unitOf('a'), other);
		assert.equal(waitsIn(store, [worker, other], {avoided: () => ({lives: new Set([worker.life]), areBarred: true})})[0]?.reason, 'only-avoided');
		assert.equal(waitsIn(store, [worker, other], {avoided: () => ({lives: new Set([worker.life]), areBarred: false})})[0]?.reason, 'not-placed');
	});

	it('should report that each worker runs as many of a step as it may', () => {
		const store = storeWith([orderOf('a', [stepOf({count: 2, perWorker: 1, lasting: true})])]);
		start(store, unitOf('a'));
		assert.equal(waitsIn(store, [worker])[0]?.reason, 'per-worker-limit');
		assert.equal(waitsIn(store, [worker, other])[0]?.reason, 'not-placed');
	});

	it('should tell when several rules together leave no worker, and how many each rules out', () => {
		const store = storeWith([orderOf('a', [stepOf({count: 2, perWorker: 1, lasting: true})])]);
		start(store, unitOf('a'));
		const [wait] = waitsIn(store, [worker, other], {avoided: () => ({lives: new Set([other.life]), areBarred: true})});
		assert.equal(wait?.reason, 'combined-rules');
		assert.deepEqual(wait.ruledOut, {
			label: 0, room: 0, policy: 0, avoided: 1, 'per-worker': 1,
		});
	});

	it('should tell a gang that does not fit from one with members that still run', () => {
		assert.equal(reasonFor(stepOf({count: 5, gang: true}), [worker]), 'gang-no-room');
		assert.equal(reasonFor(stepOf({count: 4, gang: true}), [worker]), 'not-placed');
		const store = storeWith([orderOf('a', [stepOf({count: 2, gang: true, lasting: true})])]);
		start(store, unitOf('a'));
		assert.equal(waitsIn(store, [worker])[0]?.reason, 'gang-incomplete');
	});

	it('should report the step that a pass did not reach, and how much it left', () => {
		const store = storeWith([orderOf('a', [stepOf({count: 3, resources: {cpu: 10, memoryMb: 1, gpu: 0}})]), orderOf('b', [stepOf({count: 4})])]);
		const {starts, cutSteps} = planStarts({
			store, manifest: store.manifest()!, workers: [worker, other], estimates: createRunEstimates(), wallMs: 100, avoided: () => undefined, approved: () => undefined, maxStarts: 3,
		});
		assert.equal(starts.length, 3);
		assert.deepEqual([...cutSteps.values()], [{pool: 'bench', left: 4}]);
		store.apply({type: 'runs-start', lives: [worker, other], runs: starts});
		const [wait] = waitsIn(store, [worker, other], {cutSteps});
		assert.equal(wait?.unit, unitOf('b'));
		assert.equal(wait?.reason, 'pass-limit');
	});

	it('should report an idle lasting work unit beside its running fellows, from the end of its last run', () => {
		const store = storeWith([orderOf('a', [stepOf({count: 3, lasting: true, resources: {cpu: 3000, memoryMb: 1, gpu: 0}})])]);
		const idleTimes = createIdleTimes();
		start(store, unitOf('a'));
		start(store, unitOf('a', 1), other);
		const {job, unit} = store.find(unitOf('a', 2))!;
		idleTimes.ended(job, unit, true, 2000);
		assert.deepEqual(waitsIn(store, [worker, other], {idleTimes, wallMs: 7999}), []);
		const [wait] = waitsIn(store, [worker, other], {idleTimes, wallMs: 8000});
		assert.deepEqual(wait, {
			pool: 'bench', jobs: 1, units: 1, lasting: 1, unit: unitOf('a', 2), waitedMs: 6000, reason: 'no-room', reasons: new Map([['no-room', 1]]), usableWorkers: 2,
			ruledOut: {
				label: 0, room: 2, policy: 0, avoided: 0, 'per-worker': 0,
			},
		});
	});

	it('should count a job between two steps from the end of its last run', () => {
		const store = storeWith([orderOf('a', [large, stepOf({dependsOn: [0]})])]);
		const idleTimes = createIdleTimes();
		start(store, unitOf('a'));
		store.apply({
			type: 'runs-over', life: worker.life, atMs: 9000, runs: [{
				unit: unitOf('a'), attempt: 1, how: 'done', checkpoint: '',
			}],
		});
		const {job, unit} = store.find(unitOf('a'))!;
		idleTimes.ended(job, unit, false, 9000);
		assert.deepEqual(waitsIn(store, [worker], {idleTimes}), []);
		assert.equal(waitsIn(store, [worker], {idleTimes, wallMs: 12_000})[0]?.waitedMs, 3000);
	});

	it('should name a lasting work unit before jobs that wait longer, and count the reasons of all', () => {
		const store = storeWith([orderOf('a', [stepOf({count: 3})]), orderOf('b', [stepOf({lasting: true, resources: {cpu: 9000, memoryMb: 1, gpu: 0}})])]);
		const [wait] = waitsIn(store, [worker]);
		assert.equal(wait?.unit, unitOf('b'));
		assert.equal(wait?.lasting, 1);
		assert.equal(wait?.units, 4);
		assert.deepEqual(wait?.reasons, new Map([['too-large', 1], ['not-placed', 3]]));
	});
});
