/** The workers of each pool as one scheduling pass sees them, with what it has reserved on them so far. */
import {groupBy} from '../utils/group-by.js';
import type {Resources} from './fleet-manifest.js';
import type {JobStep} from './job.js';
import {fits, type CandidateWorker} from './placement.js';
import {createReservations, type Reservations} from './reservations.js';
import type {SchedulableWorker, SchedulingInput} from './scheduling-input.js';
import {createSuspectTrials, type SuspectTrials} from './suspect-trials.js';

/** A pool's workers in one pass, the sizes that fit on none of them, the workers reserved for what finds no room, and the trials of its suspects. */
export type PoolWorkers = {name: string; workers: CandidateWorker[]; refused: Resources[]; reservations: Reservations; trials: SuspectTrials};

/** Creates the state of one pool at the begin of a pass. */
export const createPoolWorkers = (name: string, workers: CandidateWorker[], suspects: CandidateWorker[], input: SchedulingInput): PoolWorkers => ({
	name, workers, refused: [], reservations: createReservations(workers, input), trials: createSuspectTrials(workers, suspects, input),
});

const candidatesByPool = (workers: readonly SchedulableWorker[], {store}: SchedulingInput): Map<string, CandidateWorker[]> => {
	const candidates = workers.map(worker => {
		const used = store.usageOfLife(worker.life);
		const steps = [...store.runsOf(worker.life).values()].map(run => run.job.order.steps[run.step]!);
		return {
			pool: worker.pool,
			candidate: {
				life: worker.life,
				id: worker.id,
				capacity: worker.capacity,
				free: {cpu: worker.capacity.cpu - used.cpu, memoryMb: worker.capacity.memoryMb - used.memoryMb, gpu: worker.capacity.gpu - used.gpu},
				labels: new Set(worker.labels),
				serves: steps.some(step => step.targetMs !== undefined),
				fills: steps.some(step => step.fillsSpare),
				isPinned: steps.some(step => step.lasting),
				slowness: worker.slowness,
			},
		};
	});
	return new Map([...groupBy(candidates, entry => entry.pool)].map(([pool, entries]) => [pool, entries.map(entry => entry.candidate)]));
};

/** Creates the state of every pool that has workers, by name. */
export const poolsOf = (input: SchedulingInput): Map<string, PoolWorkers> => {
	const workers = candidatesByPool(input.workers, input);
	const suspects = candidatesByPool(input.suspects ?? [], input);
	return new Map([...new Set([...workers.keys(), ...suspects.keys()])].map(name => [name, createPoolWorkers(name, workers.get(name) ?? [], suspects.get(name) ?? [], input)]));
};

/** Those of some workers that a step's policy may be asked about, those with room first. */
export const advisable = (step: JobStep, workers: readonly CandidateWorker[]): CandidateWorker[] => {
	const labelled = workers.filter(worker => step.label === undefined || worker.labels.has(step.label));
	return [...labelled.filter(worker => fits(step, worker)), ...labelled.filter(worker => !fits(step, worker))];
};

/** Resources that must be free for a work unit; one that fills spare capacity needs no free cores. */
export const requiredResources = ({resources, fillsSpare}: JobStep): Resources => (fillsSpare ? {...resources, cpu: -Infinity} : resources);

/** True if a size that is no larger was refused before; free resources only shrink during a pass. */
export const isRefused = (needed: Resources, {refused}: PoolWorkers): boolean => refused.some(size => size.cpu <= needed.cpu && size.memoryMb <= needed.memoryMb && size.gpu <= needed.gpu);
