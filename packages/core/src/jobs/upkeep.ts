/** Decides which machines of a wave begin their upkeep next, within the wave's cap and the availability budgets of steps. */
import type {Resources} from './fleet-manifest.js';
import type {JobStore} from './job-store.js';
import {type MachineOrderKind, type UpkeepWave, workerOfLife} from './job-commands.js';
import type {WorkerDirectory} from './worker-directory.js';
import type {WorkerTrack} from './worker-track.js';

/** Life of the worker on a machine: the one that announced itself, or else one that has recorded runs there. */
export const lifeOnMachine = (machine: Machine, store: JobStore, directory: WorkerDirectory): string | undefined => {
	const announced = directory.ofMachine(machine.name) ?? (machine.workerId === undefined ? undefined : directory.find(machine.workerId));
	if (announced?.left === false) {
		return announced.life;
	}

	// A new leader that has not received any announcement yet must not treat machines as idle.
	return store.busyLifeOn(machine.name, machine.workerId)?.life;
};

/** States of a machine. */
export const MachineStates = {
	up: 'up', moving: 'moving', upkeep: 'upkeep', down: 'down',
} as const;
export type MachineState = (typeof MachineStates)[keyof typeof MachineStates];

/** A machine as listed by the platform. */
export type Machine = {name: string; pool: string; state: MachineState; zone: string; labels: string[]; capacity: Resources; workerId?: string};

/**
True if a list read after an order to a machine shows that a life has ended. The answer to the order
does not show it: an order that was already carried out gets the same answer and ends no life. Nor does a
machine that is missing from the list, or listed without its worker: a list may leave entries out.
*/
export const hasEndedLife = (listed: Machine | undefined, life: string): boolean => listed !== undefined
	&& (listed.state !== MachineStates.up || (listed.workerId !== undefined && listed.workerId !== workerOfLife(life)));

/** Input of the upkeep decisions. */
export type UpkeepInput = {
	store: JobStore;
	machines: ReadonlyMap<string, Machine>;
	/** Life of the worker on a machine. */
	lifeOf: (machine: Machine) => string | undefined;
	/** Returns the track of a life; undefined once the life is over, even before this is recorded. */
	trackOf: (life: string) => WorkerTrack | undefined;
	/** Kind of order, by machine, for orders that are not known to be over. */
	pendingOrders: ReadonlyMap<string, MachineOrderKind>;
	/** Pools with work that waits for room. */
	shortPools: ReadonlySet<string>;
	/** Pools whose machines are switched off. */
	standbyPools: ReadonlySet<string>;
	nowMs: number;
	wallMs: number;
};

/** A machine that may begin its upkeep, or that takes no new work until it may. */
export type UpkeepChoice = {
	wave: UpkeepWave;
	machine: Machine;
	mayBegin: boolean;
	/** A work unit to move away first, if the machine runs more work units of a step than may be unavailable at once. */
	unitToEvacuate?: string;
};

/** Time for which a machine takes no new work before its upkeep, in milliseconds. */
const EMPTYING_MS = 1500;
/** Time after which a machine that may not begin yet takes work again for a while, in milliseconds: the work that its upkeep waits for may fit nowhere else. */
const MAX_EMPTYING_MS = 4000;
/** Time for which it then takes work, in milliseconds; more than one scheduling pass. */
const RELEASE_MS = 1000;
/** Number of machines that are emptied beyond those that may begin now, so that a machine that must wait for an availability budget does not block others. */
const EXTRA_EMPTYING_MACHINES = 2;
/** Duration of one machine's upkeep in a wave, in milliseconds, from the start of emptying until it is listed as up again. */
const MACHINE_UPKEEP_MS = 4500;
/** Spare time before a wave's deadline below which pools that are short of room are no longer spared, in milliseconds. */
const DEADLINE_RESERVE_MS = 5000;

/** Progress at which a lasting work unit counts as available, in percent. */
const AVAILABLE_PERCENT = 100;

/** Time without contact after which a worker's work counts as unavailable, in milliseconds; two polls without an answer. */
const MAX_SILENCE_MS = 1000;

