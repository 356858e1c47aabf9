import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type LogFactory, type LogFields, silentLogs} from '@bronzebend/daemon';
import {
	storeWith, lifeNamed, orderOf, stepOf,
} from '../../fixtures/job-fixtures.js';
import {createLeaderHarness, waitUntilTrue} from '../../fixtures/leader-harness.js';

const capacity = {cpu: 100_000, memoryMb: 100_000, gpu: 0};

/** Collects the lines on runs that were given up. */
const collectGivenUp = (): {lines: LogFields[]; logs: LogFactory} => {
	const lines: LogFields[] = [];
	return {
		lines,
		logs: part => ({
			...silentLogs(part),
			warn(sentence, fields = {}) {
				if (sentence === 'Runs given up.') {
					lines.push(fields);
				}
			},
		}),
	};
};

describe('the log of runs that were given up', () => {
	it('should name each of many runs that a restart ended at once, and the report that proves it', async () => {
		const life = lifeNamed('w1', {capacity});
		const count = 90;
		const {lines, logs} = collectGivenUp();
		const harness = createLeaderHarness(storeWith([orderOf('a', [stepOf({count})])]), {lives: [life], logs, term: 7});
		await waitUntilTrue(() => harness.running.size === count);
		const first = new Set([...harness.running.keys()].map(unit => `${unit}#1`));
		await harness.work.answer({
			type: 'announce', announcement: {
				...life, bornMs: life.bornMs + 1, seq: 1, draining: false, coldLeftMs: 0,
			},
		});
		const ofFirstLife = (): LogFields[] => lines.filter(line => line.life === life.life);
		await waitUntilTrue(() => ofFirstLife().length >= 3);
		harness.work.stop();
		assert.deepEqual(new Set(ofFirstLife().flatMap(({units}) => String(units).split(' '))), first);
		assert.deepEqual(ofFirstLife().map(({term, proof, newerLife}) => [term, proof, newerLife]), Array.from({length: 3}, () => [7, 'newer-life', `w1@${life.bornMs + 1}`]));
	});

	it('should name the answer that proves that a start had no effect', async () => {
		const {lines, logs} = collectGivenUp();
		let rejections = 0;
		const harness = createLeaderHarness(storeWith([orderOf('a')]), {
			logs,
			async start(order) {
				rejections += 1;
				if (rejections === 1) {
					return {type: 'rejected', reason: 'no-room', relay: 'n3'};
				}

				harness.running.set(order.unit, order.attempt);
				return {type: 'done'};
			},
		});
		await waitUntilTrue(() => harness.running.size === 1);
		harness.work.stop();
		assert.deepEqual(lines.map(({proof, reason, relay, runs}) => [proof, reason, relay, runs]), [['start-rejected', 'no-room', 'n3', 1]]);
	});
});
