/**
Which machines change their pool.

Answers the load in which queues take turns: the pool whose queue is asking gets machines from
standby and from pools that have more than they need, and idle ones go back to standby. Only
machines that run nothing are moved, so a move never costs work or availability.
*/
import type {JobPool, Resources} from './fleet-manifest.js';
import type {MachineDemand} from './machine-demand.js';

/** Workers that a pool keeps shortly after its turn, as a share of the fleet. */
const MIN_SHARE = 0.07;
/** Workers that a pool keeps while its turn may come, as a share of the fleet; the first jobs of a turn start on them. */
const READY_SHARE = 0.12;
/** Workers that the pool keeps whose turn is the longest ago, once all have had one, as a share of the fleet. */
const NEXT_SHARE = 0.15;
/** Room beyond the demand, as a factor; units do not fill machines exactly. */
const HEADROOM = 1.05;
/** Time for which a pool must have had too many workers before one goes to standby, in milliseconds. */
const SURPLUS_MS = 1200;
/** Time after which a move that brought no worker is forgotten, in milliseconds; several moves long. */
const ARRIVAL_LIMIT_MS = 6000;
/** A machine that may be moved. */
export type MovableMachine = {name: string; pool: string; capacity: Resources; kind: string; isIdle: boolean};

/** What a step is decided from. */
export type BalanceInput = {
	pools: readonly JobPool[];
	demands: ReadonlyMap<string, MachineDemand>;
	/** Workers that take work now, by pool. */
	workers: ReadonlyMap<string, number>;
	/** Machines that are up and that nothing else was ordered for. */
	machines: readonly MovableMachine[];
	/** All machines, whatever their state. */
	fleetSize: number;
	/** Moves decided in this step at most. */
	mostMoves: number;
	/** Machines seen as a worker of a pool. */
	poolOfMachine: ReadonlyMap<string, string>;
	nowMs: number;
};

/** One move. */
export type MachineMove = {machine: string; from: string; to: string};

/** Workers that a demand asks for. */
export const workersFor = (demand: MachineDemand, capacity: Resources): number => {
	const cpu = Math.max(demand.wanted.cpu, demand.lasting.cpu + demand.arrivingCpu);
	const memoryMb = Math.max(demand.wanted.memoryMb, demand.lasting.memoryMb + demand.arrivingMemoryMb);
	const machines = Math.max(cpu / Math.max(1, capacity.cpu), memoryMb / Math.max(1, capacity.memoryMb));
	return Math.max(demand.spread, Math.ceil(machines * HEADROOM));
};

