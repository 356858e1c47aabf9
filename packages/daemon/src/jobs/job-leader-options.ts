/** What a leader's work is made of. */
import type {Clock, WorkerDirectory, WorkerHeard} from '@bronzebend/core';
import type {PeerMessage} from '@bronzebend/wire';
import type {LogFactory} from '../utils/log.js';
import type {JobMetrics} from './job-metrics.js';
import type {AdvicePort, MachinePort, WorkerConnector} from './ports.js';

/** What the leader's work is made of. */
export type JobLeaderOptions = {
	node: string;
	clock: Clock;
	logs: LogFactory;
	metrics: JobMetrics;
	/** What this process has heard of workers, also before it led. */
	directory: WorkerDirectory;
	connect: WorkerConnector;
	machines?: MachinePort;
	/** Orders to machines that the platform takes a second. */
	machineOrdersPerS?: number;
	advice?: AdvicePort;
	/** Length of a worker's lease, in milliseconds. */
	leaseMs: number;
	/** Span after another holder's orders to machines, in milliseconds. */
	holderLeaseMs: number;
	/** Pause between two liveness reports of a worker, in milliseconds. */
	reportMs: number;
	/** Tells the other keepers what was heard of workers. */
	tell(heard: WorkerHeard[]): void;
	/** Sends calls to workers to the keeper that makes them. */
	send(to: string, message: PeerMessage): void;
};
