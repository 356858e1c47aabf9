import assert from 'node:assert/strict';
import {afterEach, describe, it} from 'node:test';
import {type JobAnswer, systemClock} from '@bronzebend/core';
import {type GroupClient, silentLogs} from '@bronzebend/daemon';
import {listenCallers} from '@bronzebend/platform/caller-server';
import {request, type Answer} from '@bronzebend/utils/platform-stand-ins';

const HOST = '127.0.95.1';
/** Each test has a host of its own, since the client keeps connections open. */
const OTHER_HOST = '127.0.95.2';
const PORT = 17_420;

describe('the server for callers', {timeout: 20_000}, () => {
	const open: Array<{close(): void}> = [];

	afterEach(() => {
		for (const server of open.splice(0)) {
			server.close();
		}
	});

	// A short text counts as one step more. Guards against an entry that runs out of memory because many long jobs are decoded and wait for the leader at once.
	it('should refuse a job whose steps are too many beside those of other calls, and serve it once these are answered', async () => {
		const waiting: Array<(answer: JobAnswer) => void> = [];
		const group = {
			maxBodyBytes: () => undefined, leader: () => 'k:1', call: async () => new Promise<JobAnswer>(resolve => {
				waiting.push(resolve);
			}),
		} as unknown as GroupClient;
		open.push(await listenCallers(`${HOST}:${PORT}`, {
			group, clock: systemClock, log: silentLogs('test'), maxSteps: () => 12,
		}));
		const submit = async (id: number, steps: number): Promise<Answer> => request('POST', HOST, PORT, {path: `/quotes/${String(id).padStart(16, '0')}`, body: {steps: Array.from({length: steps}, () => ({count: 1}))}});

		const first = submit(1, 8);
		while (waiting.length === 0) {
			await new Promise(setImmediate);
		}

		const refused = await submit(2, 3);
		assert.deepEqual([refused.status, waiting.length], [503, 1]);
		const small = submit(3, 2);
		while (waiting.length < 2) {
			await new Promise(setImmediate);
		}

		for (const answer of waiting.splice(0)) {
			answer({type: 'accepted'});
		}

		const answered = await Promise.all([first, small]);
		assert.deepEqual(answered.map(({status}) => status), [200, 200]);
		const again = submit(2, 3);
		while (waiting.length === 0) {
			await new Promise(setImmediate);
		}

		waiting[0]!({type: 'accepted'});
		const served = await again;
		assert.equal(served.status, 200);
	});

	it('should answer 400 to more steps than a job may have, without decoding them', async () => {
		const group = {maxBodyBytes: () => undefined, leader: () => undefined} as unknown as GroupClient;
		open.push(await listenCallers(`${OTHER_HOST}:${PORT}`, {group, clock: systemClock, log: silentLogs('test')}));
		const answer = await request('POST', OTHER_HOST, PORT, {path: '/quotes/0000000000000001', body: {steps: Array.from({length: 20_001}, () => 1)}});
		assert.equal(answer.status, 400);
	});
});
