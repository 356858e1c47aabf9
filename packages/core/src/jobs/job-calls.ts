/** Calls of callers, operators and workers to the leading keeper, and their answers. */
import type {FleetManifest} from './fleet-manifest.js';
import type {JobOrder, JobState} from './job.js';
import type {WorkerAnnouncement} from './worker-directory.js';

/** Host and path of a request, and the key sent with it. */
export type CallTarget = {host: string; path: string; key?: string};
/** A job as described by its caller; its queue follows from the address, its workspace from the key. */
export type JobDescription = Omit<JobOrder, 'id' | 'queue' | 'workspace'>;

/** A call to the leading keeper. */
export type JobCall =
	| {type: 'submit'; target: CallTarget; job: JobDescription}
	/** Reads the state of a job, or the number of pending jobs of a queue if the path ends with the queue's prefix. */
	| {type: 'look'; target: CallTarget}
	| {type: 'cancel'; target: CallTarget}
	| {type: 'publish'; manifest: FleetManifest}
	| {type: 'read-manifest'}
	| {type: 'start-wave'; number: number; machines: string[]; forMs: number; cap: number}
	| {type: 'wave-state'; number: number}
	| {type: 'evacuate'; dataCentre: string}
	| {type: 'end-evacuation'; dataCentre: string}
	| {type: 'announce'; announcement: WorkerAnnouncement}
	| {type: 'leave'; id: string; bornMs?: number};

/** Reason why a call could not be answered. */
export type Unavailability = 'no-manifest' | 'no-leader' | 'group-forming' | 'disk-full' | 'workers-unknown' | 'outcome-unknown';

/** The answer to a call. */
export type JobAnswer =
	| {type: 'accepted'}
	| {type: 'rejected'; reason: string; retryAfterMs: number}
	| {type: 'unknown-queue'}
	| {type: 'unknown-key'}
	| {type: 'bad-path'}
	| {type: 'state'; state: JobState}
	| {type: 'pending'; count: number}
	| {type: 'no-job'}
	| {type: 'cancelled'}
	| {type: 'published'}
	| {type: 'manifest'; document: string}
	| {type: 'wave'; completed: boolean}
	| {type: 'no-wave'}
	/** `changed` is false if the evacuation, or its end, was already in force. */
	| {type: 'evacuation'; changed: boolean}
	| {type: 'unknown-data-centre'}
	/** All other known data centres are evacuated. */
	| {type: 'last-data-centre'}
	| {type: 'noted'}
	/** `mayHaveRun` is false if the call certainly had no effect and never will. */
	| {type: 'unavailable'; reason: Unavailability; mayHaveRun: boolean; retryAfterMs: number};

/** A keeper's view of its group, sent on request. */
export type GroupView = {
	/** Node of the leader; undefined if unknown. */
	leader?: string;
	/** Nodes of all members. */
	members: string[];
	leading: boolean;
	maxBodyBytes?: number;
};
