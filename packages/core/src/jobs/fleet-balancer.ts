/**
Decides which machines move between pools.

Handles load that alternates between queues: a pool with more demand than workers gets machines from
standby and from pools with a surplus, and surplus machines return to standby. While a pool lacks
workers for urgent work, other pools give up what they use for late work, and lend their reserves.
Only idle machines are moved, so a move never costs work or availability.
*/
import type {JobPool, Resources} from './fleet-manifest.js';
import type {MachineDemand} from './machine-demand.js';
import {moveToStandby, outsideEvacuation} from './evacuated-machines.js';
import {planDrains, spareWorkers, type PoolPosition} from './move-drains.js';
import {createMoveRefusals} from './move-refusals.js';
import {createTurnForecast, type ExpectedTurn} from './turn-forecast.js';

/** Workers that a pool keeps after its latest busy period, as a share of the fleet. */
const MIN_RESERVE_SHARE = 0.07;
/** Workers that a pool keeps before its first busy period, as a share of the fleet; the first jobs of that period start on them. */
const INITIAL_RESERVE_SHARE = 0.12;
/** Workers kept by the pool whose latest busy period is the oldest, once every pool has had one, as a share of the fleet. */
const LONGEST_IDLE_RESERVE_SHARE = 0.15;
/** Workers that a pool without demand keeps when its reserve is lent, as a share of the fleet; the first jobs of its next turn start on them. 0.03 made these jobs wait longer. */
const LENT_RESERVE_SHARE = 0.05;
/** Workers that a pool keeps at least when its reserve is lent. In a fleet of 40, 5 % are two workers, on which not even the first jobs of a turn have room. */
const MIN_LENT_RESERVE = 5;
/** Workers that the pool of the next expected turn keeps when its reserve is lent, as a share of the fleet. */
const EXPECTED_RESERVE_SHARE = 0.1;
/** Part of its late work for which a pool keeps workers while another pool lacks workers for urgent work. */
const KEPT_LATE_SHARE = 0.25;
/** Steps of the balancer in whose moves a draining worker must have a place; workers that drain for longer than a run takes would only idle. */
const DRAIN_STEPS = 3;
/** Factor by which a pool gets more capacity than its demand; work units do not fill machines exactly. */
const HEADROOM_FACTOR = 1.05;
/** Time for which a pool must have had a surplus of workers before any return to standby, in milliseconds. */
const SURPLUS_MS = 1200;
/** Share of the moves of a step that may return machines to standby; a return is not urgent, and a pool that has just given machines back may need them again. */
const RETURNS_SHARE = 0.7;
/** Time after which a move that has not brought a worker is dropped, in milliseconds; several times the duration of a move. */
const MOVE_TIMEOUT_MS = 6000;
/** Time from a move's order until its worker takes work, and from the begin of a turn until it is detected, in milliseconds. */
const EXPECTED_MOVE_MS = 2200;
/** Interval of the balancer's steps, in milliseconds. */
const EXPECTED_STEP_MS = 200;
/** Time after which a turn that has not begun when it was expected is not expected any more, in milliseconds. */
const LATE_TURN_MS = 1000;
/** Workers that a pool gets at most ahead of its turn, as a share of the fleet. */
const MAX_EXPECTED_SHARE = 0.3;
/** A machine that can be moved. */
export type MovableMachine = {
	name: string; pool: string; capacity: Resources; kind: string; isIdle: boolean;
	/** In an evacuated data centre, so that it may only go to standby. */
	isEvacuated?: boolean;
};

/** Input of one balancing step. */
export type BalanceInput = {
	pools: readonly JobPool[];
	demands: ReadonlyMap<string, MachineDemand>;
	/** Number of workers that accept work now, by pool. */
	workers: ReadonlyMap<string, number>;
	/** Machines that are up and have no other order pending. */
	machines: readonly MovableMachine[];
	/** Number of all machines outside evacuated data centres, whatever their state. */
	fleetSize: number;
	/** Upper limit on moves decided in this step. */
	maxMoves: number;
	/** Pool in which each machine's worker last reported. */
	poolOfMachine: ReadonlyMap<string, string>;
	nowMs: number;
};

/** A move of one machine between pools. */
export type MachineMove = {machine: string; from: string; to: string};

