/** Answers the calls that nodes and operators make to the leader. */
import {
	BronzebendError, UnreachableError,
	type Clock, type ControlCommand, type ControlOutcome, type ControlState, type Declaration,
} from '@bronzebend/core';
import type {Replica} from '@bronzebend/replica';
import type {CallResult, LeaderCall} from '@bronzebend/wire';
import type {LeaderDesk} from '../leader/leader-desk.js';
import {previewPlan, type WorkRunner} from '../leader/work-runner.js';
import type {MemberChanges} from './member-changes.js';
import {checkedCatalogue, createPublishCommand} from './publish-call.js';
import {describeStatus} from './status.js';

/** What a leader works with. */
export type Leading = {
	replica: Replica<ControlOutcome>;
	desk: LeaderDesk;
	runner: WorkRunner;
	state: ControlState;
	/** Start of this leadership, in monotonic milliseconds. */
	sinceMs: number;
};

/** What answering needs. */
export type LeaderCallsOptions = {
	node: string;
	clock: Clock;
	memberChanges: MemberChanges;
	/**
	What this keeper leads with, confirmed by its lease.

	@throws {NotLeaderError} It does not lead.
	*/
	leading(): Leading;
};

const failureOf = (error: unknown): CallResult => {
	if (error instanceof BronzebendError) {
		return {
			type: 'failure', code: error.code, message: error.message, details: {...error.details},
		};
	}

	return {
		type: 'failure', code: 'internal', message: String(error), details: {},
	};
};

/** Creates the answers; failures become typed results. */
export const createLeaderCalls = ({node, clock, memberChanges, leading}: LeaderCallsOptions) => {
	const runCommand = async (command: ControlCommand): Promise<ControlOutcome> => {
		// The leader's clock stamps commands, so that callers' clocks decide nothing.
		const stamped = 'atMs' in command ? {...command, atMs: Math.round(clock.wallMs())} : command;
		return leading().replica.propose(stamped);
	};

	const describeHistory = (state: ControlState): unknown => state.publications.history().map(({version, publicationId, author, atMs, delta, withdrawn}) => ({
		version, publicationId, author, atMs, changed: delta.upserts.length, removed: delta.removals.length, withdrawn: withdrawn.length,
	}));

	const describePlan = ({runner, state, desk, sinceMs}: Leading, declarations: Declaration[] | undefined): unknown => {
		if (declarations === undefined) {
			return runner.latest() ?? {};
		}

		return previewPlan({
			state, directory: desk.directory, clock, startedAtMs: sinceMs,
		}, checkedCatalogue(declarations));
	};

	const answer = async (call: LeaderCall): Promise<unknown> => {
		const current = leading();
		const {state, replica, desk} = current;
		switch (call.type) {
			case 'command': {
				return runCommand(call.command);
			}

			case 'publish': {
				return runCommand(createPublishCommand(state, call, Math.round(clock.wallMs())));
			}

			case 'status': {
				return describeStatus({
					state, replica, desk, plan: current.runner.latest(), node, nowMs: clock.monotonicMs(),
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
			return failureOf(error);
		}
	};
};
