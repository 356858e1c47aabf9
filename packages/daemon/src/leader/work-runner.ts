/** Carries out the planner's decisions while this keeper leads. */
import {
	createPlanner, type Catalogue, type Clock, type ControlCommand, type ControlState, type PlannerOutput, type PlatformOrder, type PlatformWork,
} from '@bronzebend/core';
import type {Log} from '../utils/log.js';
import {readEvidence} from './fleet-evidence.js';
import type {NodeDirectory} from './node-directory.js';
import type {Platform} from './platform-client.js';

/** Pause between two planning steps, in milliseconds. */
export const PLAN_MS = 1000;

/** What a runner is made of. */
export type WorkRunnerOptions = {
	state: ControlState;
	directory: NodeDirectory;
	platform: Platform;
	clock: Clock;
	log: Log;
	startedAtMs: number;
	propose(commands: readonly ControlCommand[]): void;
};

/** The work of one leadership. */
export type WorkRunner = ReturnType<typeof createWorkRunner>;

/** Creates a runner that has not planned yet. */
export const createWorkRunner = (options: WorkRunnerOptions) => {
	const {state, directory, platform, clock, log} = options;
	const planner = createPlanner();
	const works = new Map<string, PlatformWork>();
	const asking = new Set<string>();
	let latest: PlannerOutput | undefined;

	const ask = async (order: PlatformOrder): Promise<void> => {
		if (asking.has(order.workId)) {
			return;
		}

		asking.add(order.workId);
		const answer = await platform.order(order);
		asking.delete(order.workId);
		if (answer !== 'unknown') {
			works.set(order.workId, answer);
		}
	};

	const plan = (catalogue: Catalogue): PlannerOutput => {
		const nowMs = clock.monotonicMs();
		const wallMs = clock.wallMs();
		return planner.plan({
			catalogue,
			placements: state.placements.list(),
			evidence: readEvidence({
				state, directory, ageMs: nowMs - options.startedAtMs, nowMs, wallMs,
			}),
			platform: works,
			wallMs,
		});
	};

	const forgetEnded = (): void => {
		const running = new Set(state.placements.list().flatMap(placement => placement.work?.id ?? []));
		for (const workId of works.keys()) {
			if (!running.has(workId)) {
				works.delete(workId);
			}
		}
	};

	return {
		/** Plans once, proposes what was decided and asks the platform. */
		step(): void {
			latest = plan(state.publications.catalogue());
			for (const start of latest.starts) {
				log.info('Planned work starts.', {instance: start.instance, what: start.what, why: start.why});
			}

			options.propose(latest.commands);
			for (const order of latest.orders) {
				void ask(order);
			}

			forgetEnded();
		},

		latest: () => latest,
	};
};

/** What a set that is not published would make of the fleet as it is now. */
export const previewPlan = (options: Pick<WorkRunnerOptions, 'state' | 'directory' | 'clock' | 'startedAtMs'>, catalogue: Catalogue): PlannerOutput => {
	const nowMs = options.clock.monotonicMs();
	const wallMs = options.clock.wallMs();
	const planner = createPlanner({isSettled: true});
	return planner.plan({
		catalogue,
		placements: options.state.placements.list(),
		evidence: readEvidence({
			state: options.state, directory: options.directory, ageMs: nowMs - options.startedAtMs, nowMs, wallMs,
		}),
		platform: new Map(),
		wallMs,
	});
};
