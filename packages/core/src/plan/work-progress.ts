/** Advances planned work from step to step. */
import {workSteps, type Placement, type WorkStep} from '../control/placements.js';
import {isEvacuated, isFresh, type PlanStep} from './planner-step.js';
import type {PlatformOrder} from './planner-types.js';

const advanceWork = (step: PlanStep, placement: Placement, from: WorkStep): void => {
	step.output.commands.push({
		type: 'advance-work', instance: placement.instance, workId: placement.work!.id, from, atMs: step.input.wallMs,
	});
};

const isTargetPoolGone = (step: PlanStep, placement: Placement): boolean => {
	const {plan} = placement.work!;
	return plan.type === 'move' && !step.input.catalogue.has('pool', plan.target);
};

const continueDrain = (step: PlanStep, placement: Placement): void => {
	const {input, output} = step;
	const work = placement.work!;
	const evidence = input.evidence.get(placement.pool);
	const instance = input.catalogue.find('instance', placement.instance);
	// Calling off a drain in an evacuated data centre would bring nothing back.
	const isOverspent = step.budgets.get(placement.pool)?.isOverspent() === true && !(instance && isEvacuated(step, instance));
	if (isTargetPoolGone(step, placement) || isOverspent) {
		output.commands.push({type: 'cancel-work', instance: placement.instance, workId: work.id});
		output.waits.push({
			pool: placement.pool, instance: placement.instance, what: work.plan.type, reason: isOverspent ? 'failures used up the budget; the drain is called off' : 'the target pool is gone',
		});
		return;
	}

	const isSpare = input.catalogue.find('pool', placement.pool)?.spare === true;
	if (isSpare || (isFresh(evidence, input.wallMs) && evidence!.drained.has(placement.instance))) {
		advanceWork(step, placement, workSteps.draining);
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

const continueEmpty = (step: PlanStep, placement: Placement): void => {
	const {input, output} = step;
	const work = placement.work!;
	if (input.platform.get(work.id) === 'done') {
		advanceWork(step, placement, workSteps.empty);
		return;
	}

	output.orders.push(orderOf(placement));
	output.waits.push({
		pool: placement.pool, instance: placement.instance, what: work.plan.type, reason: 'the platform has not finished',
	});
};

const continueJoin = (step: PlanStep, placement: Placement): void => {
	const {input, output, history} = step;
	const evidence = input.evidence.get(placement.pool);
	const isSpare = input.catalogue.find('pool', placement.pool)?.spare ?? true;
	if (isSpare || (isFresh(evidence, input.wallMs) && evidence!.ready.has(placement.instance))) {
		advanceWork(step, placement, workSteps.joining);
		history.recordRebootEnd(placement, input.wallMs);
		return;
	}

	output.waits.push({
		pool: placement.pool, instance: placement.instance, what: placement.work!.plan.type, reason: 'the backend server has not announced itself as healthy yet',
	});
};

/** Advances or cancels each instance's planned work, based on evidence and the platform's state. */
export const continueWork = (step: PlanStep): void => {
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