/** Creates the balance, which remembers moves under way and since when pools have had too many workers. */
export const createFleetBalance = () => {
	const underWay = new Map<string, {to: string; atMs: number}>();
	const surplusSince = new Map<string, number>();
	const refused = new Set<string>();
	const busyAt = new Map<string, number>();

	/** A machine has arrived with its worker's first report, in standby with its place in the list of machines. */
	const forgetArrived = ({machines, pools, poolOfMachine, nowMs}: BalanceInput): void => {
		const standby = new Set(pools.filter(pool => pool.standby).map(pool => pool.name));
		const poolInList = new Map(machines.map(machine => [machine.name, machine.pool]));
		for (const [machine, move] of underWay) {
			const pool = standby.has(move.to) ? poolInList.get(machine) : poolOfMachine.get(machine);
			if (pool === move.to || nowMs - move.atMs > ARRIVAL_LIMIT_MS) {
				underWay.delete(machine);
			}
		}
	};

	/** Workers that a pool keeps without demand: queues take turns, so the one that has waited longest is next. */
	const reserveOf = (pool: string, serving: readonly string[], fleetSize: number): number => {
		const last = busyAt.get(pool);
		const isOldest = serving.every(other => other === pool || (busyAt.get(other) ?? -Infinity) > (last ?? -Infinity));
		return Math.max(1, Math.round(fleetSize * (last === undefined ? READY_SHARE : (isOldest ? NEXT_SHARE : MIN_SHARE))));
	};

	const coming = (pool: string): number => [...underWay.values()].filter(move => move.to === pool).length;

	return {
		/** A move was ordered. */
		ordered(move: MachineMove, nowMs: number): void {
			underWay.set(move.machine, {to: move.to, atMs: nowMs});
		},

		/** A move did not take place. */
		failed(move: MachineMove): void {
			underWay.delete(move.machine);
		},

		/** Machines of this kind do not fit into the pool. */
		impossible(kind: string, pool: string): void {
			refused.add(`${kind} ${pool}`);
		},

		/** Decides the next moves. */
		step(input: BalanceInput): MachineMove[] {
			forgetArrived(input);
			const standby = new Set(input.pools.filter(pool => pool.standby).map(pool => pool.name));
			const usual = input.machines[0]?.capacity;
			if (standby.size === 0 || !usual) {
				return [];
			}

			const serving = input.pools.filter(pool => !pool.standby).map(pool => pool.name);
			const balances = serving.map(name => {
				const asked = workersFor(input.demands.get(name)!, usual);
				if (asked > input.fleetSize * NEXT_SHARE) {
					busyAt.set(name, input.nowMs);
				}

				const reserve = reserveOf(name, serving, input.fleetSize);
				const need = Math.max(asked, reserve);
				const have = (input.workers.get(name) ?? 0) + coming(name);
				if (have <= need) {
					surplusSince.delete(name);
				} else {
					surplusSince.set(name, surplusSince.get(name) ?? input.nowMs);
				}

				return {name, lack: need - have, urgent: asked - have};
			});
			const free = input.machines.filter(machine => machine.isIdle && !underWay.has(machine.name));
			const surplus = new Map(balances.map(({name, lack}) => [name, Math.max(0, -lack)]));
			const reserve = free.filter(machine => standby.has(machine.pool));
			const moves: MachineMove[] = [];

			/** A machine for a pool: first from standby, then from the pool with the most to spare. */
			const take = (to: string): MovableMachine | undefined => {
				const fitting = (machine: MovableMachine): boolean => machine.pool !== to && !refused.has(`${machine.kind} ${to}`) && moves.every(move => move.machine !== machine.name);
				const spare = reserve.find(machine => fitting(machine));
				if (spare) {
					return spare;
				}

				const donors = free.filter(machine => (surplus.get(machine.pool) ?? 0) > 0 && fitting(machine));
				donors.sort((left, right) => surplus.get(right.pool)! - surplus.get(left.pool)!);
				return donors[0];
			};

			const needy = balances.filter(({lack}) => lack > 0);
			// Work that is there goes before work that may come.
			needy.sort((left, right) => Math.max(0, right.urgent) - Math.max(0, left.urgent) || right.lack - left.lack);
			for (const {name, lack} of needy) {
				for (let missing = lack; missing > 0 && moves.length < input.mostMoves; missing -= 1) {
					const machine = take(name);
					if (!machine) {
						break;
					}

					surplus.set(machine.pool, (surplus.get(machine.pool) ?? 0) - 1);
					moves.push({machine: machine.name, from: machine.pool, to: name});
				}
			}

			if (needy.length > 0) {
				return moves;
			}

			const [home] = standby;
			for (const {name} of balances) {
				const isLong = input.nowMs - (surplusSince.get(name) ?? input.nowMs) >= SURPLUS_MS;
				const idle = isLong ? free.filter(machine => machine.pool === name && !refused.has(`${machine.kind} ${home}`)) : [];
				moves.push(...idle.slice(0, surplus.get(name)).map(machine => ({machine: machine.name, from: name, to: home!})));
			}

			return moves.slice(0, input.mostMoves);
		},
	};
};

/** The balance of a fleet. */
export type FleetBalance = ReturnType<typeof createFleetBalance>;
