import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	createSuspendAwareClock, createWorkerDirectory, systemClock, type JobAnswer, type JobCall,
} from '@bronzebend/core';
import {createGroupClient, silentLogs} from '@bronzebend/daemon';
import {listenControl} from '@bronzebend/platform/control-server';
import type {PeerMessage} from '@bronzebend/wire';
import {request} from '@bronzebend/utils/platform-stand-ins';

const HOST = '127.0.91.31';
const PORT = 17_431;
/** Jump of the wall clock, far longer than the timeout of any call. */
const JUMP_MS = 5000;

describe('control server', () => {
	it('should still answer after the wall clock was set forward or the machine was suspended', async () => {
		let jumpMs = 0;
		const clock = createSuspendAwareClock({wallMs: () => systemClock.wallMs() + jumpMs, monotonicMs: systemClock.monotonicMs});
		const group = createGroupClient({
			node: 'me',
			seeds: () => ['a'],
			clock,
			log: silentLogs('test'),
			send(to: string, message: PeerMessage) {
				setImmediate(() => {
					if (message.type === 'view-query') {
						group.receive(to, {type: 'view', view: {leader: 'a', members: ['a'], leading: true}});
					} else if (message.type === 'job-call') {
						group.receive(to, {type: 'job-answer', id: message.id, answer: {type: 'manifest', document: '{"version":1}'}});
					}
				});
			},
		});
		const control = await listenControl(`${HOST}:${PORT}`, {
			group, directory: createWorkerDirectory(), clock: systemClock, log: silentLogs('test'), controlAddressOf: node => node,
		});
		const read = async (): Promise<number> => {
			const {status} = await request('GET', HOST, PORT, {path: '/Config.Read'});
			return status;
		};

		const before = await read();
		jumpMs = JUMP_MS;
		const after = [await read(), await read()];
		control.close();
		group.close();
		assert.equal(before, 200);
		assert.deepEqual(after, [200, 200]);
	});

	it('should answer the calls of operators who evacuate a data centre', async context => {
		const calls: JobCall[] = [];
		const answers: JobAnswer[] = [{type: 'evacuation', changed: true}, {type: 'evacuation', changed: false}, {type: 'unknown-data-centre'}, {type: 'last-data-centre'}, {
			type: 'unavailable', reason: 'group-forming', mayHaveRun: false, retryAfterMs: 500,
		}, {
			type: 'unavailable', reason: 'outcome-unknown', mayHaveRun: true, retryAfterMs: 500,
		}];
		const group = createGroupClient({
			node: 'me',
			seeds: () => ['a'],
			clock: systemClock,
			log: silentLogs('test'),
			send(to: string, message: PeerMessage) {
				setImmediate(() => {
					if (message.type === 'view-query') {
						group.receive(to, {type: 'view', view: {leader: 'a', members: ['a'], leading: true}});
					} else if (message.type === 'job-call') {
						group.receive(to, {type: 'job-answer', id: message.id, answer: answers[calls.push(message.call) - 1]!});
					}
				});
			},
		});
		context.after(group.close);
		const control = await listenControl(`${HOST}:${PORT + 2}`, {
			group, directory: createWorkerDirectory(), clock: systemClock, log: silentLogs('test'), controlAddressOf: node => node,
		});
		context.after(control.close);
		const results: unknown[] = [];
		for (const path of ['Begin/zone-1', 'Terminate/zone-1', 'Begin/no%20zone', 'Begin/zone-2', 'Begin/zone-3', 'Terminate/zone-3', 'Begin/%E0%A4%A']) {
			const {status, body} = await request('POST', HOST, PORT + 2, {path: `/Evacuations.${path}`});
			results.push(status === 200 ? body : status);
		}

		assert.deepEqual(results, [{changed: true}, {changed: false}, 422, 409, 503, 504, 400]);
		assert.deepEqual(calls, [
			{type: 'evacuate', dataCentre: 'zone-1'}, {type: 'end-evacuation', dataCentre: 'zone-1'}, {type: 'evacuate', dataCentre: 'no zone'}, {type: 'evacuate', dataCentre: 'zone-2'}, {type: 'evacuate', dataCentre: 'zone-3'}, {type: 'end-evacuation', dataCentre: 'zone-3'},
		]);
	});

	it('should report a new life of a worker to a leader on the same node as new', async context => {
		const directory = createWorkerDirectory();
		const effects: string[] = [];
		const group = createGroupClient({
			node: 'me',
			seeds: () => ['me'],
			clock: systemClock,
			log: silentLogs('test'),
			send(to: string, message: PeerMessage) {
				setImmediate(() => {
					if (message.type === 'view-query') {
						group.receive(to, {type: 'view', view: {leader: 'me', members: ['me'], leading: true}});
					} else if (message.type === 'job-call' && message.call.type === 'announce') {
						effects.push(directory.announce(message.call.announcement, systemClock.monotonicMs()));
						group.receive(to, {type: 'job-answer', id: message.id, answer: {type: 'noted'}});
					}
				});
			},
		});
		context.after(group.close);
		const control = await listenControl(`${HOST}:${PORT + 1}`, {
			group, directory, clock: systemClock, log: silentLogs('test'), controlAddressOf: node => node,
		});
		const report = async (born: number, seq: number): Promise<number> => {
			const {status} = await request('POST', HOST, PORT + 1, {
				path: '/Instances.Heartbeat/w1', body: {
					service: 'bench', addr: '10.0.0.1:80', zone: 'a', state: 'ready', seq, born, capacity: {cpu: 4000, 'mem-mb': 4000, gpu: 0}, labels: [],
				},
			});
			return status;
		};

		const statuses = [await report(1, 1), await report(1, 2), await report(2, 1)];
		control.close();
		assert.deepEqual(statuses, [200, 200, 200]);
		assert.deepEqual(effects, ['new-life', 'updated', 'new-life']);
	});
});
