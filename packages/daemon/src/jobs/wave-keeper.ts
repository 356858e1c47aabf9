/** Carries out waves of upkeep: reads the machines while a wave is under way, and gives one order at a time to each. */
import {
	createUpkeepPlan, MachineStates,
	type Clock, type JobBook, type JobCommand, type JobOutcome, type Machine, type UpkeepInput, type WorkerTrack,
} from '@bronzebend/core';
import type {Log} from '../utils/log.js';
import type {MachinePort, MachineResult} from './ports.js';

/** Pause between two steps while a wave is under way, in milliseconds. */
const STEP_MS = 250;
/** Pause before an order without a clear answer is repeated, in milliseconds. */
const REPEAT_MS = 800;
/** Added to the span for which another holder's orders may still be under way, in milliseconds. */
const HOLDER_MARGIN_MS = 500;

/** What a wave keeper is made of. */
export type WaveKeeperOptions = {
	book: JobBook;
	port: MachinePort;
	holder: string;
	fence: number;
	/** Span after another holder's last order in which this one must not give any, in milliseconds. */
	holderLeaseMs: number;
	clock: Clock;
	log: Log;
	propose(command: JobCommand): Promise<JobOutcome>;
	lifeOf(machine: Machine): string | undefined;
	trackOf(life: string): WorkerTrack | undefined;
	/** Everything on this life was ended by an order. */
	onEnded(life: string): void;
	isLeading(): boolean;
};

/** Starts the care of waves for one term. */
export const createWaveKeeper = (options: WaveKeeperOptions) => {
	const {book, port, clock, log} = options;
	const plan = createUpkeepPlan();
	const ordered = new Map<string, {atMs: number; isDone: boolean}>();
	const startedMs = clock.monotonicMs();
	let machines = new Map<string, Machine>();
	let isBusy = false;

	const input = (): UpkeepInput => ({
		book, machines, lifeOf: options.lifeOf, trackOf: options.trackOf, ordered: new Set(ordered.keys()), nowMs: clock.monotonicMs(),
	});

	const read = async (): Promise<boolean> => {
		const askedMs = clock.monotonicMs();
		const list = await port.list();
		if (!list) {
			log.warn('No list of machines.', {});
			return false;
		}

		machines = new Map(list.map(machine => [machine.name, machine]));
		for (const [name, order] of ordered) {
			const isUpAgain = order.isDone && order.atMs < askedMs && machines.get(name)?.state === MachineStates.up;
			if (isUpAgain || (!order.isDone && askedMs - order.atMs > REPEAT_MS)) {
				ordered.delete(name);
			}
		}

		return true;
	};

	const begin = async (number: number, machine: Machine): Promise<void> => {
		const life = options.lifeOf(machine);
		ordered.set(machine.name, {atMs: clock.monotonicMs(), isDone: false});
		const result: MachineResult = await port.upkeep(machine.name, number, {holder: options.holder, fence: options.fence});
		log.info('Upkeep ordered.', {
			wave: number, machine: machine.name, result: result.type, reason: 'reason' in result ? result.reason : undefined, worker: life,
		});
		if (result.type !== 'done') {
			if (result.type !== 'unknown') {
				ordered.delete(machine.name);
			}

			return;
		}

		ordered.set(machine.name, {atMs: clock.monotonicMs(), isDone: true});
		if (life !== undefined) {
			options.onEnded(life);
		}

		await options.propose({type: 'wave-begun', number, machine: machine.name});
	};

	const complete = async (): Promise<void> => {
		const over = book.waves().filter(wave => !wave.completed && plan.isComplete(wave, machines));
		await Promise.all(over.map(async wave => {
			await options.propose({type: 'wave-completed', number: wave.number});
			log.info('Wave completed.', {wave: wave.number});
		}));
	};

	const step = async (): Promise<void> => {
		if (isBusy || !options.isLeading() || book.waves().every(wave => wave.completed)) {
			return;
		}

		isBusy = true;
		try {
			if (!await read()) {
				return;
			}

			await complete();
			const mayOrder = clock.monotonicMs() - startedMs > options.holderLeaseMs + HOLDER_MARGIN_MS;
			const choices = plan.choose(input());
			// Each order changes which others keep the budgets.
			for (const choice of choices.filter(each => each.mayBegin)) {
				const life = options.lifeOf(choice.machine);
				const stillMay = plan.mayBegin(input(), choice.wave, life);
				if (mayOrder && options.isLeading() && stillMay) {
					// eslint-disable-next-line no-await-in-loop
					await begin(choice.wave.number, choice.machine);
				}
			}
		} catch (error) {
			log.warn('A step of a wave failed.', {cause: String(error)});
		} finally {
			isBusy = false;
		}
	};

	const timer = setInterval(() => {
		void step();
	}, STEP_MS);

	return {
		/** Machines that take no new work. */
		emptying: (): ReadonlySet<string> => plan.emptying(),
		machineOfWorker: (id: string): string | undefined => [...machines.values()].find(machine => machine.workerId === id)?.name,
		stop(): void {
			clearInterval(timer);
		},
	};
};

/** The care of waves for one term. */
export type WaveKeeper = ReturnType<typeof createWaveKeeper>;
