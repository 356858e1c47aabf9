/** Gives orders to machines for one term: upkeep for waves, and moves between pools. One order at a time for each. */
import {
	createFleetBalance, createUpkeepPlan, groupBy, hasEndedLife, keepsBudgets, lifeOnMachine, MachineStates, measureDemand, unitToEvacuate,
	type ArrivalMeter, type Clock, type JobBook, type JobCommand, type JobOutcome, type Machine, type MachineMove, type MachineOrderKind, type MovableMachine,
	type RunEstimates, type UpkeepInput, type UpkeepWave, type WorkerDirectory, type WorkerTrack,
} from '@bronzebend/core';
import type {Log} from '../utils/log.js';
import type {MachineHolder, MachinePort, MachineResult} from './ports.js';

/** Pause between two steps, in milliseconds. */
const STEP_MS = 200;
/** Share of the platform's limit on orders that moves may use; upkeep and repeats need the rest. */
const MOVES_SHARE = 0.7;
/** Age from which the list of machines is read again while a wave or an order is under way, in milliseconds. */
const ACTIVE_LIST_MS = 400;
/** The same at other times, in milliseconds; each reading has a price. */
const CALM_LIST_MS = 1500;
/** Pause before an order without a clear answer is repeated, in milliseconds. */
const REPEAT_MS = 800;
/** Time after its record in which an order must leave, in milliseconds; it is withheld after that. */
const LEAVE_MS = 500;
/** Added to the span after the record of another holder's order in which none may be given, in milliseconds; that order may have left as late as it could. */
const HOLDER_MARGIN_MS = LEAVE_MS + 250;
/** Wall clocks of two nodes may differ by this much, in milliseconds; they may be set by seconds. */
const CLOCK_MARGIN_MS = 4000;

/** What a machine keeper is made of. */
export type MachineKeeperOptions = {
	book: JobBook;
	directory: WorkerDirectory;
	arrivals: ArrivalMeter;
	estimates: RunEstimates;
	port: MachinePort;
	/** Orders that the platform takes a second, from all nodes together. */
	ordersPerS: number;
	holder: string;
	fence: number;
	/** Span after another holder's last order in which this one must not give any, in milliseconds. */
	holderLeaseMs: number;
	/** When this process applied the last order to a machine, on its steady clock; undefined where it did not. */
	orderAppliedMs(machine: string): number | undefined;
	clock: Clock;
	log: Log;
	propose(command: JobCommand): Promise<JobOutcome>;
	trackOf(life: string): WorkerTrack | undefined;
	/** Work was placed on this life and is not recorded yet. */
	isBeingUsed(life: string): boolean;
	/** Lives that may take work now. */
	usable(): ReadonlySet<string>;
	/** Pools whose work waits for room. */
	shortPools(): ReadonlySet<string>;
	/** Moves a work unit away from a life. */
	evacuate(life: string, unit: string): void;
	/** Everything on this life was ended by an order, as the list of machines shows. */
	onEnded(life: string): void;
	isLeading(): boolean;
};

/** The last order to a machine, where another holder gave it. */
type OthersOrder = {
	lastHolder: string;
	/** Its least age on the steady clock, in milliseconds. */
	lastAgeMs: number;
	/** What that age is counted from: when its record was applied here, or the beginning of this term. */
	lastAgeSince: 'record' | 'term';
	/** Its age by the wall clocks of both holders, in milliseconds. */
	lastWallAgeMs: number;
};

/** An order that is not known to be over; `unanswered` got no clear answer and may still be carried out. */
type Ordered = {atMs: number; state: 'sent' | 'done' | 'unanswered'; kind: MachineOrderKind; life?: string};

