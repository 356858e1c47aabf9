/** What a dispatcher is asked and what it answers. */

/** A request that waits for a ticket. */
export type WaitingRequest = {
	requestId: string;
	/** Node that holds the caller. */
	entry: string;
	team: string;
	queue: string;
	/** Milliseconds from arrival at the dispatcher within which it must start. */
	deadlineMs: number;
	/** Instances tried before; another one, in another rack, is taken first. */
	tried: string[];
};

/** Permission to use one slot of one backend server, once. */
export type Ticket = {
	/** `pool:team:epoch:number`; backend servers report it while it runs. */
	ticketId: string;
	requestId: string;
	entry: string;
	instance: string;
	/** Origin of the backend server, such as `http://10.0.0.7:8080`. */
	address: string;
	epoch: number;
	/** Latest held report of the entry that the dispatcher had seen; fences late tickets. */
	reportSeq: number;
};

/** Why a request is refused before it ran. */
export const refusalReasons = {
	queueFull: 'queue-full',
	wouldMissDeadline: 'would-miss-deadline',
	deadlinePassed: 'deadline-passed',
	unknownQueue: 'unknown-queue',
	noDispatcher: 'no-dispatcher',
	dispatcherMoved: 'dispatcher-moved',
} as const;
/** Why a request is refused before it ran. */
export type RefusalReason = (typeof refusalReasons)[keyof typeof refusalReasons];

/** How a ticket ended. */
export const ticketOutcomes = {
	/** A whole answer that is not a server failure. */
	ok: 'ok',
	/** A whole answer that says the backend server failed. */
	failed: 'failed',
	/** No byte reached the backend server, or it said so in the agreed form. */
	notRun: 'not-run',
	/** Cut or timed out; the work may still run. */
	unknown: 'unknown',
	/** The entry did not use the ticket. */
	unused: 'unused',
} as const;
/** How a ticket ended. */
export type TicketOutcome = (typeof ticketOutcomes)[keyof typeof ticketOutcomes];

/** What a dispatcher tells the entries. */
export type DispatchEffect =
	| {type: 'ticket'; ticket: Ticket}
	| {type: 'refusal'; entry: string; requestId: string; reason: RefusalReason; retryAfterMs: number};

/** A backend server's announcement, as it reaches the dispatcher. */
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
	/** Ticket IDs that it is working on. */
	inFlight: string[];
};

/** Team of a ticket, read from its ID. */
export const teamOfTicket = (ticketId: string): string | undefined => ticketId.split(':')[1];
