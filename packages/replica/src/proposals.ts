/** Proposals that wait for their commit, and how they are put into events. */
import type {BronzebendError} from '@bronzebend/core';
import type {LogPayload} from '@bronzebend/wire';

/** A proposal that is in the log since `term`, and how its caller learns the outcome. */
export type Pending<Outcome> = {term: number; resolve(outcome: Outcome): void; reject(error: BronzebendError): void};

/** A proposal that is not in the log yet. */
export type Proposal<Outcome> = {payload: LogPayload; resolve(outcome: Outcome): void; reject(error: BronzebendError): void};

const ignore = (): void => undefined;

/** A proposal whose outcome nobody waits for. */
export const createUnattended = <Outcome>(payload: LogPayload): Proposal<Outcome> => ({payload, resolve: ignore, reject: ignore});

/**
Splits proposals that are made at once into those of single events, all commands first. A change of members is an event of its own:
Raft rejects an event as a whole, and checks a change against what precedes the event.
*/
export const splitProposals = <Outcome>(proposals: ReadonlyArray<Proposal<Outcome>>): Array<Array<Proposal<Outcome>>> => {
	const commands = proposals.filter(({payload}) => payload.type !== 'members');
	const changes = proposals.filter(({payload}) => payload.type === 'members');
	return [...(commands.length > 0 ? [commands] : []), ...changes.map(change => [change])];
};
