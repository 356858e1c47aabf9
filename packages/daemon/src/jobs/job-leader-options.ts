/** Options of the leader's work. */
import type {Clock, WorkerDirectory, DirectoryChanges} from '@bronzebend/core';
import type {PeerMessage} from '@bronzebend/wire';
import type {LogFactory} from '../utils/log.js';
import type {JobMetrics} from './job-metrics.js';
import type {AdvicePort, MachinePort, WorkerConnector} from './ports.js';

/** Options of the leader's work. */
export type JobLeaderOptions = {
	node: string;
	clock: Clock;
	logs: LogFactory;
	metrics: JobMetrics;
	/** Workers known to this process, including reports from before it led. */
	directory: WorkerDirectory;
	connect: WorkerConnector;
	machines?: MachinePort;
	/** Machine orders that the platform accepts per second. */
	machineOrdersPerS?: number;
	advice?: AdvicePort;
	/** Length of a worker's lease, in milliseconds. */
	leaseMs: number;
	/** Longest lease that a worker grants, in milliseconds. */
	maxLeaseMs: number;
	/** Longest time that a worker takes to end a run after it confirmed a stop, in milliseconds. */
	maxStopMs: number;
	/** Time after another holder's last order to a machine in which this process gives it none, in milliseconds. */
	holderLeaseMs: number;
	/** Interval of a worker's announcements, in milliseconds. */
	reportMs: number;
	/** Work units of jobs that the keepers may hold in memory; unbounded if it is undefined. */
	maxHeldWork?(): number;
	/** Data centres in the settings; none if the settings do not name them. */
	dataCentres?(): string[];
	/** Sends what the directory learned of workers to the other keepers. */
	shareWorkers(changes: DirectoryChanges): void;
	/** Sends a message to another keeper, such as a batch of calls to relay. */
	send(to: string, message: PeerMessage): void;
};
