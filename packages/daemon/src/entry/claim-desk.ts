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

/** One request that is claimed before its first byte leaves. */
export type ClaimWish = {
	team: string;
	idempotencyKey: string;
	method: string;
	path: string;
	attemptId: string;
};

/** Claims through the leader. */
export type ClaimDesk = ReturnType<typeof createClaimDesk>;

/** Creates the desk. */
export const createClaimDesk = (agent: NodeAgent, onUnsettled: (error: unknown) => void) => {
	const claimIdOf = (wish: ClaimWish): string => sha256Hex(JSON.stringify([wish.team, wish.idempotencyKey]));

	const settle = async (wish: ClaimWish, outcome: {type: 'answered'; answer: {status: number; contentType?: string; body?: Uint8Array}} | {type: 'unknown'} | {type: 'released'}): Promise<void> => {
		try {
			await agent.call({
				type: 'command',
				command: {
					type: 'settle', claimId: claimIdOf(wish), attemptId: wish.attemptId, outcome, atMs: 0,
				},
			}, {timeoutMs: SETTLE_TIMEOUT_MS});
		} catch (error) {
			// Unsettled, the claim stays and a resend learns "unknown, not run again".
			onUnsettled(error);
		}
	};

	return {
		/**
		Claims the request; only `granted` may run.

		@throws {CallTimeoutError} The keepers did not answer in time; the claim may stand.
		*/
		async claim(wish: ClaimWish): Promise<ClaimOutcome> {
			const outcome = await agent.call({
				type: 'command',
				command: {
					type: 'claim',
					claimId: claimIdOf(wish),
					requestDigest: sha256Hex(JSON.stringify([wish.method, wish.path])),
					attemptId: wish.attemptId,
					atMs: 0,
				},
			}, {timeoutMs: CLAIM_TIMEOUT_MS}) as ControlOutcome;
			return outcome.type === 'claimed' ? outcome.outcome : {type: 'unknown'};
		},

		/** Records how the claimed request ended. */
		async finish(wish: ClaimWish, result: AttemptResult | undefined): Promise<void> {
			if (result === undefined || result.outcome === ticketOutcomes.notRun || result.outcome === ticketOutcomes.unused) {
				return settle(wish, {type: 'released'});
			}

			if (result.status === undefined) {
				return settle(wish, {type: 'unknown'});
			}

			const body = result.body && result.body.length <= MAX_RECORDED_BODY_BYTES ? result.body : undefined;
			return settle(wish, {type: 'answered', answer: {status: result.status, contentType: result.contentType, body}});
		},
	};
};