/** Which decisions a balancer makes beyond moving idle surplus. */
export type BalancerFeatures = {
	/** Whether workers of late work drain for pools that lack workers for urgent work. */
	drains: boolean;
	/** Whether reserves are lent to pools that lack workers for urgent work. */
	lends: boolean;
	/** Whether machines are moved ahead of an expected turn, and reserves of other pools are kept small. */
	forecasts: boolean;
};

const ALL_FEATURES: BalancerFeatures = {drains: true, lends: true, forecasts: true};

/** Number of workers needed for a demand, or for a part of its running and waiting work. */
export const workersFor = (demand: MachineDemand, capacity: Resources, wanted: Resources = demand.wanted): number => {
	const cpu = Math.max(wanted.cpu, demand.lasting.cpu + demand.arrivingCpu);
	const memoryMb = Math.max(wanted.memoryMb, demand.lasting.memoryMb + demand.arrivingMemoryMb);
	const machines = Math.max(cpu / Math.max(1, capacity.cpu), memoryMb / Math.max(1, capacity.memoryMb));
	return Math.max(demand.spread, Math.ceil(machines * HEADROOM_FACTOR));
};

/** Mean capacity of some machines, which may differ in size; undefined if there are none. */
const meanCapacity = (machines: readonly MovableMachine[]): Resources | undefined => {
	const mean = (key: keyof Resources): number => machines.reduce((sum, {capacity}) => sum + capacity[key], 0) / machines.length;
	return machines.length === 0 ? undefined : {cpu: mean('cpu'), memoryMb: mean('memoryMb'), gpu: mean('gpu')};
};

/** Number of workers that steady arriving work needs, without an extrapolated rise. */
const arrivingWorkers = ({arrivingCpu, arrivingMemoryMb, riseFactor}: MachineDemand, capacity: Resources): number => Math.max(arrivingCpu / Math.max(1, capacity.cpu), arrivingMemoryMb / Math.max(1, capacity.memoryMb)) / riseFactor;

const withLate = ({urgent, late}: MachineDemand): Resources => ({
	cpu: urgent.cpu + (KEPT_LATE_SHARE * late.cpu),
	memoryMb: urgent.memoryMb + (KEPT_LATE_SHARE * late.memoryMb),
	gpu: urgent.gpu + (KEPT_LATE_SHARE * late.gpu),
});

