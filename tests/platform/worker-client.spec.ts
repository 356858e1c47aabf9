import assert from 'node:assert/strict';
import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {describe, it} from 'node:test';
import {connectWorker} from '@bronzebend/platform/worker-client';
import {lifeNamed} from '../fixtures/job-fixtures.js';

const hold = {fence: 1, ackSeq: 0, waitMs: 0};
const order = {unit: 'a.0.0.0', attempt: 1, fence: 1};

const listen = async (server: http.Server): Promise<string> => new Promise(resolve => {
	server.listen(0, '127.0.0.1', () => {
		resolve(`127.0.0.1:${(server.address() as AddressInfo).port}`);
	});
});

describe('worker client', () => {
	// A cut link may refuse connections while the worker and its runs go on.
	it('should not take a refused connection for the end of the worker\'s life', async () => {
		const server = http.createServer();
		const address = await listen(server);
		server.close();
		const worker = connectWorker(lifeNamed('w1', {address}));
		const results = [await worker.hold(hold), await worker.stop(order), await worker.start({
			...order, spec: '', expiresMs: 1, checkpoint: '',
		})];
		worker.close();
		assert.deepEqual(results.map(result => result.type), ['unsent', 'unsent', 'unsent']);
	});

	// Starts that waited for a connection to a silent worker reached its next life.
	it('should never send an order that waited for a connection until its caller gave it up', async context => {
		let arrived = 0;
		let isSilent = true;
		const server = http.createServer((_req, res) => {
			arrived += 1;
			if (!isSilent) {
				res.writeHead(200).end('{}');
			}
		});
		context.after(() => {
			server.closeAllConnections();
			server.close();
		});
		const worker = connectWorker(lifeNamed('w1', {address: await listen(server)}));
		const results = await Promise.all(Array.from({length: 20}, async () => worker.stop(order)));
		const sent = arrived;
		isSilent = false;
		assert.deepEqual(await worker.stop(order), {type: 'done'});
		worker.close();
		assert.ok(sent > 0 && sent < 20);
		assert.equal(results.filter(result => result.type === 'unknown').length, sent);
		assert.equal(results.filter(result => result.type === 'unsent').length, 20 - sent);
		assert.equal(arrived, sent + 1);
	});

	it('should send every start that waits for a connection to a worker that answers', async context => {
		const length = 60;
		let arrived = 0;
		const server = http.createServer((_req, res) => {
			arrived += 1;
			setTimeout(() => {
				res.writeHead(200).end('{}');
			}, 150);
		});
		context.after(() => {
			server.closeAllConnections();
			server.close();
		});
		const worker = connectWorker(lifeNamed('w1', {address: await listen(server)}));
		const results = await Promise.all(Array.from({length}, async (_, index) => worker.start({
			...order, unit: `a.0.0.${index}`, spec: '', expiresMs: 1, checkpoint: '',
		})));
		worker.close();
		assert.deepEqual([arrived, new Set(results.map(result => result.type))], [length, new Set(['done'])]);
	});

	// Guards against starts that wait for a connection while their data centre is evacuated.
	it('should not write a start that is withheld while it waits for a connection', async context => {
		let arrived = 0;
		const server = http.createServer((_req, res) => {
			arrived += 1;
			setTimeout(() => {
				res.writeHead(200).end('{}');
			}, 100);
		});
		context.after(() => {
			server.closeAllConnections();
			server.close();
		});
		const worker = connectWorker(lifeNamed('w1', {address: await listen(server)}));
		const results = await Promise.all(Array.from({length: 20}, async (_, index) => worker.start({
			...order, unit: `a.0.0.${index}`, spec: '', expiresMs: 1, checkpoint: '',
		}, () => arrived === 0)));
		worker.close();
		assert.ok(arrived > 0 && arrived < 20, `${arrived} starts arrived`);
		assert.deepEqual(results.map(result => result.type), results.map((_, index) => (index < arrived ? 'done' : 'unsent')));
	});

	it('should take the rejection of another worker at the address for the end of the life', async context => {
		const server = http.createServer((_req, res) => {
			res.writeHead(421).end('{"clock-ms":1}');
		});
		context.after(() => {
			server.closeAllConnections();
			server.close();
		});
		const worker = connectWorker(lifeNamed('w1', {address: await listen(server)}));
		const results = [await worker.hold(hold), await worker.stop(order)];
		worker.close();
		assert.deepEqual(results, [{type: 'gone', answer: 'status 421'}, {type: 'gone', answer: 'status 421'}]);
	});
});
