import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	chooseDraining, createArrivalMeter, createFleetBalancer, createRunEstimates, measureDemand, planDrains,
	type BalanceInput, type BalancerFeatures, type DrainCandidate, type MachineDemand, type MovableMachine,
} from '@bronzebend/core';
import {
	lifeNamed, orderOf, stepOf, storeWith,
} from '../../fixtures/job-fixtures.js';

const cores = (cpu: number) => ({cpu, memoryMb: 0, gpu: 0});
const capacity = {cpu: 4000, memoryMb: 4000, gpu: 0};
const demandOf = (changes: Partial<MachineDemand> = {}): MachineDemand => ({
	wanted: cores(0), urgent: cores(0), late: cores(0), lasting: cores(0), arrivingCpu: 0, arrivingMemoryMb: 0, riseFactor: 1, arrivingJobs: 0, spread: 0, ...changes,
});
const machinesOf = (pool: string, count: number, idle = 0): MovableMachine[] => Array.from({length: count}, (_, index) => ({
	name: `${pool}-${index}`, pool, capacity, kind: 'a', isIdle: index < idle,
}));
const inputOf = (machines: MovableMachine[], demands: Record<'bench' | 'desk', MachineDemand>, changes: Partial<BalanceInput> = {}): BalanceInput => ({
	pools: [{name: 'bench', guardsCapacity: true, standby: false}, {name: 'desk', guardsCapacity: true, standby: false}, {name: 'spare', guardsCapacity: true, standby: true}],
	demands: new Map(Object.entries(demands)),
	workers: new Map(['bench', 'desk'].map(pool => [pool, machines.filter(machine => machine.pool === pool).length])),
	machines,
	poolOfMachine: new Map(machines.map(machine => [machine.name, machine.pool])),
	fleetSize: 10,
	maxMoves: 8,
	nowMs: 0,
	...changes,
});

const lateBench = demandOf({wanted: cores(32_000), late: cores(16_000)});
const shortDesk = demandOf({wanted: cores(16_000), urgent: cores(16_000)});
const step = (input: BalanceInput, features?: BalancerFeatures) => {
	const balancer = createFleetBalancer(features);
	return {moves: balancer.step(input).map(({machine, to}) => [machine, to]), drains: [...balancer.drains()], lent: balancer.lent()};
};

describe('a pool whose jobs are late', () => {
	it('should let as many workers drain as another pool lacks for urgent work, and stop no run', () => {
		const {moves, drains} = step(inputOf([...machinesOf('bench', 8), ...machinesOf('desk', 2)], {bench: lateBench, desk: shortDesk}));
		assert.deepEqual([moves, drains], [[], [['bench', 3]]]);
	});

	it('should give up the workers that have run empty, although it has more demand than workers', () => {
		const {moves} = step(inputOf([...machinesOf('bench', 8, 2), ...machinesOf('desk', 2)], {bench: lateBench, desk: shortDesk}));
		assert.deepEqual(moves, [['bench-0', 'desk'], ['bench-1', 'desk']]);
	});

	it('should let no worker drain while the other pool\'s work is late as well', () => {
		const {drains} = step(inputOf([...machinesOf('bench', 8), ...machinesOf('desk', 2)], {bench: lateBench, desk: demandOf({wanted: cores(16_000), late: cores(16_000)})}));
		assert.deepEqual(drains, []);
	});

	it('should let no worker drain that its own urgent work needs', () => {
		const {drains} = step(inputOf([...machinesOf('bench', 8), ...machinesOf('desk', 2)], {bench: demandOf({wanted: cores(32_000), urgent: cores(32_000)}), desk: shortDesk}));
		assert.deepEqual(drains, []);
	});

	// Guards against workers that drain for longer than their runs take, and idle, because the platform accepts few moves.
	it('should let no more workers drain than can move within a few steps', () => {
		const machines = [...machinesOf('bench', 90), ...machinesOf('desk', 10)];
		const {drains} = step(inputOf(machines, {bench: lateBench, desk: demandOf({wanted: cores(240_000), urgent: cores(240_000)})}, {fleetSize: 100, maxMoves: 4}));
		assert.deepEqual(drains, [['bench', 12]]);
	});

	it('should decide as before without the features', () => {
		const {moves, drains, lent} = step(inputOf([...machinesOf('bench', 8, 2), ...machinesOf('desk', 2)], {bench: lateBench, desk: shortDesk}), {drains: false, lends: false, forecasts: false});
		assert.deepEqual([moves, drains, lent], [[], [], 0]);
	});
});

