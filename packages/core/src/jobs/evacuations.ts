/**
Data centres that are evacuated: no work unit starts there until an operator withdraws the request.

Handles a data centre that operators empty while jobs keep arriving, on a group that may change its
leader at any time: as part of the replicated state, the request outlives the leader that accepted it,
and starts that were planned before it are refused when they are applied after it.
*/
import type {JobCommand, JobOutcome, RunStart} from './job-commands.js';
import type {Job, WorkUnit} from './job.js';

/** Serializable state of the evacuations. */
export type EvacuationsSnapshot = {
	/** Evacuated data centres, and since when, in Unix milliseconds. */
	inForce: Array<[string, number]>;
	/** Data centres whose evacuation was withdrawn, and when; they stay known, so that a repeated withdrawal is never refused. */
	withdrawn: Array<[string, number]>;
};

/** The evacuated data centres. */
export type Evacuations = ReturnType<typeof createEvacuations>;

/** The step of a work unit, with its position in its job. */
type FoundUnit = {job: Job; occurrence: number; step: number};

/** Creates the evacuations, none or from a snapshot. */
export const createEvacuations = (snapshot?: EvacuationsSnapshot) => {
	const inForce = new Map(snapshot?.inForce);
	const withdrawn = new Map(snapshot?.withdrawn);

	return {
		/** Applies a command; the last of the known data centres that is not evacuated is not evacuated. */
		apply(command: JobCommand & {type: 'evacuate' | 'end-evacuation'}): JobOutcome {
			const {dataCentre, atMs} = command;
			const isInForce = inForce.has(dataCentre);
			if (isInForce === (command.type === 'evacuate')) {
				return {type: 'evacuation', changed: false};
			}

			if (command.type === 'end-evacuation') {
				inForce.delete(dataCentre);
				withdrawn.set(dataCentre, atMs);
				return {type: 'evacuation', changed: true};
			}

			if (command.known?.every(known => known === dataCentre || inForce.has(known))) {
				return {type: 'last-data-centre'};
			}

			inForce.set(dataCentre, atMs);
			withdrawn.delete(dataCentre);
			return {type: 'evacuation', changed: true};
		},

		/** Leaves out starts in evacuated data centres, and with any member of a gang the other members, since a gang starts as a whole. */
		withoutEvacuated(runs: RunStart[], find: (unit: string) => FoundUnit | undefined, dataCentreOf: (life: string) => string | undefined): RunStart[] {
			if (inForce.size === 0) {
				return runs;
			}

			const isThere = ({life}: RunStart): boolean => inForce.has(dataCentreOf(life) ?? '');
			const gangOf = ({unit}: RunStart): readonly WorkUnit[] | undefined => {
				const found = find(unit);
				return found?.job.order.steps[found.step]!.gang ? found.job.occurrences[found.occurrence]!.steps[found.step] : undefined;
			};

			const refused = runs.filter(run => isThere(run));
			const gangs = new Set(refused.map(run => gangOf(run)));
			gangs.delete(undefined);
			return runs.filter(run => !isThere(run) && !gangs.has(gangOf(run)));
		},

		isEvacuated: (dataCentre: string): boolean => inForce.has(dataCentre),
		/** Evacuated data centres, and since when, in Unix milliseconds. */
		list: (): ReadonlyMap<string, number> => inForce,
		/** When the evacuation of a data centre was withdrawn, in Unix milliseconds; undefined if it never was, or is evacuated again. */
		withdrawnMs: (dataCentre: string): number | undefined => withdrawn.get(dataCentre),
		/** Data centres that are or were evacuated. */
		known: (): string[] => [...inForce.keys(), ...withdrawn.keys()],
		snapshot: (): EvacuationsSnapshot => ({inForce: [...inForce], withdrawn: [...withdrawn]}),
	};
};
