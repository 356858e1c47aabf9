/** Commands of the job record, what they give, and its serializable content. */
import type {FleetManifest, Resources} from './fleet-manifest.js';
import type {Job, JobOrder, RunEnd} from './job.js';

/** One life of a worker: it forgets everything when it starts anew. */
export type WorkerLife = {
	/** Identity and start together; a restart gives another. */
	life: string;
	id: string;
	/** Start of this life, in Unix milliseconds. */
	bornMs: number;
	address: string;
	pool: string;
	zone: string;
	/** Machine that it lives on, where it tells. */
	machine?: string;
	capacity: Resources;
	labels: string[];
};

/** Identity of one life. */
export const lifeOf = (id: string, bornMs: number): string => `${id}@${bornMs}`;

/** The worker's identity in that of a life. */
export const workerOfLife = (life: string): string => life.slice(0, life.lastIndexOf('@'));

/** A run to record before it is ordered. */
export type RunStart = {unit: string; attempt: number; life: string};
/** A run that is over. */
export type RunOver = {unit: string; attempt: number; how: RunEnd; checkpoint: string};

/** Machines that are due for upkeep. */
export type UpkeepWave = {number: number; machines: string[]; deadlineMs: number; cap: number; begun: string[]; completed: boolean};

/** A command in the log. */
export type JobCommand =
	| {type: 'publish-fleet'; manifest: FleetManifest}
	| {type: 'submit'; order: JobOrder; atMs: number}
	| {type: 'cancel'; job: string; atMs: number}
	/** Runs begin; `lives` tells of those that the record does not know yet. */
	| {type: 'runs-start'; lives: WorkerLife[]; runs: RunStart[]}
	| {type: 'runs-over'; life: string; runs: RunOver[]; atMs: number}
	| {type: 'wave'; wave: UpkeepWave}
	| {type: 'wave-begun'; number: number; machine: string}
	| {type: 'wave-completed'; number: number}
	/** An order to a machine is about to go out; a later holder must not follow too closely. */
	| {type: 'machine-order'; machine: string; holder: string; atMs: number}
	| {type: 'group-whole'};

/** What applying a command gave. */
export type JobOutcome =
	| {type: 'fleet-published'; version: number; changed: boolean}
	| {type: 'accepted'; isNew: boolean}
	| {type: 'no-queue'}
	| {type: 'cancelled'}
	| {type: 'no-job'}
	| {type: 'runs-started'; accepted: RunStart[]}
	| {type: 'applied'};

/** The last order to a machine. */
export type MachineOrder = {holder: string; atMs: number};

/** Serializable content. */
export type JobBookSnapshot = {manifest?: FleetManifest; jobs: Job[]; lives: WorkerLife[]; waves: UpkeepWave[]; groupWhole: boolean; accepted: number; machineOrders: Array<[string, MachineOrder]>};
