import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {unpackCalls, type OrderResult, type RelayedCall} from '@bronzebend/core';
import {
	createCallRelay, createRelayedCalls, silentLogs, type WorkerPort,
} from '@bronzebend/daemon';
import type {ClockReading, PeerMessage} from '@bronzebend/wire';
import {lifeNamed} from '../../fixtures/job-fixtures.js';
import {eventually} from '../../fixtures/session-harness.js';

const READING: ClockReading = {process: 'process of a', clockMs: 5000};
const clock = {wallMs: () => 0, monotonicMs: () => 1000};
const done: OrderResult = {type: 'done'};
const withheld: OrderResult = {type: 'unsent', cause: 'withheld', isCarrierLost: true};

const startOf = (unit: string) => ({
	unit, attempt: 1, spec: '', expiresMs: 1, fence: 3, checkpoint: '',
});

const portOf = (start: WorkerPort['start']): WorkerPort => ({
	async hold() {
		throw new Error('no polls in this test');
	},
	start,
	stop: async () => done,
	pace: async () => done,
	close: () => undefined,
});

describe('starts in a data centre that is evacuated before they are sent', () => {
	// Guards against starts that were collected before an evacuation and leave after it, for a keeper that may not know of it yet.
	it('should be taken out when the leader\'s message to the relaying keeper leaves', async () => {
		const batches: RelayedCall[][] = [];
		const calls = createRelayedCalls({
			clock,
			log: silentLogs('test'),
			term: 3,
			direct: () => portOf(async () => done),
			liveKeepers: () => ['a'],
			send(to: string, message: PeerMessage) {
				if (message.type !== 'worker-calls') {
					return;
				}

				if (message.batch.calls.length === 0) {
					queueMicrotask(() => {
						calls.receive(to, [], READING);
					});
					return;
				}

				batches.push(unpackCalls(message.batch));
			},
		});
		const start = async (worker: string, maySend: () => boolean): Promise<OrderResult> => calls.connect(lifeNamed(worker)).start(startOf(worker), maySend);
		let isEvacuated = false;
		const refused = start('w1', () => !isEvacuated);
		const sent = start('w2', () => true);
		await Promise.resolve();
		isEvacuated = true;
		assert.ok(await eventually(() => batches.length === 1));
		assert.deepEqual(batches.map(batch => batch.map(({worker: {id}}) => id)), [['w2']]);
		assert.deepEqual(await refused, withheld);
		calls.receive('a', [{id: batches[0]![0]!.id, result: done}], READING);
		assert.deepEqual(await sent, done);
		assert.deepEqual(await start('w1', () => false), withheld);
		assert.equal(batches.length, 1, 'a message without calls would ask for a reading');
		calls.close();
	});

	// Guards against starts that the leader sent before an evacuation and that wait for a connection at the relaying keeper.
	it('should not be made by a relaying keeper that knows of the evacuation', async () => {
		const conditions: unknown[] = [];
		const sent: PeerMessage[] = [];
		const relay = createCallRelay({
			clock,
			log: silentLogs('test'),
			connect: () => portOf(async (_order, maySend) => {
				const isSent = maySend?.();
				conditions.push(isSent);
				return isSent === false ? withheld : done;
			}),
			mayStart: life => life !== lifeNamed('w0').life,
			term: () => 3,
			send(_to, message) {
				sent.push(message);
			},
		});
		const results = () => sent.flatMap(message => (message.type === 'worker-results' ? message.results : []));
		// A batch without calls asks the relay for a reading of its clock.
		relay.receive('leader', {type: 'worker-calls', term: 3, batch: {specs: [], calls: []}});
		const {reading} = sent[0] as PeerMessage & {type: 'worker-results'};
		relay.receive('leader', {
			type: 'worker-calls', term: 3, sendBy: {...reading, clockMs: reading.clockMs + 900}, batch: {specs: [''], calls: ['w0', 'w1'].map((worker, id) => ({id, worker: lifeNamed(worker), call: {type: 'start', order: {...startOf(worker), spec: 0}}}))},
		});
		assert.ok(await eventually(() => results().length === 2));
		relay.close();
		assert.deepEqual(conditions, [false, true]);
		assert.deepEqual(results().map(({result}) => result), [withheld, done]);
	});
});
