/** Checks an operator's set of declarations and turns it into a command with a delta to the version in force. */
import {
	BronzebendError, checkDeclarations, diffCatalogues, type Catalogue, type ControlState, type Declaration, type Fault, type PublishCommand,
} from '@bronzebend/core';

/** The set of declarations has faults; nothing was published. */
export class FaultySetError extends BronzebendError {
	override readonly name = 'FaultySetError';

	constructor(faults: readonly Fault[]) {
		super('faulty-set', `Cannot publish: the set of declarations has ${faults.length} fault(s). Correct them and publish again.`, {faults});
	}
}

/** A call that publishes a set of declarations, based on version `base`. */
export type PublishCall = {publicationId: string; base: number; author: string; declarations: Declaration[]};

/**
Checks a set of declarations and builds its catalogue.

@throws {FaultySetError} The set has faults.
*/
export const checkedCatalogue = (declarations: readonly Declaration[]): Catalogue => {
	const checked = checkDeclarations(declarations.map(value => ({file: 'publication', value})));
	if (checked.type === 'faulty') {
		throw new FaultySetError(checked.faults);
	}

	return checked.catalogue;
};

/**
Creates the command that publishes a set.

@throws {FaultySetError} The set has faults.
*/
export const createPublishCommand = (state: ControlState, call: PublishCall, atMs: number): PublishCommand => {
	const catalogue = checkedCatalogue(call.declarations);
	return {
		type: 'publish',
		publicationId: call.publicationId,
		base: call.base,
		contentDigest: catalogue.digest(),
		delta: diffCatalogues(state.publications.catalogue(), catalogue),
		author: call.author,
		atMs,
	};
};
