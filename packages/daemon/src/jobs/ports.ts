/** What the job leader needs of the outside: workers, machines and advice. Adapters implement these. */
import type {
	HoldRequest, HoldResult, Machine, OrderResult, PaceCall, StartOrder, StopOrder, WorkerAddress,
} from '@bronzebend/core';

/** Calls to one life of a worker. */
export type WorkerPort = {
	hold(request: HoldRequest): Promise<HoldResult>;
	start(order: StartOrder): Promise<OrderResult>;
	stop(order: StopOrder): Promise<OrderResult>;
	pace(order: PaceCall): Promise<OrderResult>;
	close(): void;
};

/** Opens calls to a life. */
export type WorkerConnector = (worker: WorkerAddress) => WorkerPort;

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
