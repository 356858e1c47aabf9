/** Decides whether a worker's life may have been ended through its machine, so that work placed on it would be lost. */
import type {MachineOrder} from './job-commands.js';
import {hasEndedLife, type Machine} from './upkeep.js';
import type {WorkerEntry} from './worker-directory.js';

/** Time after the last moment of sending an order after which a life that still reports counts as not ended by it, in milliseconds; the platform may be slow. */
const MAX_ORDER_DELAY_MS = 5000;

/** What is known about the machine of a life. */
export type LifeEvidence = {
	/** The machine in the latest list; undefined if it is not listed. */
	listed: Machine | undefined;
	/** When that list was requested, in milliseconds; -Infinity before the first list. */
	listReadMs: number;
	/** The last order on record to the machine, unless this term gave it. */
	order: MachineOrder | undefined;
	/** Time from which on that order cannot be sent any more, in milliseconds. */
	orderSettledMs: number;
};

/**
Returns true if the life must get no new work.

The announcements that a process received say nothing about an order that was given later. Two facts
do: the list of machines, if it was requested after the latest announcement, and the record of an
order that names the life, until a list requested after the last moment of sending it shows that the
life goes on. A platform may return no list for long, so reports of the life long after that moment count as well.
*/
export const mayHaveEnded = (entry: Pick<WorkerEntry, 'life' | 'receivedMs'>, {listed, listReadMs, order, orderSettledMs}: LifeEvidence): boolean => {
	if (entry.receivedMs < listReadMs && hasEndedLife(listed, entry.life)) {
		return true;
	}

	return order?.life === entry.life && listReadMs < orderSettledMs && entry.receivedMs < orderSettledMs + MAX_ORDER_DELAY_MS;
};
