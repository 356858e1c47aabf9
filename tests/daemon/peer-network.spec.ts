import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {systemClock} from '@bronzebend/core';
import {createPeerNetwork, type PeerMessage} from '@bronzebend/wire';
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
