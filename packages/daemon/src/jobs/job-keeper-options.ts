/** What a keeper is created with, and what it and its leader's work give each other. */
import type {
	Clock, JobAnswer, JobCall, JobCommand, JobOutcome, JobStore, RelayedResult,
} from '@bronzebend/core';
import type {RaftTimings, Replica} from '@bronzebend/replica';
import type {ClockReading, PeerMessage} from '@bronzebend/wire';
import type {LogFactory} from '../utils/log.js';
import type {JobMetrics} from './job-metrics.js';
import type {WorkerConnector} from './ports.js';

/** A replica of the job state. */
export type JobReplica = Replica<JobOutcome, JobCommand>;

/** The leader's work during one term. */
export type LeaderWork = {
	answer(call: JobCall): Promise<JobAnswer>;
	/** Takes the results of calls relayed by another keeper. */
	receiveResults(from: string, results: readonly RelayedResult[], reading: ClockReading): void;
	stop(): void;
};

/** What the leader's work gets from the keeper. */
export type LeaderContext = {
	term: number;
	store: JobStore;
	propose(command: JobCommand): Promise<JobOutcome>;
	isLeading(): boolean;
	/** Nodes of the other keepers that answered recently. */
	liveKeepers(): string[];
	/** When this process applied the last order to a machine, on its own steady clock in milliseconds; undefined if the order came with a snapshot or was on disk at the start. */
	orderAppliedMs(machine: string): number | undefined;
};

/** Options of a keeper. */
export type JobKeeperOptions = {
	node: string;
	folder: string;
	/** Nodes named in the settings. */
	seeds(): string[];
	/** True if this keeper may form a new group when none exists. */
	mayForm: boolean;
	/** Target number of voters. */
	groupSize: number;
	clock: Clock;
	/** Never runs ahead of real time, not even after a suspension; measures spans that must have fully passed. */
	steadyClock: Clock;
	timings?: RaftTimings;
	random: () => number;
	logs: LogFactory;
	metrics?: JobMetrics;
	send(to: string, message: PeerMessage): void;
	/** Connects to workers; used to relay calls while another keeper leads. */
	connect: WorkerConnector;
	lead(context: LeaderContext): LeaderWork;
	onFatal(error: unknown): void;
};
