import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	createArrivalMeter, createFleetBalance, createJob, createRunEstimates, createUpkeepPlan, createWorkerDirectory, createWorkerTrack, hasEndedLife, keepsBudgets, lifeOnMachine, unitToEvacuate, MachineStates,
	type BalanceInput, type JobBook, type Machine, type MachineDemand, type MovableMachine, type UpkeepChoice, type UpkeepInput, type UpkeepWave,
} from '@bronzebend/core';
import {
	bookWith, lifeNamed, manifestOf, orderOf, queueOf, stepOf,
} from '../../fixtures/job-fixtures.js';

const capacity = {cpu: 4000, memoryMb: 4000, gpu: 0};
const demandOf = (changes: Partial<MachineDemand> = {}): MachineDemand => ({
	wanted: {cpu: 0, memoryMb: 0, gpu: 0}, lasting: {cpu: 0, memoryMb: 0, gpu: 0}, arrivingCpu: 0, arrivingMemoryMb: 0, spread: 0, ...changes,
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
	mostMoves: 8,
	nowMs,
});

describe('the balance of a fleet', () => {
	it('should bring machines from standby to the pool whose queue asks', () => {
		const balance = createFleetBalance();
		const machines = [...machinesOf('bench', 4, false), ...machinesOf('desk', 5), ...machinesOf('spare', 3)];
		const moves = balance.step(inputOf(machines, {bench: demandOf({arrivingCpu: 21_000})}, 0));
		assert.deepEqual(moves.map(move => [move.from, move.to]), [['spare', 'bench'], ['spare', 'bench']]);
	});

	it('should take idle machines of pools with more than they need once standby is empty', () => {
		const balance = createFleetBalance();
		const machines = [...machinesOf('bench', 2, false), ...machinesOf('desk', 8)];
		const moves = balance.step(inputOf(machines, {bench: demandOf({arrivingCpu: 60_000})}, 0));
		assert.equal(moves.length, 3);
	});

	it('should never move a machine that runs something', () => {
		const balance = createFleetBalance();
		const machines = [...machinesOf('bench', 2, false), ...machinesOf('desk', 5, false)];
		assert.deepEqual(balance.step(inputOf(machines, {bench: demandOf({arrivingCpu: 60_000})}, 0)), []);
		assert.deepEqual(balance.step(inputOf(machines, {}, 10_000)), []);
	});

	it('should count machines under way', () => {
		const balance = createFleetBalance();
		const machines = [...machinesOf('bench', 5, false), ...machinesOf('desk', 5, false), ...machinesOf('spare', 3)];
		const input = inputOf(machines, {bench: demandOf({arrivingCpu: 21_000})}, 0);
		const moves = balance.step(input);
		assert.equal(moves.length, 1);
		balance.ordered(moves[0]!, 0);
		assert.deepEqual(balance.step({...input, nowMs: 200}), []);
	});

	it('should send machines to standby only after a while without need', () => {
		const balance = createFleetBalance();
		const machines = [...machinesOf('bench', 8), ...machinesOf('desk', 5, false)];
		assert.deepEqual(balance.step(inputOf(machines, {}, 0)), []);
		assert.deepEqual(balance.step(inputOf(machines, {}, 1000)), []);
		assert.deepEqual(balance.step(inputOf(machines, {}, 1300)).map(move => move.to), ['spare', 'spare', 'spare']);
	});

	it('should hold more workers ready in a larger fleet', () => {
		const machines = [...machinesOf('bench', 5, false), ...machinesOf('desk', 5, false), ...machinesOf('spare', 100)];
		const moves = createFleetBalance().step({...inputOf(machines, {}, 0), fleetSize: 400, mostMoves: 200});
		assert.equal(moves.filter(move => move.to === 'bench').length, 43);
	});

	it('should take a machine back from standby as soon as it is listed there', () => {
		const balance = createFleetBalance();
		const before = [...machinesOf('bench', 5, false), ...machinesOf('desk', 5, false)];
		const [returned] = machinesOf('spare', 1);
		balance.ordered({machine: returned!.name, from: 'bench', to: 'spare'}, 0);
		const demands = {bench: demandOf({arrivingCpu: 21_000})};
		assert.deepEqual(balance.step(inputOf(before, demands, 200)), []);
		assert.deepEqual(balance.step(inputOf([...before, returned!], demands, 1800)), [{machine: returned!.name, from: 'spare', to: 'bench'}]);
	});

	it('should serve work that is there before it holds workers ready for work that may come', () => {
		const balance = createFleetBalance();
		const machines = [...machinesOf('bench', 5, false), ...machinesOf('spare', 2)];
		const moves = balance.step(inputOf(machines, {bench: demandOf({arrivingCpu: 24_000})}, 0));
		assert.deepEqual(moves.map(move => move.to), ['bench', 'bench']);
	});

	it('should hold more workers ready for the queue whose turn is the longest ago', () => {
		const balance = createFleetBalance();
		const machines = [...machinesOf('bench', 3, false), ...machinesOf('desk', 3, false), ...machinesOf('spare', 9)];
		const busy = demandOf({arrivingCpu: 40_000});
		balance.step(inputOf(machines, {bench: busy}, 0));
		balance.step(inputOf(machines, {desk: busy}, 5000));
		const moves = balance.step(inputOf(machines, {}, 10_000));
		assert.deepEqual(moves.map(move => move.to), ['bench', 'bench', 'bench']);
	});

	it('should keep the workers that the widest lasting step spreads over', () => {
		const balance = createFleetBalance();
		const machines = [...machinesOf('bench', 8), ...machinesOf('desk', 5, false)];
		balance.step(inputOf(machines, {bench: demandOf({spread: 7})}, 0));
		assert.equal(balance.step(inputOf(machines, {bench: demandOf({spread: 7})}, 2000)).length, 1);
	});
});

