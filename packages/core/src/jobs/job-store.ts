/**
Replicated state of the fleet's work: manifest, jobs, runs and upkeep waves.

Applying the same commands in the same order produces the same state on every keeper. A run is
recorded here before its worker is ordered to start it, so that a new leader knows every worker that
may be running work.
*/
import {UnreachableError} from '../utils/errors.js';
import {createEvacuations} from './evacuations.js';
import {createManifestIndex, type ManifestIndex, type Resources} from './fleet-manifest.js';
import {repairGangs} from './gang.js';
import {createHeldWork} from './held-work.js';
import type {
	FormerMember, JobStoreSnapshot, JobCommand, JobOutcome, MachineOrder, EndedRun, RunStart, UpkeepWave, WorkerLife,
} from './job-commands.js';
import {
	createJob, hasProgress, isDone, isOpen, isStepReady, type Job, JobStates, parseUnitName, RunEnds, type WorkUnit,
} from './job.js';
import {createResourceUsage} from './resource-usage.js';
import {recordRunEnd} from './run-ends.js';

/** Time for which the state of an ended job can be queried, in milliseconds; twice what callers are promised. */
const ENDED_JOB_RETENTION_MS = 240_000;
/** Number of worker lives above which those that run nothing are removed. */
const MAX_LIVES = 2000;
/** Number of accepted jobs between two purges of ended ones. */
const JOBS_PER_PURGE = 256;

/** Replicated state of the fleet's work. */
export type JobStore = ReturnType<typeof createJobStore>;

