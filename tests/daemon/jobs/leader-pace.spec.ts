import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type Machine, systemClock} from '@bronzebend/core';
import {
	createJobLeader, createJobMetrics, silentLogs, type WorkerPort,
} from '@bronzebend/daemon';
import {createSchedulingState, GROWN_SITE, type StateSize} from '@bronzebend/utils/scheduling-state';
import {stepOf} from '../../fixtures/job-fixtures.js';

/** Scheduling passes per second at most; each costs a commit, and ten passes are enough for 2,000 starts. */
const MAX_PASSES_PER_S = 100;
/** Reads of each machine per scheduling pass or machine control step at most. */
const MAX_READS_PER_MACHINE = 20;
/** Interval of the machine control steps, in milliseconds. */
const STEP_INTERVAL_MS = 200;
/** Time for which the leader runs, in milliseconds. */
const RUN_MS = 1500;
/** Interval of submitted jobs, in milliseconds. */
const SUBMIT_INTERVAL_MS = 2;

const ignore = (): void => undefined;

/** Runs a leader while jobs are submitted; counts its scheduling passes and its reads of machines. */
const runLeader = async (size: StateSize): Promise<{passes: number; reads: number}> => {
	const {store, directory, machines} = createSchedulingState(size, {wallMs: systemClock.wallMs(), nowMs: systemClock.monotonicMs()});
	const metrics = createJobMetrics();
	let reads = 0;
	let submitted = 0;
	const listed = machines.map(machine => new Proxy(machine, {
		get(target, name: keyof Machine) {
			reads += 1;
			return target[name];
		},
	}));
	const port: WorkerPort = {
		hold: async () => new Promise(ignore), start: async () => ({type: 'done'}), stop: async () => ({type: 'done'}), pace: async () => ({type: 'done'}), close: ignore,
	};
	const leader = createJobLeader({
		node: 'keeper',
		clock: systemClock,
		logs: silentLogs,
		metrics,
		directory,
		connect: () => port,
		machines: {
			list: async () => ({machines: listed, unreadable: []}), move: async () => ({type: 'rejected', reason: 'busy'}), upkeep: async () => ({type: 'rejected', reason: 'busy'}),
		},
		leaseMs: 4000,
		maxLeaseMs: 10_000,
		maxStopMs: 200,
		holderLeaseMs: 3000,
		reportMs: 60_000,
		shareWorkers: ignore,
		send: ignore,
	}, {
		term: 1, store, propose: async command => store.apply(command), isLeading: () => true, liveKeepers: () => [], orderAppliedMs: () => undefined,
	});
	const timer = setInterval(() => {
		submitted += 1;
		void leader.answer({
			type: 'submit',
			target: {host: 'desk.example', path: `/second/${submitted.toString(16).padStart(16, 'f')}`, key: 'key-1'},
			job: {
				spec: '', steps: [stepOf({resources: {cpu: 1, memoryMb: 1, gpu: 0}})], times: 1, startAtMs: 0, intervalMs: 0,
			},
		});
	}, SUBMIT_INTERVAL_MS);
	await new Promise(resolve => {
		setTimeout(resolve, RUN_MS);
	});
	clearInterval(timer);
	leader.stop();
	const {values} = await metrics.planSeconds.get();
	return {passes: values.find(value => value.metricName?.endsWith('_count'))?.value ?? 0, reads};
};

describe('a leader with many jobs and machines', () => {
	it('should find a worker\'s machine without searching all machines', async () => {
		const {passes, reads} = await runLeader(GROWN_SITE);
		assert.ok(passes > 0);
		assert.ok(reads <= MAX_READS_PER_MACHINE * GROWN_SITE.workers * (passes + (RUN_MS / STEP_INTERVAL_MS)), `${reads} reads in ${passes} passes`);
	});

	it('should collect new jobs and ended runs between two passes', async () => {
		const {passes} = await runLeader({
			...GROWN_SITE, workers: 10, running: 20, waitingJobs: 0,
		});
		assert.ok(passes > 0);
		assert.ok(passes <= MAX_PASSES_PER_S * RUN_MS / 1000, `${passes} passes`);
	});
});
