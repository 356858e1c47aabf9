/** Interfaces through which the job leader reaches workers, machines and the advice service; adapters implement them. */
import type {
	HoldRequest, HoldResult, Machine, OrderResult, PaceCall, StartOrder, StopOrder, WorkerAddress,
} from '@bronzebend/core';

/** Calls to one life of a worker (one incarnation of its process). */
export type WorkerPort = {
	/** Renews the lease, acknowledges ended runs and returns the worker's lists; waits for a run to end if the request says so. */
	hold(request: HoldRequest): Promise<HoldResult>;
	/** Starts a run, if `maySend` does not return false when the order is about to be written to a connection; otherwise it is unsent. */
	start(order: StartOrder, maySend?: () => boolean): Promise<OrderResult>;
	stop(order: StopOrder): Promise<OrderResult>;
	/** Sets the share of its full speed at which a run works. */
	pace(order: PaceCall): Promise<OrderResult>;
	close(): void;
};

/** Longest time for which a start may wait for a connection to its worker since that last answered a call, in milliseconds; hundreds may start on one worker at once. */
export const MAX_START_QUEUE_MS = 1500;

/** Connects to a life of a worker. */
export type WorkerConnector = (worker: WorkerAddress) => WorkerPort;

/** Result of an order to a machine. */
export type MachineResult =
	| {type: 'done'}
	| {type: 'rejected'; reason: 'fenced' | 'busy' | 'not-in-wave' | 'impossible'}
	| {type: 'throttled'}
	/** Not sent, because its holder's `maySend` returned false. */
	| {type: 'withheld'}
	| {type: 'unknown'; cause: string};

/** The keeper that gives an order to a machine; only one holder at a time may do so. */
export type MachineHolder = {
	holder: string;
	fence: number;
	/** Called right before the order is sent, as it may have waited for a connection. */
	maySend(): boolean;
};

/** A list of machines, and the names in entries that were left out of it as invalid; undefined for an entry without a readable name. */
export type MachineList = {machines: Machine[]; unreadable: Array<string | undefined>};

/** Calls to the platform that manages the machines. */
export type MachinePort = {
	/** Returns the machines; undefined if the platform gave no answer. */
	list(): Promise<MachineList | undefined>;
	move(machine: string, pool: string, holder: MachineHolder): Promise<MachineResult>;
	upkeep(machine: string, wave: number, holder: MachineHolder): Promise<MachineResult>;
};

/** Tickets of the advice service by approved worker, with their validity in milliseconds. */
export type Advice = {tickets: Map<string, string>; validityMs: number};

/** Calls to the advice service, which decides on which workers a step may run. */
export type AdvicePort = {
	/** Returns undefined if the service gave no answer. */
	advise(step: string, workers: string[]): Promise<Advice | undefined>;
};
