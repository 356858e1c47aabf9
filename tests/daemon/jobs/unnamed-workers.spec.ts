import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {MachineStates, type Machine, type WorkerLife} from '@bronzebend/core';
import type {MachinePort} from '@bronzebend/daemon';
import {
	lifeNamed, manifestOf, orderOf, stepOf, storeWith,
} from '../../fixtures/job-fixtures.js';
import {createLeaderHarness, waitUntilTrue} from '../../fixtures/leader-harness.js';

const WORKER = lifeNamed('w1', {address: '10.0.0.1:80', machine: 'm1'});
const OTHER = lifeNamed('other', {address: '10.0.0.2:80', machine: 'm2'});

const machineOf = ({machine, id, capacity}: WorkerLife): Machine => ({
	name: machine!, pool: 'bench', state: MachineStates.up, zone: 'a', labels: ['kind'], capacity, workerId: id,
});

describe('a wave', () => {
	// The new worker crashed before it reported, so the list names none for as long as the test runs.
	it('should go on after an upkeep whose machine is up again without a worker, once the runs that it ended are over', async () => {
		const store = storeWith([orderOf('a', [stepOf({lasting: true})])], manifestOf({pools: [{name: 'bench', guardsCapacity: true, standby: false}]}));
		const machines = new Map([WORKER, OTHER].map(life => [life.machine!, machineOf(life)]));
		const ordered: string[] = [];
		const port: MachinePort = {
			list: async () => ({machines: [...machines.values()], unreadable: []}),
			move: async () => ({type: 'rejected', reason: 'impossible'}),
			async upkeep(machine, _wave, {maySend}) {
				if (!maySend()) {
					return {type: 'withheld'};
				}

				ordered.push(machine);
				machines.set(machine, {...machines.get(machine)!, workerId: undefined});
				return {type: 'done'};
			},
		};
		const harness = createLeaderHarness(store, {
			lives: [WORKER],
			machines: port,
			hold: async () => (ordered.length > 0
				? {type: 'unknown', cause: 'no response'}
				: {
					type: 'lists', lists: {
						clockMs: performance.now(), finished: [], isCut: false, active: [...harness.running].map(([unit, attempt]) => ({
							unit, attempt, checkpoint: '', percent: 100, load: 0,
						})),
					},
				}),
		});
		await waitUntilTrue(() => harness.running.size === 1);
		store.apply({
			type: 'wave', wave: {
				number: 1, machines: ['m1'], deadlineMs: Date.now() + 1000, cap: 1, begun: [], completed: false,
			},
		});
		await waitUntilTrue(() => ordered.length > 0);
		store.apply({
			type: 'wave', wave: {
				number: 2, machines: ['m1', 'm2'], deadlineMs: Date.now() + 1000, cap: 1, begun: [], completed: false,
			},
		});
		await waitUntilTrue(() => store.runsOf(WORKER.life).size === 0);
		await waitUntilTrue(() => ordered.includes('m2'));
		harness.work.stop();
		assert.ok(ordered.includes('m2'), ordered.join(' '));
	});

	// An odd entry had completed a wave whose machine was never taken down.
	for (const unreadable of [['m1'], [undefined], []]) {
		it(`should ${unreadable.length > 0 ? 'not ' : ''}be completed while its only machine is ${unreadable.length > 0 ? `listed in an invalid entry ${unreadable[0] === undefined ? 'without a name' : 'with its name'}` : 'not listed'}`, async () => {
			const store = storeWith([], manifestOf());
			store.apply({
				type: 'wave', wave: {
					number: 1, machines: ['m1'], deadlineMs: Date.now() + 1000, cap: 1, begun: [], completed: false,
				},
			});
			const reject = async () => ({type: 'rejected', reason: 'impossible'} as const);
			const harness = createLeaderHarness(store, {machines: {list: async () => ({machines: [machineOf(OTHER)], unreadable}), move: reject, upkeep: reject}});
			await new Promise(resolve => {
				setTimeout(resolve, 700);
			});
			harness.work.stop();
			assert.equal(store.waves()[0]!.completed, unreadable.length === 0);
		});
	}
});