/** Creates the balancer. It tracks moves in progress and how long each pool has had a surplus of workers. */
export const createFleetBalancer = (features: BalancerFeatures = ALL_FEATURES) => {
	const pendingMoves = new Map<string, {to: string; atMs: number}>();
	const surplusSince = new Map<string, number>();
	const refusals = createMoveRefusals();
	const lastBusyMs = new Map<string, number>();
	let drains: ReadonlyMap<string, number> = new Map();
	let lent = 0;
	let expected: ExpectedTurn | undefined;
	const forecast = createTurnForecast();

	/** Drops completed and expired moves: a move to standby completes when the list of machines shows it, any other with the first report of the machine's worker. */
	const dropEndedMoves = ({machines, pools, poolOfMachine, nowMs}: BalanceInput): void => {
		const standby = new Set(pools.filter(pool => pool.standby).map(pool => pool.name));
		const poolInList = new Map(machines.map(machine => [machine.name, machine.pool]));
		for (const [machine, move] of pendingMoves) {
			const pool = standby.has(move.to) ? poolInList.get(machine) : poolOfMachine.get(machine);
			if (pool === move.to || nowMs - move.atMs > MOVE_TIMEOUT_MS) {
				pendingMoves.delete(machine);
			}
		}
	};

	/** Workers that a pool keeps of its reserve while others are short. */
	const remainderOf = (pool: string, fleetSize: number): number => Math.max(MIN_LENT_RESERVE, Math.round(fleetSize * (expected?.pool === pool ? EXPECTED_RESERVE_SHARE : LENT_RESERVE_SHARE)));

	/** Workers that a pool keeps without demand. Load alternates between queues, so the pool idle for longest is likely to be busy next. */
	const reserveOf = (pool: string, activePools: readonly string[], {fleetSize, maxMoves, nowMs}: BalanceInput): number => {
		if (expected) {
			const leadMs = EXPECTED_MOVE_MS + (expected.workers / maxMoves * EXPECTED_STEP_MS / 2) + (expected.spreadMs / 2);
			const isAhead = pool === expected.pool && nowMs >= expected.startMs - leadMs;
			if (isAhead) {
				return Math.max(1, Math.min(expected.workers, Math.round(fleetSize * MAX_EXPECTED_SHARE)));
			}
		}

		const last = lastBusyMs.get(pool);
		const isOldest = activePools.every(other => other === pool || (lastBusyMs.get(other) ?? -Infinity) > (last ?? -Infinity));
		const usual = Math.max(1, Math.round(fleetSize * (last === undefined ? INITIAL_RESERVE_SHARE : (isOldest ? LONGEST_IDLE_RESERVE_SHARE : MIN_RESERVE_SHARE))));
		return expected ? Math.min(usual, Math.max(MIN_LENT_RESERVE, Math.round(fleetSize * LENT_RESERVE_SHARE))) : usual;
	};

	/** What a pool has, what it needs, and what it keeps while another pool lacks workers for urgent work. */
	const positionOf = (pool: string, demand: MachineDemand, counts: {available: number; demanded: number; reserve: number; remainder: number}, capacity: Resources): PoolPosition => {
		const needed = workersFor(demand, capacity, demand.urgent);
		const forWork = features.drains ? workersFor(demand, capacity, withLate(demand)) : counts.demanded;
		return {
			pool, available: counts.available, needed, kept: Math.max(needed, forWork, features.lends ? Math.min(counts.reserve, counts.remainder) : counts.reserve),
		};
	};

	const countArriving = (pool: string): number => [...pendingMoves.values()].filter(move => move.to === pool).length;

	return {
		/** Records that a move was ordered. */
		ordered(move: MachineMove, nowMs: number): void {
			pendingMoves.set(move.machine, {to: move.to, atMs: nowMs});
		},

		/** Records that a move failed. */
		failed(move: MachineMove): void {
			pendingMoves.delete(move.machine);
		},

		/** Records that a list shows a machine up in a pool after an order that got no answer, so that a move elsewhere was not carried out. */
		stillIn(machine: string, pool: string): void {
			if (pendingMoves.get(machine)?.to !== pool) {
				pendingMoves.delete(machine);
			}
		},

		/** Records that the platform cannot move a machine of a kind to a pool. */
		impossible({machine, to}: MachineMove, kind: string, nowMs: number): void {
			refusals.impossible({machine, kind, to}, nowMs);
		},

		/** Records that the platform did not move a machine, and may do so later. */
		busy({machine, to}: MachineMove, kind: string, nowMs: number): void {
			refusals.busy({machine, kind, to}, nowMs);
		},

		/** Records that the platform has carried out a move of a machine of a kind. */
		accepted({machine, to}: MachineMove, kind: string): void {
			refusals.accepted({machine, kind, to});
		},

		/** Number of workers of each pool that should drain for a move, as of the latest step. */
		drains: (): ReadonlyMap<string, number> => drains,

		/** Number of workers that pools lack of their reserves while another pool lacks workers for urgent work, as of the latest step. */
		lent: (): number => lent,

		/** The turn that is expected next, as of the latest step. */
		expected: (): ExpectedTurn | undefined => expected,

		/** Decides the next moves. */
		step(input: BalanceInput): MachineMove[] {
			dropEndedMoves(input);
			drains = new Map();
			const standby = new Set(input.pools.filter(pool => pool.standby).map(pool => pool.name));
			const typicalCapacity = meanCapacity(input.machines);
			if (standby.size === 0 || !typicalCapacity) {
				return [];
			}

			const activePools = input.pools.filter(pool => !pool.standby).map(pool => pool.name);
			expected = undefined;
			if (features.forecasts) {
				forecast.observe(new Map(activePools.map(name => [name, {workers: arrivingWorkers(input.demands.get(name)!, typicalCapacity), jobs: input.demands.get(name)!.arrivingJobs}])), input.fleetSize, input.nowMs);
				const next = forecast.next(activePools);
				expected = next && input.nowMs <= next.startMs + next.spreadMs + LATE_TURN_MS ? next : undefined;
			}

			const balances = activePools.map(name => {
				const demand = input.demands.get(name)!;
				const demanded = workersFor(demand, typicalCapacity);
				if (demanded > input.fleetSize * LONGEST_IDLE_RESERVE_SHARE) {
					lastBusyMs.set(name, input.nowMs);
				}

				const reserve = reserveOf(name, activePools, input);
				const need = Math.max(demanded, reserve);
				const available = (input.workers.get(name) ?? 0) + countArriving(name);
				if (available <= need) {
					surplusSince.delete(name);
				} else {
					surplusSince.set(name, surplusSince.get(name) ?? input.nowMs);
				}

				const counts = {
					available, demanded, reserve, remainder: remainderOf(name, input.fleetSize),
				};
				return {
					name,
					shortage: need - available,
					demanded: demanded - available,
					unfilled: Math.max(0, reserve - Math.max(demanded, available)),
					position: positionOf(name, demand, counts, typicalCapacity),
				};
			});
			const positions = balances.map(({position}) => position);
			const settled = input.machines.filter(machine => !pendingMoves.has(machine.name));
			const free = outsideEvacuation(settled).filter(machine => machine.isIdle);
			const surplus = new Map(balances.map(({name, shortage}) => [name, Math.max(0, -shortage)]));
			const standbyMachines = free.filter(machine => standby.has(machine.pool));
			/** What pools give only to others that lack workers for urgent work. */
			const spare = spareWorkers(positions);
			drains = features.drains ? planDrains(positions, standbyMachines.length, input.maxMoves * DRAIN_STEPS) : new Map();
			const moves: MachineMove[] = [];
			const mayMove = ({name, kind}: MovableMachine, to: string): boolean => refusals.mayMove({machine: name, kind, to}, input.nowMs);

			/** Picks a machine for a pool: first from standby, then from the pool with the largest surplus, then, for urgent work, from the pool that can spare most. */
			const pickMachine = (to: string, isUrgent: boolean): MovableMachine | undefined => {
				const fitting = (machine: MovableMachine): boolean => machine.pool !== to && mayMove(machine, to) && moves.every(move => move.machine !== machine.name);
				const standbyMachine = standbyMachines.find(machine => fitting(machine));
				if (standbyMachine) {
					return standbyMachine;
				}

				for (const amounts of isUrgent ? [surplus, spare] : [surplus]) {
					const donors = free.filter(machine => (amounts.get(machine.pool) ?? 0) > 0 && fitting(machine));
					donors.sort((left, right) => amounts.get(right.pool)! - amounts.get(left.pool)!);
					if (donors[0]) {
						return donors[0];
					}
				}

				return undefined;
			};

			const lacking = ({position}: {position: PoolPosition}): number => (features.drains || features.lends ? Math.max(0, position.needed - position.available) : 0);
			lent = balances.some(balance => lacking(balance) > 0) ? balances.reduce((sum, {unfilled}) => sum + unfilled, 0) : 0;
			const shortPools = balances.filter(balance => balance.shortage > 0 || lacking(balance) > 0);
			// Demand of present work goes before reserves for future work.
			shortPools.sort((left, right) => lacking(right) - lacking(left) || Math.max(0, right.demanded) - Math.max(0, left.demanded) || right.shortage - left.shortage);
			for (const balance of shortPools) {
				const most = Math.max(balance.shortage, lacking(balance));
				for (let count = 0; count < most && moves.length < input.maxMoves; count += 1) {
					const machine = pickMachine(balance.name, count < lacking(balance));
					if (!machine) {
						break;
					}

					surplus.set(machine.pool, (surplus.get(machine.pool) ?? 0) - 1);
					spare.set(machine.pool, (spare.get(machine.pool) ?? 0) - 1);
					moves.push({machine: machine.name, from: machine.pool, to: balance.name});
				}
			}

			const withEvacuated = (): MachineMove[] => [...moves, ...moveToStandby(settled, standby, input.maxMoves - moves.length, mayMove)].slice(0, input.maxMoves);
			if (shortPools.length > 0) {
				return withEvacuated();
			}

			const [standbyPool] = standby;
			for (const {name} of balances) {
				const hasLongSurplus = input.nowMs - (surplusSince.get(name) ?? input.nowMs) >= SURPLUS_MS;
				const idle = hasLongSurplus ? free.filter(machine => machine.pool === name && mayMove(machine, standbyPool!)) : [];
				moves.push(...idle.slice(0, surplus.get(name)).map(machine => ({machine: machine.name, from: name, to: standbyPool!})));
			}

			moves.splice(Math.max(1, Math.floor(input.maxMoves * RETURNS_SHARE)));
			return withEvacuated();
		},
	};
};

/** Balances machines between the pools of a fleet. */
export type FleetBalancer = ReturnType<typeof createFleetBalancer>;
