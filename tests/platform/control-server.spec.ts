import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createSuspendAwareClock, createWorkerDirectory, systemClock} from '@bronzebend/core';
import {createGroupClient, silentLogs} from '@bronzebend/daemon';
import {listenControl} from '@bronzebend/platform/control-server';
import type {PeerMessage} from '@bronzebend/wire';
import {request} from '../fixtures/platform-stand-ins.js';

const HOST = '127.0.91.31';
const PORT = 17_431;
/** A jump of the wall clock, far longer than any call may take. */
const JUMP_MS = 5000;

describe('the control port', () => {
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
			group, directory: createWorkerDirectory(), clock: systemClock, log: silentLogs('test'), controlOf: node => node,
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
});
