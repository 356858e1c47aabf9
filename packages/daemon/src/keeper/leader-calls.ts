/** Handles the calls that nodes and operators make to the leader. */
import {
	BronzebendError, UnreachableError,
	type Clock, type ControlCommand, type ControlOutcome, type ControlState, type Declaration, type EvacuationPreview,
} from '@bronzebend/core';
import type {Replica} from '@bronzebend/replica';
import type {CallResult, LeaderCall} from '@bronzebend/wire';
import type {ClusterCoordinator} from '../leader/cluster-coordinator.js';
import {previewEvacuationOf, previewPlan, type WorkRunner} from '../leader/work-runner.js';
import {refusedEvacuation, runEvacuation} from './evacuation-call.js';
import type {MemberChanges} from './member-changes.js';
import {checkedCatalogue, createPublishCommand} from './publish-call.js';
import {describeStatus} from './status.js';

/** Components of the current leadership. */
export type Leadership = {
	replica: Replica<ControlOutcome>;
	coordinator: ClusterCoordinator;
	runner: WorkRunner;
	state: ControlState;
	/** Start of this leadership, in monotonic milliseconds. */
	sinceMs: number;
};

/** Options of the call handler. */
export type LeaderCallsOptions = {
	node: string;
	clock: Clock;
	memberChanges: MemberChanges;
	/**
	Returns the current leadership, confirmed by the leader's lease.

	@throws {NotLeaderError} This keeper does not lead.
	*/
	leading(): Leadership;
};

const toFailure = (error: unknown): CallResult => {
	if (error instanceof BronzebendError) {
		return {
			type: 'failure', code: error.code, message: error.message, details: {...error.details},
		};
	}

	return {
		type: 'failure', code: 'internal', message: String(error), details: {},
	};
};

/** Creates the call handler. It never rejects; errors become results of type `failure`. */
export const createLeaderCalls = ({node, clock, memberChanges, leading}: LeaderCallsOptions) => {
	const runCommand = async (command: ControlCommand): Promise<ControlOutcome> => {
		// Commands carry the time of the leader's clock, so that they do not depend on callers' clocks.
		const stamped = 'atMs' in command ? {...command, atMs: Math.round(clock.wallMs())} : command;
		return leading().replica.propose(stamped);
	};

	const describeHistory = (state: ControlState): unknown => state.publications.history().map(({version, publicationId, author, atMs, delta, withdrawn}) => ({
		version, publicationId, author, atMs, changed: delta.upserts.length, removed: delta.removals.length, withdrawn: withdrawn.length,
	}));

	const describePlan = ({runner, state, coordinator, sinceMs}: Leadership, declarations: Declaration[] | undefined): unknown => {
		if (declarations === undefined) {
			return runner.latest() ?? {};
		}

		return previewPlan({
			state, directory: coordinator.directory, clock, startedAtMs: sinceMs,
		}, checkedCatalogue(declarations));
	};

	const describePreview = ({state, coordinator, sinceMs}: Leadership, dataCentre: string): EvacuationPreview => {
		const refusal = state.evacuations.refusal(dataCentre, state.dataCentres());
		if (refusal !== undefined) {
			throw refusedEvacuation(refusal, dataCentre, state);
		}

		return previewEvacuationOf({
			state, directory: coordinator.directory, clock, startedAtMs: sinceMs,
		}, dataCentre);
	};

	const answer = async (call: LeaderCall): Promise<unknown> => {
		const current = leading();
		const {state, replica, coordinator} = current;
		switch (call.type) {
			case 'command': {
				return runCommand(call.command);
			}

			case 'publish': {
				return runCommand(createPublishCommand(state, call, Math.round(clock.wallMs())));
			}

			case 'status': {
				return describeStatus({
					state, replica, coordinator, plan: current.runner.latest(), node, nowMs: clock.monotonicMs(),
				});
			}

			case 'history': {
				return describeHistory(state);
			}

			case 'read-set': {
				return {version: state.publications.version(), declarations: [...state.publications.catalogue().objects.values()]};
			}

			case 'backup': {
				return {version: state.publications.version(), state: state.snapshot()};
			}

			case 'plan': {
				return describePlan(current, call.declarations);
			}

			case 'evacuate':
			case 'end-evacuation': {
				return runEvacuation({...call, atMs: Math.round(clock.wallMs())}, current);
			}

			case 'preview-evacuation': {
				return describePreview(current, call.dataCentre);
			}

			case 'members': {
				return replica.raft.members();
			}

			case 'add-keeper': {
				return memberChanges.add(call.node);
			}

			case 'remove-keeper': {
				return memberChanges.remove(call.node);
			}

			default: {
				throw new UnreachableError(call);
			}
		}
	};

	return async (call: LeaderCall): Promise<CallResult> => {
		try {
			return {type: 'value', value: await answer(call)};
		} catch (error) {
			return toFailure(error);
		}
	};
};
