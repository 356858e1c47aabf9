/** What a pool's dispatcher reacts to and what it emits. */
import type {
	Announcement, DispatchEffect, TicketOutcome, WaitingRequest,
} from './requests.js';
import type {QueueTraits} from './team-ledger.js';

/** A queue as the dispatcher needs it. */
export type DispatchQueue = QueueTraits & {name: string; maxWaiting: number; maxDeadlineMs: number};

/** The part of the configuration that concerns one pool. */
export type DispatchConfiguration = {
	queues: DispatchQueue[];
	weights: Array<{team: string; weight: number}>;
	maxOut: number;
	/** Instances that planned work or another pool keeps out. */
	excluded: string[];
};

/** What an entry holds for a pool; sent a few times a second and on take-over. */
export type HeldReport = {
	entry: string;
	seq: number;
	/** Highest dispatcher epoch the entry knows; it takes no tickets of lower ones. */
	epoch: number;
	held: Array<{ticketId: string; instance: string}>;
	waiting: string[];
	connections: Array<{instance: string; open: number}>;
};

/** Everything that a dispatcher reacts to. */
export type DispatchEvent =
	| {type: 'configure'; configuration: DispatchConfiguration}
	| {type: 'grants'; grants: Array<{team: string; amount: number}>}
	| {type: 'enqueue'; request: WaitingRequest; reportSeq: number}
	| {type: 'cancel'; requestId: string}
	| {type: 'release'; ticketId: string; outcome: TicketOutcome; ranMs: number}
	| {type: 'announce'; announcement: Announcement}
	| {type: 'report'; report: HeldReport}
	/** No ticket is given from `untilMs` on. */
	| {type: 'lease'; untilMs: number}
	| {type: 'tick'};

/** What a dispatcher emits besides tickets and refusals. */
export type PoolDispatchEffect = DispatchEffect | {type: 'resend'; entry: string; requestIds: string[]};
