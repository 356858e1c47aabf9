/** Carries out an operator's request to evacuate a data centre, or to end its evacuation. */
import {
	BronzebendError, UnreachableError,
	type ControlOutcome, type ControlState, type DataCentreEvacuationCommand, type EvacuationRefusal,
} from '@bronzebend/core';
import type {Replica} from '@bronzebend/replica';

/** No instance is declared in the named data centre; nothing changed. */
export class UnknownDataCentreError extends BronzebendError {
	override readonly name = 'UnknownDataCentreError';

	constructor(dataCentre: string, known: readonly string[]) {
		super('unknown-data-centre', `No instance is declared in data centre "${dataCentre}". Nothing was changed. Known: ${known.join(', ') || 'none'}.`, {dataCentre, known});
	}
}

/** The named data centre is the last one that is not evacuated; nothing changed. */
export class LastDataCentreError extends BronzebendError {
	override readonly name = 'LastDataCentreError';

	constructor(dataCentre: string) {
		super('last-data-centre', `Data centre "${dataCentre}" is the last one that is not evacuated. Nothing was changed. End another evacuation first.`, {dataCentre});
	}
}

/** Answer to an accepted request; `changed` is false for a repetition, or for a withdrawal without an evacuation in force. */
export type EvacuationAnswer = {dataCentre: string; changed: boolean};

/** Creates the error for a refused request. */
export const refusedEvacuation = (reason: EvacuationRefusal, dataCentre: string, state: ControlState): BronzebendError => {
	switch (reason) {
		case 'unknown-data-centre': {
			return new UnknownDataCentreError(dataCentre, [...state.dataCentres()].sort());
		}

		case 'last-data-centre': {
			return new LastDataCentreError(dataCentre);
		}

		default: {
			throw new UnreachableError(reason);
		}
	}
};

/**
Commits the request and returns its answer.

@throws {UnknownDataCentreError} No instance is declared in the data centre.
@throws {LastDataCentreError} No other data centre is left.
*/
export const runEvacuation = async (command: DataCentreEvacuationCommand, {replica, state}: {replica: Replica<ControlOutcome>; state: ControlState}): Promise<EvacuationAnswer> => {
	const result = await replica.propose(command);
	if (result.type !== 'evacuation') {
		throw new BronzebendError('internal', 'The command had an outcome of another type; this is a bug in bronzebend, please report it.');
	}

	if (result.outcome.type === 'refused') {
		throw refusedEvacuation(result.outcome.reason, command.dataCentre, state);
	}

	return {dataCentre: command.dataCentre, changed: result.outcome.changed};
};
