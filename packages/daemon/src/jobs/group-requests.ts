/** A keeper's own requests to the leader: to join the group when it is no voter, and to resign when it shuts down. */
import type {Clock, GroupView} from '@bronzebend/core';
import {isNeeded} from '@bronzebend/replica';
import type {Member, PeerMessage} from '@bronzebend/wire';
import type {JobReplica} from './job-keeper-options.js';

/** Interval at which a request to resign is repeated, in milliseconds. */
const RESIGN_INTERVAL_MS = 100;
/** Time without an answer of a leader after which a keeper that resigns decides by its own list, in milliseconds: two requests to find the leader, and its answer on a slow link. Without a leader a group is often restarted as a whole, which must not take longer. */
const OWN_LIST_MS = 500;
/** Time for which requests go to a leader that another keeper named, in milliseconds; several intervals of the requests, so one lost view does not interrupt them. */
const NAMED_LEADER_MS = 1000;

/** Interval at which seeds that are no members are told the leader, in milliseconds. */
const ANNOUNCE_INTERVAL_MS = 500;

/** How an attempt to resign ended: `kept` if the group needs the vote. */
export type ResignationResult = 'left' | 'kept' | 'unanswered';

/** Options of a keeper's requests. */
export type GroupRequestsOptions = {
	/** Identity of this keeper's replica. */
	self: string;
	node: string;
	groupSize: number;
	clock: Clock;
	replica(): JobReplica | undefined;
	seeds(): string[];
	/** Hands leadership over; called on the leader only. */
	handOver(): void;
	send(to: string, message: PeerMessage): void;
};

/** Creates the requests of one keeper. */
export const createGroupRequests = ({self, node, groupSize, clock, replica, seeds, handOver, send}: GroupRequestsOptions) => {
	let answer: 'left' | 'kept' | undefined;
	let isResigning = false;
	/** Leaders that other keepers named, with the time at which each was named last. */
	const namedLeaders = new Map<string, number>();
	let announcedMs = -Infinity;
	const hasAnswer = (): boolean => answer !== undefined;

	const members = (): Member[] => replica()?.raft.members() ?? [];
	const ownEntry = (): Member | undefined => members().find(member => member.replica === self);

	const namedLately = (): string[] => {
		const nowMs = clock.monotonicMs();
		for (const [name, atMs] of namedLeaders) {
			if (nowMs - atMs > NAMED_LEADER_MS) {
				namedLeaders.delete(name);
			}
		}

		return [...namedLeaders.keys()].filter(name => name !== node);
	};

	/**
	Sends a request to the leader. A replica that knows none sends it to every known keeper, and asks these which leader
	they follow: its seeds and its list of members may name followers only, who do not act on requests.
	*/
	const request = (message: PeerMessage): void => {
		const {raft} = replica()!;
		const leader = raft.leaderNode();
		// A leader that resigns hands over, so it looks for the next one among the others.
		if (leader !== undefined && leader !== node) {
			send(leader, message);
			return;
		}

		const known = [...seeds(), ...raft.members().map(member => member.node)].filter(target => target !== node);
		for (const target of new Set(known)) {
			send(target, {type: 'view-query'});
		}

		for (const target of new Set([...known, ...namedLately()])) {
			send(target, message);
		}
	};

	return {
		/** Leaders that other keepers have named in the last second. */
		namedLeaders: namedLately,

		/** Asks to join if this replica is no voter. */
		joinIfNeeded(): void {
			const raft = replica()?.raft;
			if (!raft || isResigning || raft.role() === 'leader') {
				return;
			}

			// A voter without a leader may have been removed while it was cut off; a leader ignores the request of a voter.
			if (!ownEntry()?.voter || raft.leader() === undefined) {
				request({type: 'join', replica: self});
			}
		},

		/**
		Gives up this keeper's vote if the group is over its size, as it is once the successor of a replaced machine has joined.
		Otherwise the shutdown may be a restart that keeps the disk, and the group needs the vote.

		The leader decides, as this keeper's own list may be old. Waits for its answer for at most `limitMs`.
		*/
		async resign(limitMs: number): Promise<ResignationResult> {
			isResigning = true;
			const startMs = clock.monotonicMs();
			const untilMs = startMs + limitMs;
			while (!hasAnswer() && clock.monotonicMs() < untilMs) {
				if (!replica()) {
					return 'left';
				}

				const own = ownEntry();
				if (own && clock.monotonicMs() - startMs >= OWN_LIST_MS && isNeeded(own, members(), groupSize)) {
					return 'kept';
				}

				if (replica()?.hasLease()) {
					// Another keeper that shuts down may have handed over to this one.
					handOver();
				}

				request({type: 'resign', replica: self});

				// Each request waits for the answer to the one before.
				// eslint-disable-next-line no-await-in-loop
				await new Promise(resolve => {
					setTimeout(resolve, RESIGN_INTERVAL_MS);
				});
			}

			return answer ?? 'unanswered';
		},

		/**
		Tells the seeds that are no members which leader this keeper follows. A keeper that was away while all that it knows were
		replaced cannot find the group by itself, but the settings of the others may name it.
		*/
		announceLeader(view: GroupView): void {
			const nowMs = clock.monotonicMs();
			if (view.leader === undefined || nowMs - announcedMs < ANNOUNCE_INTERVAL_MS) {
				return;
			}

			announcedMs = nowMs;
			for (const seed of seeds().filter(seed => seed !== node && !view.members.includes(seed))) {
				send(seed, {type: 'view', view});
			}
		},

		/** Notes the leader that another keeper names in its view. */
		viewHeard(from: string, view: GroupView): void {
			const leader = view.leading ? from : view.leader;
			if (leader !== undefined) {
				namedLeaders.set(leader, clock.monotonicMs());
			}
		},

		/** Handles the leader's answer to a request to resign. */
		resignAnswered(id: string, outcome: 'left' | 'kept'): void {
			if (id === self) {
				answer = outcome;
			}
		},
	};
};
