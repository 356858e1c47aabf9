/** How many identical work units fit into free resources; a gang starts only if all its members do. */
import type {Resources} from './fleet-manifest.js';
import type {JobStep} from './job.js';

const countWithin = (free: number, amount: number): number => (amount > 0 ? Math.max(0, Math.floor(free / amount)) : (free < 0 ? 0 : Infinity));

/** Number of a step's work units that the free resources of some workers hold, within the step's limit on one worker; one that fills spare capacity needs no free cores. */
export const countRoom = ({resources, fillsSpare, perWorker = Infinity}: JobStep, frees: readonly Resources[]): number => frees.reduce((sum, free) => sum + Math.min(
	perWorker,
	fillsSpare ? Infinity : countWithin(free.cpu, resources.cpu),
	countWithin(free.memoryMb, resources.memoryMb),
	countWithin(free.gpu, resources.gpu),
), 0);
