/** Reports the members that lack entries of the leader's log, with what tells apart why. Used by the leader only. */
import type {Clock} from '@bronzebend/core';
import type {Log} from '../utils/log.js';
import type {JobKeeperOptions, JobReplica} from './job-keeper-options.js';

/** Time without the latest entries after which a member is logged, in milliseconds; a restart or a new disk takes less. */
const BEHIND_MS = 2000;
/** Interval at which the line is repeated for a member, in milliseconds. */
const REPEAT_MS = 5000;

type Behind = {sinceMs: number; loggedMs: number};

/** Creates the report of one keeper. */
export const createMemberLag = ({clock, log, metrics, answeredAtMs, heardAtMs}: {
	clock: Clock;
	log: Log;
	metrics: JobKeeperOptions['metrics'];
	/** When a replica last answered this leader, in milliseconds; undefined if it never has. */
	answeredAtMs(replica: string): number | undefined;
	/** When the latest message of a node arrived, of whatever kind, in milliseconds; undefined if none has. */
	heardAtMs(node: string): number | undefined;
}) => {
	const behind = new Map<string, Behind>();
	let term = -1;

	const agoMs = (atMs: number | undefined, nowMs: number): number | undefined => (atMs === undefined ? undefined : Math.round(nowMs - atMs));

	return {
		/** Looks at all members; called a few times a second while this keeper leads. */
		check({replica: self, raft}: JobReplica): void {
			const nowMs = clock.monotonicMs();
			if (raft.term() !== term) {
				term = raft.term();
				behind.clear();
			}

			const others = raft.members().filter(member => member.replica !== self);
			const lacking = others.filter(member => !raft.isCaughtUp(member.replica));
			metrics?.keepersBehind.set(lacking.length);
			for (const id of [...behind.keys()].filter(known => !lacking.some(member => member.replica === known))) {
				behind.delete(id);
			}

			for (const {replica, node, voter} of lacking) {
				const state = behind.get(replica) ?? {sinceMs: nowMs, loggedMs: -Infinity};
				behind.set(replica, state);
				if (nowMs - state.sinceMs > BEHIND_MS && nowMs - state.loggedMs > REPEAT_MS) {
					state.loggedMs = nowMs;
					log.warn('A keeper lacks entries of the log.', {
						keeper: node, replica, votes: voter, forMs: Math.round(nowMs - state.sinceMs), matchIndex: raft.matchIndexOf(replica), startIndex: raft.startIndex(), lastIndex: raft.lastIndex(),
						answeredMsAgo: agoMs(answeredAtMs(replica), nowMs), heardMsAgo: agoMs(heardAtMs(node), nowMs),
					});
				}
			}
		},

		/** Forgets all members; called while this keeper does not lead. */
		reset(): void {
			behind.clear();
			metrics?.keepersBehind.set(0);
		},
	};
};
