/** State of one planning step, and queries on it. */
import {workSteps, type Placement} from '../control/placements.js';
import type {Instance, Policy, Pool} from '../declarations/kinds.js';
import {largestRackLoss} from './buffer.js';
import {isInAny} from './daily-window.js';
import {EVIDENCE_LEASE_MS, type PoolEvidence} from './evidence.js';
import type {PlannerHistory} from './planner-history.js';
import type {PlannerInput, PlannerOutput} from './planner-types.js';
import {createPoolBudget, type PoolBudget} from './pool-budget.js';

const DEFAULT_OBJECTIVE: Policy['objective'] = {
	bufferCost: 1, rollOutTime: 1, moves: 1, closenessToShare: 1,
};

/** An instance with its current placement. */
export type Member = {instance: Instance; placement: Placement};

/** One planning step in progress. */
export type PlanStep = {
	history: PlannerHistory;
	input: PlannerInput;
	members: Map<string, Member[]>;
	budgets: Map<string, PoolBudget>;
	/** Number of instances that are being moved to each pool and have not entered it. */
	incoming: Map<string, number>;
	isQuiet: boolean;
	objective: Policy['objective'];
	buffer: number;
	output: PlannerOutput;
	/** Names of instances for which this step has started work. */
	busy: Set<string>;
};

/** Whether evidence is recent enough to act on. */
export const isFresh = (evidence: PoolEvidence | undefined, wallMs: number): boolean => evidence !== undefined && wallMs - evidence.atMs <= EVIDENCE_LEASE_MS;

const groupMembers = ({catalogue, placements}: PlannerInput): Map<string, Member[]> => {
	const members = new Map<string, Member[]>();
	for (const placement of placements) {
		const instance = catalogue.find('instance', placement.instance);
		if (instance) {
			const list = members.get(placement.pool);
			if (list) {
				list.push({instance, placement});
			} else {
				members.set(placement.pool, [{instance, placement}]);
			}
		}
	}

	return members;
};

const budgetOf = (pool: Pool, members: readonly Member[], {evidence, wallMs, evacuated}: PlannerInput): PoolBudget => {
	const known = evidence.get(pool.name);
	// An instance that is joining from another pool is not part of this pool's capacity yet.
	const counted = members.filter(({placement: {work}}) => !(work?.plan.type === 'move' && work.step === workSteps.joining));
	const out = new Set(counted.filter(({placement}) => placement.work !== undefined || known?.out.has(placement.instance)).map(({placement}) => placement.instance));
	const evacuatedNames = counted.filter(({instance}) => evacuated?.has(instance.dataCentre)).map(({instance}) => instance.name);
	// A spare pool serves no requests, so its instances do not announce themselves and only planned work counts.
	const fresh = pool.spare || isFresh(known, wallMs);
	return createPoolBudget({
		// An evacuation takes nothing away from a spare pool; its other instances must remain free to replace those of other pools.
		pool, members: counted.map(member => member.instance), out, evacuated: new Set(pool.spare ? [] : evacuatedNames), isFresh: fresh,
	});
};

const countIncoming = ({placements, catalogue, evacuated}: PlannerInput): Map<string, number> => {
	const incoming = new Map<string, number>();
	for (const {instance, pool, work} of placements) {
		if (evacuated?.has(catalogue.find('instance', instance)?.dataCentre ?? '')) {
			continue;
		}

		if (work?.plan.type === 'move' && work.plan.target !== pool) {
			incoming.set(work.plan.target, (incoming.get(work.plan.target) ?? 0) + 1);
		}
	}

	return incoming;
};

/** Whether an instance is in an evacuated data centre. */
export const isEvacuated = ({input}: Pick<PlanStep, 'input'>, {dataCentre}: Instance): boolean => input.evacuated?.has(dataCentre) === true;

/** Members without planned work for which this step has started none. */
export const idleMembers = (step: PlanStep, pool: string): Member[] => (step.members.get(pool) ?? []).filter(({placement, instance}) => placement.work === undefined && !step.busy.has(instance.name));

/** Idle members that planned moves may use: those outside evacuated data centres. */
export const movableMembers = (step: PlanStep, pool: string): Member[] => idleMembers(step, pool).filter(({instance}) => !isEvacuated(step, instance));

/** Number of working instances outside evacuated data centres that a pool has or is about to receive. */
export const supplyOf = (step: PlanStep, pool: string): number => {
	const staying = (step.members.get(pool) ?? []).filter(({placement, instance}) => {
		const leaves = placement.work?.plan.type === 'move' && placement.work.plan.target !== pool;
		return !leaves && !isEvacuated(step, instance) && !step.history.isLost(placement.instance, step.input.wallMs);
	}).length;
	return staying + (step.incoming.get(pool) ?? 0);
};

/** Prepares one step from its input. */
export const prepareStep = (input: PlannerInput, history: PlannerHistory): PlanStep => {
	const members = groupMembers(input);
	const pools = input.catalogue.list('pool');
	const policy = input.catalogue.list('policy')[0];
	const spares = new Set(pools.filter(pool => pool.spare).map(pool => pool.name));
	// An evacuated rack serves nothing, so its loss costs nothing.
	const instances = new Map([...members].map(([pool, list]) => [pool, list.map(member => member.instance).filter(instance => !isEvacuated({input}, instance))]));
	const buffer = largestRackLoss(instances, spares);
	return {
		history,
		input,
		members,
		budgets: new Map(pools.map(pool => [pool.name, budgetOf(pool, members.get(pool.name) ?? [], input)])),
		incoming: countIncoming(input),
		isQuiet: isInAny(policy?.quietWindows ?? [], input.wallMs),
		objective: policy?.objective ?? DEFAULT_OBJECTIVE,
		buffer,
		output: {
			commands: [], orders: [], starts: [], waits: [], waves: [], buffer,
		},
		busy: new Set(),
	};
};
