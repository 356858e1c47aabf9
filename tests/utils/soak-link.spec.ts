import assert from 'node:assert/strict';
import {once} from 'node:events';
import net from 'node:net';
import {afterEach, describe, it} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {isDeepStrictEqual} from 'node:util';
import {createLink, type Link} from '@bronzebend/utils/soak/link';

const HOST = '127.0.95.1';
const PORT = 17_440;

describe('a link to a stand-in worker', () => {
	const received: string[] = [];
	const clients: net.Socket[] = [];
	let link: Link;

	/** Opens a link to a worker that answers each message with its upper case. */
	const open = async (): Promise<void> => {
		received.length = 0;
		link = await createLink({
			host: HOST, port: PORT, random: () => 0, onConnection(stream) {
				stream.setEncoding('utf8');
				stream.on('data', (text: string) => {
					received.push(text);
					stream.write(text.toUpperCase());
				});
			},
		});
	};

	/** Connects; collects what arrives, and how the connection ends. */
	const connect = async () => {
		const socket = net.connect(PORT, HOST);
		const seen: string[] = [];
		clients.push(socket);
		socket.setEncoding('utf8');
		socket.on('data', (text: string) => {
			seen.push(text);
		});
		socket.on('error', (error: NodeJS.ErrnoException) => {
			seen.push(error.code!);
		});
		await Promise.race([once(socket, 'connect'), once(socket, 'close')]).catch(() => undefined);
		return {socket, seen};
	};

	/** Waits until a value is as expected; fails with the last one after 5 s. */
	const becomes = async (value: () => unknown, expected: unknown): Promise<void> => {
		for (let check = 0; check < 250 && !isDeepStrictEqual(value(), expected); check += 1) {
			await pause(20);
		}

		assert.deepEqual(value(), expected);
	};

	afterEach(() => {
		link.close();
		for (const socket of clients.splice(0)) {
			socket.destroy();
		}
	});

	it('should refuse new connections only, or reset open ones as well', async () => {
		await open();
		const before = await connect();
		const heal = await link.begin({refuses: true});
		const refused = await connect();
		before.socket.write('a');
		await becomes(() => [refused.seen, before.seen], [['ECONNREFUSED'], ['A']]);

		const healReset = await link.begin({refuses: true, resets: true});
		await becomes(() => before.seen, ['A', 'ECONNRESET']);
		await heal();
		const stillRefused = await connect();
		assert.deepEqual(stillRefused.seen, ['ECONNREFUSED']);
		await healReset();
		const after = await connect();
		after.socket.write('b');
		await becomes(() => after.seen, ['B']);
	});

	it('should hold bytes up in one direction, and deliver or lose them', async () => {
		await open();
		const {socket, seen} = await connect();
		const hear = await link.begin({blocks: ['up'], after: 'late'});
		socket.write('a');
		await becomes(() => [received, seen], [['a'], []]);
		await hear();
		await becomes(() => seen, ['A']);

		const heal = await link.begin({blocks: ['down'], after: 'lost'});
		socket.write('b');
		await pause(100);
		await heal();
		await becomes(() => [received, seen], [['a'], ['A', 'ECONNRESET']]);
	});

	it('should carry out an order whose connection is reset right after it', async () => {
		await open();
		await link.begin({resetsAfterStart: 1});
		const {socket, seen} = await connect();
		socket.write('POST /run-start');
		await becomes(() => [received, seen], [['POST /run-start'], ['ECONNRESET']]);
	});

	it('should deliver delayed bytes after the sender has gone', async () => {
		await open();
		await link.begin({delayMs: 500, delays: 'down'});
		const {socket} = await connect();
		socket.end('a');
		await pause(100);
		assert.deepEqual(received, []);
		await becomes(() => received, ['a']);
	});
});
