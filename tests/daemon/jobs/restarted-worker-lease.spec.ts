import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	createJobMetrics, createWorkerSession, silentLogs, type WorkerPort,
} from '@bronzebend/daemon';
import {createLife, type SoakRun} from '@bronzebend/utils/soak/worker-life';
import {
	lifeNamed, orderOf, stepOf, storeWith,
} from '../../fixtures/job-fixtures.js';

const unit = `${'a'.padEnd(16, '0')}.0.0.0`;
const LEASE_MS = 4000;
const MAX_LEASE_MS = 10_000;

describe('the lease of a worker that has started again under its ID', () => {
	it('should count as running while a call for the earlier life may have extended it', async () => {
		let nowMs = 1000;
		let isMute = false;
		const clock = {wallMs: () => nowMs, monotonicMs: () => nowMs};
		const runs: SoakRun[] = [];
		const worker = createLife({
			id: 'w1', clock, clockRate: 1, cpu: 1000, maxLeaseMs: MAX_LEASE_MS, workOf: () => ({runMs: Infinity, cpu: 500}), runs, record: () => undefined,
		});
		// A poll of an earlier leader, with the time of the earlier life's clock.
		await worker.handle('/hold', 'w1', {'fencing-token': 1, 'expires-ms': 300_000});

		const order = async (path: string, body: Record<string, unknown>) => {
			await new Promise(resolve => {
				setImmediate(resolve);
			});
			nowMs += 20;
			const answer = await worker.handle(path, 'w1', {'fencing-token': 2, ...body});
			return isMute ? {type: 'unknown', cause: 'no answer'} as const : answer;
		};

		const port: WorkerPort = {
			async hold({expiresMs, ackSeq}) {
				const answer = await order('/hold', {'expires-ms': expiresMs, 'ack-seq': ackSeq, 'wait-ms': 0});
				const active = runs.filter(run => run.how === '').map(run => ({
					unit: run.task, attempt: run.attempt, checkpoint: '', percent: 100, load: 0,
				}));
				const lists = {
					clockMs: worker.clockMs(), active, finished: [], isCut: false,
				};
				return 'type' in answer ? answer : {type: 'lists', lists};
			},
			async start({unit: task, attempt, spec, expiresMs}) {
				const answer = await order('/run-start', {
					task, attempt, spec, 'expires-ms': expiresMs,
				});
				return 'type' in answer ? answer : {type: 'done'};
			},
			stop: async () => ({type: 'unknown', cause: 'no answer'}),
			pace: async () => ({type: 'done'}),
			close: () => undefined,
		};
		const store = storeWith([orderOf('a', [stepOf({lasting: true})])]);
		const life = lifeNamed('w1');
		const runningAtEnd: number[] = [];
		const session = createWorkerSession({
			life, store, port, clock, fence: 2, leaseMs: LEASE_MS, maxLeaseMs: MAX_LEASE_MS, maxStopMs: 200, inherited: false, hasEarlierLife: true, announcedClock: {clockMs: 0, receivedMs: nowMs}, log: silentLogs('test'), metrics: createJobMetrics(),
			recordEnds: async () => true,
			onPolled: () => undefined,
			onStartAccepted: () => undefined,
			onRunSeen: () => undefined,
			onStartFailed: () => undefined,
			onUnreachable: () => undefined,
			onLifeOver: () => undefined,
			onEnded() {
				worker.settle();
				runningAtEnd.push(worker.running());
			},
			isLeading: () => true,
		});
		store.apply({type: 'runs-start', lives: [life], runs: [{unit, attempt: 1, life: life.life}]});
		session.start({unit, attempt: 1, life: life.life}, undefined);
		for (let turn = 0; turn < 2000 && runningAtEnd.length === 0; turn += 1) {
			await new Promise(resolve => {
				setTimeout(resolve, 5);
			});
			isMute ||= session.track.runs.get(unit)?.phase.type === 'confirmed';
			nowMs += 50;
		}

		session.close();
		assert.equal(runs.length, 1);
		assert.deepEqual(runningAtEnd, [0]);
	});
});
