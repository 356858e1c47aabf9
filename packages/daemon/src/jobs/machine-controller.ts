/** Gives orders to machines during one term: upkeep for waves, and moves between pools. Each machine has at most one order at a time. */
import {
	createFleetBalancer, createUpkeepPlanner, groupBy, hasEndedLife, keepsBudgets, lifeOnMachine, MachineStates, mayHaveEnded, measureDemand, sumPoolRoom, unitToEvacuate,
	type AdmissionRoom, type ArrivalMeter, type Clock, type EndProof, type JobStore, type JobCommand, type JobOutcome, type Machine, type MachineMove, type MachineOrderKind, type MovableMachine,
	type RunEstimates, type UpkeepInput, type UpkeepWave, type WorkerDirectory, type WorkerEntry, type WorkerTrack,
} from '@bronzebend/core';
import type {Log} from '../utils/log.js';
import {createDrainingWorkers} from './draining-workers.js';
import {createForeignOrders, SEND_TIMEOUT_MS} from './foreign-orders.js';
import type {MachineHolder, MachinePort, MachineResult} from './ports.js';

/** Interval of the control steps, in milliseconds. */
const STEP_INTERVAL_MS = 200;
/** Share of the platform's order limit that moves may use, during a wave and otherwise; upkeep and repeated orders need the rest. */
const MOVES_SHARE = {duringWave: 0.8, otherwise: 0.9};
/** Age at which the list of machines is refreshed while a wave or an order is in progress, in milliseconds. */
const ACTIVE_LIST_MAX_AGE_MS = 400;
/** Age at which the list of machines is refreshed otherwise, in milliseconds; longer, because each reading has a cost. */
const IDLE_LIST_MAX_AGE_MS = 1500;
/** Time before an order without a clear answer may be repeated, in milliseconds. */
const REPEAT_DELAY_MS = 800;

/** Options of a machine controller. */
export type MachineControllerOptions = {
	store: JobStore;
	directory: WorkerDirectory;
	arrivals: ArrivalMeter;
	estimates: RunEstimates;
	port: MachinePort;
	/** Orders that the platform accepts per second, from all nodes together. */
	ordersPerS: number;
	holder: string;
	fence: number;
	/** Time after another holder's last order to a machine in which this holder must not give it any, in milliseconds. */
	holderLeaseMs: number;
	/** When this process applied the last order to a machine, on its steady clock in milliseconds; undefined if it did not apply it. */
	orderAppliedMs(machine: string): number | undefined;
	clock: Clock;
	log: Log;
	propose(command: JobCommand): Promise<JobOutcome>;
	trackOf(life: string): WorkerTrack | undefined;
	/** True if starts on this life have been proposed and may not be committed yet. */
	isBeingUsed(life: string): boolean;
	/** Lives that may take new work, or would if they did not drain for a move. */
	usable(): ReadonlySet<string>;
	/** Pools with work that waits for room. */
	shortPools(): ReadonlySet<string>;
	/** Stops a work unit on a life, so that it is placed elsewhere. */
	evacuate(life: string, unit: string): void;
	/** Called when the list of machines shows that an order ended this life with all its runs. */
	onEnded(life: string, proof: EndProof): void;
	isLeading(): boolean;
};

/** An order that may still be in progress; an `unanswered` one got no clear answer and may still be carried out. */
type PendingOrder = {atMs: number; state: 'sent' | 'done' | 'unanswered'; kind: MachineOrderKind; life?: string};

