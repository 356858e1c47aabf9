/** Input events and output effects of a pool's dispatcher. */
import type {EvacuatedInstances} from './evacuated-backends.js';
import type {
	Announcement, DispatchEffect, TicketOutcome, WaitingRequest,
} from './requests.js';
import type {QueueTraits} from './team-scheduler.js';

/** Settings of a queue that the dispatcher uses. */
export type DispatchQueue = QueueTraits & {name: string; maxWaiting: number; maxDeadlineMs: number};

/** The part of the configuration that concerns one pool. */
export type DispatchConfiguration = {
	queues: DispatchQueue[];
	weights: Array<{team: string; weight: number}>;
	maxOut: number;
	/** Instances that get no tickets because of planned work or because they are placed in another pool. */
	excluded: string[];
	/** Evacuated data centres, whose instances get no tickets; absent if there are none. */
	evacuated?: EvacuatedInstances[];
};

/** The tickets, waiting requests and connections that an entry holds for a pool; sent a few times a second and on take-over. */
export type HeldReport = {
	entry: string;
	seq: number;
	/** Highest dispatcher epoch that the entry knows; it rejects tickets of lower epochs. */
	epoch: number;
	held: Array<{ticketId: string; instance: string}>;
	waiting: string[];
	connections: Array<{instance: string; open: number}>;
};

/** Input event of a dispatcher. */
export type DispatchEvent =
	| {type: 'configure'; configuration: DispatchConfiguration}
	| {type: 'grants'; grants: Array<{team: string; amount: number}>}
	| {type: 'enqueue'; request: WaitingRequest; reportSeq: number}
	| {type: 'cancel'; requestId: string}
	| {type: 'release'; ticketId: string; outcome: TicketOutcome; ranMs: number}
	| {type: 'announce'; announcement: Announcement}
	| {type: 'report'; report: HeldReport}
	/** The dispatcher issues no tickets at or after `untilMs`. */
	| {type: 'lease'; untilMs: number}
	| {type: 'tick'};

/** Output effect of a dispatcher; `resend` requests waiting requests that the dispatcher does not know. */
export type PoolDispatchEffect = DispatchEffect | {type: 'resend'; entry: string; requestIds: string[]};
