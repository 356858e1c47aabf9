/**
Evacuated data centres: an operator has requested that their backend servers receive no more requests.

Load: a few commands a day. Operators repeat a command until it is acknowledged, through any node, also while two of them
evacuate different data centres at the same time, so the rules are checked when a command is applied.
*/

/** Changes whether a data centre is evacuated. Repeating a command has no effect. */
export type DataCentreEvacuationCommand =
	| {type: 'evacuate'; dataCentre: string; atMs: number}
	| {type: 'end-evacuation'; dataCentre: string; atMs: number};

/** An evacuated data centre, and the leader's wall clock time at which its evacuation began. */
export type DataCentreEvacuation = {dataCentre: string; sinceMs: number};

/** Reason why a command is refused. */
export type EvacuationRefusal = 'unknown-data-centre' | 'last-data-centre';

/** Result of a command. */
export type DataCentreEvacuationOutcome = {type: 'accepted'; changed: boolean} | {type: 'refused'; reason: EvacuationRefusal};

/** The aggregate of evacuated data centres. */
export type DataCentreEvacuations = ReturnType<typeof createDataCentreEvacuations>;

/** Creates the aggregate, empty or from a snapshot. */
export const createDataCentreEvacuations = (snapshot: readonly DataCentreEvacuation[] = []) => {
	const byDataCentre = new Map(snapshot.map(evacuation => [evacuation.dataCentre, evacuation]));

	/** Returns the reason why a data centre may not be evacuated, given those in which instances are declared. */
	const refusal = (dataCentre: string, known: ReadonlySet<string>): EvacuationRefusal | undefined => {
		// A request that was accepted is acknowledged again, whatever has been published since.
		if (byDataCentre.has(dataCentre)) {
			return undefined;
		}

		if (!known.has(dataCentre)) {
			return 'unknown-data-centre';
		}

		const left = [...known].filter(name => name !== dataCentre && !byDataCentre.has(name));
		return left.length === 0 ? 'last-data-centre' : undefined;
	};

	return {
		refusal,
		has: (dataCentre: string): boolean => byDataCentre.has(dataCentre),
		names: (): ReadonlySet<string> => new Set(byDataCentre.keys()),
		list: (): DataCentreEvacuation[] => [...byDataCentre.values()],

		/** Applies a command, given the data centres in which instances are declared. */
		apply(command: DataCentreEvacuationCommand, known: ReadonlySet<string>): DataCentreEvacuationOutcome {
			const {dataCentre, atMs} = command;
			switch (command.type) {
				case 'evacuate': {
					const reason = refusal(dataCentre, known);
					if (reason !== undefined) {
						return {type: 'refused', reason};
					}

					const changed = !byDataCentre.has(dataCentre);
					if (changed) {
						byDataCentre.set(dataCentre, {dataCentre, sinceMs: atMs});
					}

					return {type: 'accepted', changed};
				}

				case 'end-evacuation': {
					if (byDataCentre.delete(dataCentre)) {
						return {type: 'accepted', changed: true};
					}

					// A misspelt name must not look as if the evacuation had ended.
					return known.has(dataCentre) ? {type: 'accepted', changed: false} : {type: 'refused', reason: 'unknown-data-centre'};
				}
			}
		},

		snapshot: (): DataCentreEvacuation[] => [...byDataCentre.values()],
	};
};
