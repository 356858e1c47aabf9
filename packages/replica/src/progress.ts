/** A leader's record of how far one other replica has received the log. */

/** Minimum interval between two snapshots to one replica, in milliseconds. */
const SNAPSHOT_INTERVAL_MS = 1000;

/** Replication state of one other replica. */
export type Progress = ReturnType<typeof createProgress>;

/** Creates the state of a replica that may need entries from index `next` on. */
export const createProgress = (next: number, nowMs: number) => {
	let lastContact = nowMs;
	let snapshotAtMs = -Infinity;
	let rewoundAtMs = -Infinity;

	const progress = {
		next,
		match: 0,
		/** Send time of the latest message that this replica has answered, on the leader's clock, in milliseconds. */
		lastContactMs: () => lastContact,

		recordContact(sentAtMs: number): void {
			lastContact = Math.max(lastContact, sentAtMs);
		},

		/**
		Returns to the entry after `index`, which the replica has named when it rejected a message. Returns false if that message was sent
		before the last such return: it was rejected for the same missing entries, which have been sent again since.
		*/
		rewind(index: number, sentAtMs: number, atMs: number): boolean {
			if (sentAtMs < rewoundAtMs) {
				return false;
			}

			rewoundAtMs = atMs;
			progress.next = Math.max(progress.match + 1, Math.min(index + 1, progress.next - 1));
			return true;
		},

		/**
		Returns true if the last snapshot was sent long enough ago and did not arrive, and records that one is sent now. Messages arrive
		in order, so a snapshot may still be on its way until the replica answers a later message; further copies would only delay it.
		*/
		maySendSnapshot(atMs: number): boolean {
			if (atMs - snapshotAtMs < SNAPSHOT_INTERVAL_MS || lastContact <= snapshotAtMs) {
				return false;
			}

			snapshotAtMs = atMs;
			return true;
		},
	};
	return progress;
};
