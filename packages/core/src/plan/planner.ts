/**
Decides moves, drains and reboots of instances so that every pool's availability budget holds.

Free of I/O; keeps a history between steps: demand, how long instances are out and how long reboots take.
*/
import {drainSurplus, fillPool, followDeclaration} from './moves.js';
import {createPlannerHistory} from './planner-history.js';
import {prepareStep, type PlanStep} from './planner-step.js';
import type {PlannerInput, PlannerOutput} from './planner-types.js';
import {runWaves} from './waves.js';
import {continueWork} from './work-progress.js';

/** The planner of one leader term. */
export type Planner = ReturnType<typeof createPlanner>;

/** Records demand, and which instances are out without planned work. */
const observe = ({input, members, history}: PlanStep): void => {
	for (const [pool, {demand}] of input.evidence) {
		history.forecast.observe(pool, demand, input.wallMs);
	}

	for (const [pool, list] of members) {
		const known = input.evidence.get(pool);
		for (const {placement} of list) {
			history.recordOut(placement.instance, known?.out.has(placement.instance) === true && placement.work === undefined, input.wallMs);
		}
	}
};

/**
Creates a planner with an empty history.

@param options.isSettled Treats every condition as settled at once, for previews.
*/
export const createPlanner = (options: {isSettled?: boolean} = {}) => {
	const history = createPlannerHistory(options);

	return {
		/** Plans one step. Commands take effect only once they are committed. */
		plan(input: PlannerInput): PlannerOutput {
			const step = prepareStep(input, history);
			observe(step);
			continueWork(step);
			followDeclaration(step);
			for (const pool of input.catalogue.list('pool')) {
				fillPool(step, pool);
				drainSurplus(step, pool);
			}

			runWaves(step);
			return step.output;
		},
	};
};
