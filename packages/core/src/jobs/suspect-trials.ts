/**
Tries workers under suspicion for work that waits although its pool is not busy.

A suspect takes no work for up to 10 s, and accepted work may wait for less beside free room. One work unit, or one gang, at a
time is tried on a suspect, which may run lasting work meanwhile; work that has waited longer takes any room on suspects. In a busy
pool only lasting work is tried, as other waits there are due to the load.
*/
import type {AvoidedLives} from './avoided-lives.js';
import {idleSinceMs} from './idle-times.js';
import type {
	Job, JobStep, Occurrence, WorkUnit,
} from './job.js';
import {chooseAvoiding, type CandidateWorker} from './placement.js';
import type {SchedulingInput} from './scheduling-input.js';

/** Time without any run after which a job's work unit is tried on a suspect, in milliseconds; half of what a job may wait. */
const JOB_WAIT_MS = 1500;
/** Same for a lasting work unit since its own last run, in milliseconds. */
const LASTING_WAIT_MS = 3000;
/** Multiple of these times after which work takes any room on suspects; it still starts before the bound on its wait. */
const LONG_WAIT_FACTOR = 1.5;
/** Share of a pool's cores or memory in use from which it is busy. */
const BUSY_SHARE = 1 / 2;

/** A work unit that found no worker; `hasStarted` if others of its step start in the same pass. */
export type UnplacedUnit = {job: Job; occurrence: Occurrence; step: JobStep; unit: WorkUnit; hasStarted: boolean};

/** Creates the trials of one pool's suspects in one scheduling pass. */
export const createSuspectTrials = (workers: readonly CandidateWorker[], suspects: readonly CandidateWorker[], {store, wallMs, idleTimes}: Pick<SchedulingInput, 'store' | 'wallMs' | 'idleTimes'>) => {
	const all = [...workers, ...suspects];
	const sum = (amount: (worker: CandidateWorker) => number): number => all.reduce((total, worker) => total + amount(worker), 0);
	let isBusy = false;
	let isStale = true;
	/** True if the pool is busy with what runs and what the pass has placed: runs that end together leave a busy pool empty at the begin of a pass. */
	const becameBusy = (): boolean => {
		isBusy ||= isStale && (['cpu', 'memoryMb'] as const).some(key => sum(({free}) => free[key]) <= sum(({capacity}) => capacity[key]) * (1 - BUSY_SHARE));
		isStale = false;
		return isBusy;
	};

	const untried = new Set(suspects.filter(({life}) => [...store.runsOf(life).values()].every(({job, step}) => job.order.steps[step]!.lasting)));

	/** The suspects that a work unit may be tried on after its wait. */
	const candidatesFor = ({job, occurrence, step, unit}: Omit<UnplacedUnit, 'hasStarted'>): readonly CandidateWorker[] => {
		if (suspects.length === 0 || !idleTimes) {
			return [];
		}

		const waitedMs = wallMs - idleSinceMs(idleTimes, job, occurrence, step, unit);
		const waitMs = step.lasting ? LASTING_WAIT_MS : JOB_WAIT_MS;
		return waitedMs >= waitMs * LONG_WAIT_FACTOR ? suspects : (waitedMs >= waitMs ? [...untried] : []);
	};

	/** True if a work unit has waited for long, and nothing else of its job runs if it does not last. */
	const mayTry = (unplaced: UnplacedUnit): boolean => {
		const {job, step, hasStarted} = unplaced;
		const isCovered = !step.lasting && ((hasStarted && !step.gang) || job.running > 0);
		const hasWaited = !isCovered && candidatesFor(unplaced).length > 0;
		// The members of a gang that are already placed do not make the pool busy for the others.
		return hasWaited && (step.lasting || !(step.gang && hasStarted ? isBusy : becameBusy()));
	};

	return {
		mayTry,

		/** Records that the pass has placed a work unit in the pool. */
		placed(): void {
			isStale = true;
		},

		/** All suspects of the pool. */
		suspects,

		/** Chooses a suspect for a work unit, among those allowed; undefined if it has not waited for long, or none has room. */
		choose(unplaced: UnplacedUnit, avoided: AvoidedLives | undefined, allows: (worker: CandidateWorker) => boolean): CandidateWorker | undefined {
			const worker = mayTry(unplaced) ? chooseAvoiding(unplaced.step, candidatesFor(unplaced), avoided, allows) : undefined;
			if (worker && !unplaced.step.gang) {
				untried.delete(worker);
			}

			return worker;
		},
	};
};

/** Trials of one pool's suspects. */
export type SuspectTrials = ReturnType<typeof createSuspectTrials>;
