/** Claims of non-idempotent requests: only the first attempt runs, and resends with the same key receive its outcome. */

/** How long a claim is kept after it was made, in milliseconds. */
export const CLAIM_RETENTION_MS = 24 * 60 * 60 * 1000;

/** Largest recorded answer body, in bytes; of larger answers only the status is kept. */
export const MAX_RECORDED_BODY_BYTES = 2048;

/** An answer kept for callers that resend. */
export type RecordedAnswer = {status: number; contentType?: string; body?: Uint8Array};

/** Claims a request for one attempt, which may run it if the claim is granted. */
export type ClaimCommand = {
	type: 'claim';
	/** Team and the caller's idempotency key. */
	claimId: string;
	/** Digest of method, path and key; detects a key that is reused for another request. */
	requestDigest: string;
	/** Unique to one attempt, which may repeat its claim if the answer was lost. */
	attemptId: string;
	atMs: number;
};

/** Records how a claimed request ended; `released` if it provably did not run and may be claimed again. */
export type SettleCommand = {
	type: 'settle';
	claimId: string;
	attemptId: string;
	outcome: {type: 'answered'; answer: RecordedAnswer} | {type: 'unknown'} | {type: 'released'};
	atMs: number;
};

/** Answer to a claim. */
export type ClaimOutcome =
	| {type: 'granted'}
	| {type: 'in-progress'}
	| {type: 'answered'; answer: RecordedAnswer}
	| {type: 'unknown'}
	| {type: 'key-reused'};

type Claim = {
	claimId: string;
	requestDigest: string;
	attemptId: string;
	atMs: number;
	state: {type: 'running'} | {type: 'answered'; answer: RecordedAnswer} | {type: 'unknown'};
};

/** Serializable content of the aggregate. */
export type ClaimsSnapshot = {nowMs: number; claims: Claim[]};

/** The claims aggregate. */
export type Claims = ReturnType<typeof createClaims>;

/** Creates the aggregate, empty or from a snapshot. */
export const createClaims = (snapshot?: ClaimsSnapshot) => {
	// Insertion order is claim order, so expiry stops at the first claim that is still valid.
	const claims = new Map((snapshot?.claims ?? []).map(claim => [claim.claimId, claim]));
	let nowMs = snapshot?.nowMs ?? 0;

	const expire = (atMs: number): void => {
		nowMs = Math.max(nowMs, atMs);
		for (const [claimId, claim] of claims) {
			if (claim.atMs + CLAIM_RETENTION_MS > nowMs) {
				return;
			}

			claims.delete(claimId);
		}
	};

	const outcomeOf = (claim: Claim): ClaimOutcome => {
		switch (claim.state.type) {
			case 'running': {
				return {type: 'in-progress'};
			}

			case 'answered': {
				return {type: 'answered', answer: claim.state.answer};
			}

			case 'unknown': {
				return {type: 'unknown'};
			}
		}
	};

	return {
		size: () => claims.size,

		claim(command: ClaimCommand): ClaimOutcome {
			expire(command.atMs);
			const existing = claims.get(command.claimId);
			if (!existing) {
				claims.set(command.claimId, {
					claimId: command.claimId,
					requestDigest: command.requestDigest,
					attemptId: command.attemptId,
					// The latest time seen, not the command's, keeps the claims ordered by time, as expiry requires.
					atMs: nowMs,
					state: {type: 'running'},
				});
				return {type: 'granted'};
			}

			if (existing.requestDigest !== command.requestDigest) {
				return {type: 'key-reused'};
			}

			return existing.attemptId === command.attemptId && existing.state.type === 'running' ? {type: 'granted'} : outcomeOf(existing);
		},

		settle(command: SettleCommand): void {
			expire(command.atMs);
			const existing = claims.get(command.claimId);
			if (existing?.attemptId !== command.attemptId || existing.state.type !== 'running') {
				return;
			}

			if (command.outcome.type === 'released') {
				claims.delete(command.claimId);
				return;
			}

			existing.state = command.outcome;
		},

		snapshot: (): ClaimsSnapshot => ({nowMs, claims: [...claims.values()]}),
	};
};