/** Creates the store, empty or from a snapshot. */
export const createJobStore = (snapshot?: JobStoreSnapshot) => {
	let manifestIndex: ManifestIndex | undefined = snapshot?.manifest && createManifestIndex(snapshot.manifest);
	repairGangs(snapshot?.jobs ?? []);
	for (const job of snapshot?.jobs ?? []) {
		// Snapshots of earlier versions do not say whether a job has begun.
		job.hasBegun ??= hasProgress(job);
	}

	const jobs = new Map(snapshot?.jobs.map(job => [job.order.id, job]));
	const openJobs = new Map([...jobs].filter(([, job]) => isOpen(job) || job.running > 0));
	const heldWork = createHeldWork(jobs.values(), job => !openJobs.has(job.order.id));
	const lives = new Map(snapshot?.lives.map(life => [life.life, life]));
	const waves = new Map(snapshot?.waves.map(wave => [wave.number, wave]));
	const machineOrders = new Map(snapshot?.machineOrders);
	const evacuations = createEvacuations(snapshot?.evacuations);
	let groupWhole = snapshot?.groupWhole ?? false;
	let formerMembers = snapshot?.formerMembers ?? [];
	let accepted = snapshot?.accepted ?? 0;
	/** Running work units by name, for each life. */
	const runsOf = new Map<string, Map<string, {unit: WorkUnit; job: Job; step: number}>>();
	const usageOfLife = createResourceUsage();
	const usageOfWorkspace = createResourceUsage();

	const find = (name: string): {unit: WorkUnit; job: Job; step: number; occurrence: number} | undefined => {
		const position = parseUnitName(name);
		const job = position && jobs.get(position.job);
		const unit = job?.occurrences[position!.occurrence]?.steps[position!.step]?.[position!.index];
		return unit && {
			unit, job, step: position!.step, occurrence: position!.occurrence,
		};
	};

	/** Resources that a run reserves on its worker. */
	const reserved = (job: Job, step: number): Resources => {
		const {resources, fillsSpare} = job.order.steps[step]!;
		return fillsSpare ? {...resources, cpu: 0} : resources;
	};

	const addRunUsage = (job: Job, step: number, life: string, factor: number): void => {
		usageOfLife.add(life, reserved(job, step), factor);
		if (job.order.workspace !== undefined) {
			usageOfWorkspace.add(job.order.workspace, job.order.steps[step]!.resources, factor);
		}
	};

	const addRun = (job: Job, step: number, unit: WorkUnit, life: string): void => {
		const runs = runsOf.get(life) ?? new Map<string, {unit: WorkUnit; job: Job; step: number}>();
		runs.set(unit.name, {unit, job, step});
		runsOf.set(life, runs);
		addRunUsage(job, step, life, 1);
	};

	for (const job of openJobs.values()) {
		for (const occurrence of job.occurrences) {
			for (const [step, units] of occurrence.steps.entries()) {
				for (const unit of units.filter(candidate => candidate.state === 'running')) {
					addRun(job, step, unit, unit.worker!);
				}
			}
		}
	}

	const removeIfFinished = (job: Job): void => {
		if (!isOpen(job) && job.running === 0 && openJobs.delete(job.order.id)) {
			heldWork.ended(job);
		}
	};

	const endJob = (job: Job, state: Job['state'], atMs: number): void => {
		job.state = state;
		job.endedAtMs = atMs;
		removeIfFinished(job);
	};

	const purge = (nowMs: number): void => {
		for (const [id, job] of jobs) {
			if (!openJobs.has(id) && nowMs - job.endedAtMs > ENDED_JOB_RETENTION_MS) {
				jobs.delete(id);
			}
		}
	};

	const submit = ({order, atMs}: JobCommand & {type: 'submit'}): JobOutcome => {
		if (jobs.has(order.id)) {
			return {type: 'accepted', isNew: false};
		}

		const queue = manifestIndex?.queue(order.queue);
		if (!queue) {
			return {type: 'no-queue'};
		}

		heldWork.release(atMs);
		const job = createJob(order, queue, atMs);
		jobs.set(order.id, job);
		openJobs.set(order.id, job);
		heldWork.add(job);
		accepted += 1;
		if (accepted % JOBS_PER_PURGE === 0) {
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
		addRun(job, step, unit, life);
		return true;
	};

	const removeRun = (life: string, name: string): void => {
		const runs = runsOf.get(life);
		runs?.delete(name);
		if (runs?.size === 0) {
			runsOf.delete(life);
			usageOfLife.delete(life);
		}
	};

	const endRun = (life: string, run: EndedRun, atMs: number): void => {
		const {unit: name, attempt} = run;
		const found = find(name);
		if (found?.unit.state !== 'running' || found.unit.attempt !== attempt || found.unit.worker !== life) {
			return;
		}

		const {unit, job, step} = found;
		addRunUsage(job, step, life, -1);
		removeRun(life, name);
		job.running -= 1;
		job.hasBegun ||= run.how !== RunEnds.lost;
		recordRunEnd(job, found, run);
		const {maxAttempts} = manifestIndex?.queue(job.order.queue) ?? job.queue;
		if (isOpen(job) && unit.state === 'idle' && !job.order.steps[step]!.lasting && unit.failures >= maxAttempts) {
			endJob(job, JobStates.failed, atMs);
		} else if (isOpen(job) && isDone(job)) {
			endJob(job, JobStates.completed, atMs);
		} else {
			removeIfFinished(job);
		}
	};

	const addLives = (reported: readonly WorkerLife[]): void => {
		for (const life of reported) {
			lives.set(life.life, life);
		}

		if (lives.size > MAX_LIVES) {
			const idle = [...lives.keys()].filter(life => !runsOf.has(life) && !reported.some(each => each.life === life));
			for (const life of idle) {
				lives.delete(life);
			}
		}
	};

	const apply = (command: JobCommand): JobOutcome => {
		switch (command.type) {
			case 'publish-fleet': {
				const changed = command.manifest.version > (manifestIndex?.manifest.version ?? -1);
				if (changed) {
					manifestIndex = createManifestIndex(command.manifest);
				}

				return {type: 'fleet-published', version: manifestIndex!.manifest.version, changed};
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
					endJob(job, JobStates.cancelled, command.atMs);
				}

				return {type: 'cancelled'};
			}

			case 'runs-start': {
				addLives(command.lives);
				for (const id of command.begun ?? []) {
					const job = jobs.get(id);
					if (job) {
						job.hasBegun = true;
					}
				}

				return {type: 'runs-started', accepted: evacuations.withoutEvacuated(command.runs, find, life => lives.get(life)?.zone).filter(run => startRun(run))};
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
				const {machine, holder, atMs, life, kind} = command;
				machineOrders.set(machine, {
					holder, atMs, life, kind,
				});
				return {type: 'applied'};
			}

			case 'evacuate':
			case 'end-evacuation': {
				return evacuations.apply(command);
			}

			case 'group-whole': {
				groupWhole = true;
				formerMembers = command.formerMembers ?? formerMembers;
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
		/** Manifest in force; undefined until one is published. */
		manifest: (): ManifestIndex | undefined => manifestIndex,
		job: (id: string): Job | undefined => jobs.get(id),
		/** Jobs that may start work units or still have some running. */
		openJobs: (): Iterable<Job> => openJobs.values(),
		openCount: () => openJobs.size,
		/** Work that this process holds in memory for jobs, in work units. */
		heldWork: heldWork.held,
		/** Work units that run on a life, by name. */
		runsOf: (life: string): ReadonlyMap<string, {unit: WorkUnit; job: Job; step: number}> => runsOf.get(life) ?? new Map(),
		/** True if runs can start on a life without describing it again in the command. */
		knowsLife: (life: string): boolean => lives.has(life),
		/** True if runs were recorded for another life of the same worker. */
		hasOtherLife: ({id, life}: WorkerLife): boolean => [...lives.values()].some(other => other.id === id && other.life !== life),
		/** Lives that may be running work units. */
		busyLives: (): WorkerLife[] => [...runsOf.keys()].map(life => lives.get(life)!),
		/** A life that may be running work units; undefined if it is unknown or runs none. */
		busyLife: (life: string): WorkerLife | undefined => (runsOf.has(life) ? lives.get(life) : undefined),
		/** A life that may be running work units on a machine, matched by machine name or by the worker's ID; undefined if there is none. */
		busyLifeOn: (machine: string, workerId: string | undefined): WorkerLife | undefined => [...lives.values()].find(life => runsOf.has(life.life) && (life.machine === machine || (workerId !== undefined && life.id === workerId))),
		usageOfLife: (life: string): Resources => usageOfLife.of(life),
		usageOfWorkspace: (workspace: string): Resources => usageOfWorkspace.of(workspace),
		waves: (): UpkeepWave[] => [...waves.values()],
		machineOrder: (machine: string): MachineOrder | undefined => machineOrders.get(machine),
		machineOrders: (): Iterable<[string, MachineOrder]> => machineOrders,
		isEvacuated: evacuations.isEvacuated,
		/** True if a known life is in an evacuated data centre. */
		isLifeEvacuated: (life: string): boolean => lives.has(life) && evacuations.isEvacuated(lives.get(life)!.zone),
		evacuations: evacuations.list,
		evacuationWithdrawnMs: evacuations.withdrawnMs,
		/** Data centres of known lives, and those that are or were evacuated. */
		dataCentres: (): Set<string> => new Set([...evacuations.known(), ...[...lives.values()].map(life => life.zone)]),
		/** True once the group of keepers has reached its full size. */
		isGroupWhole: () => groupWhole,
		/** Keepers that were removed from the group, the latest last. */
		formerMembers: (): readonly FormerMember[] => formerMembers,
		/** Accepted jobs of a queue that have not begun, as far as it is recorded. */
		pending: (queue: string): Job[] => [...openJobs.values()].filter(job => job.order.queue === queue && isOpen(job) && !job.hasBegun),

		snapshot: (): JobStoreSnapshot => ({
			manifest: manifestIndex?.manifest, jobs: [...jobs.values()], lives: [...lives.values()], waves: [...waves.values()], groupWhole, accepted, machineOrders: [...machineOrders], evacuations: evacuations.snapshot(), formerMembers,
		}),
	};
};
