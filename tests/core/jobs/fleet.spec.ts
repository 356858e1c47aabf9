import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	createArrivalMeter, createFleetBalancer, createJob, createRunEstimates, createUpkeepPlanner, createWorkerDirectory, createWorkerTrack, hasEndedLife, keepsBudgets, lifeOnMachine, unitToEvacuate, MachineStates,
	type BalanceInput, type JobStore, type Machine, type MachineDemand, type MovableMachine, type UpkeepChoice, type UpkeepInput, type UpkeepWave,
} from '@bronzebend/core';
import {
	storeWith, lifeNamed, manifestOf, orderOf, queueOf, stepOf,
} from '../../fixtures/job-fixtures.js';

const capacity = {cpu: 4000, memoryMb: 4000, gpu: 0};
const demandOf = (changes: Partial<MachineDemand> = {}): MachineDemand => ({
	wanted: {cpu: 0, memoryMb: 0, gpu: 0}, urgent: {cpu: 0, memoryMb: 0, gpu: 0}, late: {cpu: 0, memoryMb: 0, gpu: 0}, lasting: {cpu: 0, memoryMb: 0, gpu: 0}, arrivingCpu: 0, arrivingMemoryMb: 0, riseFactor: 1, arrivingJobs: 0, spread: 0, ...changes,
});
const pools = [{name: 'bench', guardsCapacity: true, standby: false}, {name: 'desk', guardsCapacity: true, standby: false}, {name: 'spare', guardsCapacity: true, standby: true}];
const machinesOf = (pool: string, count: number, isIdle = true): MovableMachine[] => Array.from({length: count}, (_, index) => ({
	name: `${pool}-${index}`, pool, capacity, kind: 'a', isIdle,
}));

const inputOf = (machines: MovableMachine[], demands: Record<string, MachineDemand>, nowMs: number): BalanceInput => ({
	pools,
	demands: new Map([['bench', demandOf()], ['desk', demandOf()], ['spare', demandOf()], ...Object.entries(demands)]),
	workers: new Map(['bench', 'desk'].map(pool => [pool, machines.filter(machine => machine.pool === pool).length])),
	machines,
	poolOfMachine: new Map(machines.filter(machine => machine.pool !== 'spare').map(machine => [machine.name, machine.pool])),
	fleetSize: 40,
	maxMoves: 8,
	nowMs,
});

