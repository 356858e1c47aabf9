/** Tickets of one pool: who holds which, and what still runs although nobody answers for it. */
import type {Backend, BackendTable} from './backend-table.js';
import {teamOfTicket, type Ticket} from './requests.js';
import type {QueuedRequest, TeamLedger} from './team-ledger.js';

/** Reports after which a ticket that an entry does not hold counts as lost. */
export const REPORTS_TO_LOSE_TICKET = 2;

/** A ticket that was given and has not ended. */
export type ActiveTicket = Ticket & {
	team: string;
	/** Undefined where an earlier dispatcher gave it. */
	queue: string | undefined;
	endsAtMs: number;
};

/** What a book is made of. */
export type TicketBookOptions = {pool: string; epoch: number; ledger: TeamLedger; table: BackendTable};

/** The tickets of one pool. */
export type TicketBook = ReturnType<typeof createTicketBook>;

/** Creates an empty book. */
export const createTicketBook = ({pool, epoch, ledger, table}: TicketBookOptions) => {
	const tickets = new Map<string, ActiveTicket>();
	const ticketOfRequest = new Map<string, string>();
	let ticketNumber = 0;

	const forget = (ticket: ActiveTicket): void => {
		tickets.delete(ticket.ticketId);
		ticketOfRequest.delete(ticket.requestId);
	};

	/** Work whose entry no longer answers for it runs until the backend server's reports or its deadline say otherwise. */
	const orphan = (ticket: ActiveTicket): void => {
		const backend = table.find(ticket.instance);
		forget(ticket);
		if (!backend) {
			ledger.finish(ticket.team, ticket.queue);
			return;
		}

		backend.running.delete(ticket.ticketId);
		backend.orphans.set(ticket.ticketId, {team: ticket.team, endsAtMs: ticket.endsAtMs, seenReport: false});
	};

	const adopt = (entry: string, ticketId: string, instance: string, endsAtMs: number): void => {
		const team = teamOfTicket(ticketId);
		if (team === undefined || !ticketId.startsWith(`${pool}:`)) {
			return;
		}

		const backend = table.find(instance);
		if (backend?.orphans.delete(ticketId) !== true) {
			ledger.adopt(team);
		}

		backend?.running.set(ticketId, {team, entry});
		tickets.set(ticketId, {
			ticketId, requestId: '', entry, instance, address: '', epoch, reportSeq: Infinity, team, queue: undefined, endsAtMs,
		});
	};

	return {
		find: (ticketId: string): ActiveTicket | undefined => tickets.get(ticketId),
		hasRequest: (requestId: string): boolean => ticketOfRequest.has(requestId),
		orphan,

		/** Gives the next ticket; the request starts to count as running. */
		give(request: QueuedRequest, backend: Backend, {reportSeq, endsAtMs}: {reportSeq: number; endsAtMs: number}): Ticket {
			ticketNumber += 1;
			const ticket: Ticket = {
				ticketId: `${pool}:${request.team}:${epoch}:${ticketNumber}`,
				requestId: request.requestId,
				entry: request.entry,
				instance: backend.instance,
				address: backend.announced.address,
				epoch,
				reportSeq,
			};
			tickets.set(ticket.ticketId, {
				...ticket, team: request.team, queue: request.queue, endsAtMs,
			});
			ticketOfRequest.set(request.requestId, ticket.ticketId);
			table.occupy(backend, ticket.ticketId, request.team, request.entry);
			ledger.start(request);
			return ticket;
		},

		/** Ends a ticket whose work is over. */
		close(ticket: ActiveTicket): void {
			table.find(ticket.instance)?.running.delete(ticket.ticketId);
			forget(ticket);
			ledger.finish(ticket.team, ticket.queue);
		},

		/** Takes what an entry says that it holds, and takes back what it cannot use any more. */
		reconcile(entry: string, seq: number, held: ReadonlyArray<{ticketId: string; instance: string}>, endsAtMs: number): void {
			const heldIds = new Set(held.map(item => item.ticketId));
			for (const {ticketId, instance} of held) {
				if (!tickets.has(ticketId)) {
					adopt(entry, ticketId, instance, endsAtMs);
				}
			}

			for (const ticket of tickets.values()) {
				const isLost = ticket.entry === entry && !heldIds.has(ticket.ticketId)
					&& (ticket.reportSeq === Infinity || ticket.reportSeq <= seq - REPORTS_TO_LOSE_TICKET);
				if (isLost) {
					orphan(ticket);
				}
			}
		},

		/** Takes work of earlier epochs that a backend server reports and no entry accounts for. */
		adoptInFlight(backend: Backend, endsAtMs: number): void {
			for (const ticketId of backend.announced.inFlight) {
				const [ticketPool, team, ticketEpoch] = ticketId.split(':');
				// Tickets of this epoch are all known here; a report of one may only be late.
				const isEarlier = ticketPool === pool && Number(ticketEpoch) < epoch;
				if (isEarlier && team !== undefined && !tickets.has(ticketId) && !backend.orphans.has(ticketId)) {
					backend.orphans.set(ticketId, {team, endsAtMs, seenReport: true});
					ledger.adopt(team);
				}
			}
		},

		/** Puts tickets that entries reported earlier on a backend server that has just announced itself. */
		placeOn(backend: Backend): void {
			for (const ticket of tickets.values()) {
				if (ticket.instance === backend.instance) {
					backend.running.set(ticket.ticketId, {team: ticket.team, entry: ticket.entry});
				}
			}
		},

		/** Makes orphans of all tickets of an entry that is gone. */
		orphanAllOf(entry: string): void {
			for (const ticket of tickets.values()) {
				if (ticket.entry === entry) {
					orphan(ticket);
				}
			}
		},

		/** Runs a change that may end orphans, and counts those that ended. */
		countEndedOrphans(backend: Backend | undefined, change: () => void): void {
			const before = backend ? [...backend.orphans] : [];
			change();
			for (const [ticketId, {team}] of before) {
				if (!backend!.orphans.has(ticketId) && !tickets.has(ticketId)) {
					ledger.finish(team, undefined);
				}
			}
		},
	};
};
