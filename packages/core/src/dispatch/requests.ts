/** Messages between entries, backend servers and a pool's dispatcher. */

/** A request that waits for a ticket. */
export type WaitingRequest = {
	requestId: string;
	/** Node that holds the caller's connection. */
	entry: string;
	team: string;
	queue: string;
	/** Time from arrival at the dispatcher within which the request must start, in milliseconds. */
	deadlineMs: number;
	/** Instances that were already tried; others, in other racks, are preferred. */
	tried: string[];
};

/** Permission to use one slot of a backend server for one request. */
export type Ticket = {
	/** `pool:team:epoch:number`. Backend servers report the ID while the work runs. */
	ticketId: string;
	requestId: string;
	entry: string;
	instance: string;
	/** Origin of the backend server, such as `http://10.0.0.7:8080`. */
	address: string;
	epoch: number;
	/** Sequence number of the entry's latest report that the dispatcher had received; fences late tickets. */
	reportSeq: number;
};

/** Reasons for refusing a request before it runs. */
export const refusalReasons = {
	queueFull: 'queue-full',
	wouldMissDeadline: 'would-miss-deadline',
	deadlinePassed: 'deadline-passed',
	unknownQueue: 'unknown-queue',
	noDispatcher: 'no-dispatcher',
	dispatcherMoved: 'dispatcher-moved',
} as const;
/** Reason for refusing a request before it runs. */
export type RefusalReason = (typeof refusalReasons)[keyof typeof refusalReasons];

/** Outcomes of a ticket. */
export const ticketOutcomes = {
	/** A complete response that is not a server failure. */
	ok: 'ok',
	/** A complete response that reports a server failure. */
	failed: 'failed',
	/** No byte reached the backend server, or the response states that the request did not run. */
	notRun: 'not-run',
	/** The connection was cut or timed out; the work may still run. */
	unknown: 'unknown',
	/** The entry did not use the ticket. */
	unused: 'unused',
} as const;
/** Outcome of a ticket. */
export type TicketOutcome = (typeof ticketOutcomes)[keyof typeof ticketOutcomes];

/** Message from a dispatcher to an entry. */
export type DispatchEffect =
	| {type: 'ticket'; ticket: Ticket}
	| {type: 'refusal'; entry: string; requestId: string; reason: RefusalReason; retryAfterMs: number};

/** A backend server's announcement of its state. */
export type Announcement = {
	instance: string;
	service: string;
	address: string;
	dataCentre: string;
	rack: string;
	slots: number;
	connections: number;
	healthy: boolean;
	leaving: boolean;
	/** IDs of the tickets that the backend server is working on. */
	inFlight: string[];
};

/** Returns the team of a ticket from its ID; undefined if the ID has no team. */
export const teamOfTicket = (ticketId: string): string | undefined => ticketId.split(':')[1];
