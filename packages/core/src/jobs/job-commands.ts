/** Commands of the job store, their outcomes, and the store's snapshot. */
import type {EvacuationsSnapshot} from './evacuations.js';
import type {FleetManifest, Resources} from './fleet-manifest.js';
import type {Job, JobOrder, RunEnd} from './job.js';

/** One life of a worker, from start to restart; a restarted worker keeps no state. */
export type WorkerLife = {
	/** ID of the life, from the worker's ID and its start time. */
	life: string;
	id: string;
	/** Start of this life, in Unix milliseconds. */
	bornMs: number;
	address: string;
	pool: string;
	zone: string;
	/** Machine that it runs on, if the worker reports it. */
	machine?: string;
	capacity: Resources;
	labels: string[];
};

/** Builds the ID of a life. */
export const lifeOf = (id: string, bornMs: number): string => `${id}@${bornMs}`;

/** Extracts the worker's ID from the ID of a life. */
export const workerOfLife = (life: string): string => life.slice(0, life.lastIndexOf('@'));

/** A run to record before its worker is ordered to start it. */
export type RunStart = {unit: string; attempt: number; life: string};
/** A run that has ended. */
export type EndedRun = {unit: string; attempt: number; how: RunEnd; checkpoint: string};

/** A wave of upkeep: its machines, how many may be down at once (`cap`), and those that have begun. */
export type UpkeepWave = {number: number; machines: string[]; deadlineMs: number; cap: number; begun: string[]; completed: boolean};

/** A command in the replicated log. */
export type JobCommand =
	| {type: 'publish-fleet'; manifest: FleetManifest}
	| {type: 'submit'; order: JobOrder; atMs: number}
	| {type: 'cancel'; job: string; atMs: number}
	/** Records runs that are about to start; `lives` describes those that the store does not know yet, and `begun` names jobs of which a worker has a run. */
	| {type: 'runs-start'; lives: WorkerLife[]; runs: RunStart[]; begun?: string[]}
	| {type: 'runs-over'; life: string; runs: EndedRun[]; atMs: number}
	| {type: 'wave'; wave: UpkeepWave}
	| {type: 'wave-begun'; number: number; machine: string}
	| {type: 'wave-completed'; number: number}
	/** Records an order to a machine before it is sent, so that a later holder does not send its own too soon after it and places no work on the life that it ends. */
	| {type: 'machine-order'; machine: string; holder: string; atMs: number; life?: string; kind?: MachineOrderKind}
	/** Records that the group is whole, and the former members in place of those recorded before; earlier versions apply it without them, so it carries them only once the group is whole. */
	| {type: 'group-whole'; formerMembers?: readonly FormerMember[]}
	/** Starts nothing more in a data centre; refused if it is the last of the `known` ones that is not evacuated. */
	| {type: 'evacuate'; dataCentre: string; atMs: number; known?: string[]}
	| {type: 'end-evacuation'; dataCentre: string; atMs: number};

/** Outcome of applying a command. */
export type JobOutcome =
	| {type: 'fleet-published'; version: number; changed: boolean}
	| {type: 'accepted'; isNew: boolean}
	| {type: 'no-queue'}
	| {type: 'cancelled'}
	| {type: 'no-job'}
	| {type: 'runs-started'; accepted: RunStart[]}
	| {type: 'evacuation'; changed: boolean}
	| {type: 'last-data-centre'}
	| {type: 'applied'};

/** Kinds of order to a machine. */
export type MachineOrderKind = 'upkeep' | 'move';

/** The last order to a machine, and the life that it ends if it is carried out. Records of earlier versions name no kind. */
export type MachineOrder = {holder: string; atMs: number; life?: string; kind?: MachineOrderKind};

/** Node of a keeper that was removed from the group without having asked for it, and when, in Unix milliseconds. */
export type FormerMember = {node: string; removedMs: number};

/** Serializable state of the job store; snapshots of earlier versions have no evacuations and no former members. */
export type JobStoreSnapshot = {manifest?: FleetManifest; jobs: Job[]; lives: WorkerLife[]; waves: UpkeepWave[]; groupWhole: boolean; accepted: number; machineOrders: Array<[string, MachineOrder]>; evacuations?: EvacuationsSnapshot; formerMembers?: readonly FormerMember[]};
