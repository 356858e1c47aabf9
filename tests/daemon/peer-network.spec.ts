import assert from 'node:assert/strict';
import {once} from 'node:events';
import net from 'node:net';
import {describe, it} from 'node:test';
import {systemClock} from '@bronzebend/core';
import {
	createPeerNetwork, MAX_UNPROVED, MAX_UNPROVED_FRAME_BYTES, type PeerMessage,
} from '@bronzebend/wire';
import {waitUntilTrue} from '../fixtures/leader-harness.js';

const MESSAGES = 40;

describe('messages between processes', () => {
	it('should be combined into one write if they are sent to a peer in the same tick', async () => {
		const received: PeerMessage[] = [];
		const open = async (node: string, portOf: () => number) => createPeerNetwork({
			node,
			host: '127.0.0.1',
			port: 0,
			secret: 'a secret of this test',
			clock: systemClock,
			locate: () => ({host: '127.0.0.1', port: portOf()}),
			onMessage(_from, message) {
				received.push(message);
			},
		});
		const to = await open('to', () => 0);
		const from = await open('from', to.port);
		from.send('to', {type: 'probe'});
		await waitUntilTrue(() => received.length === 1);
		const before = from.stats.writes;
		const sent = Array.from({length: MESSAGES}, (_, index): PeerMessage => ({type: 'join', replica: `r${index}`}));
		for (const message of sent) {
			from.send('to', message);
		}

		await waitUntilTrue(() => received.length === 1 + MESSAGES);
		assert.deepEqual(received.slice(1), sent);
		assert.equal(from.stats.writes - before, 1);
		await Promise.all([from.close(), to.close()]);
	});
});

/** Connects without a proof, as a stranger does. */
const connectStranger = async (port: number): Promise<net.Socket> => {
	const socket = net.connect({host: '127.0.0.1', port});
	socket.on('error', () => undefined);
	socket.resume();
	await once(socket, 'connect');
	return socket;
};

/** Waits until a connection is closed, also with an error. */
const closeOf = async (socket: net.Socket): Promise<void> => new Promise(resolve => {
	socket.once('close', () => {
		resolve();
	});
});

describe('connections between processes that have not proved the cluster secret', () => {
	const open = async (node: string, portOf: () => number, received: PeerMessage[] = []) => createPeerNetwork({
		node,
		host: '127.0.0.1',
		port: 0,
		secret: 'a secret of this test',
		clock: systemClock,
		locate: () => ({host: '127.0.0.1', port: portOf()}),
		onMessage(_from, message) {
			received.push(message);
		},
	});

	// Guards against a stranger that makes a process buffer up to 64 MB for a frame that it announces.
	it('should be closed when they announce a frame above the limit, before its bytes arrive', async () => {
		const to = await open('to', () => 0);
		const stranger = await connectStranger(to.port());
		const closed = closeOf(stranger);
		const length = new Uint8Array(4);
		new DataView(length.buffer).setUint32(0, MAX_UNPROVED_FRAME_BYTES + 1);
		const startedMs = performance.now();
		stranger.write(length);
		await closed;
		assert.ok(performance.now() - startedMs < 900, 'closed by the timeout of the handshake only');
		assert.equal(to.stats.rejected, 1);
		await to.close();
	});

	// Guards against strangers that use up the descriptors, and against shutting out nodes meanwhile.
	it('should be closed from the oldest on when there are too many, while a node still gets through', async () => {
		const received: PeerMessage[] = [];
		const to = await open('to', () => 0, received);
		const from = await open('from', to.port);
		const oldest = await connectStranger(to.port());
		const isClosed = closeOf(oldest);
		// All at once, since each is closed anyway when it has not proved the secret within a second.
		const strangers = await Promise.all(Array.from({length: MAX_UNPROVED}, async () => connectStranger(to.port())));
		await isClosed;
		assert.ok(to.stats.rejected >= 1, 'closed by the timeout of the handshake only');
		from.send('to', {type: 'probe'});
		await waitUntilTrue(() => received.length === 1);
		assert.equal(received.length, 1);
		for (const stranger of strangers) {
			stranger.destroy();
		}

		await Promise.all([from.close(), to.close()]);
	});
});
