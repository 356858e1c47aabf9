/** Moves between pools: replacements, loans, returns. */
import type {Pool} from '../declarations/kinds.js';
import {
	idleMembers, supplyOf, type Member, type Step,
} from './planner-step.js';

/** Part of a pool's slots above which more are wanted. */
const LEND_ABOVE = 0.95;
/** Part of a pool's slots, without the lent instance, below which it goes back. */
const RETURN_BELOW = 0.7;

const startMove = (step: Step, member: Member, target: string, reason: {why: string; costOfNotMoving: string}): void => {
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

/** A spare instance for a pool: in the data centre where the pool has the fewest, so that failures stay apart. */
const chooseSpare = (step: Step, pool: Pool, sparePool: string): Member | undefined => {
	const counts = new Map<string, number>();
	for (const {instance} of step.members.get(pool.name) ?? []) {
		counts.set(instance.dataCentre, (counts.get(instance.dataCentre) ?? 0) + 1);
	}

	const budget = step.budgets.get(sparePool);
	const candidates = idleMembers(step, sparePool).filter(({instance}) => budget?.refusal(instance) === undefined);
	candidates.sort((left, right) => (counts.get(left.instance.dataCentre) ?? 0) - (counts.get(right.instance.dataCentre) ?? 0) || (left.instance.name < right.instance.name ? -1 : 1));
	return candidates[0];
};

const slotsOf = (pool: Pool, instances: number): number => instances * pool.capacity.slotsPerInstance;

/** Fills a pool that lacks instances, or lends it one for demand that stays. */
export const fillPool = (step: Step, pool: Pool): void => {
	const {input, output, objective, memory} = step;
	if (pool.sparePool === undefined) {
		return;
	}

	const supply = supplyOf(step, pool.name);
	const missing = pool.capacity.instances - supply;
	const expected = (memory.forecast.slotsOf(pool.name) ?? 0) / Math.max(1, slotsOf(pool, supply));
	const isShort = memory.hasSettled(`fill ${pool.name}`, missing > 0, input.wallMs);
	const gain = objective.closenessToShare * Math.max(0, expected - LEND_ABOVE) * supply;
	const wantsLoan = memory.hasSettled(`loan ${pool.name}`, missing <= 0 && gain > objective.moves, input.wallMs);
	const spares = idleMembers(step, pool.sparePool).length;
	const mayLend = spares > step.buffer;
	if (!isShort && !(wantsLoan && mayLend)) {
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
				why: `demand of ${Math.round(expected * 100)} % of its slots is expected to stay`,
				costOfNotMoving: `about ${Math.round(gain * 10) / 10} weighted shares late, against ${objective.moves} for a move`,
			});
	}
};

/** A lent or surplus instance goes back once the pool does well without it, or the buffer needs it. */
export const drainSurplus = (step: Step, pool: Pool): void => {
	const {input, output, memory} = step;
	if (pool.sparePool === undefined || !input.catalogue.has('pool', pool.sparePool)) {
		return;
	}

	const supply = supplyOf(step, pool.name);
	const surplus = supply - pool.capacity.instances;
	const without = (memory.forecast.slotsOf(pool.name) ?? Infinity) / Math.max(1, slotsOf(pool, supply - 1));
	const bufferIsShort = supplyOf(step, pool.sparePool) < Math.min(step.buffer, input.catalogue.find('pool', pool.sparePool)!.capacity.instances);
	const returns = memory.hasSettled(`return ${pool.name}`, surplus > 0 && (without < RETURN_BELOW || bufferIsShort), input.wallMs);
	if (!returns) {
		return;
	}

	if (step.isQuiet) {
		output.waits.push({pool: pool.name, what: 'move', reason: 'quiet window'});
		return;
	}

	const budget = step.budgets.get(pool.name)!;
	const leaver = idleMembers(step, pool.name).filter(({instance}) => !memory.isOut(instance.name)).find(({instance}) => budget.refusal(instance) === undefined);
	if (!leaver) {
		output.waits.push({pool: pool.name, what: 'move', reason: 'the availability budget is used up'});
		return;
	}

	startMove(step, leaver, pool.sparePool, {why: bufferIsShort ? 'the buffer for the loss of a rack is short' : 'the pool does well without it', costOfNotMoving: 'one spare instance fewer'});
};

/** An instance whose declared pool changed by a publication goes there. */
export const followDeclaration = (step: Step): void => {
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
