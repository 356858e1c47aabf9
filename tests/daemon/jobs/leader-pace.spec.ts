import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type Machine, systemClock} from '@bronzebend/core';
import {
	createJobLeader, createJobMetrics, silentLogs, type WorkerPort,
} from '@bronzebend/daemon';
import {createSchedulingState, GROWN, type StateSize} from '@bronzebend/utils/scheduling-state';
import {stepOf} from '../../fixtures/job-fixtures.js';

/** Passes in a second at most: each costs a commit, and 2,000 starts a second fit into ten of them. */
const MOST_PASSES = 100;
/** Reads of each machine that a pass, or a step on the machines, may take. */
const MOST_READS = 20;
/** Pause between two steps on the machines, in milliseconds. */
const STEP_MS = 200;
const SPAN_MS = 1500;
/** Pause between two jobs that are handed in, in milliseconds. */
const SUBMIT_MS = 2;

const ignore = (): void => undefined;

/** Lets a leader work for a while as jobs come in, and counts its passes and how often it read a machine. */
const play = async (size: StateSize): Promise<{passes: number; reads: number}> => {
	const {book, directory, machines} = createSchedulingState(size, {wallMs: systemClock.wallMs(), nowMs: systemClock.monotonicMs()});
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
			list: async () => listed, move: async () => ({type: 'rejected', reason: 'busy'}), upkeep: async () => ({type: 'rejected', reason: 'busy'}),
		},
		leaseMs: 4000,
		holderLeaseMs: 3000,
		reportMs: 60_000,
		tell: ignore,
		send: ignore,
	}, {
		term: 1, book, propose: async command => book.apply(command), isLeading: () => true, liveKeepers: () => [], orderAppliedMs: () => undefined,
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
	}, SUBMIT_MS);
	await new Promise(resolve => {
		setTimeout(resolve, SPAN_MS);
	});
	clearInterval(timer);
	leader.stop();
	const {values} = await metrics.planSeconds.get();
	return {passes: values.find(value => value.metricName?.endsWith('_count'))?.value ?? 0, reads};
};

describe('a leader in the middle of a queue\'s turn', () => {
	it('should find a worker\'s machine without a search through all machines', async () => {
		const {passes, reads} = await play(GROWN);
		assert.ok(passes > 0);
		assert.ok(reads <= MOST_READS * GROWN.workers * (passes + (SPAN_MS / STEP_MS)), `${reads} reads in ${passes} passes`);
	});

	it('should let jobs and ends gather between two passes', async () => {
		const {passes} = await play({
			...GROWN, workers: 10, running: 20, waitingJobs: 0,
		});
		assert.ok(passes > 0);
		assert.ok(passes <= MOST_PASSES * SPAN_MS / 1000, `${passes} passes`);
	});
});