describe('the reserve of a pool without demand', () => {
	const machines = [...machinesOf('bench', 14, 14), ...machinesOf('desk', 2)];

	it('should go to a pool that lacks workers for urgent work, except for a small remainder', () => {
		const {moves, lent} = step(inputOf(machines, {bench: demandOf(), desk: demandOf({wanted: cores(80_000), urgent: cores(80_000)})}, {fleetSize: 100, maxMoves: 20}));
		assert.equal(moves.filter(([, to]) => to === 'desk').length, 9);
		assert.equal(lent, 0);
	});

	it('should be counted as lent while it is below its size', () => {
		const {lent} = step(inputOf([...machinesOf('bench', 5, 5), ...machinesOf('desk', 11)], {bench: demandOf(), desk: demandOf({wanted: cores(80_000), urgent: cores(80_000)})}, {fleetSize: 100}));
		assert.equal(lent, 7);
	});

	it('should not be lent for late work', () => {
		const {moves} = step(inputOf([...machinesOf('bench', 12, 12), ...machinesOf('desk', 12)], {bench: demandOf(), desk: demandOf({wanted: cores(80_000), late: cores(80_000)})}, {fleetSize: 100, maxMoves: 20}));
		assert.deepEqual(moves, []);
	});
});

describe('workers that drain for a move', () => {
	const workerOf = (life: string, endsInMs: number, changes: Partial<DrainCandidate> = {}): DrainCandidate => ({
		life, pool: 'a', runsLasting: false, endsInMs, ...changes,
	});

	it('should be those whose runs end soonest, without lasting work', () => {
		const workers = [workerOf('long', 4000), workerOf('lasting', 0, {runsLasting: true}), workerOf('other', 0, {pool: 'b'}), workerOf('short', 300), workerOf('idle', 0)];
		assert.deepEqual([...chooseDraining(workers, new Map([['a', 2]]), new Set())], ['idle', 'short']);
	});

	// Guards against workers that are chosen in turn, so that none of them runs empty.
	it('should stay the same while their number does', () => {
		const workers = [workerOf('long', 4000), workerOf('short', 300)];
		assert.deepEqual([...chooseDraining(workers, new Map([['a', 1]]), new Set(['long']))], ['long']);
	});

	it('should not be more than others lack beyond the idle machines in standby', () => {
		const positions = [
			{
				pool: 'a', available: 20, needed: 2, kept: 5,
			},
			{
				pool: 'b', available: 10, needed: 1, kept: 8,
			},
			{
				pool: 'c', available: 3, needed: 21, kept: 21,
			},
		];
		assert.deepEqual([...planDrains(positions, 0, 100)], [['a', 15], ['b', 2]]);
		assert.deepEqual([...planDrains(positions, 14, 100)], [['a', 4]]);
		assert.deepEqual([...planDrains(positions, 18, 100)], []);
	});
});

describe('the urgent part of the demand', () => {
	it('should hold the work of a job while it can be in time, and again shortly before it is useless', () => {
		const store = storeWith([orderOf('a', [stepOf({count: 3})])]);
		const life = lifeNamed('w1');
		store.apply({type: 'runs-start', lives: [life], runs: [{unit: `${'a'.padEnd(16, '0')}.0.0.0`, attempt: 1, life: life.life}]});
		const parts = Array.from({length: 200}, (_, index) => {
			const {wanted, urgent, late} = measureDemand(store, createArrivalMeter(), createRunEstimates(), {wallMs: index * 100, nowMs: 0}).get('bench')!;
			assert.ok(wanted.cpu > 0);
			return urgent.cpu > 0 ? 'urgent' : (late.cpu > 0 ? 'late' : 'past-use');
		});
		assert.deepEqual(parts.filter((part, index) => part !== parts[index - 1]), ['urgent', 'late', 'urgent', 'past-use']);
	});
});
