/**
The replicated record of the fleet's work: manifest, jobs, runs and waves.

The same commands in the same order give the same record on every keeper. A run is recorded here
before its worker is told to start it, so that a new leader knows every worker that may hold work.
*/
import {UnreachableError} from '../utils/errors.js';
import {
	createManifestIndex, type ManifestIndex, NO_RESOURCES, type Resources,
} from './fleet-manifest.js';
import type {
	JobBookSnapshot, JobCommand, JobOutcome, MachineOrder, RunOver, RunStart, UpkeepWave, WorkerLife,
} from './job-commands.js';
import {
	createJob, isOpen, isStepReady, type Job, JobStates, parseUnitName, RunEnds, type WorkUnit,
} from './job.js';

/** Time for which an ended job can be asked for, in milliseconds; twice what callers are promised. */
const KEEP_ENDED_MS = 240_000;
/** Lives that are remembered; past it those that run nothing are forgotten. */
const MAX_LIVES = 2000;
/** Accepted jobs between two looks for ended ones to drop. */
const PURGE_EVERY = 256;

/** The record. */
export type JobBook = ReturnType<typeof createJobBook>;

const add = (target: Resources, amount: Resources, factor: number): void => {
	target.cpu += amount.cpu * factor;
	target.memoryMb += amount.memoryMb * factor;
	target.gpu += amount.gpu * factor;
};

