/** Carries out the planner's decisions while this keeper leads: proposes commands and sends orders to the platform. */
import {
	createPlanner, previewEvacuation,
	type Catalogue, type Clock, type ControlCommand, type ControlState, type EvacuationPreview, type PlannerOutput, type PlatformOrder, type PlatformWorkState,
} from '@bronzebend/core';
import type {Log} from '../utils/log.js';
import {describeEvacuations} from './evacuation-report.js';
import {readEvidence} from './fleet-evidence.js';
import type {NodeDirectory} from './node-directory.js';
import type {Platform} from './platform-client.js';

/** Interval between planning steps, in milliseconds. */
export const PLAN_INTERVAL_MS = 1000;

/** Options of the work runner. */
export type WorkRunnerOptions = {
	state: ControlState;
	directory: NodeDirectory;
	platform: Platform;
	clock: Clock;
	log: Log;
	startedAtMs: number;
	propose(commands: readonly ControlCommand[]): void;
};

/** Runs the planned work of one leadership. */
export type WorkRunner = ReturnType<typeof createWorkRunner>;

/** Creates a work runner. It plans for the first time at the first `step`. */
export const createWorkRunner = (options: WorkRunnerOptions) => {
	const {state, directory, platform, clock, log} = options;
	const planner = createPlanner();
	const workStates = new Map<string, PlatformWorkState>();
	const ordersInFlight = new Set<string>();
	let latest: PlannerOutput | undefined;

	const sendOrder = async (order: PlatformOrder): Promise<void> => {
		if (ordersInFlight.has(order.workId)) {
			return;
		}

		ordersInFlight.add(order.workId);
		const answer = await platform.order(order);
		ordersInFlight.delete(order.workId);
		if (answer !== 'unknown') {
			workStates.set(order.workId, answer);
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
			platform: workStates,
			evacuated: state.evacuations.names(),
			wallMs,
		});
	};

	const removeEnded = (): void => {
		const running = new Set(state.placements.list().flatMap(placement => placement.work?.id ?? []));
		for (const workId of workStates.keys()) {
			if (!running.has(workId)) {
				workStates.delete(workId);
			}
		}
	};

	/** Logs, once a step, what is left in each evacuated data centre, so that a new leader's log shows it too. */
	const logEvacuations = (): void => {
		for (const {dataCentre, sinceMs, running, instances, unreported} of describeEvacuations(state, directory)) {
			log.info('Evacuated data centre.', {
				dataCentre, forMs: Math.round(clock.wallMs()) - sinceMs, running, instances, unreportedPools: unreported.length,
			});
		}
	};

	return {
		/** Plans once, proposes the resulting commands and sends the resulting orders to the platform. */
		step(): void {
			latest = plan(state.publications.catalogue());
			for (const start of latest.starts) {
				log.info('Starting planned work.', {instance: start.instance, what: start.what, why: start.why});
			}

			options.propose(latest.commands);
			for (const order of latest.orders) {
				void sendOrder(order);
			}

			removeEnded();
			logEvacuations();
		},

		/** Returns the output of the latest step, if there was one. */
		latest: () => latest,
	};
};

/** Plans with declarations that are not published, against the current state of the fleet. Changes nothing. */
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
		evacuated: options.state.evacuations.names(),
		wallMs,
	});
};

/** Predicts what each pool would have left if a data centre were evacuated. Changes nothing. */
export const previewEvacuationOf = ({state, directory, clock, startedAtMs}: Pick<WorkRunnerOptions, 'state' | 'directory' | 'clock' | 'startedAtMs'>, dataCentre: string): EvacuationPreview => {
	const nowMs = clock.monotonicMs();
	return previewEvacuation({
		dataCentre,
		evacuated: state.evacuations.names(),
		catalogue: state.publications.catalogue(),
		placements: state.placements.list(),
		evidence: readEvidence({
			state, directory, ageMs: nowMs - startedAtMs, nowMs, wallMs: clock.wallMs(),
		}),
	});
};