describe('the meter of arriving work', () => {
	/** Cores that the meter asks for after jobs of one core-second each arrived at these times. */
	const coresAfter = (times: number[], nowMs: number): number => {
		const meter = createArrivalMeter();
		for (const [number, atMs] of times.entries()) {
			const order = orderOf(String(number), [stepOf({estimateMs: 1000, resources: {cpu: 1000, memoryMb: 1, gpu: 0}})]);
			meter.add(createJob(order, queueOf(), atMs), 'bench', createRunEstimates(), atMs);
		}

		return meter.rate('bench', nowMs).cpu / 1000;
	};

	const evenly = (count: number, fromMs: number, toMs: number): number[] => Array.from({length: count}, (_, index) => fromMs + ((toMs - fromMs) * index / count));

	it('should ask for what keeps up with a steady rate, whatever chance does to a few jobs', () => {
		assert.equal(coresAfter(evenly(30, 1, 1501), 1500), 20);
		assert.equal(coresAfter([100, 900, 1200, 1400], 1500), 4 / 1.5);
	});

	it('should ask ahead of a rise that is more than chance', () => {
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

const lastingOn = (ids: string[], percent: number): {book: JobBook; input: UpkeepInput} => {
	const book = bookWith([orderOf('a', [stepOf({count: ids.length, lasting: true, mayMiss: 1})])], manifestOf());
	const runs = ids.map((id, index) => ({unit: `${'a'.padEnd(16, '0')}.0.0.${index}`, attempt: 1, life: lifeNamed(id).life}));
	book.apply({type: 'runs-start', lives: ids.map(id => lifeNamed(id)), runs});
	const tracks = new Map(runs.map(run => {
		const track = createWorkerTrack({
			life: run.life, book, leaseMs: 4000, inherited: true, nowMs: 0,
		});
		track.reconcile({
			clockMs: 1,
			finished: [],
			active: runs.filter(other => other.life === run.life).map(other => ({
				unit: other.unit, attempt: 1, checkpoint: '', percent, load: 0,
			})),
		}, 1, 2);
		return [run.life, track] as const;
	}));
	book.apply({type: 'wave', wave});
	return {
		book,
		input: {
			book, machines: new Map(['m1', 'm2', 'm3'].map((name, index) => [name, machineOf(name, ids[index])])), lifeOf: machine => machine.workerId && lifeNamed(machine.workerId).life, trackOf: life => tracks.get(life), ordered: new Map(), shortPools: new Set(), standbyPools: new Set(), nowMs: 500, wallMs: 500,
		},
	};
};

describe('the plan of upkeep', () => {
	it('should keep the cap of a wave', () => {
		const {input} = lastingOn([], 100);
		const plan = createUpkeepPlan();
		assert.equal(plan.choose(input).filter(choice => choice.mayBegin).length, 1);
		assert.equal(plan.choose({...input, ordered: new Map([['m2', 'upkeep']])}).filter(choice => choice.mayBegin).length, 0);
	});

	it('should spare pools that are short of room while there is time, and take machines in standby first', () => {
		const {input} = lastingOn([], 100);
		const machines = new Map(input.machines);
		machines.set('m3', {...machineOf('m3'), pool: 'spare'});
		const short = {
			...input, machines, shortPools: new Set(['bench']), standbyPools: new Set(['spare']), wallMs: -20_000,
		};
		const namesOf = (choices: UpkeepChoice[]): string[] => choices.filter(choice => choice.mayBegin).map(choice => choice.machine.name);
		const plan = createUpkeepPlan();
		assert.deepEqual(namesOf(plan.choose(short)), ['m3']);
		assert.deepEqual([...plan.emptying()], ['m3']);
		assert.deepEqual(namesOf(createUpkeepPlan().choose({...short, machines: input.machines})), []);
		assert.deepEqual(namesOf(createUpkeepPlan().choose({...short, machines: input.machines, wallMs: 0})), ['m1']);
	});

	it('should begin with another machine of a wave where one must wait for a budget', () => {
		const {input} = lastingOn(['w1', 'w1', 'w22'], 50);
		const plan = createUpkeepPlan();
		const idle = new Map([...input.machines, ['m3', machineOf('m3')]]);
		plan.choose({...input, machines: idle});
		const later = plan.choose({...input, machines: idle, nowMs: 2100});
		assert.deepEqual(later.filter(choice => choice.mayBegin).map(choice => choice.machine.name), ['m3']);
	});

	it('should count machines that are down for upkeep, and no others', () => {
		const {input} = lastingOn([], 100);
		const machines = new Map(input.machines);
		machines.set('m2', {...machineOf('m2'), state: MachineStates.upkeep});
		assert.equal(createUpkeepPlan().choose({...input, machines}).filter(choice => choice.mayBegin).length, 0);
		machines.set('m2', {...machineOf('m2'), state: MachineStates.down});
		assert.equal(createUpkeepPlan().choose({...input, machines, ordered: new Map([['m3', 'move']])}).filter(choice => choice.mayBegin).length, 1);
	});

	it('should keep availability budgets', () => {
		const atWork = lastingOn(['w1', 'w22', 'w333'], 100);
		assert.equal(keepsBudgets(atWork.input, lifeNamed('w1').life), true);
		const starting = lastingOn(['w1', 'w22', 'w333'], 60);
		assert.equal(keepsBudgets(starting.input, lifeNamed('w1').life), false);
	});

	it('should count work whose life was just ended as away, before the record says so', () => {
		const {input} = lastingOn(['w1', 'w22', 'w333'], 100);
		const ended = lifeNamed('w22').life;
		const next = {...input, trackOf: (life: string) => (life === ended ? undefined : input.trackOf(life))};
		assert.equal(keepsBudgets(next, lifeNamed('w1').life), false);
	});

	it('should count work on a machine that was given an order as away, whether or not the order was answered', () => {
		const {input} = lastingOn(['w1', 'w22', 'w333'], 100);
		assert.equal(keepsBudgets({...input, ordered: new Map([['m2', 'upkeep']])}, lifeNamed('w1').life), false);
		assert.equal(keepsBudgets({...input, ordered: new Map([['m1', 'upkeep']])}, lifeNamed('w1').life), true);
	});

	it('should count work on a worker that has fallen silent as away', () => {
		const {input} = lastingOn(['w1', 'w22', 'w333'], 100);
		assert.equal(keepsBudgets({...input, nowMs: 1500}, lifeNamed('w1').life), false);
	});

	it('should move one unit away from a machine that runs more of a step than may be away', () => {
		const {book, input} = lastingOn(['w1', 'w1', 'w22'], 100);
		const {life} = lifeNamed('w1');
		assert.equal(keepsBudgets(input, life), false);
		const unit = unitToEvacuate(input, life)!;
		assert.equal(book.find(unit)!.unit.worker, life);
		input.trackOf(life)!.askStop(unit, 10);
		assert.equal(unitToEvacuate(input, life), undefined);
		assert.equal(unitToEvacuate(lastingOn(['w1', 'w1', 'w22'], 50).input, life), undefined);
	});

	it('should find the work on a machine before its worker has announced itself to a new leader', () => {
		const book = bookWith([orderOf('a')]);
		book.apply({type: 'runs-start', lives: [lifeNamed('w1', {machine: 'm1'})], runs: [{unit: `${'a'.padEnd(16, '0')}.0.0.0`, attempt: 1, life: lifeNamed('w1').life}]});
		const directory = createWorkerDirectory();
		assert.equal(lifeOnMachine(machineOf('m1'), book, directory), lifeNamed('w1').life);
		assert.equal(lifeOnMachine(machineOf('m7', 'w1'), book, directory), lifeNamed('w1').life);
		assert.equal(lifeOnMachine(machineOf('m2'), book, directory), undefined);
	});

	it('should take a life for ended only where a list shows it, since an order that was carried out before is answered alike', () => {
		const {life} = lifeNamed('w1');
		assert.equal(hasEndedLife(machineOf('m1', 'w1'), life), false);
		assert.equal(hasEndedLife(machineOf('m1', 'w2'), life), true);
		assert.equal(hasEndedLife({...machineOf('m1', 'w1'), state: MachineStates.upkeep}, life), true);
		assert.equal(hasEndedLife(undefined, life), true);
	});

	it('should be complete only when every machine that stays has begun', () => {
		const {input} = lastingOn([], 100);
		const plan = createUpkeepPlan();
		assert.equal(plan.isComplete({...wave, begun: ['m1', 'm2']}, input.machines), false);
		const left = new Map(input.machines);
		left.delete('m3');
		assert.equal(plan.isComplete({...wave, begun: ['m1', 'm2']}, left), true);
	});
});
