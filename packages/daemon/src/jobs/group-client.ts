/** Client for the leader of the keeper group; finds the leader through the seed nodes. */
import {randomInt} from 'node:crypto';
import type {
	Clock, GroupView, JobAnswer, JobCall,
} from '@bronzebend/core';
import type {NotLeading, PeerMessage} from '@bronzebend/wire';
import type {Log} from '../utils/log.js';
import {qualifyAnswer} from './qualified-answers.js';

/** Time limit for one attempt, in milliseconds; allows for several commits on a slow disk. */
const ATTEMPT_TIMEOUT_MS = 900;
/** Interval of the view queries that check whether the leader still leads, in milliseconds. */
const VIEW_QUERY_INTERVAL_MS = 250;
/** Silence of the leader after which the other nodes are queried as well, in milliseconds; one unanswered view query. */
const LEADER_DOUBT_MS = 350;
/** Silence after which the leader counts as lost, in milliseconds. */
const LEADER_TIMEOUT_MS = 1000;
/** Time without any leader after which calls no longer wait for one, in milliseconds; an election takes less. */
const LEADERLESS_MS = 1500;
/** Time for which a call then waits nevertheless, in milliseconds. */
const LEADERLESS_WAIT_MS = 200;
/** Longest retry delay given to callers while there is no leader, in milliseconds. */
const MAX_RETRY_MS = 4000;
/** Interval at which a call checks for a leader, in milliseconds. */
const LEADER_POLL_MS = 25;

/** Upper limit of the number of the first call; leaves enough numbers for the calls of any process. */
const MAX_FIRST_ID = 2 ** 47;

/** Options of a group client. */
export type GroupClientOptions = {
	node: string;
	/** Nodes named in the settings; they may no longer exist. */
	seeds(): string[];
	clock: Clock;
	log: Log;
	/** Time limit for one attempt, in milliseconds. */
	attemptTimeoutMs?: number;
	send(to: string, message: PeerMessage): void;
};

/** A client of the keeper group. */
export type GroupClient = ReturnType<typeof createGroupClient>;

