/** Which machines of a wave begin their upkeep next, within the wave's cap and availability budgets. */
import type {Resources} from './fleet-manifest.js';
import type {JobBook} from './job-book.js';
import {type UpkeepWave, workerOfLife} from './job-commands.js';
import type {WorkerDirectory} from './worker-directory.js';
import type {WorkerTrack} from './worker-track.js';

/** Life of the worker on a machine: the one that announced itself, or one that the record has work on. */
export const lifeOnMachine = (machine: Machine, book: JobBook, directory: WorkerDirectory): string | undefined => {
	const announced = directory.ofMachine(machine.name) ?? (machine.workerId === undefined ? undefined : directory.find(machine.workerId));
	if (announced?.left === false) {
		return announced.life;
	}

	// A leader that has heard of no worker yet must not take their machines for empty.
	return book.busyLifeOn(machine.name, machine.workerId)?.life;
};

/** Orders to machines. */
export type MachineOrderKind = 'upkeep' | 'move';

/** States of a machine. */
export const MachineStates = {
	up: 'up', moving: 'moving', upkeep: 'upkeep', down: 'down',
} as const;
export type MachineState = (typeof MachineStates)[keyof typeof MachineStates];

/** A machine as the platform lists it. */
export type Machine = {name: string; pool: string; state: MachineState; zone: string; labels: string[]; capacity: Resources; workerId?: string};

/** True where a list read after an order shows that the order ended a life; an order that was carried out before is answered alike and ends nothing. */
export const hasEndedLife = (listed: Machine | undefined, life: string): boolean => listed?.state !== MachineStates.up || listed.workerId !== workerOfLife(life);

/** What upkeep is decided from. */
export type UpkeepInput = {
	book: JobBook;
	machines: ReadonlyMap<string, Machine>;
	/** Life of the worker on a machine. */
	lifeOf: (machine: Machine) => string | undefined;
	/** Undefined once a life is over, also before the record says so. */
	trackOf: (life: string) => WorkerTrack | undefined;
	/** Machines that were given an order that is not known to be over, with the order. */
	ordered: ReadonlyMap<string, MachineOrderKind>;
	/** Pools whose work waits for room. */
	shortPools: ReadonlySet<string>;
	/** Pools whose machines are switched off. */
	standbyPools: ReadonlySet<string>;
	nowMs: number;
	wallMs: number;
};

/** A machine that may begin, or that should take no more work until it may. */
export type UpkeepChoice = {
	wave: UpkeepWave;
	machine: Machine;
	mayBegin: boolean;
	/** A work unit to move away first, where the machine runs more of a step than may be away. */
	evacuated?: string;
};

/** Time for which a machine that is next takes no new work before its upkeep, in milliseconds. */
const EMPTYING_MS = 1500;
/** Machines that are emptied beyond those that may begin now, so that one that must wait for a budget holds up no other. */
const EMPTYING_AHEAD = 2;
/** Time that one machine after another takes in a wave, in milliseconds: emptied, down, listed as up again. */
const ROUND_MS = 4500;
/** Time in hand at which a wave stops sparing pools that are short of room, in milliseconds. */
const WAVE_RESERVE_MS = 5000;

/** Percent at which a lasting work unit is at work. */
const AT_WORK = 100;

/** Silence of a worker from which its work counts as away, in milliseconds; two looks without an answer. */
const SILENCE_MS = 1000;

/** Lives on machines that were given an order: it may be carried out at any moment, also without a clear answer. */
const livesUnderOrder = (input: UpkeepInput): ReadonlySet<string> => new Set([...input.ordered.keys()].flatMap(name => {
	const machine = input.machines.get(name);
	return machine ? input.lifeOf(machine) ?? [] : [];
}));

/** Work units of a step that are away, beside those on one life. */
const awayElsewhere = (input: UpkeepInput, units: ReadonlyArray<{name: string; state: string; worker?: string; attempt: number}>, life: string): number => {
	const underOrder = livesUnderOrder(input);
	return units.filter(unit => {
		if (unit.state !== 'running' || unit.worker === undefined) {
			return true;
		}

		if (unit.worker === life) {
			return false;
		}

		const track = input.trackOf(unit.worker);
		const progress = track?.runs.get(unit.name);
		return track === undefined || underOrder.has(unit.worker) || input.nowMs - track.contactMs() > SILENCE_MS
			|| progress?.attempt !== unit.attempt || progress.percent < AT_WORK || progress.stopAskedMs !== undefined;
	}).length;
};

/** True where ending everything on a life keeps every availability budget. */
export const keepsBudgets = (input: UpkeepInput, life: string): boolean => [...input.book.runsOf(life).values()].every(({job, step, unit}) => {
	const {mayMiss} = job.order.steps[step]!;
	if (mayMiss === undefined) {
		return true;
	}

	const occurrence = job.occurrences.find(each => each.steps[step]!.includes(unit))!;
	const onLife = occurrence.steps[step]!.filter(other => other.worker === life).length;
	return awayElsewhere(input, occurrence.steps[step]!, life) + onLife <= mayMiss;
});

