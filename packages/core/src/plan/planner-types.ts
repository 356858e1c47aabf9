/** Input and output of the planner. */
import type {Placement, PlacementCommand} from '../control/placements.js';
import type {Catalogue} from '../declarations/catalogue.js';
import type {PlatformWorkState, PoolEvidence} from './evidence.js';

/** Input of a planning step. */
export type PlannerInput = {
	catalogue: Catalogue;
	placements: readonly Placement[];
	evidence: ReadonlyMap<string, PoolEvidence>;
	/** State of planned work on the platform, by work ID. */
	platform: ReadonlyMap<string, PlatformWorkState>;
	/** Evacuated data centres; absent if there are none. */
	evacuated?: ReadonlySet<string>;
	wallMs: number;
};

/** An order to the platform; repeated until the platform reports "done". */
export type PlatformOrder = {workId: string; instance: string; action: {type: 'reboot'} | {type: 'reassign'; pool: string}};

/** A move or reboot that starts now, with the reason. */
export type PlannedStart = {instance: string; pool: string; what: string; why: string; costOfNotMoving: string};

/** Planned work that cannot start or continue yet, with the reason. */
export type PlannedWait = {pool: string; instance?: string; what: string; reason: string};

/** Progress of one wave. */
export type WaveProgress = {wave: string; done: number; total: number; running: number; estimateMs: number | undefined};

/** Decisions of a planning step. */
export type PlannerOutput = {
	commands: PlacementCommand[];
	orders: PlatformOrder[];
	starts: PlannedStart[];
	waits: PlannedWait[];
	waves: WaveProgress[];
	/** Number of spare instances that cover the loss of the largest rack. */
	buffer: number;
};