describe('the fleet balancer', () => {
	it('should move machines from standby to a pool with demand', () => {
		const balance = createFleetBalancer();
		const machines = [...machinesOf('bench', 4, false), ...machinesOf('desk', 5), ...machinesOf('spare', 3)];
		const moves = balance.step(inputOf(machines, {bench: demandOf({arrivingCpu: 21_000})}, 0));
		assert.deepEqual(moves.map(move => [move.from, move.to]), [['spare', 'bench'], ['spare', 'bench']]);
	});

	it('should take idle machines from pools with a surplus once standby is empty', () => {
		const machines = [...machinesOf('bench', 2, false), ...machinesOf('desk', 8)];
		const input = inputOf(machines, {bench: demandOf({arrivingCpu: 60_000})}, 0);
		assert.equal(createFleetBalancer({drains: true, lends: false, forecasts: false}).step(input).length, 3);
		// A reserve of 5 workers is not lent.
		assert.equal(createFleetBalancer().step(input).length, 3);
		// In a fleet of 120, the reserve is 14 workers, and all but 6 are lent.
		const large = {...inputOf([...machinesOf('bench', 2, false), ...machinesOf('desk', 20)], {bench: demandOf({arrivingCpu: 200_000})}, 0), fleetSize: 120, maxMoves: 30};
		assert.equal(createFleetBalancer({drains: true, lends: false, forecasts: false}).step(large).length, 6);
		assert.equal(createFleetBalancer().step(large).length, 14);
	});

	it('should never move a machine that runs work', () => {
		const balance = createFleetBalancer();
		const machines = [...machinesOf('bench', 2, false), ...machinesOf('desk', 5, false)];
		assert.deepEqual(balance.step(inputOf(machines, {bench: demandOf({arrivingCpu: 60_000})}, 0)), []);
		assert.deepEqual(balance.step(inputOf(machines, {}, 10_000)), []);
	});

	it('should count machines that are being moved', () => {
		const balance = createFleetBalancer();
		const machines = [...machinesOf('bench', 5, false), ...machinesOf('desk', 5, false), ...machinesOf('spare', 3)];
		const input = inputOf(machines, {bench: demandOf({arrivingCpu: 21_000})}, 0);
		const moves = balance.step(input);
		assert.equal(moves.length, 1);
		balance.ordered(moves[0]!, 0);
		assert.deepEqual(balance.step({...input, nowMs: 200}), []);
	});

	it('should return machines to standby only after a lasting surplus', () => {
		const balance = createFleetBalancer();
		const machines = [...machinesOf('bench', 8), ...machinesOf('desk', 5, false)];
		assert.deepEqual(balance.step(inputOf(machines, {}, 0)), []);
		assert.deepEqual(balance.step(inputOf(machines, {}, 1000)), []);
		assert.deepEqual(balance.step(inputOf(machines, {}, 1300)).map(move => move.to), ['spare', 'spare', 'spare']);
	});

	it('should keep more workers in reserve in a larger fleet', () => {
		const machines = [...machinesOf('bench', 5, false), ...machinesOf('desk', 5, false), ...machinesOf('spare', 100)];
		const moves = createFleetBalancer().step({...inputOf(machines, {}, 0), fleetSize: 400, maxMoves: 200});
		assert.equal(moves.filter(move => move.to === 'bench').length, 43);
	});

	it('should take a machine back from standby as soon as it is listed there', () => {
		const balance = createFleetBalancer();
		const before = [...machinesOf('bench', 5, false), ...machinesOf('desk', 5, false)];
		const [returned] = machinesOf('spare', 1);
		balance.ordered({machine: returned!.name, from: 'bench', to: 'spare'}, 0);
		const demands = {bench: demandOf({arrivingCpu: 21_000})};
		assert.deepEqual(balance.step(inputOf(before, demands, 200)), []);
		assert.deepEqual(balance.step(inputOf([...before, returned!], demands, 1800)), [{machine: returned!.name, from: 'spare', to: 'bench'}]);
	});

	it('should meet present demand before it keeps workers in reserve', () => {
		const balance = createFleetBalancer();
		const machines = [...machinesOf('bench', 5, false), ...machinesOf('spare', 2)];
		const moves = balance.step(inputOf(machines, {bench: demandOf({arrivingCpu: 24_000})}, 0));
		assert.deepEqual(moves.map(move => move.to), ['bench', 'bench']);
	});

	it('should keep more workers in reserve for the pool that has been idle for longest', () => {
		const balance = createFleetBalancer();
		const machines = [...machinesOf('bench', 3, false), ...machinesOf('desk', 3, false), ...machinesOf('spare', 9)];
		const busy = demandOf({arrivingCpu: 40_000});
		balance.step(inputOf(machines, {bench: busy}, 0));
		balance.step(inputOf(machines, {desk: busy}, 5000));
		const moves = balance.step(inputOf(machines, {}, 10_000));
		assert.deepEqual(moves.map(move => move.to), ['bench', 'bench', 'bench']);
	});

	it('should keep as many workers as the widest lasting step must spread over', () => {
		const balance = createFleetBalancer();
		const machines = [...machinesOf('bench', 8), ...machinesOf('desk', 5, false)];
		balance.step(inputOf(machines, {bench: demandOf({spread: 7})}, 0));
		assert.equal(balance.step(inputOf(machines, {bench: demandOf({spread: 7})}, 2000)).length, 1);
	});
});

describe('the meter of arriving work', () => {
	/** Cores that the meter returns after jobs of one core-second each arrived at the given times. */
	const coresAfter = (times: number[], nowMs: number): number => {
		const meter = createArrivalMeter();
		for (const [number, atMs] of times.entries()) {
			const order = orderOf(String(number), [stepOf({estimateMs: 1000, resources: {cpu: 1000, memoryMb: 1, gpu: 0}})]);
			meter.add(createJob(order, queueOf(), atMs), 'bench', createRunEstimates(), atMs);
		}

		return meter.rate('bench', nowMs).cpu / 1000;
	};

	const evenly = (count: number, fromMs: number, toMs: number): number[] => Array.from({length: count}, (_, index) => fromMs + ((toMs - fromMs) * index / count));

	it('should match a steady rate, and ignore random variation among a few jobs', () => {
		assert.equal(coresAfter(evenly(30, 1, 1501), 1500), 20);
		assert.equal(coresAfter([100, 900, 1200, 1400], 1500), 4 / 1.5);
	});

	it('should extrapolate a rise that exceeds chance', () => {
		const cores = coresAfter([...evenly(3, 0, 750), ...evenly(15, 750, 1500)], 1500);
		assert.ok(cores > 20, `${cores}`);
	});
});

const machineOf = (name: string, workerId?: string): Machine => ({
	name, pool: 'bench', state: MachineStates.up, zone: 'a', labels: ['a'], capacity, workerId,
});
const wave: UpkeepWave = {
	number: 1, machines: ['m1', 'm2', 'm3'], deadlineMs: 10_000, cap: 1, begun: [], completed: false,
};

