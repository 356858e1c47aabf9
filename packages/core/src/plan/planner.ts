/**
Decides moves, drains and reboots of instances so that every pool's availability budget holds.

Pure apart from what it remembers of the past: how long instances are out, and demand.
*/
import {drainSurplus, fillPool, followDeclaration} from './moves.js';
import {createPlannerMemory} from './planner-memory.js';
import {prepareStep, type Step} from './planner-step.js';
import type {PlannerInput, PlannerOutput} from './planner-types.js';
import {runWaves} from './waves.js';
import {continueWork} from './work-progress.js';

/** The planner of one leadership. */
export type Planner = ReturnType<typeof createPlanner>;

/** Remembers demand, and since when each instance is out without a plan. */
const observe = ({input, members, memory}: Step): void => {
	for (const [pool, {demand}] of input.evidence) {
		memory.forecast.observe(pool, demand, input.wallMs);
	}

	for (const [pool, list] of members) {
		const known = input.evidence.get(pool);
		for (const {placement} of list) {
			memory.noteOut(placement.instance, known?.out.has(placement.instance) === true && placement.work === undefined, input.wallMs);
		}
	}
};

/**
Creates a planner that remembers nothing yet.

@param options.isSettled Takes every wish as standing for long enough, for previews.
*/
export const createPlanner = (options: {isSettled?: boolean} = {}) => {
	const memory = createPlannerMemory(options);

	return {
		/** Decides one step. Commands count only once they are committed. */
		plan(input: PlannerInput): PlannerOutput {
			const step = prepareStep(input, memory);
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
