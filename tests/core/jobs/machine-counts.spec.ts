import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	createFleetBalancer, workersFor, type MachineDemand, type MovableMachine, type Resources,
} from '@bronzebend/core';

const amountOf = (cpu: number, memoryMb: number): Resources => ({cpu, memoryMb, gpu: 0});
const capacity = amountOf(64_000, 131_072);
const demandOf = (changes: Partial<MachineDemand> = {}): MachineDemand => ({
	wanted: amountOf(0, 0), urgent: amountOf(0, 0), late: amountOf(0, 0), lasting: amountOf(0, 0), arrivingCpu: 0, arrivingMemoryMb: 0, riseFactor: 1, arrivingJobs: 0, spread: 0, ...changes,
});

describe('the number of machines for a demand', () => {
	// Guards against a pool whose work needs more memory per core than a machine has, and which gets machines for its cores alone.
	for (const [name, changes] of Object.entries({
		'running and waiting work': {wanted: amountOf(64_000, 1_310_720)},
		'arriving work': {arrivingCpu: 64_000, arrivingMemoryMb: 1_310_720},
		'arriving work beside lasting work': {lasting: amountOf(1000, 655_360), arrivingMemoryMb: 655_360},
	} satisfies Record<string, Partial<MachineDemand>>)) {
		it(`should follow memory where memory is short, for ${name}`, () => {
			assert.equal(workersFor(demandOf(changes), capacity), 11);
		});
	}

	it('should follow memory for a part of the demand', () => {
		const demand = demandOf({wanted: amountOf(640_000, 1_310_720), urgent: amountOf(1000, 655_360)});
		assert.equal(workersFor(demand, capacity, demand.urgent), 6);
	});

	// Guards against a count that depends on which machine is listed first, in a fleet of machines of several sizes.
	it('should not depend on the order of the list of machines', () => {
		const sizes = [amountOf(8000, 16_384), ...Array.from({length: 9}, () => capacity)];
		const machines = sizes.map((size, index): MovableMachine => ({
			name: `m${index}`, pool: 'spare', capacity: size, kind: 'a', isIdle: true,
		}));
		const countMoves = (listed: MovableMachine[]): number => createFleetBalancer().step({
			pools: [{name: 'bench', guardsCapacity: true, standby: false}, {name: 'spare', guardsCapacity: true, standby: true}],
			demands: new Map([['bench', demandOf({wanted: amountOf(1000, 400_000)})]]),
			workers: new Map(),
			machines: listed,
			poolOfMachine: new Map(),
			fleetSize: 10,
			maxMoves: 10,
			nowMs: 0,
		}).length;
		assert.deepEqual([countMoves(machines), countMoves(machines.toReversed())], [4, 4]);
	});
});
