import assert from 'node:assert/strict';
import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {describe, it, type TestContext} from 'node:test';
import {connectWorker} from '@bronzebend/platform/worker-client';
import {lifeNamed} from '../fixtures/job-fixtures.js';

type Seen = {born: number; path: string; body: Record<string, unknown>};

const pause = async (milliseconds: number): Promise<void> => new Promise(resolve => {
	setTimeout(resolve, milliseconds);
});
const startFor = (born: number) => ({
	unit: `a.0.0.${born}`, attempt: 1, spec: String(born), expiresMs: 1, fence: 3, checkpoint: '',
});
const POLL = {
	expiresMs: 5000, fence: 3, ackSeq: 57, waitMs: 0,
};
/** A poll that changes nothing on whichever life it reaches, beyond the fencing token. */
const HARMLESS = {path: '/hold', body: {'fencing-token': 3, 'ack-seq': 0, 'wait-ms': 0}};

/** A worker whose lives begin one after another at one address, under one ID, with the calls that each of them got. */
const listen = async (context: TestContext) => {
	const seen: Seen[] = [];
	let born = 1;
	const state = {
		afterAnswer(): void {
			// The connection stays open.
		},
		isSilent: false,
	};
	const server = http.createServer((req, res) => {
		const at = born;
		let text = '';
		req.on('data', (chunk: Uint8Array) => {
			text += new TextDecoder().decode(chunk);
		});
		req.on('end', () => {
			seen.push({born: at, path: req.url ?? '', body: JSON.parse(text) as Record<string, unknown>});
			if (!state.isSilent) {
				res.end(JSON.stringify({
					'clock-ms': 1, ...(req.url === '/hold' && {born: at, active: [], finished: []}),
				}), () => {
					state.afterAnswer();
				});
			}
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	context.after(() => {
		server.closeAllConnections();
		server.close();
	});
	const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
	return {
		seen,
		state,
		connect(bornMs: number) {
			const worker = connectWorker(lifeNamed('w1', {address, bornMs}));
			context.after(worker.close);
			return worker;
		},
		born: () => born,
		/** The life ends with its connections, and the next one begins. */
		restart(): void {
			born += 1;
			server.closeAllConnections();
		},
		callsOf: (life: number) => seen.filter(each => each.born === life).map(({path, body}) => ({path, body})),
	};
};

describe('a call to one life of a worker', () => {
	const calls: Array<[string, (worker: ReturnType<typeof connectWorker>) => Promise<{type: string}>]> = [
		['a start', async worker => worker.start(startFor(1))],
		['a poll that acknowledges ends', async worker => worker.hold({...POLL, expiresMs: undefined})],
		['a poll that renews the lease', async worker => worker.hold({...POLL, ackSeq: 0})],
	];
	for (const [what, call] of calls) {
		it(`should not reach the next life if it is ${what} on a first connection`, async context => {
			const server = await listen(context);
			server.restart();
			assert.deepEqual(await call(server.connect(1)), {type: 'gone', answer: 'born 2'});
			assert.deepEqual(server.callsOf(2), [HARMLESS]);
		});

		it(`should not reach the next life if it is ${what} on a connection that was opened again`, async context => {
			const server = await listen(context);
			const worker = server.connect(1);
			await worker.start(startFor(1));
			server.restart();
			const results = [await call(worker), await call(worker)];
			// A connection may be found closed only once the call is written to it.
			assert.deepEqual([results.at(-1)!.type, results[0]!.type === 'gone' || results[0]!.type === 'unknown'], ['gone', true]);
			assert.deepEqual(server.callsOf(2).filter(({body}) => JSON.stringify(body) !== JSON.stringify(HARMLESS.body)), []);
		});

		it(`should not reach the next life if it is ${what} and the life ends after it named itself`, async context => {
			const server = await listen(context);
			server.state.afterAnswer = server.restart;
			const {type} = await call(server.connect(1));
			assert.notEqual(type, 'done');
			assert.deepEqual(server.seen.filter(({path, body}) => path !== '/hold' || body['ack-seq'] !== 0 || body['expires-ms'] !== undefined), []);
		});
	}

	it('should not reach another life while the worker restarts again and again', async context => {
		const server = await listen(context);
		const work: Array<Promise<unknown>> = [];
		for (let turn = 0; turn < 60; turn += 1) {
			const life = server.born();
			const worker = server.connect(life);
			for (let call = 0; call < 6; call += 1) {
				work.push(worker.start(startFor(life)), worker.hold({...POLL, ackSeq: life}));
				await pause(turn % 12);
			}

			server.restart();
			work.push(worker.start(startFor(life)), worker.hold({...POLL, ackSeq: life}));
		}

		await Promise.all(work);
		const strays = server.seen.filter(({born, path, body}) => (path === '/run-start' && body.spec !== String(born)) || (path === '/hold' && body['ack-seq'] !== 0 && body['ack-seq'] !== born));
		assert.deepEqual(strays.slice(0, 3), []);
		assert.ok(server.seen.filter(({path}) => path === '/run-start').length > 60);
	});

	it('should cost one poll more on each new connection, and none on a used one', async context => {
		const server = await listen(context);
		const worker = server.connect(1);
		for (let turn = 0; turn < 10; turn += 1) {
			assert.deepEqual(await worker.start(startFor(1)), {type: 'done'});
		}

		assert.deepEqual(server.seen.map(({path}) => path), ['/hold', ...Array.from({length: 10}, () => '/run-start')]);
	});

	it('should count as not sent if it is a start and nothing shows which life is there', async context => {
		const server = await listen(context);
		server.state.isSilent = true;
		const worker = server.connect(1);
		const [start, poll] = await Promise.all([worker.start(startFor(1)), worker.hold(POLL)]);
		assert.deepEqual([start.type, poll.type], ['unsent', 'unknown']);
		assert.deepEqual(server.callsOf(1), [HARMLESS, HARMLESS]);
	});

	// What an order of the earlier life may have begun on the next one is ended by it.
	it('should reach the next life if it is a stop', async context => {
		const server = await listen(context);
		server.restart();
		assert.deepEqual(await server.connect(1).stop({unit: 'a.0.0.0', attempt: 1, fence: 3}), {type: 'done'});
	});
});