/** Starts the care of machines for one term. */
export const createMachineKeeper = (options: MachineKeeperOptions) => {
	const {book, directory, port, clock, log} = options;
	const plan = createUpkeepPlan();
	const balance = createFleetBalance();
	const ordered = new Map<string, Ordered>();
	const startedMs = clock.monotonicMs();
	/** Waves whose completion is being recorded. */
	const completing = new Set<number>();
	let machines = new Map<string, Machine>();
	/** Names of machines by their worker, the first in the list; workers change with the list only. */
	let machineOf = new Map<string, string>();
	let listedMs = -Infinity;
	let mustList = false;
	let isBusy = false;

	const lifeOf = (machine: Machine): string | undefined => lifeOnMachine(machine, book, directory);

	const standbyPools = (): Set<string> => new Set(book.manifest()?.manifest.pools.filter(pool => pool.standby).map(pool => pool.name));

	const input = (): UpkeepInput => ({
		book,
		machines,
		lifeOf,
		trackOf: options.trackOf,
		ordered: new Map([...ordered].map(([name, order]) => [name, order.kind])),
		shortPools: options.shortPools(),
		standbyPools: standbyPools(),
		nowMs: clock.monotonicMs(),
		wallMs: clock.wallMs(),
	});

	const hasWaves = (): boolean => book.waves().some(wave => !wave.completed);

	const read = async (): Promise<boolean> => {
		const askedMs = clock.monotonicMs();
		if (!mustList && askedMs - listedMs < (hasWaves() || ordered.size > 0 ? ACTIVE_LIST_MS : CALM_LIST_MS)) {
			return listedMs > startedMs;
		}

		const list = await port.list();
		if (!list) {
			log.warn('No list of machines.', {ageMs: Math.round(askedMs - listedMs)});
			return false;
		}

		listedMs = askedMs;
		mustList = false;
		machines = new Map(list.map(machine => [machine.name, machine]));
		machineOf = new Map(list.toReversed().flatMap(({workerId, name}) => (workerId === undefined ? [] : [[workerId, name] as const])));
		for (const [name, order] of ordered) {
			const isListedSince = order.state === 'done' && order.atMs < askedMs;
			if (isListedSince && order.life !== undefined && hasEndedLife(machines.get(name), order.life)) {
				options.onEnded(order.life);
				order.life = undefined;
			}

			const isUpAgain = isListedSince && machines.get(name)?.state === MachineStates.up;
			if (isUpAgain || (order.state === 'unanswered' && askedMs - order.atMs > REPEAT_MS)) {
				ordered.delete(name);
			}
		}

		return true;
	};

	const othersOrder = (machine: string): OthersOrder | undefined => {
		const last = book.machineOrder(machine);
		if (!last || last.holder === options.holder) {
			return undefined;
		}

		// The record was applied there before it was applied here, and the order left within LEAVE_MS of that or not at all.
		const appliedMs = options.orderAppliedMs(machine);
		return {
			lastHolder: last.holder,
			lastAgeMs: Math.round(clock.monotonicMs() - (appliedMs ?? startedMs)),
			lastAgeSince: appliedMs === undefined ? 'term' : 'record',
			lastWallAgeMs: Math.round(clock.wallMs() - last.atMs),
		};
	};

	/** True where no other holder can have given this machine an order lately. */
	const isOurs = (machine: string): boolean => {
		const last = othersOrder(machine);
		const spanMs = options.holderLeaseMs + HOLDER_MARGIN_MS;
		// Wall clocks of two nodes only count where this process has not seen the record itself.
		return last === undefined || last.lastAgeMs > spanMs || (last.lastAgeSince === 'term' && Math.abs(last.lastWallAgeMs) > spanMs + CLOCK_MARGIN_MS);
	};

	const isIdle = (life: string | undefined): boolean => life === undefined || (book.runsOf(life).size === 0 && !options.isBeingUsed(life));

	/** Gives one order, which is recorded first; until it leaves, work may have come to its machine or gone elsewhere, and the lease may have ended. */
	const give = async (machine: string, life: string | undefined, isStillFine: () => boolean, call: (by: MachineHolder) => Promise<MachineResult>, fields: Record<string, string | number> & {order: MachineOrderKind}): Promise<MachineResult> => {
		const kind = fields.order;
		const last = othersOrder(machine);
		const proposedMs = clock.monotonicMs();
		ordered.set(machine, {atMs: proposedMs, state: 'sent', kind});
		try {
			await options.propose({
				type: 'machine-order', machine, holder: options.holder, atMs: clock.wallMs(),
			});
		} catch (error) {
			ordered.delete(machine);
			throw error;
		}

		const recordedMs = options.orderAppliedMs(machine) ?? proposedMs;
		let askedMs = recordedMs;
		const result = await call({
			holder: options.holder,
			fence: options.fence,
			mayLeave() {
				askedMs = clock.monotonicMs();
				return askedMs - recordedMs <= LEAVE_MS && options.isLeading() && isStillFine();
			},
		});
		log.info(result.type === 'withheld' ? 'Order to a machine withheld.' : 'Machine ordered.', {
			machine, ...fields, result: result.type, reason: 'reason' in result ? result.reason : undefined, worker: life, ...last,
			leftAfterMs: Math.round(askedMs - recordedMs), tookMs: Math.round(clock.monotonicMs() - askedMs), listMsAgo: Math.round(clock.monotonicMs() - listedMs),
		});
		if (result.type === 'done') {
			ordered.set(machine, {
				atMs: clock.monotonicMs(), state: 'done', kind, life,
			});
			if (life !== undefined) {
				// Only the next list tells whether this order ended the life, or one before it had been carried out.
				mustList = true;
			}
		} else if (result.type === 'unknown') {
			ordered.set(machine, {atMs: clock.monotonicMs(), state: 'unanswered', kind});
		} else {
			ordered.delete(machine);
		}

		return result;
	};

	const complete = async (): Promise<void> => {
		const over = book.waves().filter(wave => !wave.completed && !completing.has(wave.number) && plan.isComplete(wave, machines));
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

	/** Begins one machine's upkeep, where that still keeps cap and budgets: each order changes what the next ones may do. */
	const beginUpkeep = async (wave: UpkeepWave, machine: Machine, life: string | undefined): Promise<void> => {
		if (!options.isLeading() || !isOurs(machine.name) || !plan.mayBegin(input(), wave, life)) {
			return;
		}

		const result = await give(machine.name, life, () => life === undefined || keepsBudgets(input(), life), async by => port.upkeep(machine.name, wave.number, by), {order: 'upkeep', wave: wave.number});
		if (result.type === 'done') {
			await options.propose({type: 'wave-begun', number: wave.number, machine: machine.name});
		}
	};

	const stepWaves = async (): Promise<void> => {
		const orders = plan.choose(input()).map(async ({wave, machine, mayBegin, evacuated}) => {
			const life = lifeOf(machine);
			if (evacuated !== undefined && life !== undefined && unitToEvacuate(input(), life) === evacuated) {
				log.info('Work moved away before upkeep.', {
					machine: machine.name, worker: life, unit: evacuated, wave: wave.number,
				});
				options.evacuate(life, evacuated);
			}

			if (mayBegin) {
				await beginUpkeep(wave, machine, life);
			}
		});
		await Promise.all([complete(), ...orders]);
	};

	const movable = (): MovableMachine[] => [...machines.values()].filter(machine => machine.state === MachineStates.up && !ordered.has(machine.name) && isOurs(machine.name)).map(machine => ({
		name: machine.name, pool: machine.pool, capacity: machine.capacity, kind: machine.labels[0] ?? '', isIdle: isIdle(lifeOf(machine)),
	}));

	const move = async (chosen: MachineMove): Promise<void> => {
		const machine = machines.get(chosen.machine)!;
		const life = lifeOf(machine);
		if (!options.isLeading() || !isIdle(life)) {
			return;
		}

		balance.ordered(chosen, clock.monotonicMs());
		const result = await give(machine.name, life, () => isIdle(life), async by => port.move(machine.name, chosen.to, by), {order: 'move', from: chosen.from, to: chosen.to}).catch((error: unknown) => {
			balance.failed(chosen);
			throw error;
		});
		if (result.type === 'done') {
			machines.set(machine.name, {...machine, pool: chosen.to, state: MachineStates.moving});
		} else if (result.type !== 'unknown') {
			balance.failed(chosen);
			if (result.type === 'rejected' && result.reason === 'impossible') {
				balance.impossible(machine.labels[0] ?? '', chosen.to);
			}
		}
	};

	const stepBalance = async (): Promise<void> => {
		const pools = book.manifest()?.manifest.pools ?? [];
		const lives = options.usable();
		const usable = directory.list().filter(entry => !entry.left && lives.has(entry.life));
		const moves = balance.step({
			pools,
			demands: measureDemand(book, options.arrivals, options.estimates, {wallMs: clock.wallMs(), nowMs: clock.monotonicMs()}),
			workers: new Map([...groupBy(usable, entry => entry.pool)].map(([pool, entries]) => [pool, entries.length])),
			machines: movable(),
			poolOfMachine: new Map(directory.list().flatMap(entry => (entry.left || entry.machine === undefined ? [] : [[entry.machine, entry.pool] as const]))),
			fleetSize: machines.size,
			mostMoves: Math.max(1, Math.floor(options.ordersPerS * MOVES_SHARE * STEP_MS / 1000)),
			nowMs: clock.monotonicMs(),
		});
		await Promise.all(moves.map(async chosen => move(chosen)));
	};

	const step = async (): Promise<void> => {
		if (isBusy || !options.isLeading() || !book.manifest()) {
			return;
		}

		isBusy = true;
		try {
			if (!await read()) {
				return;
			}

			// The next step need not wait for these orders: a machine takes part again only when its order is over.
			for (const orders of [hasWaves() ? stepWaves() : Promise.resolve(), stepBalance()]) {
				orders.catch((error: unknown) => {
					log.warn('Orders to machines failed.', {cause: String(error)});
				});
			}
		} catch (error) {
			log.warn('A step on the machines failed.', {cause: String(error)});
		} finally {
			isBusy = false;
		}
	};

	const timer = setInterval(() => {
		void step();
	}, STEP_MS);

	return {
		/** True where a machine takes no new work: it is about to go down or to move. */
		isLeaving: (machine: string): boolean => ordered.has(machine) || plan.emptying().has(machine),
		machineOfWorker: (id: string): string | undefined => machineOf.get(id),
		/** Cores that a pool has or gets within seconds, in thousandths: of its own machines and of those in standby, whether or not their workers have reported yet; undefined before the first list. */
		reachableCpu(pool: string): number | undefined {
			if (machines.size === 0) {
				return undefined;
			}

			const standby = standbyPools();
			const within = [...machines.values()].filter(machine => machine.state !== MachineStates.down && (machine.pool === pool || standby.has(machine.pool)));
			return within.reduce((sum, machine) => sum + machine.capacity.cpu, 0);
		},
		stop(): void {
			clearInterval(timer);
		},
	};
};

/** The care of machines for one term. */
export type MachineKeeper = ReturnType<typeof createMachineKeeper>;
