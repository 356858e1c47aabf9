/** What planners look at and what they decide. */
import type {Placement, PlacementCommand} from '../control/placements.js';
import type {Catalogue} from '../declarations/catalogue.js';
import type {PlatformWork, PoolEvidence} from './evidence.js';

/** What a planning step looks at. */
export type PlannerInput = {
	catalogue: Catalogue;
	placements: readonly Placement[];
	evidence: ReadonlyMap<string, PoolEvidence>;
	/** What the platform says of works, by work ID. */
	platform: ReadonlyMap<string, PlatformWork>;
	wallMs: number;
};

/** An order to the platform; repeated until it says "done". */
export type PlatformOrder = {workId: string; instance: string; action: {type: 'reboot'} | {type: 'reassign'; pool: string}};

/** A move or reboot that starts now, and why. */
export type PlannedStart = {instance: string; pool: string; what: string; why: string; costOfNotMoving: string};

/** Something that waits, and why. */
export type PlannedWait = {pool: string; instance?: string; what: string; reason: string};

/** Progress of one wave. */
export type WaveProgress = {wave: string; done: number; total: number; running: number; estimateMs: number | undefined};

/** What a step decided. */
export type PlannerOutput = {
	commands: PlacementCommand[];
	orders: PlatformOrder[];
	starts: PlannedStart[];
	waits: PlannedWait[];
	waves: WaveProgress[];
	/** Spare instances that stand for the loss of the largest rack, by spare pool. */
	buffer: number;
};