/** Starts the control of machines for one term. */
export const createMachineController = (options: MachineControllerOptions) => {
	const {store, directory, port, clock, log} = options;
	const planner = createUpkeepPlanner();
	const balancer = createFleetBalancer();
	const pendingOrders = new Map<string, PendingOrder>();
	/** Machines to which this term has given an order. */
	const ordered = new Set<string>();
	const startedMs = clock.monotonicMs();
	const foreignOrders = createForeignOrders(options);
	const draining = createDrainingWorkers(options);
	/** Waves whose completion is being committed. */
	const completing = new Set<number>();
	let machines = new Map<string, Machine>();
	/** Name of each worker's machine, the first one listed; rebuilt only when the list is read. */
	let machineByWorker = new Map<string, string>();
	let listReadMs = -Infinity;
	/** Names of machines whose entries in the list were invalid; undefined for one without a readable name. */
	let unreadable: ReadonlySet<string | undefined> = new Set();
	let mustRefresh = false;
	let isBusy = false;

	const lifeOf = (machine: Machine): string | undefined => lifeOnMachine(machine, store, directory);

	const standbyPools = (): Set<string> => new Set(store.manifest()?.manifest.pools.filter(pool => pool.standby).map(pool => pool.name));

	const input = (): UpkeepInput => ({
		store,
		machines,
		lifeOf,
		trackOf: options.trackOf,
		pendingOrders: new Map([...foreignOrders.underWay(ordered), ...[...pendingOrders].map(([name, order]) => [name, order.kind] as const)]),
		shortPools: options.shortPools(),
		standbyPools: standbyPools(),
		nowMs: clock.monotonicMs(),
		wallMs: clock.wallMs(),
	});

	const hasWaves = (): boolean => store.waves().some(wave => !wave.completed);

	const refreshMachines = async (): Promise<boolean> => {
		const requestedMs = clock.monotonicMs();
		if (!mustRefresh && requestedMs - listReadMs < (hasWaves() || pendingOrders.size > 0 ? ACTIVE_LIST_MAX_AGE_MS : IDLE_LIST_MAX_AGE_MS)) {
			return listReadMs > startedMs;
		}

		const list = await port.list();
		if (!list) {
			log.warn('The platform returned no list of machines.', {ageMs: Math.round(requestedMs - listReadMs)});
			return false;
		}

		listReadMs = requestedMs;
		mustRefresh = false;
		unreadable = new Set(list.unreadable);
		const isOurs = ({pool}: Machine): boolean => store.manifest()?.hasPool(pool) !== false;
		// Of two entries for one machine, one of an unknown pool comes from another writer.
		machines = new Map([...list.machines.filter(machine => !isOurs(machine)), ...list.machines.filter(machine => isOurs(machine))].map(machine => [machine.name, machine]));
		machineByWorker = new Map(list.machines.toReversed().flatMap(({workerId, name}) => (workerId === undefined ? [] : [[workerId, name] as const])));
		for (const [name, order] of pendingOrders) {
			const isListedSince = order.state !== 'sent' && order.atMs < requestedMs;
			const listed = machines.get(name);
			if (isListedSince && order.life !== undefined && listed && isOurs(listed) && hasEndedLife(listed, order.life)) {
				options.onEnded(order.life, {
					type: 'machine-list', machine: name, order: order.kind, orderAgeMs: Math.round(requestedMs - order.atMs), listedState: listed.state, listedWorker: listed.workerId,
				});
				order.life = undefined;
				order.state = 'done';
			}

			// Until the list names the worker, it does not show whether a life with runs goes on.
			const isSettled = order.life === undefined || listed?.workerId !== undefined || store.runsOf(order.life).size === 0;
			const isUpAgain = isListedSince && order.state === 'done' && listed?.state === MachineStates.up && isSettled;
			const mayRepeat = order.state === 'unanswered' && requestedMs - order.atMs > REPEAT_DELAY_MS;
			if (isUpAgain || mayRepeat) {
				pendingOrders.delete(name);
			}

			if (mayRepeat && listed?.state === MachineStates.up) {
				balancer.stillIn(name, listed.pool);
			}
		}

		return true;
	};

	const isIdle = (life: string | undefined): boolean => life === undefined || (store.runsOf(life).size === 0 && !options.isBeingUsed(life));

	/**
	Commits the record of one order and then gives the order. The conditions are checked again just before it is sent,
	as meanwhile work may have been placed on the machine or moved elsewhere, or the leader's lease may have ended.
	*/
	const giveOrder = async (machine: string, life: string | undefined, isStillAllowed: () => boolean, call: (holder: MachineHolder) => Promise<MachineResult>, fields: Record<string, string | number> & {order: MachineOrderKind}): Promise<MachineResult> => {
		const kind = fields.order;
		const last = foreignOrders.last(machine);
		const proposedMs = clock.monotonicMs();
		ordered.add(machine);
		pendingOrders.set(machine, {atMs: proposedMs, state: 'sent', kind});
		try {
			await options.propose({
				type: 'machine-order', machine, holder: options.holder, atMs: clock.wallMs(), life, kind,
			});
		} catch (error) {
			pendingOrders.delete(machine);
			throw error;
		}

		const recordedMs = options.orderAppliedMs(machine) ?? proposedMs;
		let sentMs = recordedMs;
		const result = await call({
			holder: options.holder,
			fence: options.fence,
			maySend() {
				sentMs = clock.monotonicMs();
				return sentMs - recordedMs <= SEND_TIMEOUT_MS && options.isLeading() && isStillAllowed();
			},
		});
		log.info(result.type === 'withheld' ? 'Order to a machine withheld.' : 'Order to a machine given.', {
			machine, ...fields, result: result.type, reason: 'reason' in result ? result.reason : undefined, worker: life, ...last,
			leftAfterMs: Math.round(sentMs - recordedMs), tookMs: Math.round(clock.monotonicMs() - sentMs), listMsAgo: Math.round(clock.monotonicMs() - listReadMs),
		});
		if (result.type === 'done') {
			pendingOrders.set(machine, {
				atMs: clock.monotonicMs(), state: 'done', kind, life,
			});
			if (life !== undefined) {
				// Only the next list shows whether the life was ended, by this order or by an earlier one that was carried out.
				mustRefresh = true;
			}
		} else if (result.type === 'unknown') {
			pendingOrders.set(machine, {
				atMs: clock.monotonicMs(), state: 'unanswered', kind, life,
			});
			mustRefresh ||= life !== undefined;
		} else {
			pendingOrders.delete(machine);
		}

		return result;
	};

	/** False only if the list shows that a machine is gone; an entry without a readable name may be that of any machine. */
	const mayExist = (name: string): boolean => machines.has(name) || unreadable.has(name) || unreadable.has(undefined);

	const completeWaves = async (): Promise<void> => {
		const over = store.waves().filter(wave => !wave.completed && !completing.has(wave.number) && planner.isComplete(wave, mayExist));
		await Promise.all(over.map(async wave => {
			completing.add(wave.number);
			try {
				await options.propose({type: 'wave-completed', number: wave.number});
				log.info('Wave completed.', {wave: wave.number});
			} finally {
				completing.delete(wave.number);
			}
		}));
	};

	/** Begins one machine's upkeep if the wave's cap and the budgets still allow it; checked for each order, as each changes what the next may do. */
	const beginUpkeep = async (wave: UpkeepWave, machine: Machine, life: string | undefined): Promise<void> => {
		if (!options.isLeading() || !foreignOrders.isClear(machine.name) || !planner.mayBegin(input(), wave, life)) {
			return;
		}

		const result = await giveOrder(machine.name, life, () => life === undefined || keepsBudgets(input(), life), async holder => port.upkeep(machine.name, wave.number, holder), {order: 'upkeep', wave: wave.number});
		if (result.type === 'done') {
			await options.propose({type: 'wave-begun', number: wave.number, machine: machine.name});
		}
	};

	const stepWaves = async (): Promise<void> => {
		const orders = planner.choose(input()).map(async ({wave, machine, mayBegin, unitToEvacuate: evacuated}) => {
			const life = lifeOf(machine);
			if (evacuated !== undefined && life !== undefined && unitToEvacuate(input(), life) === evacuated) {
				log.info('Moving work off a machine before its upkeep.', {
					machine: machine.name, worker: life, unit: evacuated, wave: wave.number,
				});
				options.evacuate(life, evacuated);
			}

			if (mayBegin) {
				await beginUpkeep(wave, machine, life);
			}
		});
		await Promise.all([completeWaves(), ...orders]);
	};

	const movable = (): MovableMachine[] => [...machines.values()].filter(machine => machine.state === MachineStates.up && !pendingOrders.has(machine.name) && foreignOrders.isClear(machine.name)).map(machine => ({
		name: machine.name, pool: machine.pool, capacity: machine.capacity, kind: machine.labels[0] ?? '', isIdle: isIdle(lifeOf(machine)), isEvacuated: store.isEvacuated(machine.zone),
	}));

	/** False if a machine's data centre was evacuated after a move to an active pool was decided. */
	const mayMoveTo = (pool: string, {zone}: Machine): boolean => !store.isEvacuated(zone) || standbyPools().has(pool);

	const move = async (chosen: MachineMove): Promise<void> => {
		const machine = machines.get(chosen.machine)!;
		const life = lifeOf(machine);
		if (!options.isLeading() || !isIdle(life)) {
			return;
		}

		const kind = machine.labels[0] ?? '';
		balancer.ordered(chosen, clock.monotonicMs());
		const result = await giveOrder(machine.name, life, () => isIdle(life) && mayMoveTo(chosen.to, machine), async holder => port.move(machine.name, chosen.to, holder), {order: 'move', from: chosen.from, to: chosen.to}).catch((error: unknown) => {
			balancer.failed(chosen);
			throw error;
		});
		if (result.type === 'done') {
			balancer.accepted(chosen, kind);
			machines.set(machine.name, {...machine, pool: chosen.to, state: MachineStates.moving});
		} else if (result.type !== 'unknown') {
			balancer.failed(chosen);
			if (result.type === 'rejected') {
				balancer[result.reason === 'impossible' ? 'impossible' : 'busy'](chosen, kind, clock.monotonicMs());
			}
		}
	};

	const stepBalance = async (): Promise<void> => {
		const pools = store.manifest()?.manifest.pools ?? [];
		const lives = options.usable();
		const usable = directory.list().filter(entry => !entry.left && lives.has(entry.life));
		const moves = balancer.step({
			pools,
			demands: measureDemand(store, options.arrivals, options.estimates, {wallMs: clock.wallMs(), nowMs: clock.monotonicMs()}),
			workers: new Map([...groupBy(usable, entry => entry.pool)].map(([pool, entries]) => [pool, entries.length])),
			machines: movable(),
			poolOfMachine: new Map(directory.list().flatMap(entry => (entry.left || entry.machine === undefined ? [] : [[entry.machine, entry.pool] as const]))),
			fleetSize: [...machines.values()].filter(({zone}) => !store.isEvacuated(zone)).length,
			maxMoves: Math.max(1, Math.floor(options.ordersPerS * (hasWaves() ? MOVES_SHARE.duringWave : MOVES_SHARE.otherwise) * STEP_INTERVAL_MS / 1000)),
			nowMs: clock.monotonicMs(),
		});
		draining.choose(balancer.drains(), lives);
		await Promise.all(moves.map(async chosen => move(chosen)));
	};

	const step = async (): Promise<void> => {
		if (isBusy || !options.isLeading() || !store.manifest()) {
			return;
		}

		isBusy = true;
		try {
			if (!await refreshMachines()) {
				return;
			}

			// The next step does not wait for these orders: a machine is considered again only when its order has ended.
			for (const orders of [hasWaves() ? stepWaves() : Promise.resolve(), stepBalance()]) {
				orders.catch((error: unknown) => {
					log.warn('Orders to machines failed.', {cause: String(error)});
				});
			}
		} catch (error) {
			log.warn('Machine control step failed.', {cause: String(error)});
		} finally {
			isBusy = false;
		}
	};

	const timer = setInterval(() => {
		void step();
	}, STEP_INTERVAL_MS);

	return {
		/** Returns true if a life may take new work: its machine is not about to go down or to move, and no order is known that may have ended it. */
		mayTakeWork(entry: WorkerEntry): boolean {
			const machine = entry.machine ?? machineByWorker.get(entry.id);
			return machine === undefined || !(pendingOrders.has(machine) || planner.isEmptying(machine, clock.monotonicMs()) || mayHaveEnded(entry, {
				listed: machines.get(machine),
				listReadMs,
				order: ordered.has(machine) ? undefined : store.machineOrder(machine),
				orderSettledMs: foreignOrders.settledMs(machine),
			}));
		},
		isDraining: draining.has,
		balance: () => ({draining: draining.count(), lent: balancer.lent(), expected: balancer.expected()}),
		/** Resources of a pool's own machines, even if their workers have not announced themselves yet, and of those that it can get within seconds: machines in standby and idle ones of other pools; undefined before the first list. */
		roomOf(pool: string): AdmissionRoom | undefined {
			if (machines.size === 0) {
				return undefined;
			}

			const usable = [...machines.values()].filter(machine => machine.state !== MachineStates.down && !store.isEvacuated(machine.zone));
			return sumPoolRoom(usable, pool, {standby: standbyPools(), isIdle: machine => isIdle(lifeOf(machine))});
		},
		stop(): void {
			clearInterval(timer);
		},
	};
};

/** The control of machines during one term. */
export type MachineController = ReturnType<typeof createMachineController>;
