/** Takes planned work from step to step. */
import {workSteps, type Placement, type WorkStep} from '../control/placements.js';
import {isFresh, type Step} from './planner-step.js';
import type {PlatformOrder} from './planner-types.js';

const advance = (step: Step, placement: Placement, from: WorkStep): void => {
	step.output.commands.push({
		type: 'advance-work', instance: placement.instance, workId: placement.work!.id, from, atMs: step.input.wallMs,
	});
};

const poolGone = (step: Step, placement: Placement): boolean => {
	const {plan} = placement.work!;
	return plan.type === 'move' && !step.input.catalogue.has('pool', plan.target);
};

const continueDrain = (step: Step, placement: Placement): void => {
	const {input, output} = step;
	const work = placement.work!;
	const evidence = input.evidence.get(placement.pool);
	const isOverspent = step.budgets.get(placement.pool)?.isOverspent() === true;
	if (poolGone(step, placement) || isOverspent) {
		output.commands.push({type: 'cancel-work', instance: placement.instance, workId: work.id});
		output.waits.push({
			pool: placement.pool, instance: placement.instance, what: work.plan.type, reason: isOverspent ? 'failures used up the budget; the drain is called off' : 'the target pool is gone',
		});
		return;
	}

	const spare = input.catalogue.find('pool', placement.pool)?.spare === true;
	if (spare || (isFresh(evidence, input.wallMs) && evidence!.drained.has(placement.instance))) {
		advance(step, placement, workSteps.draining);
		return;
	}

	output.waits.push({
		pool: placement.pool, instance: placement.instance, what: work.plan.type, reason: 'requests are still in flight, or an entry has not acknowledged the drain',
	});
};

const orderOf = (placement: Placement): PlatformOrder => {
	const {id, plan} = placement.work!;
	return {workId: id, instance: placement.instance, action: plan.type === 'reboot' ? {type: 'reboot'} : {type: 'reassign', pool: plan.target}};
};

const continueEmpty = (step: Step, placement: Placement): void => {
	const {input, output} = step;
	const work = placement.work!;
	if (input.platform.get(work.id) === 'done') {
		advance(step, placement, workSteps.empty);
		return;
	}

	output.orders.push(orderOf(placement));
	output.waits.push({
		pool: placement.pool, instance: placement.instance, what: work.plan.type, reason: 'the platform has not finished',
	});
};

const continueJoin = (step: Step, placement: Placement): void => {
	const {input, output, memory} = step;
	const evidence = input.evidence.get(placement.pool);
	const isSpare = input.catalogue.find('pool', placement.pool)?.spare ?? true;
	if (isSpare || (isFresh(evidence, input.wallMs) && evidence!.ready.has(placement.instance))) {
		advance(step, placement, workSteps.joining);
		memory.noteReturn(placement, input.wallMs);
		return;
	}

	output.waits.push({
		pool: placement.pool, instance: placement.instance, what: placement.work!.plan.type, reason: 'the backend server has not announced itself as healthy yet',
	});
};

/** Takes every planned work as far as evidence and platform allow. */
export const continueWork = (step: Step): void => {
	for (const placement of step.input.placements) {
		switch (placement.work?.step) {
			case undefined: {
				break;
			}

			case workSteps.draining: {
				continueDrain(step, placement);
				break;
			}

			case workSteps.empty: {
				continueEmpty(step, placement);
				break;
			}

			case workSteps.joining: {
				continueJoin(step, placement);
				break;
			}
		}
	}
};
