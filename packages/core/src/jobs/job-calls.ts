/** What callers, operators and workers ask of the leading keeper, and its answers. */
import type {FleetManifest} from './fleet-manifest.js';
import type {JobOrder, JobState} from './job.js';
import type {WorkerAnnouncement} from './worker-directory.js';

/** Where a request is addressed, and the key that came with it. */
export type CallTarget = {host: string; path: string; key?: string};
/** A job as its caller describes it; queue and workspace follow from address and key. */
export type JobDescription = Omit<JobOrder, 'id' | 'queue' | 'workspace'>;

/** A call to the leading keeper. */
export type JobCall =
	| {type: 'submit'; target: CallTarget; job: JobDescription}
	/** State of a job, or the length of a queue where the path ends with its prefix. */
	| {type: 'look'; target: CallTarget}
	| {type: 'cancel'; target: CallTarget}
	| {type: 'publish'; manifest: FleetManifest}
	| {type: 'read-manifest'}
	| {type: 'start-wave'; number: number; machines: string[]; forMs: number; cap: number}
	| {type: 'wave-state'; number: number}
	| {type: 'announce'; announcement: WorkerAnnouncement}
	| {type: 'leave'; id: string; bornMs?: number};

/** Why nothing could be said; only calls that certainly did nothing are `refused`. */
export type Unavailability = 'no-manifest' | 'no-leader' | 'group-forming' | 'disk-full' | 'outcome-unknown';

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
	| {type: 'noted'}
	/** `mayHaveRun` is false where the call certainly did nothing and never will. */
	| {type: 'unavailable'; reason: Unavailability; mayHaveRun: boolean; retryAfterMs: number};

/** What a keeper says of the group to whoever asks. */
export type GroupView = {
	/** Node of the leader as far as known. */
	leader?: string;
	/** Nodes of all members. */
	members: string[];
	leading: boolean;
	maxBodyBytes?: number;
};
