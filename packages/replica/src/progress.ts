/** What a leader knows of one other replica. */

/** Pause between two snapshots to one replica, in milliseconds. */
const SNAPSHOT_PAUSE_MS = 1000;

/** Replication state of one other replica. */
export type Progress = ReturnType<typeof createProgress>;

/** Creates the state for a replica that may need entries from `next` on. */
export const createProgress = (next: number, nowMs: number) => {
	let heard = nowMs;
	let snapshotAtMs = -Infinity;

	return {
		next,
		match: 0,
		/** Latest time of sending that this replica has answered, in the leader's milliseconds. */
		heardMs: () => heard,

		heardAt(sentAtMs: number): void {
			heard = Math.max(heard, sentAtMs);
		},

		/** True where the last snapshot was sent long enough ago. */
		maySendSnapshot(atMs: number): boolean {
			if (atMs - snapshotAtMs < SNAPSHOT_PAUSE_MS) {
				return false;
			}

			snapshotAtMs = atMs;
			return true;
		},
	};
};
