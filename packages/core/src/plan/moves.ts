/** Moves of instances between pools: replacements, loans and returns. */
import type {Pool} from '../declarations/kinds.js';
import {
	movableMembers, supplyOf, type Member, type PlanStep,
} from './planner-step.js';

/** Expected demand, as a fraction of a pool's slots, above which the pool may borrow an instance. */
const LEND_ABOVE_LOAD = 0.95;
/** Expected demand, as a fraction of a pool's slots without a surplus instance, below which that instance is returned. */
const RETURN_BELOW_LOAD = 0.7;

const startMove = (step: PlanStep, member: Member, target: string, reason: {why: string; costOfNotMoving: string}): void => {
	const {name} = member.instance;
	step.busy.add(name);
	step.budgets.get(member.placement.pool)?.take(member.instance);
	step.output.commands.push({
		type: 'start-work', instance: name, workId: `move-${name}-${step.input.wallMs}`, plan: {type: 'move', target}, atMs: step.input.wallMs,
	});
	step.output.starts.push({
		instance: name, pool: member.placement.pool, what: `move to ${target}`, ...reason,
	});
};

/** Chooses a spare instance for a pool, in the data centre where the pool has the fewest, to spread it over failure domains. */
const chooseSpare = (step: PlanStep, pool: Pool, sparePool: string): Member | undefined => {
	const counts = new Map<string, number>();
	for (const {instance} of step.members.get(pool.name) ?? []) {
		counts.set(instance.dataCentre, (counts.get(instance.dataCentre) ?? 0) + 1);
	}

	const budget = step.budgets.get(sparePool);
	const candidates = movableMembers(step, sparePool).filter(({instance}) => budget?.refusal(instance) === undefined);
	candidates.sort((left, right) => (counts.get(left.instance.dataCentre) ?? 0) - (counts.get(right.instance.dataCentre) ?? 0) || (left.instance.name < right.instance.name ? -1 : 1));
	return candidates[0];
};

const slotsOf = (pool: Pool, instances: number): number => instances * pool.capacity.slotsPerInstance;

/** Replaces missing instances of a pool, or lends it one for sustained demand. */
export const fillPool = (step: PlanStep, pool: Pool): void => {
	const {input, output, objective, history} = step;
	if (pool.sparePool === undefined) {
		return;
	}

	const supply = supplyOf(step, pool.name);
	const missing = pool.capacity.instances - supply;
	const expectedLoad = (history.forecast.slotsOf(pool.name) ?? 0) / Math.max(1, slotsOf(pool, supply));
	const isShort = history.hasSettled(`fill ${pool.name}`, missing > 0, input.wallMs);
	const lendingBenefit = objective.closenessToShare * Math.max(0, expectedLoad - LEND_ABOVE_LOAD) * supply;
	const needsLoan = history.hasSettled(`loan ${pool.name}`, missing <= 0 && lendingBenefit > objective.moves, input.wallMs);
	const idleSpares = movableMembers(step, pool.sparePool).length;
	const mayLend = idleSpares > step.buffer;
	if (!isShort && !(needsLoan && mayLend)) {
		return;
	}

	if (step.isQuiet) {
		output.waits.push({pool: pool.name, what: 'move', reason: 'quiet window'});
		return;
	}

	const count = isShort ? missing : 1;
	for (let index = 0; index < count; index += 1) {
		const spare = chooseSpare(step, pool, pool.sparePool);
		if (!spare) {
			output.waits.push({pool: pool.name, what: 'move', reason: `pool "${pool.sparePool}" has no instance to give`});
			return;
		}

		startMove(step, spare, pool.name, isShort
			? {why: `the pool has ${supply} of ${pool.capacity.instances} instances that work`, costOfNotMoving: `${slotsOf(pool, missing)} slots missing`}
			: {
				why: `demand of ${Math.round(expectedLoad * 100)} % of its slots is expected to stay`,
				costOfNotMoving: `about ${Math.round(lendingBenefit * 10) / 10} weighted shares late, against ${objective.moves} for a move`,
			});
	}
};

/** Returns a lent or surplus instance once the pool can spare it or the spare buffer is short. */
export const drainSurplus = (step: PlanStep, pool: Pool): void => {
	const {input, output, history} = step;
	if (pool.sparePool === undefined || !input.catalogue.has('pool', pool.sparePool)) {
		return;
	}

	const supply = supplyOf(step, pool.name);
	const surplus = supply - pool.capacity.instances;
	const loadAfterReturn = (history.forecast.slotsOf(pool.name) ?? Infinity) / Math.max(1, slotsOf(pool, supply - 1));
	const bufferIsShort = supplyOf(step, pool.sparePool) < Math.min(step.buffer, input.catalogue.find('pool', pool.sparePool)!.capacity.instances);
	const shouldReturn = history.hasSettled(`return ${pool.name}`, surplus > 0 && (loadAfterReturn < RETURN_BELOW_LOAD || bufferIsShort), input.wallMs);
	if (!shouldReturn) {
		return;
	}

	if (step.isQuiet) {
		output.waits.push({pool: pool.name, what: 'move', reason: 'quiet window'});
		return;
	}

	const budget = step.budgets.get(pool.name)!;
	const returning = movableMembers(step, pool.name).filter(({instance}) => !history.isOut(instance.name)).find(({instance}) => budget.refusal(instance) === undefined);
	if (!returning) {
		output.waits.push({pool: pool.name, what: 'move', reason: 'the availability budget is used up'});
		return;
	}

	startMove(step, returning, pool.sparePool, {why: bufferIsShort ? 'the buffer for the loss of a rack is short' : 'the pool does well without it', costOfNotMoving: 'one spare instance fewer'});
};

/** Moves instances out of pools that are no longer declared, into their declared pools. */
export const followDeclaration = (step: PlanStep): void => {
	const {input} = step;
	for (const [pool, members] of step.members) {
		if (input.catalogue.has('pool', pool)) {
			continue;
		}

		for (const member of members.filter(({placement}) => placement.work === undefined)) {
			startMove(step, member, member.instance.pool, {why: `pool "${pool}" is no longer declared`, costOfNotMoving: 'the instance serves nobody'});
		}
	}
};
