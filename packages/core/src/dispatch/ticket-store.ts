/** Store of one pool's active tickets: which entry holds which, and which work still runs although no entry reports it. */
import type {Backend, BackendTable} from './backend-table.js';
import {teamOfTicket, type Ticket} from './requests.js';
import type {QueuedRequest, TeamScheduler} from './team-scheduler.js';

/** Number of reports of an entry after which a ticket or waiting request that they do not list counts as lost. */
export const LOST_AFTER_REPORTS = 2;

/** A ticket that was issued and has not ended. */
export type ActiveTicket = Ticket & {
	team: string;
	/** Undefined if an earlier dispatcher issued the ticket. */
	queue: string | undefined;
	endsAtMs: number;
};

/** Options of a ticket store. */
export type TicketStoreOptions = {pool: string; epoch: number; scheduler: TeamScheduler; table: BackendTable};

/** The ticket store of one pool. */
export type TicketStore = ReturnType<typeof createTicketStore>;

/** Creates an empty store. */
export const createTicketStore = ({pool, epoch, scheduler, table}: TicketStoreOptions) => {
	const tickets = new Map<string, ActiveTicket>();
	const ticketOfRequest = new Map<string, string>();
	let ticketNumber = 0;

	const remove = (ticket: ActiveTicket): void => {
		tickets.delete(ticket.ticketId);
		ticketOfRequest.delete(ticket.requestId);
	};

	/** Makes a ticket an orphan: its entry no longer reports it, so its work counts as running until the backend server stops reporting it or its deadline passes. */
	const orphan = (ticket: ActiveTicket): void => {
		const backend = table.find(ticket.instance);
		remove(ticket);
		if (!backend) {
			scheduler.finish(ticket.team, ticket.queue);
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
			scheduler.addRunning(team);
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

		/** Issues the next ticket and counts its request as running. */
		issue(request: QueuedRequest, backend: Backend, {reportSeq, endsAtMs}: {reportSeq: number; endsAtMs: number}): Ticket {
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
			table.addTicket(backend, ticket.ticketId, request.team, request.entry);
			scheduler.start(request);
			return ticket;
		},

		/** Ends a ticket whose work is over. */
		close(ticket: ActiveTicket): void {
			table.find(ticket.instance)?.running.delete(ticket.ticketId);
			remove(ticket);
			scheduler.finish(ticket.team, ticket.queue);
		},

		/** Adopts tickets that an entry reports and this store lacks, and makes orphans of tickets that the entry has lost. */
		reconcile(entry: string, seq: number, held: ReadonlyArray<{ticketId: string; instance: string}>, endsAtMs: number): void {
			const heldIds = new Set(held.map(item => item.ticketId));
			for (const {ticketId, instance} of held) {
				if (!tickets.has(ticketId)) {
					adopt(entry, ticketId, instance, endsAtMs);
				}
			}

			for (const ticket of tickets.values()) {
				const isLost = ticket.entry === entry && !heldIds.has(ticket.ticketId)
					&& (ticket.reportSeq === Infinity || ticket.reportSeq <= seq - LOST_AFTER_REPORTS);
				if (isLost) {
					orphan(ticket);
				}
			}
		},

		/** Adopts work of earlier epochs that a backend server reports and no entry does. */
		adoptInFlight(backend: Backend, endsAtMs: number): void {
			for (const ticketId of backend.announced.inFlight) {
				const [ticketPool, team, ticketEpoch] = ticketId.split(':');
				// All tickets of this epoch are in this store or have ended, so a report of an unknown one is merely late.
				const isEarlier = ticketPool === pool && Number(ticketEpoch) < epoch;
				if (isEarlier && team !== undefined && !tickets.has(ticketId) && !backend.orphans.has(ticketId)) {
					backend.orphans.set(ticketId, {team, endsAtMs, seenReport: true});
					scheduler.addRunning(team);
				}
			}
		},

		/** Attaches tickets that entries reported earlier to a backend server that has just announced itself. */
		attachTickets(backend: Backend): void {
			for (const ticket of tickets.values()) {
				if (ticket.instance === backend.instance) {
					backend.running.set(ticket.ticketId, {team: ticket.team, entry: ticket.entry});
				}
			}
		},

		/** Makes orphans of all tickets of an entry that has gone silent. */
		orphanAllOf(entry: string): void {
			for (const ticket of tickets.values()) {
				if (ticket.entry === entry) {
					orphan(ticket);
				}
			}
		},

		/** Runs a change that may remove orphans, and stops counting the removed ones as running. */
		releaseRemovedOrphans(backend: Backend | undefined, change: () => void): void {
			const before = backend ? [...backend.orphans] : [];
			change();
			for (const [ticketId, {team}] of before) {
				if (!backend!.orphans.has(ticketId) && !tickets.has(ticketId)) {
					scheduler.finish(team, undefined);
				}
			}
		},
	};
};
