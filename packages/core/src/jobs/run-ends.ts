/** What the end of a run means for its work unit and its step. */
import {completeGang, recordGangCheckpoint} from './gang.js';
import type {EndedRun} from './job-commands.js';
import {type Job, RunEnds, type WorkUnit} from './job.js';

/** Records the end of a run: the work unit's state, checkpoint and failures, and how far its step is done. */
export const recordRunEnd = (job: Job, {unit, occurrence, step}: {unit: WorkUnit; occurrence: number; step: number}, run: EndedRun): void => {
	const {lasting, gang, count} = job.order.steps[step]!;
	const progress = job.occurrences[occurrence]!;
	const units = progress.steps[step]!;
	if (gang) {
		recordGangCheckpoint(units, unit, run);
	} else if (run.checkpoint !== '') {
		unit.checkpoint = run.checkpoint;
	}

	const wasStepDone = progress.doneInStep[step] === count;
	unit.worker = undefined;
	unit.state = wasStepDone || (run.how === RunEnds.done && !lasting) ? 'done' : 'idle';
	if (unit.state === 'idle') {
		unit.failures += run.how === RunEnds.failed && !lasting ? 1 : 0;
	} else if (gang) {
		completeGang(units, progress, step);
	} else {
		progress.doneInStep[step]! += 1;
	}
};