const lastingOn = (ids: string[], percent: number): {store: JobStore; input: UpkeepInput} => {
	const store = storeWith([orderOf('a', [stepOf({count: ids.length, lasting: true, mayMiss: 1})])], manifestOf());
	const runs = ids.map((id, index) => ({unit: `${'a'.padEnd(16, '0')}.0.0.${index}`, attempt: 1, life: lifeNamed(id).life}));
	store.apply({type: 'runs-start', lives: ids.map(id => lifeNamed(id)), runs});
	const tracks = new Map(runs.map(run => {
		const track = createWorkerTrack({
			life: run.life, store, leaseMs: 4000, inherited: true, nowMs: 0,
		});
		track.reconcile({
			clockMs: 1,
			finished: [], isCut: false,
			active: runs.filter(other => other.life === run.life).map(other => ({
				unit: other.unit, attempt: 1, checkpoint: '', percent, load: 0,
			})),
		}, 1, 2);
		return [run.life, track] as const;
	}));
	store.apply({type: 'wave', wave});
	return {
		store,
		input: {
			store, machines: new Map(['m1', 'm2', 'm3'].map((name, index) => [name, machineOf(name, ids[index])])), lifeOf: machine => machine.workerId && lifeNamed(machine.workerId).life, trackOf: life => tracks.get(life), pendingOrders: new Map(), shortPools: new Set(), standbyPools: new Set(), nowMs: 500, wallMs: 500,
		},
	};
};

