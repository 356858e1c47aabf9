/** Claims of non-idempotent requests that carry an idempotency key. */
import {
	MAX_RECORDED_BODY_BYTES, sha256Hex, ticketOutcomes, type ClaimOutcome, type ControlOutcome,
} from '@bronzebend/core';
import type {NodeAgent} from '../node/node-agent.js';
import type {AttemptResult} from './attempt.js';

/** Longest wait for a claim to be committed, in milliseconds. */
const CLAIM_TIMEOUT_MS = 3000;
/** Longest wait for an outcome to be recorded, in milliseconds. */
const SETTLE_TIMEOUT_MS = 30_000;

/** A request to be claimed before any of it is sent to a backend server. */
export type ClaimRequest = {
	team: string;
	idempotencyKey: string;
	method: string;
	path: string;
	attemptId: string;
};

/** Claims requests through the leader. */
export type ClaimClient = ReturnType<typeof createClaimClient>;

/** Creates the claim client; `onUnsettled` is called if an outcome could not be recorded. */
export const createClaimClient = (agent: NodeAgent, onUnsettled: (error: unknown) => void) => {
	const claimIdOf = (request: ClaimRequest): string => sha256Hex(JSON.stringify([request.team, request.idempotencyKey]));

	const settle = async (request: ClaimRequest, outcome: {type: 'answered'; answer: {status: number; contentType?: string; body?: Uint8Array}}
		| {type: 'unknown'} | {type: 'released'}): Promise<void> => {
		try {
			await agent.call({
				type: 'command',
				command: {
					type: 'settle', claimId: claimIdOf(request), attemptId: request.attemptId, outcome, atMs: 0,
				},
			}, {timeoutMs: SETTLE_TIMEOUT_MS});
		} catch (error) {
			// The claim stays in place, so a resend of the request is answered "outcome unknown" and not run again.
			onUnsettled(error);
		}
	};

	return {
		/**
		Claims the request. It may run only if the outcome is `granted`.

		@throws {CallFailedError} The leader answered with an error.
		@throws {CallTimeoutError} No leader answered in time; the claim may have been committed.
		*/
		async claim(request: ClaimRequest): Promise<ClaimOutcome> {
			const outcome = await agent.call({
				type: 'command',
				command: {
					type: 'claim',
					claimId: claimIdOf(request),
					requestDigest: sha256Hex(JSON.stringify([request.method, request.path])),
					attemptId: request.attemptId,
					atMs: 0,
				},
			}, {timeoutMs: CLAIM_TIMEOUT_MS}) as ControlOutcome;
			return outcome.type === 'claimed' ? outcome.outcome : {type: 'unknown'};
		},

		/** Records the outcome of a claimed request. An undefined `result` means that it did not run. */
		async finish(request: ClaimRequest, result: AttemptResult | undefined): Promise<void> {
			if (result === undefined || result.outcome === ticketOutcomes.notRun || result.outcome === ticketOutcomes.unused) {
				return settle(request, {type: 'released'});
			}

			if (result.status === undefined) {
				return settle(request, {type: 'unknown'});
			}

			const body = result.body && result.body.length <= MAX_RECORDED_BODY_BYTES ? result.body : undefined;
			return settle(request, {type: 'answered', answer: {status: result.status, contentType: result.contentType, body}});
		},
	};
};
