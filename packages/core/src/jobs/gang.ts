/** Gangs: the work units of a step that run together under one attempt number, end `done` together, and resume from one checkpoint. */
import {
	isDone, isOpen, type Job, JobStates, type Occurrence, RunEnds, type WorkUnit,
} from './job.js';
import type {EndedRun} from './job-commands.js';

/** Completes a gang's step, as one end `done` stands for all members. Those recorded as running stay so until their ends are recorded, because they may still occupy their workers. */
export const completeGang = (units: readonly WorkUnit[], occurrence: Occurrence, step: number): void => {
	for (const unit of units.filter(member => member.state === 'idle')) {
		unit.state = 'done';
	}

	occurrence.doneInStep[step] = units.length;
};

/** Records the checkpoint of an ended run for all members; called while the run is still recorded. */
export const recordGangCheckpoint = (units: readonly WorkUnit[], unit: WorkUnit, {attempt, how, checkpoint}: EndedRun): void => {
	if (checkpoint === '' || checkpoint === unit.checkpoint) {
		return;
	}

	// The checkpoint of a lost run is the last one that was listed; the end of another member carries a later one.
	const isOutdated = how === RunEnds.lost && unit.checkpoint !== '' && units.some(member => member.state !== 'running' && member.attempt === attempt);
	if (isOutdated) {
		return;
	}

	for (const member of units) {
		member.checkpoint = checkpoint;
	}
};

const repairSteps = (job: Job): void => {
	for (const occurrence of job.occurrences) {
		for (const [number, step] of job.order.steps.entries()) {
			if (!step.gang) {
				continue;
			}

			const units = occurrence.steps[number]!;
			if (occurrence.doneInStep[number]! > 0) {
				completeGang(units, occurrence, number);
			}

			const checkpoint = units.find(unit => unit.checkpoint !== '')?.checkpoint ?? '';
			for (const unit of units) {
				unit.checkpoint = checkpoint;
			}
		}
	}
};

/** Applies the same rules to the gangs of a snapshot that was written without them. */
export const repairGangs = (jobs: readonly Job[]): void => {
	const latestMs = jobs.reduce((latest, {acceptedAtMs, endedAtMs}) => Math.max(latest, acceptedAtMs, endedAtMs), 0);
	for (const job of jobs.filter(each => isOpen(each))) {
		repairSteps(job);
		if (isDone(job)) {
			job.state = JobStates.completed;
			job.endedAtMs = latestMs;
		}
	}
};