/** Lives on machines with a pending order: it may be carried out at any moment, even if it got no clear answer. */
const livesWithPendingOrder = (input: UpkeepInput): ReadonlySet<string> => new Set([...input.pendingOrders.keys()].flatMap(name => {
	const machine = input.machines.get(name);
	return machine ? input.lifeOf(machine) ?? [] : [];
}));

/** Number of work units of a step that are unavailable, apart from those on one life. */
const countUnavailableElsewhere = (input: UpkeepInput, units: ReadonlyArray<{name: string; state: string; worker?: string; attempt: number}>, life: string): number => {
	const orderedLives = livesWithPendingOrder(input);
	return units.filter(unit => {
		if (unit.state !== 'running' || unit.worker === undefined) {
			return true;
		}

		if (unit.worker === life) {
			return false;
		}

		const track = input.trackOf(unit.worker);
		const progress = track?.runs.get(unit.name);
		return track === undefined || orderedLives.has(unit.worker) || input.nowMs - track.contactMs() > MAX_SILENCE_MS
			|| progress?.attempt !== unit.attempt || progress.percent < AVAILABLE_PERCENT || progress.stopRequestedMs !== undefined;
	}).length;
};

/** True if ending all runs on a life keeps every availability budget. */
export const keepsBudgets = (input: UpkeepInput, life: string): boolean => [...input.store.runsOf(life).values()].every(({job, step, unit}) => {
	const {mayMiss} = job.order.steps[step]!;
	if (mayMiss === undefined) {
		return true;
	}

	const occurrence = job.occurrences.find(each => each.steps[step]!.includes(unit))!;
	const onLife = occurrence.steps[step]!.filter(other => other.worker === life).length;
	return countUnavailableElsewhere(input, occurrence.steps[step]!, life) + onLife <= mayMiss;
});

/** A work unit that can be stopped within its step's availability budget, on a life that runs more work units of the step than the budget allows; undefined if there is none. */
export const unitToEvacuate = (input: UpkeepInput, life: string): string | undefined => {
	const overBudget = [...input.store.runsOf(life).values()].find(({job, step, unit}) => {
		const {mayMiss} = job.order.steps[step]!;
		const units = job.occurrences.find(each => each.steps[step]!.includes(unit))!.steps[step]!;
		const unitsOnLife = units.filter(other => other.worker === life);
		const available = unitsOnLife.filter(other => {
			const progress = input.trackOf(life)?.runs.get(other.name);
			return progress !== undefined && progress.percent >= AVAILABLE_PERCENT && progress.stopRequestedMs === undefined;
		});
		return mayMiss !== undefined && unitsOnLife.length > mayMiss && available.length === unitsOnLife.length && countUnavailableElsewhere(input, units, life) + 1 <= mayMiss;
	});
	return overBudget?.unit.name;
};

/** Cores, in thousandths, of the runs that upkeep of a machine would end. */
const cpuInUse = (input: UpkeepInput, life: string | undefined): number => (life === undefined ? 0 : [...input.store.runsOf(life).values()].reduce((sum, {job, step}) => sum + job.order.steps[step]!.resources.cpu, 0));

/** Number of machines of a wave that are, or may be, down for upkeep; machines down for other reasons do not count against its cap. */
const countDown = (input: UpkeepInput, wave: UpkeepWave): number => wave.machines.filter(name => {
	const machine = input.machines.get(name);
	return machine !== undefined && (input.pendingOrders.get(name) === 'upkeep' || machine.state === MachineStates.upkeep);
}).length;

/** True if a wave has no time left to spare pools that are short of room. */
const isShortOfTime = (input: UpkeepInput, wave: UpkeepWave, remaining: number): boolean => {
	const neededMs = Math.ceil(remaining / Math.max(1, wave.cap)) * MACHINE_UPKEEP_MS;
	return wave.deadlineMs - input.wallMs < neededMs + DEADLINE_RESERVE_MS;
};

