import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createRandom} from '@bronzebend/core';
import type {WorkerRun} from '@bronzebend/utils/platform-stand-ins';
import {findCause, faultsNear, type LogLine} from '@bronzebend/utils/soak/breaks';
import {
	drawEvacuations, EVACUATE_MS, findEvacuationBreaks, type SeenEvacuation,
} from '@bronzebend/utils/soak/evacuations';
import {endOf, findViolations, type JobRecord} from '@bronzebend/utils/soak/ledger';
import {drawFaults, type Fault, workerKinds} from '@bronzebend/utils/soak/schedule';
import {createLife, type SoakRun} from '@bronzebend/utils/soak/worker-life';

const runOf = (changes: Partial<WorkerRun>): WorkerRun => ({
	task: 'j.0.0.0', attempt: 1, worker: 'w-1', startMs: 0, endMs: 10, how: 'done', end: 'noted', ...changes,
});
const soakRunOf = (changes: Partial<SoakRun>): SoakRun => ({
	...runOf({}), born: 5, fence: 1, isLate: false, ...changes,
});
const jobOf = (statuses: number[], lastState?: string): JobRecord => ({
	id: 'j', queue: '/q/', key: 'k', statuses, lastState, units: 1, isCancelled: false, isLasting: false,
});
const rulesOf = (jobs: JobRecord[], runs: WorkerRun[], versions = [1, 1]): string[] => findViolations({
	jobs, runs, acknowledgedVersion: versions[0]!, readVersion: versions[1]!,
}).map(({rule}) => rule);

describe('the ledger of a soak', () => {
	it('should find each broken promise', () => {
		assert.deepEqual(rulesOf([jobOf([504, 200], 'running')], []), ['accepted-job-lost']);
		assert.deepEqual(rulesOf([jobOf([429, 503])], [runOf({})]), ['refused-job-ran']);
		assert.deepEqual(rulesOf([], [runOf({endMs: Infinity}), runOf({attempt: 2, startMs: 5})]), ['two-runs-at-once']);
		assert.deepEqual(rulesOf([], [runOf({attempt: 2, startMs: 20}), runOf({})]), ['run-again-after-its-end']);
		assert.deepEqual(rulesOf([], [], [3, 2]), ['manifest-older']);
	});

	it('should allow what is allowed', () => {
		assert.deepEqual(rulesOf([jobOf([504, 200], 'completed'), jobOf([503, 0])], [runOf({})]), []);
		assert.deepEqual(rulesOf([], [runOf({end: 'lapsed'}), runOf({attempt: 2, startMs: 20})]), []);
		assert.deepEqual(rulesOf([], [runOf({how: 'failed'}), runOf({attempt: 2, startMs: 20})]), []);
	});

	it('should name the earlier run first, and how it ended', () => {
		const [violation] = findViolations({
			jobs: [], runs: [runOf({attempt: 2, startMs: 5}), runOf({})], acknowledgedVersion: 1, readVersion: 1,
		});
		assert.deepEqual(violation?.runs?.map(run => run.attempt), [1, 2]);
		assert.deepEqual([runOf({}), runOf({end: 'unnoted'}), runOf({how: 'lapsed'}), runOf({how: ''})].map(run => endOf(run)), ['done-noted', 'done', 'lapsed', 'running']);
	});
});

describe('the faults of a soak', () => {
	const targets = {
		keepers: 5, entries: 2, workers: 40, lengthMs: 120_000,
	};
	const draw = () => drawFaults(createRandom(7), targets);

	it('should be the same for a seed, with two keepers and one entry away at most', () => {
		assert.deepEqual(draw(), draw());
		const away = draw().filter(fault => 'process' in fault);
		assert.ok(away.length > 3);
		for (const fault of away) {
			const others = away.filter(other => other !== fault && other.type.startsWith('entry') === fault.type.startsWith('entry') && other.atMs <= fault.atMs && fault.atMs < other.atMs + other.forMs);
			assert.ok(others.length < (fault.type.startsWith('entry') ? 1 : 2));
		}
	});

	it('should overlap, and be of the kinds asked for', () => {
		const all = draw();
		assert.ok(all.some((fault, index) => all.slice(index + 1).some(other => other.type !== fault.type && other.atMs < fault.atMs + fault.forMs)));
		assert.deepEqual([...new Set(drawFaults(createRandom(7), {...targets, kinds: ['refuse']}).map(fault => fault.type))], ['refuse']);
		assert.deepEqual(drawFaults(createRandom(7), {...targets, kinds: []}), []);
	});

	it('should leave most machines in place', () => {
		const gone = drawFaults(createRandom(7), {...targets, kinds: ['gone']}).flatMap(fault => 'workers' in fault ? fault.workers : []);
		assert.equal(gone.length, 4);
		assert.ok(workerKinds.includes('gone'));
	});
});

