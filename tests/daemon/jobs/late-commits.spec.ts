import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {JobCommand} from '@bronzebend/core';
import {
	lifeNamed, orderOf, storeWith,
} from '../../fixtures/job-fixtures.js';
import {createLeaderHarness, waitUntilTrue} from '../../fixtures/leader-harness.js';

const WORKER = lifeNamed('w1');
const unitOf = (job: string): string => `${job.padEnd(16, '0')}.0.0.0`;

const startsUnit = (command: JobCommand, unit: string): boolean => command.type === 'runs-start' && command.runs.some(run => run.unit === unit);

describe('a start that is committed after its worker\'s life was proven over', () => {
	// The worker's next life has the same ID, so it would begin the run.
	it('should not be sent, and its work unit should be free again', async () => {
		const store = storeWith([orderOf('a')]);
		let isOver = false;
		let isProposed = false;
		const harness = createLeaderHarness(store, {
			lives: [WORKER],
			// The run is not listed before the worker restarts.
			hold: async () => (isOver
				? {type: 'gone', answer: 'born 2'}
				: {
					type: 'lists', lists: {
						clockMs: performance.now(), active: [], finished: [], isCut: true,
					},
				}),
			async beforeCommit(command) {
				if (!startsUnit(command, unitOf('b'))) {
					return;
				}

				isProposed = true;
				isOver = true;
				await waitUntilTrue(() => harness.directory.find(WORKER.id)?.left === true);
				// The stops on the worker's next life take a moment.
				await new Promise(resolve => {
					setTimeout(resolve, 300);
				});
			},
		});
		await waitUntilTrue(() => harness.starts.length === 1);
		store.apply({type: 'submit', order: orderOf('b'), atMs: Date.now()});
		await waitUntilTrue(() => isProposed && store.find(unitOf('b'))!.unit.attempt === 1 && store.find(unitOf('b'))!.unit.state === 'idle');
		harness.work.stop();
		assert.deepEqual([harness.starts.map(({unit}) => unit), store.find(unitOf('b'))!.unit.state], [[unitOf('a')], 'idle']);
	});
});
