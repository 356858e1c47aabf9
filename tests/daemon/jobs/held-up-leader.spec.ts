import assert from 'node:assert/strict';
import {describe, it, type TestContext} from 'node:test';
import {unpackCalls, type OrderResult, type RelayedCall} from '@bronzebend/core';
import {createRelayedCalls, silentLogs, type WorkerPort} from '@bronzebend/daemon';
import {lifeNamed} from '../../fixtures/job-fixtures.js';

const done: OrderResult = {type: 'done'};
const stopOf = (number: number) => ({unit: `unit-${number}`, attempt: 1, fence: 3});

const pause = async (milliseconds: number): Promise<void> => new Promise(resolve => {
	setTimeout(resolve, milliseconds);
});

const setUp = (t: TestContext, live: string[]) => {
	const relayed: Array<RelayedCall & {to: string}> = [];
	const directCalls: string[] = [];
	const state = {live};
	const port: WorkerPort = {
		hold: async () => ({type: 'unsent', cause: 'not part of the test'}),
		start: async () => done,
		async stop({unit}) {
			directCalls.push(unit);
			return done;
		},
		pace: async () => done,
		close: () => undefined,
	};
	const calls = createRelayedCalls({
		clock: {wallMs: () => 1000, monotonicMs: () => 1000},
		log: silentLogs('test'),
		term: 3,
		direct: () => port,
		liveKeepers: () => state.live,
		send(to, message) {
			if (message.type !== 'worker-calls') {
				return;
			}

			const sent = unpackCalls(message.batch);
			relayed.push(...sent.map(call => ({...call, to})));
			queueMicrotask(() => {
				calls.receive(to, sent.map(({id}) => ({id, result: done})), {process: `process of ${to}`, clockMs: 1000});
			});
		},
	});
	t.after(() => {
		calls.close();
	});
	return {
		calls, relayed, directCalls, state,
	};
};

describe('a leader that was held up', () => {
	// It had no contact with any keeper meanwhile, and has it again before the next check.
	it('should relay its calls as soon as a keeper answers again', async t => {
		const {calls, relayed, directCalls, state} = setUp(t, ['a', 'b']);
		const ports = [1, 2, 3, 4].map(number => calls.connect(lifeNamed(`w${number}`)));
		await Promise.all(ports.map(async (port, number) => port.stop(stopOf(number))));
		state.live = [];
		await pause(120);
		state.live = ['b'];
		await Promise.all(ports.map(async (port, number) => port.stop(stopOf(number))));
		assert.deepEqual([relayed.length, relayed.slice(4).map(({to}) => to), directCalls], [8, ['b', 'b', 'b', 'b'], []]);
	});

	it('should make its calls itself while no keeper answers', async t => {
		const {calls, relayed, directCalls, state} = setUp(t, ['a']);
		const port = calls.connect(lifeNamed('w1'));
		await port.stop(stopOf(0));
		state.live = [];
		await pause(120);
		await port.stop(stopOf(1));
		assert.deepEqual([relayed.length, directCalls], [1, ['unit-1']]);
	});
});