describe('the upkeep planner', () => {
	it('should not exceed the cap of a wave', () => {
		const {input} = lastingOn([], 100);
		const plan = createUpkeepPlanner();
		assert.equal(plan.choose(input).filter(choice => choice.mayBegin).length, 1);
		assert.equal(plan.choose({...input, pendingOrders: new Map([['m2', 'upkeep']])}).filter(choice => choice.mayBegin).length, 0);
	});

	it('should spare pools that are short of room while there is time, and choose machines in standby first', () => {
		const {input} = lastingOn([], 100);
		const machines = new Map(input.machines);
		machines.set('m3', {...machineOf('m3'), pool: 'spare'});
		const short = {
			...input, machines, shortPools: new Set(['bench']), standbyPools: new Set(['spare']), wallMs: -20_000,
		};
		const namesOf = (choices: UpkeepChoice[]): string[] => choices.filter(choice => choice.mayBegin).map(choice => choice.machine.name);
		const plan = createUpkeepPlanner();
		assert.deepEqual(namesOf(plan.choose(short)), ['m3']);
		assert.deepEqual(['m1', 'm2', 'm3'].filter(name => plan.isEmptying(name, short.nowMs)), ['m3']);
		assert.deepEqual(namesOf(createUpkeepPlanner().choose({...short, machines: input.machines})), []);
		assert.deepEqual(namesOf(createUpkeepPlanner().choose({...short, machines: input.machines, wallMs: 0})), ['m1']);
	});

	it('should begin with another machine of a wave if one must wait for an availability budget', () => {
		const {input} = lastingOn(['w1', 'w1', 'w22'], 50);
		const plan = createUpkeepPlanner();
		const idle = new Map([...input.machines, ['m3', machineOf('m3')]]);
		plan.choose({...input, machines: idle});
		const later = plan.choose({...input, machines: idle, nowMs: 2100});
		assert.deepEqual(later.filter(choice => choice.mayBegin).map(choice => choice.machine.name), ['m3']);
	});

	it('should let machines that wait for an availability budget take work again, in turns', () => {
		const {input} = lastingOn(['w1', 'w22', 'w333'], 50);
		const plan = createUpkeepPlanner();
		const emptyingAt = (nowMs: number): number => {
			assert.deepEqual(plan.choose({...input, nowMs}).filter(choice => choice.mayBegin), []);
			return ['m1', 'm2', 'm3'].filter(name => plan.isEmptying(name, nowMs)).length;
		};

		const counts = Array.from({length: 100}, (_, step) => emptyingAt(step * 200));
		assert.deepEqual([counts[0], counts[10]], [3, 3]);
		// A lasting work unit must run again within 6 s.
		for (let first = 0; first + 29 < counts.length; first += 1) {
			assert.ok(counts.slice(first, first + 29).includes(0), counts.join(' '));
		}
	});

	it('should not begin the upkeep of a machine that just took work again until it has been emptied once more', () => {
		const {store, input: empty} = lastingOn([], 100);
		store.apply({type: 'submit', order: orderOf('b'), atMs: 0});
		store.apply({type: 'runs-start', lives: [lifeNamed('w1')], runs: [{unit: `${'b'.padEnd(16, '0')}.0.0.0`, attempt: 1, life: lifeNamed('w1').life}]});
		const input = {...empty, machines: new Map([['m1', machineOf('m1', 'w1')]])};
		const plan = createUpkeepPlanner();
		plan.choose({...input, nowMs: 0});
		const countAt = (nowMs: number): number => plan.choose({...input, nowMs}).filter(choice => choice.mayBegin).length;
		assert.deepEqual([4500, 5500, 6400, 6500].map(nowMs => countAt(nowMs)), [0, 0, 0, 1]);
	});

	it('should count only machines that are down for upkeep against the cap', () => {
		const {input} = lastingOn([], 100);
		const machines = new Map(input.machines);
		machines.set('m2', {...machineOf('m2'), state: MachineStates.upkeep});
		assert.equal(createUpkeepPlanner().choose({...input, machines}).filter(choice => choice.mayBegin).length, 0);
		machines.set('m2', {...machineOf('m2'), state: MachineStates.down});
		assert.equal(createUpkeepPlanner().choose({...input, machines, pendingOrders: new Map([['m3', 'move']])}).filter(choice => choice.mayBegin).length, 1);
	});

	it('should keep availability budgets', () => {
		const atWork = lastingOn(['w1', 'w22', 'w333'], 100);
		assert.equal(keepsBudgets(atWork.input, lifeNamed('w1').life), true);
		const starting = lastingOn(['w1', 'w22', 'w333'], 60);
		assert.equal(keepsBudgets(starting.input, lifeNamed('w1').life), false);
	});

	it('should count work on a life that has ended as unavailable, even before the end is recorded', () => {
		const {input} = lastingOn(['w1', 'w22', 'w333'], 100);
		const ended = lifeNamed('w22').life;
		const next = {...input, trackOf: (life: string) => (life === ended ? undefined : input.trackOf(life))};
		assert.equal(keepsBudgets(next, lifeNamed('w1').life), false);
	});

	it('should count work on a machine with a pending order as unavailable, whether or not the order was answered', () => {
		const {input} = lastingOn(['w1', 'w22', 'w333'], 100);
		assert.equal(keepsBudgets({...input, pendingOrders: new Map([['m2', 'upkeep']])}, lifeNamed('w1').life), false);
		assert.equal(keepsBudgets({...input, pendingOrders: new Map([['m1', 'upkeep']])}, lifeNamed('w1').life), true);
	});

	it('should count work on a silent worker as unavailable', () => {
		const {input} = lastingOn(['w1', 'w22', 'w333'], 100);
		assert.equal(keepsBudgets({...input, nowMs: 1500}, lifeNamed('w1').life), false);
	});

	it('should move one work unit away from a machine that runs more of a step than its budget allows', () => {
		const {store, input} = lastingOn(['w1', 'w1', 'w22'], 100);
		const {life} = lifeNamed('w1');
		assert.equal(keepsBudgets(input, life), false);
		const unit = unitToEvacuate(input, life)!;
		assert.equal(store.find(unit)!.unit.worker, life);
		input.trackOf(life)!.requestStop(unit, 10);
		assert.equal(unitToEvacuate(input, life), undefined);
		assert.equal(unitToEvacuate(lastingOn(['w1', 'w1', 'w22'], 50).input, life), undefined);
	});

	it('should find the life on a machine before its worker has announced itself to a new leader', () => {
		const store = storeWith([orderOf('a')]);
		store.apply({type: 'runs-start', lives: [lifeNamed('w1', {machine: 'm1'})], runs: [{unit: `${'a'.padEnd(16, '0')}.0.0.0`, attempt: 1, life: lifeNamed('w1').life}]});
		const directory = createWorkerDirectory();
		assert.equal(lifeOnMachine(machineOf('m1'), store, directory), lifeNamed('w1').life);
		assert.equal(lifeOnMachine(machineOf('m7', 'w1'), store, directory), lifeNamed('w1').life);
		assert.equal(lifeOnMachine(machineOf('m2'), store, directory), undefined);
	});

	it('should treat a life as ended only if a list shows it, since an order that was already carried out gets the same answer', () => {
		const {life} = lifeNamed('w1');
		assert.equal(hasEndedLife(machineOf('m1', 'w1'), life), false);
		assert.equal(hasEndedLife(machineOf('m1', 'w2'), life), true);
		assert.equal(hasEndedLife({...machineOf('m1', 'w1'), state: MachineStates.upkeep}, life), true);
		assert.equal(hasEndedLife({...machineOf('m1', 'w1'), state: MachineStates.down}, life), true);
		assert.equal(hasEndedLife({...machineOf('m1'), state: MachineStates.moving}, life), true);
		assert.equal(hasEndedLife(machineOf('m1'), life), false);
		assert.equal(hasEndedLife(undefined, life), false);
	});

	it('should be complete only when every machine that still exists has begun', () => {
		const {input} = lastingOn([], 100);
		const plan = createUpkeepPlanner();
		assert.equal(plan.isComplete({...wave, begun: ['m1', 'm2']}, name => input.machines.has(name)), false);
		const left = new Map(input.machines);
		left.delete('m3');
		assert.equal(plan.isComplete({...wave, begun: ['m1', 'm2']}, name => left.has(name)), true);
	});
});
