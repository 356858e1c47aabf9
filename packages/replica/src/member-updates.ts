/** Chooses the messages with which a leader brings another replica up to date. */
import type {RaftMessage, Snapshot} from '@bronzebend/wire';
import type {Progress} from './progress.js';
import type {RaftLog} from './raft-log.js';

/** Maximum number of entries in one append message. */
const MAX_ENTRIES_PER_APPEND = 256;
/** Maximum size of the entries in one append message, in bytes; a larger entry is sent alone. */
const MAX_BYTES_PER_APPEND = 1024 * 1024;

/** What each message of a leader says of it. */
export type LeaderState = {term: number; commit: number; sentAtMs: number};

/** Creates the choice for one log. */
export const createMemberUpdates = (log: RaftLog, readSnapshot: () => Snapshot | undefined) => ({
	/** Returns the entries, or the snapshot, that the replica needs next; undefined if a snapshot was sent to it a moment ago. */
	next(peer: Progress, {term, commit, sentAtMs}: LeaderState): RaftMessage | undefined {
		const prevIndex = peer.next - 1;
		const prevTerm = log.termAt(prevIndex);
		if (prevTerm === undefined) {
			const snapshot = readSnapshot();
			if (!snapshot || !peer.maySendSnapshot(sentAtMs)) {
				return undefined;
			}

			return {
				type: 'install', term, snapshot, sentAtMs,
			};
		}

		const entries = log.sliceForMessage(peer.next, MAX_ENTRIES_PER_APPEND, MAX_BYTES_PER_APPEND);
		peer.next += entries.length;
		return {
			type: 'append', term, prevIndex, prevTerm, entries, commit, sentAtMs,
		};
	},

	/**
	Returns a message that only maintains contact. It follows the start of every log, so the replica confirms it with the start
	of its own. Without contact the leader would lose its lease while a replica of its quorum receives a snapshot.
	*/
	heartbeat: ({term, sentAtMs}: LeaderState): RaftMessage => ({
		type: 'append', term, prevIndex: 0, prevTerm: 0, entries: [], commit: 0, sentAtMs,
	}),
});
