/** Logs what a keeper knows of its group while it knows no leader, so that a call that was refused for want of one can be traced to its cause. */
import type {Clock} from '@bronzebend/core';
import type {Log} from '../utils/log.js';
import type {JobReplica} from './job-keeper-options.js';
import {describeMembers} from './membership-controller.js';

/** Time without a leader after which it is logged, in milliseconds; most elections are over by then. */
const LEADERLESS_MS = 1000;
/** Interval at which the line is repeated while there is no leader, in milliseconds. */
const REPEAT_MS = 5000;

/** Creates the watch of one keeper. */
export const createGroupWatch = ({clock, log, replica, seeds, slowestWriteMs = () => 0}: {
	clock: Clock;
	log: Log;
	replica(): JobReplica | undefined;
	/** Nodes named in the settings. */
	seeds(): string[];
	/** Duration of the slowest write to the log of the last seconds, in milliseconds. */
	slowestWriteMs?(): number;
}) => {
	const heardAtMs = new Map<string, number>();
	let leaderlessSinceMs = clock.monotonicMs();
	let loggedAtMs = -Infinity;

	/** Each node with the time since its last message in milliseconds, or `never`. */
	const describeSilence = (nodes: readonly string[], nowMs: number): string => nodes.map(node => {
		const atMs = heardAtMs.get(node);
		return `${node} ${atMs === undefined ? 'never' : Math.round(nowMs - atMs)}`;
	}).join(', ');

	const logLeaderless = (nowMs: number): void => {
		const current = replica();
		const forMs = Math.round(nowMs - leaderlessSinceMs);
		if (!current) {
			log.warn('Belongs to no group yet.', {forMs, seedsSilentMs: describeSilence(seeds(), nowMs)});
			return;
		}

		const {raft} = current;
		const own = raft.members().find(member => member.replica === current.replica);
		const others = raft.members().filter(member => member.voter && member !== own).map(member => member.node);
		log.warn('No leader is known.', {
			forMs, term: raft.term(), role: raft.role(), votes: own?.voter === true, lastIndex: raft.lastIndex(), slowestWriteMs: slowestWriteMs(), votersSilentMs: describeSilence(others, nowMs), members: describeMembers(raft.members()),
		});
	};

	return {
		/** Records a message of another node. */
		heard(node: string): void {
			heardAtMs.set(node, clock.monotonicMs());
		},

		/** When the latest message of a node arrived, in milliseconds; undefined if none has. */
		heardAtMs: (node: string): number | undefined => heardAtMs.get(node),

		/** Logs the state of the group if there has been no leader for a while; called a few times a second. */
		check(): void {
			const nowMs = clock.monotonicMs();
			if (replica()?.raft.leader() !== undefined) {
				if (loggedAtMs > -Infinity) {
					log.info('A leader is known again.', {forMs: Math.round(nowMs - leaderlessSinceMs), term: replica()?.raft.term()});
				}

				leaderlessSinceMs = nowMs;
				loggedAtMs = -Infinity;
				return;
			}

			if (nowMs - leaderlessSinceMs > LEADERLESS_MS && nowMs - loggedAtMs > REPEAT_MS) {
				loggedAtMs = nowMs;
				logLeaderless(nowMs);
			}
		},
	};
};
