/** Claims of non-idempotent requests: the first comer runs, later comers learn the outcome. */

/** How long a claim is remembered after it was made, in milliseconds. */
export const CLAIM_RETENTION_MS = 24 * 60 * 60 * 1000;

/** Largest recorded answer body, in bytes; larger answers are remembered by their status alone. */
export const MAX_RECORDED_BODY_BYTES = 2048;

/** An answer kept for callers that resend. */
export type RecordedAnswer = {status: number; contentType?: string; body?: Uint8Array};

/** Asks to be the one that runs a request. */
export type ClaimCommand = {
	type: 'claim';
	/** Team and caller's idempotency key. */
	claimId: string;
	/** Digest of method, path and key, so that a reused key with another request is noticed. */
	requestDigest: string;
	/** Unique to one attempt; the same attempt may ask again after a lost answer. */
	attemptId: string;
	atMs: number;
};

/** Records how a claimed request ended; `released` when it provably did not run. */
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
	// Insertion order is claim order, so expiry only looks at the front.
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

	const describe = (claim: Claim): ClaimOutcome => {
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
					// Never before an earlier claim: the front of the map must be the oldest.
					atMs: nowMs,
					state: {type: 'running'},
				});
				return {type: 'granted'};
			}

			if (existing.requestDigest !== command.requestDigest) {
				return {type: 'key-reused'};
			}

			return existing.attemptId === command.attemptId && existing.state.type === 'running' ? {type: 'granted'} : describe(existing);
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