/** Creates a client; it tracks the leader until it is closed. */
export const createGroupClient = ({node, seeds, clock, log, send, attemptTimeoutMs = ATTEMPT_TIMEOUT_MS}: GroupClientOptions) => {
	const pendingCalls = new Map<number, {to: string; resolve: (answer: JobAnswer | NotLeading | undefined) => void}>();
	let members: string[] = [];
	let leader: string | undefined;
	let lastContactMs = -Infinity;
	/** Since when there has been no leader; counts from the start of this client until the first one is found. */
	let leaderlessSinceMs = clock.monotonicMs();
	let view: GroupView | undefined;
	// A late answer to the process before this one on the same address must not match a call of this one.
	let lastId = randomInt(MAX_FIRST_ID);

	const setLeader = (next: string | undefined): void => {
		if (next === leader) {
			return;
		}

		log.info(next === undefined ? 'Lost the leader.' : 'Found the leader.', {leader: next, before: leader});
		leader = next;
		lastContactMs = clock.monotonicMs();
		leaderlessSinceMs = lastContactMs;
		if (next !== undefined) {
			// Calls are idempotent, so calls pending at an earlier leader are retried at the new one at once.
			for (const {to, resolve} of [...pendingCalls.values()].filter(entry => entry.to !== next)) {
				log.debug('Leader changed; retrying a pending call.', {before: to, leader: next});
				resolve(undefined);
			}
		}
	};

	const queryViews = (): void => {
		if (leader !== undefined && clock.monotonicMs() - lastContactMs > LEADER_TIMEOUT_MS) {
			setLeader(undefined);
		}

		// The keeper of this process, if there is one, may follow a leader while all seeds are gone, or lead.
		const isDoubtful = leader === undefined || clock.monotonicMs() - lastContactMs > LEADER_DOUBT_MS;
		const targets = new Set([...(leader === undefined ? [] : [leader]), ...(isDoubtful ? [node, ...members, ...seeds()] : [])]);
		for (const target of targets) {
			send(target, {type: 'view-query'});
		}
	};

	const timer = setInterval(queryViews, VIEW_QUERY_INTERVAL_MS);
	queryViews();

	const pause = async (): Promise<void> => new Promise(resolve => {
		setTimeout(resolve, LEADER_POLL_MS);
	});

	const attemptCall = async (to: string, call: JobCall, untilMs: number): Promise<JobAnswer | NotLeading | undefined> => new Promise(resolve => {
		lastId += 1;
		const id = lastId;
		const finish = (answer: JobAnswer | NotLeading | undefined): void => {
			clearTimeout(timeout);
			pendingCalls.delete(id);
			resolve(answer);
		};

		const timeout = setTimeout(finish, Math.max(1, Math.min(attemptTimeoutMs, untilMs - clock.monotonicMs())), undefined);
		pendingCalls.set(id, {to, resolve: finish});
		send(to, {type: 'job-call', id, call});
	});

	/** Grows with the time without a leader, so that callers do not use up their retries in a long outage. */
	const retryAfterMs = (): number => Math.min(MAX_RETRY_MS, Math.max(LEADER_TIMEOUT_MS, leader === undefined ? clock.monotonicMs() - leaderlessSinceMs : 0));

	return {
		leader: () => leader,
		/** Milliseconds since the last message from the leader; Infinity if there is no leader. */
		leaderSilenceMs: (): number => (leader === undefined ? Infinity : clock.monotonicMs() - lastContactMs),
		/** Longest request body that the manifest in force allows, in bytes; undefined before a leader's first view. */
		maxBodyBytes: () => view?.maxBodyBytes,

		/** Calls the leader until it answers or `waitMs` has passed; a duration, because the caller may use another clock. */
		async call(call: JobCall, waitMs: number): Promise<JobAnswer> {
			const startedMs = clock.monotonicMs();
			const untilMs = startedMs + waitMs;
			let inDoubt = false;
			// Each attempt depends on the outcome of the previous one.
			/* eslint-disable no-await-in-loop */
			while (clock.monotonicMs() < untilMs) {
				if (leader === undefined) {
					const nowMs = clock.monotonicMs();
					if (nowMs - leaderlessSinceMs > LEADERLESS_MS && nowMs - startedMs >= LEADERLESS_WAIT_MS) {
						break;
					}

					await pause();
					continue;
				}

				const target: string = leader;
				const answer = await attemptCall(target, call, untilMs);
				if (answer === undefined) {
					inDoubt = true;
					log.warn('The leader did not answer a call.', {leader: target, call: call.type, next: leader});
				} else if (answer.type === 'not-leading') {
					if (leader === target) {
						setLeader(answer.leader === target ? undefined : answer.leader);
					}

					await pause();
				} else {
					return inDoubt ? qualifyAnswer(call, answer) : answer;
				}
			}

			/* eslint-enable no-await-in-loop */
			return {
				type: 'unavailable', reason: inDoubt ? 'outcome-unknown' : 'no-leader', mayHaveRun: inDoubt, retryAfterMs: retryAfterMs(),
			};
		},

		/** Handles a message; returns false if it is not for a client. */
		receive(from: string, message: PeerMessage): boolean {
			if (message.type === 'job-answer') {
				if (from === leader) {
					lastContactMs = clock.monotonicMs();
				}

				const pending = pendingCalls.get(message.id);
				if (pending?.to === from) {
					pending.resolve(message.answer);
				}

				return true;
			}

			if (message.type !== 'view') {
				return false;
			}

			if (message.view.leading) {
				view = message.view;
				members = message.view.members;
				setLeader(from);
				lastContactMs = clock.monotonicMs();
			} else if (from === leader) {
				setLeader(undefined);
			} else if (leader === undefined && message.view.members.length > 0) {
				members = [...new Set([...members, ...message.view.members])];
				if (message.view.leader !== undefined && message.view.leader !== node) {
					send(message.view.leader, {type: 'view-query'});
				}
			}

			return true;
		},

		close(): void {
			clearInterval(timer);
		},
	};
};
