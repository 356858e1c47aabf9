import assert from 'node:assert/strict';
import net from 'node:net';
import {afterEach, describe, it} from 'node:test';
import {systemClock} from '@bronzebend/core';
import {
	createClientGuard, defaultClientLimits, MAX_WAITING_REQUESTS, PROGRESS_TIMEOUT_MS, silentLogs,
} from '@bronzebend/daemon';
import {
	listenHttp, type IncomingRequest, type HttpServer, type Reply,
} from '@bronzebend/platform/http-server';
import {waitUntilTrue} from '../fixtures/leader-harness.js';

const HOST = '127.0.96.1';
const PORT = 17_451;
const MAX_BODY_BYTES = 8192;

/** Waits until a connection is closed, also with an error. */
const closeOf = async (socket: net.Socket): Promise<void> => new Promise(resolve => {
	socket.once('close', () => {
		resolve();
	});
});

describe('HTTP server of a process', () => {
	let server: HttpServer | undefined;
	let jumpMs = 0;
	let reasons: string[] = [];
	const sockets: net.Socket[] = [];

	const listen = async (handle: (incoming: IncomingRequest) => Promise<Reply>) => {
		reasons = [];
		jumpMs = 0;
		const guard = createClientGuard({
			clock: {wallMs: systemClock.wallMs, monotonicMs: () => systemClock.monotonicMs() + jumpMs},
			log: silentLogs('test'),
			limits: () => ({...defaultClientLimits(), connections: 16}),
			onGivenUp(_server, reason) {
				reasons.push(reason);
			},
		});
		server = await listenHttp(`${HOST}:${PORT}`, {
			name: 'test', guard, maxBodyBytes: () => MAX_BODY_BYTES, handle, onError: assert.ifError,
		});
		return guard;
	};

	/** Connects, sends a text and collects what comes back. */
	const send = (text: string) => {
		const socket = net.connect({host: HOST, port: PORT});
		sockets.push(socket);
		let answers = '';
		socket.on('data', (chunk: Uint8Array) => {
			answers += new TextDecoder().decode(chunk);
		});
		socket.on('error', () => undefined);
		socket.write(text);
		return {socket, answers: () => answers, statuses: () => [...answers.matchAll(/HTTP\/1\.1 (\d+)/gu)].map(([, status]) => Number(status))};
	};

	const get = (path: string): string => `GET ${path} HTTP/1.1\r\nhost: desk\r\n\r\n`;

	afterEach(() => {
		for (const socket of sockets.splice(0)) {
			socket.destroy();
		}

		server?.close();
	});

	// Guards against handlers of requests sent ahead that run at once, for a client that takes no answer.
	it('should handle requests that were sent ahead one after another, in order', async () => {
		let running = 0;
		let most = 0;
		await listen(async ({path}) => {
			running += 1;
			most = Math.max(most, running);
			await new Promise(resolve => {
				setTimeout(resolve, 2);
			});
			running -= 1;
			return {status: 200, text: path};
		});
		const paths = Array.from({length: MAX_WAITING_REQUESTS + 1}, (_, index) => `/p${index}`);
		const client = send(paths.map(path => get(path)).join(''));
		await waitUntilTrue(() => client.statuses().length === paths.length);
		assert.equal(most, 1);
		assert.deepEqual(client.answers().match(/\/p\d+/gu), paths);
		assert.deepEqual(reasons, []);
	});

	// Guards against requests that pile up behind one that is handled, and against handling them after the connection was closed.
	it('should close a connection with more requests ahead than allowed, with and without a host header', async () => {
		for (const request of [get('/'), 'GET / HTTP/1.1\r\n\r\n']) {
			let handled = 0;
			await listen(async () => {
				handled += 1;
				return {status: 200};
			});
			const client = send(request.repeat(20_000));
			await closeOf(client.socket);
			assert.deepEqual(reasons, ['requests-ahead']);
			assert.ok(handled <= 1);
			server?.close();
		}
	});

	// Guards against refusing a slow or unusual client that keeps to the limits.
	it('should serve a body of the longest length that comes in chunks of one byte', async () => {
		await listen(async ({text}) => ({status: 200, body: {length: text.length}}));
		const client = send(`POST / HTTP/1.1\r\nhost: desk\r\ntransfer-encoding: chunked\r\n\r\n${'1\r\nx\r\n'.repeat(MAX_BODY_BYTES)}`);
		client.socket.write('0\r\n\r\n');
		await waitUntilTrue(() => client.statuses().length === 1);
		assert.match(client.answers(), new RegExp(`"length":${MAX_BODY_BYTES}`, 'u'));
		assert.deepEqual(reasons, []);
	});

	// Guards against a connection that is not usable after a refusal, and against memory that is counted twice or never released.
	it('should refuse a longer body, go on with the next request, and hold nothing afterwards', async () => {
		const guard = await listen(async ({text}) => ({status: 200, body: {length: text.length}}));
		const post = (length: number): string => `POST / HTTP/1.1\r\nhost: desk\r\ncontent-length: ${length}\r\n\r\n${'x'.repeat(length)}`;
		const client = send(post(MAX_BODY_BYTES + 1) + post(MAX_BODY_BYTES) + get('/'));
		await waitUntilTrue(() => client.statuses().length === 3);
		assert.deepEqual(client.statuses(), [413, 200, 200]);
		await waitUntilTrue(() => guard.held().requests === 0);
		assert.deepEqual(guard.held(), {connections: 1, requests: 0, bodyBytes: 0});
	});

	it('should answer a request without a host header with 400', async () => {
		await listen(async () => ({status: 200}));
		const client = send('GET / HTTP/1.1\r\n\r\n');
		await closeOf(client.socket);
		assert.deepEqual(client.statuses(), [400]);
	});

	// Guards against bodies that never end and hold their memory; a moving body and an idle connection are within the limits.
	it('should close a connection whose body has stopped, and no other', async () => {
		const guard = await listen(async () => ({status: 200}));
		const idle = send(get('/'));
		const stopped = send('POST / HTTP/1.1\r\nhost: desk\r\ncontent-length: 100\r\n\r\nx');
		const moving = send('POST / HTTP/1.1\r\nhost: desk\r\ncontent-length: 100\r\n\r\nx');
		await waitUntilTrue(() => guard.held().requests === 2 && idle.statuses().length === 1);
		const timer = setInterval(() => {
			moving.socket.write('x');
		}, 100);
		await new Promise(resolve => {
			setTimeout(resolve, 1200);
		});
		jumpMs = PROGRESS_TIMEOUT_MS;
		await closeOf(stopped.socket);
		clearInterval(timer);
		assert.deepEqual(reasons, ['body-stalled']);
		assert.deepEqual([idle.socket.destroyed, moving.socket.destroyed], [false, false]);
	});

	// Guards against connections that use up the descriptors and shut out others.
	it('should close the oldest idle connection when there are too many, and serve the newest', async () => {
		const guard = await listen(async () => ({status: 200}));
		const oldest = send('');
		await waitUntilTrue(() => guard.held().connections === 1);
		const closed = closeOf(oldest.socket);
		const others = Array.from({length: 16}, () => send(get('/')));
		await closed;
		await waitUntilTrue(() => others.every(client => client.statuses()[0] === 200));
		assert.deepEqual(reasons, ['connections']);
		assert.equal(guard.held().connections, 16);
	});
});