describe('the evacuations of a soak', () => {
	it('should be the same for a seed, and some should last for longer than the bound', () => {
		const draw = () => drawEvacuations(createRandom(7), {zones: ['a', 'b', 'c'], lengthMs: 60_000});
		assert.deepEqual(draw(), draw());
		assert.ok(draw().some(({forMs}) => forMs > EVACUATE_MS));
		assert.deepEqual(drawEvacuations(createRandom(7), {zones: ['a'], lengthMs: 1000}), []);
	});

	// Guards against a check that passes whatever starts in the data centre.
	it('should find starts after the bound, and calls that were refused or not answered', () => {
		const seen = (changes: Partial<SeenEvacuation['calls'][number]> = {}): SeenEvacuation => ({
			zone: 'a', calls: [{
				call: 'Begin', zone: 'a', sentMs: 500, ackMs: 1000, attempts: 1, ...changes,
			}, {
				call: 'Terminate', zone: 'a', sentMs: 9000, ackMs: 9100, attempts: 1,
			}],
		});
		const rulesAt = (startMs: number, evacuation = seen(), worker = 'w-a'): string[] => findEvacuationBreaks([evacuation], [runOf({worker, startMs})], id => id.at(-1)).map(({rule}) => rule);
		assert.deepEqual([900, 6000, 9000].map(startMs => rulesAt(startMs)), [[], [], []]);
		assert.deepEqual(rulesAt(6001), ['start-in-evacuated']);
		assert.deepEqual(rulesAt(6001, seen(), 'w-b'), []);
		assert.deepEqual(rulesAt(6001, seen({ackMs: undefined, refusal: 409})), ['evacuation-refused']);
		assert.deepEqual(rulesAt(6001, seen({ackMs: undefined})), ['evacuation-unanswered']);
	});
});

describe('the report of a break', () => {
	const lineOf = (changes: Partial<LogLine>): LogLine => ({
		timestamp: new Date(3000).toISOString(), node: 'k-1', message: 'Worker life ended; recording its runs as lost.', worker: 'w-1@5', cause: 'gone', ...changes,
	});

	it('should name the line that gave the first run up', () => {
		const first = soakRunOf({startMs: 1000, endMs: 9000});
		const line = lineOf({});
		const others = [lineOf({worker: 'w-11@5'}), lineOf({timestamp: new Date(8000).toISOString()}), lineOf({message: 'Run placed.', unit: first.task, attempt: 1}), lineOf({
			message: 'Run over.', unit: first.task, attempt: 2, cause: undefined,
		})];
		assert.equal(findCause([...others, line], first, 4000), line);
		assert.equal(findCause(others, first, 4000), undefined);
	});

	it('should name the faults of its worker and of processes', () => {
		const faults: Fault[] = [
			{
				type: 'refuse', workers: [0], luck: 0, atMs: 500, forMs: 600,
			},
			{
				type: 'slow', workers: [1], luck: 0, atMs: 500, forMs: 600,
			},
			{
				type: 'leader-kill', process: 0, atMs: 900, forMs: 600,
			},
			{
				type: 'crash', workers: [0], luck: 0, atMs: 5000, forMs: 600,
			},
		];
		const near = faultsNear(faults, () => 0, {first: soakRunOf({startMs: 10_800}), second: soakRunOf({startMs: 12_000}), soakStartMs: 10_000});
		assert.deepEqual(near, ['refuse', 'leader-kill']);
	});
});

describe('a life of a stand-in worker', () => {
	const createWorker = () => {
		let nowMs = 1000;
		const runs: SoakRun[] = [];
		const life = createLife({
			id: 'w-1', clock: {wallMs: () => nowMs, monotonicMs: () => nowMs}, clockRate: 0.5, cpu: 1000, maxLeaseMs: 10_000, workOf: () => ({runMs: 3000, cpu: 500}), runs, record: () => undefined,
		});
		const call = async (path: string, body: Record<string, unknown>) => {
			const {status, body: answer} = await life.handle(path, 'w-1', {'fencing-token': 1, ...body});
			return [status, answer.reason];
		};

		return {
			life, runs, call, pass(milliseconds: number) {
				nowMs += milliseconds;
				life.settle();
			},
		};
	};

	const start = {
		task: 'j.0.0.0', attempt: 1, spec: '', 'expires-ms': 1000,
	};

	it('should end its runs when its lease is over on its own clock', async () => {
		const {runs, call, pass} = createWorker();
		assert.deepEqual(await call('/run-start', start), [200, undefined]);
		pass(1990);
		assert.equal(runs[0]!.how, '');
		pass(500);
		assert.deepEqual([runs[0]!.how, runs[0]!.endMs, runs[0]!.end], ['lapsed', 3000, 'lapsed']);
	});

	it('should note an acknowledged end', async () => {
		const {runs, call, pass} = createWorker();
		await call('/run-start', {...start, 'expires-ms': 4000});
		pass(3500);
		await call('/hold', {'ack-seq': 0, 'expires-ms': 9000});
		assert.deepEqual([runs[0]!.how, runs[0]!.endMs, runs[0]!.end], ['done', 4000, 'unnoted']);
		await call('/hold', {'ack-seq': 1});
		assert.equal(runs[0]!.end, 'noted');
	});

	it('should reject what the protocol has it reject', async () => {
		const {life, call} = createWorker();
		await call('/run-start', start);
		assert.deepEqual(await call('/run-start', start), [200, undefined]);
		assert.deepEqual(await call('/run-start', {...start, attempt: 2}), [409, 'old']);
		assert.deepEqual(await call('/run-start', {...start, task: 'k.0.0.0', 'fencing-token': 0}), [409, 'fence']);
		assert.deepEqual(await call('/run-start', {...start, task: 'k.0.0.0', 'expires-ms': 0}), [409, 'late']);
		await call('/run-start', {...start, task: 'k.0.0.0'});
		assert.deepEqual(await call('/run-start', {...start, task: 'l.0.0.0'}), [409, 'room']);
		const misdirected = await life.handle('/hold', 'w-0', {});
		assert.equal(misdirected.status, 421);
		await call('/run-stop', {task: 'm.0.0.0', attempt: 3});
		assert.deepEqual(await call('/run-start', {...start, task: 'm.0.0.0', attempt: 3}), [409, 'old']);
	});
});
