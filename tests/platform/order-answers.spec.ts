import assert from 'node:assert/strict';
import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {
	after, before, describe, it,
} from 'node:test';
import {connectWorker} from '@bronzebend/platform/worker-client';
import {lifeNamed} from '../fixtures/job-fixtures.js';

const hold = {fence: 1, ackSeq: 0, waitMs: 0};
const stop = {unit: 'a.0.0.0', attempt: 1, fence: 1};
const start = {
	...stop, spec: '', expiresMs: 1, checkpoint: '',
};

describe('the answer to an order', () => {
	const answer = {status: 200, body: '{}'};
	const server = http.createServer((_req, res) => {
		res.writeHead(answer.status).end(answer.body);
	});
	let worker: ReturnType<typeof connectWorker>;
	before(async () => {
		await new Promise<void>(resolve => {
			server.listen(0, '127.0.0.1', resolve);
		});
		worker = connectWorker(lifeNamed('w1', {address: `127.0.0.1:${(server.address() as AddressInfo).port}`}));
	});
	after(() => {
		worker.close();
		server.closeAllConnections();
		server.close();
	});

	const startAnswered = async (status: number, body: string) => {
		Object.assign(answer, {status, body});
		return worker.start(start);
	};

	const holdAnswered = async (status: number, body: string) => {
		Object.assign(answer, {status, body});
		const {type} = await worker.hold(hold);
		return type;
	};

	const proofs: Array<[number, string, string]> = [
		[409, '{"clock-ms":1,"reason":"fence"}', 'fenced'],
		[409, '{"clock-ms":1,"reason":"old"}', 'superseded'],
		[409, '{"clock-ms":1,"reason":"late"}', 'late'],
		[409, '{"clock-ms":1,"reason":"room"}', 'no-room'],
		[409, '{"clock-ms":1,"reason":"ticket"}', 'no-ticket'],
		[429, '', 'unhealthy'],
		[503, '', 'unhealthy'],
		[400, '{"clock-ms":1}', 'invalid'],
	];
	for (const [status, body, reason] of proofs) {
		it(`should show that a start had no effect if it is ${status} ${body}`, async () => {
			assert.deepEqual(await startAnswered(status, body), {type: 'rejected', reason});
		});
	}

	const doubts: Array<[number, string]> = [
		[409, '{"clock-ms":1,"reason":"busy"}'],
		[409, '{"clock-ms":1}'],
		[409, ''],
		[409, '[]'],
		[409, '{"reason":'],
		[408, ''],
		[500, ''],
		[502, ''],
		[504, ''],
		[404, ''],
		[301, ''],
		[200, '{"clock-ms":'],
	];
	for (const [status, body] of doubts) {
		// A start was taken for rejected, and its work unit started again, without a reason that says so.
		it(`should leave it open whether a start had an effect if it is ${status} ${body}`, async () => {
			const result = await startAnswered(status, body);
			assert.equal(result.type, 'unknown');
		});
	}

	for (const status of [400, 404, 409, 429, 500, 503]) {
		it(`should not be taken for lists of runs if it is ${status}`, async () => {
			assert.equal(await holdAnswered(status, '{"clock-ms":1,"active":[],"finished":[],"reason":"fence"}'), 'unknown');
		});
	}

	it('should not be taken for lists of runs if a row of them cannot be read', async () => {
		assert.equal(await holdAnswered(200, '{"clock-ms":1,"active":[["a.0.0.0"]],"finished":[]}'), 'unknown');
	});

	it('should be taken for that of another life if it names another start', async () => {
		const lists = (born: number): string => `{"clock-ms":1,"born":${born},"active":[],"finished":[]}`;
		assert.equal(await holdAnswered(200, lists(lifeNamed('w1').bornMs)), 'lists');
		assert.equal(await holdAnswered(200, lists(lifeNamed('w1').bornMs + 1)), 'gone');
	});
});
