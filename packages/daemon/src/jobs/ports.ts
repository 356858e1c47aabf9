/** What the job leader needs of the outside: workers, machines and advice. Adapters implement these. */
import type {
	Machine, WorkerLife, WorkerLists,
} from '@bronzebend/core';

/** Why a worker did not take an order; it certainly did nothing. */
export type OrderRejection = 'fenced' | 'superseded' | 'late' | 'no-room' | 'no-ticket' | 'unhealthy' | 'invalid';

/** What became of an order to a worker. */
export type OrderResult =
	| {type: 'done'}
	| {type: 'rejected'; reason: OrderRejection}
	/** This life is over. */
	| {type: 'gone'}
	/** It may have been carried out, or may still be. */
	| {type: 'unknown'; cause: string};

/** What became of a look at a worker's lists. */
export type HoldResult =
	| {type: 'lists'; lists: WorkerLists}
	| {type: 'gone'}
	| {type: 'unknown'; cause: string};

/** An order to start a run. */
export type StartOrder = {unit: string; attempt: number; spec: string; expiresMs: number; fence: number; checkpoint: string; ticket?: string};

/** Calls to one life of a worker. */
export type WorkerPort = {
	/** Renews the lease where `expiresMs` is given, forgets ends up to `ackSeq`, and waits for an end. */
	hold(request: {expiresMs?: number; fence: number; ackSeq: number; waitMs: number}): Promise<HoldResult>;
	start(order: StartOrder): Promise<OrderResult>;
	stop(order: {unit: string; attempt: number; fence: number}): Promise<OrderResult>;
	/** Lets a run work at a share of its speed, in percent. */
	pace(order: {unit: string; attempt: number; share: number; fence: number}): Promise<OrderResult>;
	close(): void;
};

/** Opens calls to a life. */
export type WorkerConnector = (life: WorkerLife) => WorkerPort;

/** What became of an order to a machine. */
export type MachineResult =
	| {type: 'done'}
	| {type: 'rejected'; reason: 'fenced' | 'busy' | 'not-in-wave' | 'impossible'}
	| {type: 'throttled'}
	/** It was not sent, as its holder's `mayLeave` said no. */
	| {type: 'withheld'}
	| {type: 'unknown'; cause: string};

/** Who gives an order to a machine; one holder at a time. */
export type MachineHolder = {
	holder: string;
	fence: number;
	/** Asked when nothing holds the order up any more and it is about to leave; orders may wait for a connection. */
	mayLeave(): boolean;
};

/** Calls to the platform that keeps the machines. */
export type MachinePort = {
	/** All machines; undefined where the platform gave no answer. */
	list(): Promise<Machine[] | undefined>;
	move(machine: string, pool: string, by: MachineHolder): Promise<MachineResult>;
	upkeep(machine: string, wave: number, by: MachineHolder): Promise<MachineResult>;
};

/** What the advising service approved: tickets by worker. */
export type Advice = {tickets: Map<string, string>; validityMs: number};

/** Calls to the service that knows which workers a step may run on. */
export type AdvicePort = {
	/** Undefined where it gave no answer. */
	advise(step: string, workers: string[]): Promise<Advice | undefined>;
};