/** Creates the record, empty or from a snapshot. */
export const createJobBook = (snapshot?: JobBookSnapshot) => {
	let index: ManifestIndex | undefined = snapshot?.manifest && createManifestIndex(snapshot.manifest);
	const jobs = new Map(snapshot?.jobs.map(job => [job.order.id, job]));
	const open = new Map([...jobs].filter(([, job]) => isOpen(job) || job.running > 0));
	const lives = new Map(snapshot?.lives.map(life => [life.life, life]));
	const waves = new Map(snapshot?.waves.map(wave => [wave.number, wave]));
	const machineOrders = new Map(snapshot?.machineOrders);
	let groupWhole = snapshot?.groupWhole ?? false;
	let accepted = snapshot?.accepted ?? 0;
	/** Names of the work units that run, by life. */
	const runsOf = new Map<string, Map<string, {unit: WorkUnit; job: Job; step: number}>>();
	const usageOfLife = new Map<string, Resources>();
	const usageOfWorkspace = new Map<string, Resources>();

	const find = (name: string): {unit: WorkUnit; job: Job; step: number; occurrence: number} | undefined => {
		const place = parseUnitName(name);
		const job = place && jobs.get(place.job);
		const unit = job?.occurrences[place!.occurrence]?.steps[place!.step]?.[place!.index];
		return unit && {
			unit, job, step: place!.step, occurrence: place!.occurrence,
		};
	};

	const count = (table: Map<string, Resources>, key: string, amount: Resources, factor: number): void => {
		const entry = table.get(key) ?? {...NO_RESOURCES};
		add(entry, amount, factor);
		table.set(key, entry);
	};

	/** What a run takes of its worker's capacity. */
	const reserved = (job: Job, step: number): Resources => {
		const {resources, fillsSpare} = job.order.steps[step]!;
		return fillsSpare ? {...resources, cpu: 0} : resources;
	};

	const tally = (job: Job, step: number, life: string, factor: number): void => {
		count(usageOfLife, life, reserved(job, step), factor);
		if (job.order.workspace !== undefined) {
			count(usageOfWorkspace, job.order.workspace, job.order.steps[step]!.resources, factor);
		}
	};

	const track = (job: Job, step: number, unit: WorkUnit, life: string): void => {
		const runs = runsOf.get(life) ?? new Map<string, {unit: WorkUnit; job: Job; step: number}>();
		runs.set(unit.name, {unit, job, step});
		runsOf.set(life, runs);
		tally(job, step, life, 1);
	};

	for (const job of open.values()) {
		for (const occurrence of job.occurrences) {
			for (const [step, units] of occurrence.steps.entries()) {
				for (const unit of units.filter(candidate => candidate.state === 'running')) {
					track(job, step, unit, unit.worker!);
				}
			}
		}
	}

	const settle = (job: Job): void => {
		if (!isOpen(job) && job.running === 0) {
			open.delete(job.order.id);
		}
	};

	const close = (job: Job, state: Job['state'], atMs: number): void => {
		job.state = state;
		job.endedAtMs = atMs;
		settle(job);
	};

	const purge = (nowMs: number): void => {
		for (const [id, job] of jobs) {
			if (!open.has(id) && nowMs - job.endedAtMs > KEEP_ENDED_MS) {
				jobs.delete(id);
			}
		}
	};

	const submit = ({order, atMs}: JobCommand & {type: 'submit'}): JobOutcome => {
		if (jobs.has(order.id)) {
			return {type: 'accepted', isNew: false};
		}

		const queue = index?.queue(order.queue);
		if (!queue) {
			return {type: 'no-queue'};
		}

		const job = createJob(order, queue, atMs);
		jobs.set(order.id, job);
		open.set(order.id, job);
		accepted += 1;
		if (accepted % PURGE_EVERY === 0) {
			purge(atMs);
		}

		return {type: 'accepted', isNew: true};
	};

	const startRun = ({unit: name, attempt, life}: RunStart): boolean => {
		const found = find(name);
		if (!found || !lives.has(life) || !isOpen(found.job) || found.unit.state !== 'idle' || attempt <= found.unit.attempt) {
			return false;
		}

		const {unit, job, step, occurrence} = found;
		if (!isStepReady(job, job.occurrences[occurrence]!, step)) {
			return false;
		}

		unit.state = 'running';
		unit.attempt = attempt;
		unit.worker = life;
		job.running += 1;
		job.state = JobStates.running;
		track(job, step, unit, life);
		return true;
	};

	const release = (life: string, name: string): void => {
		const runs = runsOf.get(life);
		runs?.delete(name);
		if (runs?.size === 0) {
			runsOf.delete(life);
			usageOfLife.delete(life);
		}
	};

	const endRun = (life: string, {unit: name, attempt, how, checkpoint}: RunOver, atMs: number): void => {
		const found = find(name);
		if (found?.unit.state !== 'running' || found.unit.attempt !== attempt || found.unit.worker !== life) {
			return;
		}

		const {unit, job, step, occurrence} = found;
		tally(job, step, life, -1);
		release(life, name);
		job.running -= 1;
		unit.worker = undefined;
		unit.checkpoint = checkpoint === '' ? unit.checkpoint : checkpoint;
		const {lasting} = job.order.steps[step]!;
		unit.state = how === RunEnds.done && !lasting ? 'done' : 'idle';
		if (unit.state === 'done') {
			job.occurrences[occurrence]!.doneInStep[step]! += 1;
		}

		if (how === RunEnds.failed && !lasting) {
			unit.failures += 1;
		}

		const {maxAttempts} = index?.queue(job.order.queue) ?? job.queue;
		if (isOpen(job) && unit.state === 'idle' && !lasting && unit.failures >= maxAttempts) {
			close(job, JobStates.failed, atMs);
		} else if (isOpen(job) && job.occurrences.every(each => each.doneInStep.every((done, number) => done === job.order.steps[number]!.count))) {
			close(job, JobStates.completed, atMs);
		} else {
			settle(job);
		}
	};

	const rememberLives = (told: readonly WorkerLife[]): void => {
		for (const life of told) {
			lives.set(life.life, life);
		}

		if (lives.size > MAX_LIVES) {
			const idle = [...lives.keys()].filter(life => !runsOf.has(life) && !told.some(each => each.life === life));
			for (const life of idle) {
				lives.delete(life);
			}
		}
	};

	const apply = (command: JobCommand): JobOutcome => {
		switch (command.type) {
			case 'publish-fleet': {
				const changed = command.manifest.version > (index?.manifest.version ?? -1);
				if (changed) {
					index = createManifestIndex(command.manifest);
				}

				return {type: 'fleet-published', version: index!.manifest.version, changed};
			}

			case 'submit': {
				return submit(command);
			}

			case 'cancel': {
				const job = jobs.get(command.job);
				if (!job) {
					return {type: 'no-job'};
				}

				if (isOpen(job)) {
					close(job, JobStates.cancelled, command.atMs);
				}

				return {type: 'cancelled'};
			}

			case 'runs-start': {
				rememberLives(command.lives);

				return {type: 'runs-started', accepted: command.runs.filter(run => startRun(run))};
			}

			case 'runs-over': {
				for (const run of command.runs) {
					endRun(command.life, run, command.atMs);
				}

				return {type: 'applied'};
			}

			case 'wave': {
				if (!waves.has(command.wave.number)) {
					waves.set(command.wave.number, command.wave);
				}

				return {type: 'applied'};
			}

			case 'wave-begun': {
				const wave = waves.get(command.number);
				if (wave && !wave.begun.includes(command.machine)) {
					wave.begun.push(command.machine);
				}

				return {type: 'applied'};
			}

			case 'wave-completed': {
				const wave = waves.get(command.number);
				if (wave) {
					wave.completed = true;
				}

				return {type: 'applied'};
			}

			case 'machine-order': {
				machineOrders.set(command.machine, {holder: command.holder, atMs: command.atMs});
				return {type: 'applied'};
			}

			case 'group-whole': {
				groupWhole = true;
				return {type: 'applied'};
			}

			default: {
				throw new UnreachableError(command);
			}
		}
	};

	return {
		apply,
		find,
		reserved,
		/** Manifest in force; undefined before the first. */
		manifest: (): ManifestIndex | undefined => index,
		job: (id: string): Job | undefined => jobs.get(id),
		/** Jobs that may start work or still have some running. */
		openJobs: (): Iterable<Job> => open.values(),
		openCount: () => open.size,
		/** Work units that run in a life, by name. */
		runsOf: (life: string): ReadonlyMap<string, {unit: WorkUnit; job: Job; step: number}> => runsOf.get(life) ?? new Map(),
		/** True where runs may start on a life without telling of it again. */
		knowsLife: (life: string): boolean => lives.has(life),
		/** Lives that may run something. */
		busyLives: (): WorkerLife[] => [...runsOf.keys()].map(life => lives.get(life)!),
		/** A life, where it may run something. */
		busyLife: (life: string): WorkerLife | undefined => (runsOf.has(life) ? lives.get(life) : undefined),
		/** A life that may run something on a machine, which its worker's identity names too. */
		busyLifeOn(machine: string, workerId: string | undefined): WorkerLife | undefined {
			for (const life of lives.values()) {
				if (runsOf.has(life.life) && (life.machine === machine || (workerId !== undefined && life.id === workerId))) {
					return life;
				}
			}

			return undefined;
		},
		usageOfLife: (life: string): Resources => usageOfLife.get(life) ?? NO_RESOURCES,
		usageOfWorkspace: (workspace: string): Resources => usageOfWorkspace.get(workspace) ?? NO_RESOURCES,
		waves: (): UpkeepWave[] => [...waves.values()],
		machineOrder: (machine: string): MachineOrder | undefined => machineOrders.get(machine),
		/** True once the group of keepers has had its full size. */
		isGroupWhole: () => groupWhole,
		/** Accepted jobs of a queue with no work unit started. */
		pending: (queue: string): number => [...open.values()].filter(job => job.order.queue === queue && job.state === JobStates.queued).length,

		snapshot: (): JobBookSnapshot => ({
			manifest: index?.manifest, jobs: [...jobs.values()], lives: [...lives.values()], waves: [...waves.values()], groupWhole, accepted, machineOrders: [...machineOrders],
		}),
	};
};
