import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createRelayedCalls, silentLogs, type WorkerPort} from '@bronzebend/daemon';
import type {ClockReading} from '@bronzebend/wire';
import {lifeNamed} from '../../fixtures/job-fixtures.js';

/** Amount by which the other keeper's clock is ahead of the leader's, in milliseconds. */
const KEEPER_AHEAD_MS = 5000;
const order = {unit: 'unit', attempt: 1, fence: 3};

const unused = async (): Promise<never> => {
	throw new Error('a direct call');
};

const directPort: WorkerPort = {
	hold: unused, start: unused, stop: unused, pace: unused, close: () => undefined,
};

describe('the latest time for a relayed call', () => {
	// A leader that woke up sent starts that it had collected seconds before, and they were made.
	it('should count from when the call was collected, even if the leader is paused before it leaves', async () => {
		let nowMs = 1000;
		const limits: Array<ClockReading | undefined> = [];
		const reading = (): ClockReading => ({process: 'p', clockMs: nowMs + KEEPER_AHEAD_MS});
		const calls = createRelayedCalls({
			clock: {wallMs: () => nowMs, monotonicMs: () => nowMs},
			log: silentLogs('test'),
			term: 3,
			direct: () => directPort,
			liveKeepers: () => ['a'],
			send(_to, message) {
				if (message.type === 'worker-calls' && message.batch.calls.length > 0) {
					limits.push(message.sendBy);
				}
			},
		});
		calls.receive('a', [], reading());
		const result = calls.connect(lifeNamed('w1')).stop(order);
		// The call is collected within a few turns of the event loop.
		for (let turn = 0; turn < 20; turn += 1) {
			await Promise.resolve();
		}

		nowMs += 3000;
		while (limits.length === 0) {
			await new Promise(resolve => {
				setTimeout(resolve, 5);
			});
		}

		calls.close();
		await result;
		assert.ok(limits[0]!.clockMs < nowMs + KEEPER_AHEAD_MS, `${limits[0]!.clockMs}`);
	});

	it('should count from when the call was made, even if the leader is paused while it waits for the first reading', async () => {
		let nowMs = 1000;
		const limits: Array<ClockReading | undefined> = [];
		const calls = createRelayedCalls({
			clock: {wallMs: () => nowMs, monotonicMs: () => nowMs},
			log: silentLogs('test'),
			term: 3,
			direct: () => directPort,
			liveKeepers: () => ['a'],
			send(_to, message) {
				if (message.type === 'worker-calls' && message.batch.calls.length > 0) {
					limits.push(message.sendBy);
				}
			},
		});
		const result = calls.connect(lifeNamed('w1')).stop(order);
		nowMs += 3000;
		calls.receive('a', [], {process: 'p', clockMs: nowMs + KEEPER_AHEAD_MS});
		// Longer than calls are collected for.
		await new Promise(resolve => {
			setTimeout(resolve, 30);
		});
		calls.close();
		await result;
		assert.deepEqual(limits.filter(limit => limit!.clockMs >= nowMs + KEEPER_AHEAD_MS), []);
	});
});
