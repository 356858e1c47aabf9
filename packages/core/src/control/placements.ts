/** The pool and the planned work of each instance. An instance is in exactly one pool at any moment. */

/** Planned work on an instance. Its step is replicated, so a new leader can resume it. */
export type PlannedWork =
	| {type: 'move'; target: string}
	| {type: 'reboot'; wave: string};

/** Steps of planned work. `empty` means that nothing is in flight to the instance or running on it. */
export const workSteps = {draining: 'draining', empty: 'empty', joining: 'joining'} as const;
/** A step of planned work. */
export type WorkStep = (typeof workSteps)[keyof typeof workSteps];

/** The pool and state of an instance; `work` is absent while no work is planned. */
export type Placement = {
	instance: string;
	pool: string;
	work?: {id: string; plan: PlannedWork; step: WorkStep; sinceMs: number};
	/** Waves for which the instance has been rebooted. */
	doneWaves: string[];
};

/** Changes of a placement. Commands about planned work carry its ID, so repeating one has no effect. */
export type PlacementCommand =
	| {type: 'place'; instance: string; pool: string}
	| {type: 'remove'; instance: string}
	| {type: 'start-work'; instance: string; workId: string; plan: PlannedWork; atMs: number}
	| {type: 'advance-work'; instance: string; workId: string; from: WorkStep; atMs: number}
	| {type: 'cancel-work'; instance: string; workId: string};

/** The placements aggregate. */
export type Placements = ReturnType<typeof createPlacements>;

const nextStep: Readonly<Record<WorkStep, WorkStep | undefined>> = {draining: 'empty', empty: 'joining', joining: undefined};

/** Creates the aggregate, empty or from a snapshot. */
export const createPlacements = (snapshot: readonly Placement[] = []) => {
	const byInstance = new Map(snapshot.map(placement => [placement.instance, placement]));

	const advance = (placement: Placement, atMs: number): Placement => {
		const {work} = placement;
		if (!work) {
			return placement;
		}

		const step = nextStep[work.step];
		// The pool changes only while the instance is empty, so an instance never runs work of two pools.
		const pool = work.step === 'empty' && work.plan.type === 'move' ? work.plan.target : placement.pool;
		if (step !== undefined) {
			return {...placement, pool, work: {...work, step, sinceMs: atMs}};
		}

		const doneWaves = work.plan.type === 'reboot' ? [...placement.doneWaves, work.plan.wave] : placement.doneWaves;
		return {instance: placement.instance, pool, doneWaves};
	};

	return {
		find: (instance: string) => byInstance.get(instance),
		list: (): Placement[] => [...byInstance.values()],
		size: () => byInstance.size,

		/** Returns whether the command changed anything. */
		apply(command: PlacementCommand): boolean {
			const placement = byInstance.get(command.instance);
			switch (command.type) {
				case 'place': {
					if (placement) {
						return false;
					}

					byInstance.set(command.instance, {instance: command.instance, pool: command.pool, doneWaves: []});
					return true;
				}

				case 'remove': {
					return byInstance.delete(command.instance);
				}

				case 'start-work': {
					if (!placement || placement.work) {
						return false;
					}

					byInstance.set(command.instance, {
						...placement,
						work: {
							id: command.workId, plan: command.plan, step: workSteps.draining, sinceMs: command.atMs,
						},
					});
					return true;
				}

				case 'advance-work': {
					if (placement?.work?.id !== command.workId || placement.work.step !== command.from) {
						return false;
					}

					byInstance.set(command.instance, advance(placement, command.atMs));
					return true;
				}

				case 'cancel-work': {
					// After the drain the platform may already have started, so only a drain can be cancelled.
					if (placement?.work?.id !== command.workId || placement.work.step !== workSteps.draining) {
						return false;
					}

					byInstance.set(command.instance, {instance: placement.instance, pool: placement.pool, doneWaves: placement.doneWaves});
					return true;
				}
			}
		},

		snapshot: (): Placement[] => [...byInstance.values()],
	};
};