/** A work unit whose stop alone keeps its step's budget, where ending all on the life would not. */
export const unitToEvacuate = (input: UpkeepInput, life: string): string | undefined => {
	const crowded = [...input.book.runsOf(life).values()].find(({job, step, unit}) => {
		const {mayMiss} = job.order.steps[step]!;
		const units = job.occurrences.find(each => each.steps[step]!.includes(unit))!.steps[step]!;
		const here = units.filter(other => other.worker === life);
		const atWork = here.filter(other => {
			const progress = input.trackOf(life)?.runs.get(other.name);
			return progress !== undefined && progress.percent >= AT_WORK && progress.stopAskedMs === undefined;
		});
		return mayMiss !== undefined && here.length > mayMiss && atWork.length === here.length && awayElsewhere(input, units, life) + 1 <= mayMiss;
	});
	return crowded?.unit.name;
};

/** Work that upkeep of a machine would throw away, in core-milliseconds. */
const lossOn = (input: UpkeepInput, life: string | undefined): number => (life === undefined ? 0 : [...input.book.runsOf(life).values()].reduce((sum, {job, step}) => sum + job.order.steps[step]!.resources.cpu, 0));

/** Machines of a wave that are down for their upkeep, or may be; other causes do not count against its cap. */
const downOf = (input: UpkeepInput, wave: UpkeepWave): number => wave.machines.filter(name => {
	const machine = input.machines.get(name);
	return machine !== undefined && (input.ordered.get(name) === 'upkeep' || machine.state === MachineStates.upkeep);
}).length;

/** True where a wave has no time left to spare pools that are short of room. */
const isPressed = (input: UpkeepInput, wave: UpkeepWave, left: number): boolean => {
	const neededMs = Math.ceil(left / Math.max(1, wave.cap)) * ROUND_MS;
	return wave.deadlineMs - input.wallMs < neededMs + WAVE_RESERVE_MS;
};

/** Creates the choice, which remembers since when machines have been emptied. */
export const createUpkeepPlan = () => {
	const emptyingSince = new Map<string, number>();

	/** Machines in standby and idle ones go first, those of pools that are short of room last, while there is time. */
	const chooseOf = (wave: UpkeepWave, input: UpkeepInput): UpkeepChoice[] => {
		const left = wave.machines.filter(name => !wave.begun.includes(name));
		const spares = !isPressed(input, wave, left.length);
		let room = Math.max(0, wave.cap - downOf(input, wave));
		const candidates = left.flatMap(name => {
			const machine = input.machines.get(name);
			const isFree = machine?.state === MachineStates.up && !input.ordered.has(name) && !(spares && input.shortPools.has(machine.pool));
			return isFree ? [machine] : [];
		}).map(machine => ({
			machine, loss: input.standbyPools.has(machine.pool) ? -1 : lossOn(input, input.lifeOf(machine)), since: emptyingSince.get(machine.name),
		}));
		// Machines that are being emptied stay first, or none would ever be empty.
		candidates.sort((one, other) => (one.since ?? Infinity) - (other.since ?? Infinity) || one.loss - other.loss);
		return candidates.slice(0, room === 0 ? 0 : room + EMPTYING_AHEAD).map(({machine, loss, since}) => {
			const life = input.lifeOf(machine);
			const isEmptied = loss <= 0 || input.nowMs - (since ?? input.nowMs) >= EMPTYING_MS;
			const mayBegin = room > 0 && isEmptied && (life === undefined || keepsBudgets(input, life));
			const evacuated = !mayBegin && room > 0 && life !== undefined ? unitToEvacuate(input, life) : undefined;
			room -= mayBegin ? 1 : 0;
			return {
				wave, machine, mayBegin, evacuated,
			};
		});
	};

	return {
		/** Machines that take no new work now. */
		emptying: (): ReadonlySet<string> => new Set(emptyingSince.keys()),

		/** Chooses for all waves that are under way. */
		choose(input: UpkeepInput): UpkeepChoice[] {
			const waves = input.book.waves().filter(wave => !wave.completed);
			waves.sort((left, right) => left.deadlineMs - right.deadlineMs);
			const choices = waves.flatMap(wave => chooseOf(wave, input));
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

		/** Asked again right before an order, since the one before may have changed the answer. */
		mayBegin(input: UpkeepInput, wave: UpkeepWave, life: string | undefined): boolean {
			return downOf(input, wave) < wave.cap && (life === undefined || keepsBudgets(input, life));
		},

		/** True where every machine that stays has begun. */
		isComplete: (wave: UpkeepWave, machines: ReadonlyMap<string, Machine>): boolean => wave.machines.every(name => wave.begun.includes(name) || !machines.has(name)),
	};
};