/** Time for which a machine that is emptied since a time has taken no work, in milliseconds; undefined while it takes work again. */
const emptiedForMs = (sinceMs: number, nowMs: number): number | undefined => {
	const forMs = (nowMs - sinceMs) % (MAX_EMPTYING_MS + RELEASE_MS);
	return forMs < MAX_EMPTYING_MS ? forMs : undefined;
};

/** Creates the planner. It keeps track of when the emptying of each machine began. */
export const createUpkeepPlanner = () => {
	const emptyingSince = new Map<string, number>();

	/** Chooses machines of one wave: those in standby and idle ones first. While there is time, machines of pools that are short of room are left out. */
	const chooseForWave = (wave: UpkeepWave, input: UpkeepInput): UpkeepChoice[] => {
		const remaining = wave.machines.filter(name => !wave.begun.includes(name));
		const sparesShortPools = !isShortOfTime(input, wave, remaining.length);
		let freeSlots = Math.max(0, wave.cap - countDown(input, wave));
		const candidates = remaining.flatMap(name => {
			const machine = input.machines.get(name);
			const isCandidate = machine?.state === MachineStates.up && !input.pendingOrders.has(name) && !(sparesShortPools && input.shortPools.has(machine.pool));
			return isCandidate ? [machine] : [];
		}).map(machine => ({
			machine, cpu: input.standbyPools.has(machine.pool) ? -1 : cpuInUse(input, input.lifeOf(machine)), since: emptyingSince.get(machine.name),
		}));
		// Machines that are being emptied stay first; otherwise emptying might never complete.
		candidates.sort((one, other) => (one.since ?? Infinity) - (other.since ?? Infinity) || one.cpu - other.cpu);
		return candidates.slice(0, freeSlots === 0 ? 0 : freeSlots + EXTRA_EMPTYING_MACHINES).map(({machine, cpu, since}) => {
			const life = input.lifeOf(machine);
			const emptyMs = emptiedForMs(since ?? input.nowMs, input.nowMs);
			const isEmptied = cpu <= 0 || (emptyMs !== undefined && emptyMs >= EMPTYING_MS);
			const mayBegin = freeSlots > 0 && isEmptied && (life === undefined || keepsBudgets(input, life));
			const mayEvacuate = !mayBegin && freeSlots > 0 && emptyMs !== undefined;
			const evacuated = mayEvacuate && life !== undefined ? unitToEvacuate(input, life) : undefined;
			freeSlots -= mayBegin ? 1 : 0;
			return {
				wave, machine, mayBegin, unitToEvacuate: evacuated,
			};
		});
	};

	return {
		/** True if a machine takes no new work because it is being emptied for upkeep. */
		isEmptying(machine: string, nowMs: number): boolean {
			const sinceMs = emptyingSince.get(machine);
			return sinceMs !== undefined && emptiedForMs(sinceMs, nowMs) !== undefined;
		},

		/** Chooses the machines of all waves in progress. */
		choose(input: UpkeepInput): UpkeepChoice[] {
			const waves = input.store.waves().filter(wave => !wave.completed);
			waves.sort((left, right) => left.deadlineMs - right.deadlineMs);
			const choices = waves.flatMap(wave => chooseForWave(wave, input));
			const names = new Set(choices.map(choice => choice.machine.name));
			for (const name of emptyingSince.keys()) {
				if (!names.has(name)) {
					emptyingSince.delete(name);
				}
			}

			for (const name of names) {
				emptyingSince.set(name, emptyingSince.get(name) ?? input.nowMs);
			}

			return choices;
		},

		/** True if a machine may begin its upkeep. Checked again right before each order, since the preceding order may have changed the result. */
		mayBegin(input: UpkeepInput, wave: UpkeepWave, life: string | undefined): boolean {
			return countDown(input, wave) < wave.cap && (life === undefined || keepsBudgets(input, life));
		},

		/** True if every machine of a wave that still exists has begun its upkeep. */
		isComplete: (wave: UpkeepWave, exists: (machine: string) => boolean): boolean => wave.machines.every(name => wave.begun.includes(name) || !exists(name)),
	};
};
