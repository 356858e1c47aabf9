import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	chooseYielding, createArrivalMeter, createFleetBalancer, createRunEstimates, measureDemand, planYields,
	type BalanceInput, type MachineDemand, type MovableMachine, type YieldCandidate,
} from '@bronzebend/core';
import {
	lifeNamed, orderOf, stepOf, storeWith,
} from '../../fixtures/job-fixtures.js';

const cores = (cpu: number) => ({cpu, memoryMb: 0, gpu: 0});
const capacity = {cpu: 4000, memoryMb: 4000, gpu: 0};
const demandOf = (changes: Partial<MachineDemand>): MachineDemand => ({
	wanted: cores(0), inTime: cores(0), late: cores(0), lasting: cores(0), arrivingCpu: 0, arrivingMemoryMb: 0, spread: 0, ...changes,
});
const machinesOf = (pool: string, count: number, idle = 0): MovableMachine[] => Array.from({length: count}, (_, index) => ({
	name: `${pool}-${index}`, pool, capacity, kind: 'a', isIdle: index < idle,
}));
const inputOf = (machines: MovableMachine[], demands: Record<'bench' | 'desk', MachineDemand>): BalanceInput => ({
	pools: [{name: 'bench', guardsCapacity: true, standby: false}, {name: 'desk', guardsCapacity: true, standby: false}, {name: 'spare', guardsCapacity: true, standby: true}],
	demands: new Map(Object.entries(demands)),
	workers: new Map(['bench', 'desk'].map(pool => [pool, machines.filter(machine => machine.pool === pool).length])),
	machines,
	poolOfMachine: new Map(machines.map(machine => [machine.name, machine.pool])),
	fleetSize: 10,
	maxMoves: 8,
	nowMs: 0,
});

/** All the work of one pool is late, and the other lacks workers for work that can still be in time. */
const lateBench = demandOf({wanted: cores(32_000), late: cores(4000)});
const shortDesk = demandOf({wanted: cores(16_000), inTime: cores(16_000)});

describe('workers of a pool whose work is late', () => {
	it('should take no new work while another pool lacks workers for work that can still be in time', () => {
		const balancer = createFleetBalancer();
		assert.deepEqual(balancer.step(inputOf([...machinesOf('bench', 8), ...machinesOf('desk', 2)], {bench: lateBench, desk: shortDesk})), []);
		assert.deepEqual([...balancer.yields()], [['bench', 3]]);
	});

	it('should move once they are idle, although their pool has more demand than workers', () => {
		const balancer = createFleetBalancer();
		const moves = balancer.step(inputOf([...machinesOf('bench', 8, 2), ...machinesOf('desk', 2)], {bench: lateBench, desk: shortDesk}));
		assert.deepEqual(moves.map(({machine, to}) => [machine, to]), [['bench-0', 'desk'], ['bench-1', 'desk']]);
	});

	it('should go on while the other pool\'s work is late as well', () => {
		const balancer = createFleetBalancer();
		balancer.step(inputOf([...machinesOf('bench', 8), ...machinesOf('desk', 2)], {bench: lateBench, desk: demandOf({wanted: cores(16_000), late: cores(4000)})}));
		assert.deepEqual([...balancer.yields()], []);
	});

	it('should go on if their own pool needs them for work that can still be in time', () => {
		const balancer = createFleetBalancer();
		balancer.step(inputOf([...machinesOf('bench', 8), ...machinesOf('desk', 2)], {bench: demandOf({wanted: cores(32_000), inTime: cores(32_000)}), desk: shortDesk}));
		assert.deepEqual([...balancer.yields()], []);
	});
});

describe('yields', () => {
	it('should not exceed what other pools lack beyond the idle machines in standby', () => {
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
		assert.deepEqual([...planYields(positions, 0)], [['a', 15], ['b', 2]]);
		assert.deepEqual([...planYields(positions, 14)], [['a', 4]]);
		assert.deepEqual([...planYields(positions, 18)], []);
	});

	it('should fall on the least loaded workers without lasting work', () => {
		const workerOf = (life: string, cpu: number, changes: Partial<YieldCandidate> = {}): YieldCandidate => ({
			life, pool: 'a', used: cores(cpu), runsLasting: false, ...changes,
		});
		const workers = [workerOf('full', 4000), workerOf('lasting', 0, {runsLasting: true}), workerOf('other', 0, {pool: 'b'}), workerOf('half', 2000), workerOf('idle', 0)];
		assert.deepEqual([...chooseYielding(workers, new Map([['a', 2]]))], ['idle', 'half']);
	});
});

describe('the demand of work that can still be in time', () => {
	it('should not include running work of late jobs', () => {
		const store = storeWith([orderOf('a', [stepOf({count: 3})])]);
		const life = lifeNamed('w1');
		store.apply({type: 'runs-start', lives: [life], runs: [{unit: `${'a'.padEnd(16, '0')}.0.0.0`, attempt: 1, life: life.life}]});
		const measure = (wallMs: number) => measureDemand(store, createArrivalMeter(), createRunEstimates(), {wallMs, nowMs: 0}).get('bench')!;
		const early = measure(0);
		assert.equal(early.inTime.cpu, early.wanted.cpu);
		const late = measure(3_600_000);
		assert.ok(late.wanted.cpu > 0);
		assert.equal(late.inTime.cpu, 0);
		assert.equal(late.late.cpu, 0);
	});
});
