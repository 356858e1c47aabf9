/**
Where a work unit runs.

Packs a pool's workers, those first whose machines stay in the pool anyway: large units still find
room, and the other machines fall idle and can follow the demand. Keeps work that fills spare
capacity away from work that serves users.
*/
import type {Resources} from './fleet-manifest.js';
import type {JobStep} from './job.js';

/** A worker that may take work. */
export type Seat = {
	life: string;
	id: string;
	capacity: Resources;
	free: Resources;
	labels: ReadonlySet<string>;
	/** Runs work that serves users under a target. */
	serves: boolean;
	/** Runs work that fills spare capacity. */
	fills: boolean;
	/** Runs work that lasts, so that its machine stays in the pool. */
	isPinned: boolean;
	/** Duration of runs here against what was expected. */
	slowness: number;
};

/** A worker this many times slower than expected gets work only when no other has room. */
const SLOW = 2;

/** True where a work unit fits. */
export const fits = (step: JobStep, seat: Seat): boolean => (step.fillsSpare || step.resources.cpu <= seat.free.cpu)
	&& step.resources.memoryMb <= seat.free.memoryMb
	&& step.resources.gpu <= seat.free.gpu;

/** Cost of a worker for a work unit; lower is better. */
const costOf = (step: JobStep, seat: Seat): number => {
	const disturbs = (step.fillsSpare && seat.serves) || (step.targetMs !== undefined && seat.fills);
	const remote = step.dataRack !== undefined && !seat.labels.has(step.dataRack);
	const left = (seat.free.cpu - (step.fillsSpare ? 0 : step.resources.cpu)) / Math.max(1, seat.capacity.cpu);
	// Work under a target is disturbed by its neighbours, whatever they run.
	const room = step.targetMs === undefined ? left + (seat.isPinned ? 0 : 1) : -left;
	return (disturbs ? 100 : 0) + (remote ? 20 : 0) + (seat.slowness > SLOW ? 10 + seat.slowness : 0) + room;
};

/** The best of the workers that have room; undefined where none has. */
export const chooseSeat = (step: JobStep, seats: readonly Seat[], allows: (seat: Seat) => boolean): Seat | undefined => {
	let best: Seat | undefined;
	let bestCost = Infinity;
	for (const seat of seats) {
		if ((step.label !== undefined && !seat.labels.has(step.label)) || !fits(step, seat) || !allows(seat)) {
			continue;
		}

		const cost = costOf(step, seat);
		if (cost < bestCost) {
			best = seat;
			bestCost = cost;
		}
	}

	return best;
};

/** Takes a work unit's resources from a worker. */
export const occupy = (step: JobStep, seat: Seat, factor = 1): void => {
	seat.free.cpu -= step.fillsSpare ? 0 : step.resources.cpu * factor;
	seat.free.memoryMb -= step.resources.memoryMb * factor;
	seat.free.gpu -= step.resources.gpu * factor;
	if (factor > 0) {
		seat.serves ||= step.targetMs !== undefined;
		seat.fills ||= step.fillsSpare;
		seat.isPinned ||= step.lasting;
	}
};
