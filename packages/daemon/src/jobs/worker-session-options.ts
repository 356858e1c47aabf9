/** Options of the leader's session with one life of a worker. */
import type {
	Clock, EndedRun, EndProof, JobStore, RunStart, WorkerLife, WorkerTrack,
} from '@bronzebend/core';
import type {Log} from '../utils/log.js';
import type {JobMetrics} from './job-metrics.js';
import type {WorkerPort} from './ports.js';

/** Options of a worker session. */
export type WorkerSessionOptions = {
	life: WorkerLife;
	store: JobStore;
	port: WorkerPort;
	fence: number;
	leaseMs: number;
	/** Longest lease that a worker grants, in milliseconds. */
	maxLeaseMs: number;
	/** Longest time that a worker takes to end a run after it confirmed a stop, in milliseconds. */
	maxStopMs: number;
	inherited: boolean;
	/** The worker may have had an earlier life under its ID. */
	hasEarlierLife: boolean;
	announcedClock?: {clockMs: number; receivedMs: number};
	clock: Clock;
	log: Log;
	metrics: JobMetrics;
	/** Commits ended runs before they are acknowledged to the worker; returns false if that failed. `proof` is why those that are lost are over. */
	recordEnds(life: string, over: EndedRun[], proof: EndProof): Promise<boolean>;
	/** Called after each poll of the lists. */
	onPolled(track: WorkerTrack): void;
	/** Called when the worker accepted a start. */
	onStartAccepted(life: string): void;
	/** Called when the worker confirmed a start, or listed a run for the first time. */
	onRunSeen(unit: string): void;
	/** Called when a start had no effect or got no answer. */
	onStartFailed(start: RunStart, reason: string): void;
	/** Called when a poll could not be sent to the worker. */
	onUnreachable(life: string): void;
	/** Called once the life is known to be over, before `onEnded`. */
	onLifeOver(life: string): void;
	/** Called once, when none of the runs can be active or start any more: the life is over, or its lease has expired without contact. */
	onEnded(life: string, proof: EndProof): void;
	/** Returns false while this process must not give orders. */
	isLeading(): boolean;
};
