/** Calls to the leading keeper, wherever it is, from a process that knows a few keepers. */
import type {
	Clock, GroupView, JobAnswer, JobCall,
} from '@bronzebend/core';
import type {NotLeading, PeerMessage} from '@bronzebend/wire';
import type {Log} from '../utils/log.js';

/** Time that one try waits for its answer, in milliseconds; several commits on a slow disk. */
const TRY_MS = 900;
/** Pause between two questions to the leader whether it still leads, in milliseconds. */
const VIEW_MS = 250;
/** Silence of a leader after which the others are asked as well, in milliseconds; one question without an answer. */
const DOUBT_MS = 350;
/** Time without a word after which a leader is looked for anew, in milliseconds. */
const LEADER_SILENCE_MS = 1000;
/** Pause between two looks for a leader during a call, in milliseconds. */
const LOOK_MS = 25;

/** What a client is made of. */
export type GroupClientOptions = {
	node: string;
	/** Nodes that the settings name; they may be gone. */
	seeds(): string[];
	clock: Clock;
	log: Log;
	/** Time that one try waits for its answer, in milliseconds. */
	tryMs?: number;
	send(to: string, message: PeerMessage): void;
};

/** A client of the group. */
export type GroupClient = ReturnType<typeof createGroupClient>;

/** Creates a client; it keeps looking for the leader until it is closed. */
export const createGroupClient = ({node, seeds, clock, log, send, tryMs = TRY_MS}: GroupClientOptions) => {
	const waiting = new Map<number, {to: string; resolve: (answer: JobAnswer | NotLeading | undefined) => void}>();
	let members: string[] = [];
	let leader: string | undefined;
	let leaderHeardMs = -Infinity;
	let view: GroupView | undefined;
	let lastId = 0;

	const follow = (next: string | undefined): void => {
		if (next === leader) {
			return;
		}

		log.info(next === undefined ? 'Lost the leader.' : 'Found the leader.', {leader: next, before: leader});
		leader = next;
		leaderHeardMs = clock.monotonicMs();
		if (next !== undefined) {
			// Calls are idempotent, so those that went to an earlier leader need not wait for it.
			for (const {to, resolve} of [...waiting.values()].filter(entry => entry.to !== next)) {
				log.debug('Sending a call again.', {before: to, leader: next});
				resolve(undefined);
			}
		}
	};

	const ask = (): void => {
		if (leader !== undefined && clock.monotonicMs() - leaderHeardMs > LEADER_SILENCE_MS) {
			follow(undefined);
		}

		const isDoubtful = leader === undefined || clock.monotonicMs() - leaderHeardMs > DOUBT_MS;
		const targets = new Set([...(leader === undefined ? [] : [leader]), ...(isDoubtful ? [...members, ...seeds()] : [])]);
		for (const target of targets) {
			send(target, {type: 'view-query'});
		}
	};

	const timer = setInterval(ask, VIEW_MS);
	ask();

	const pause = async (): Promise<void> => new Promise(resolve => {
		setTimeout(resolve, LOOK_MS);
	});

	const tryOnce = async (to: string, call: JobCall, untilMs: number): Promise<JobAnswer | NotLeading | undefined> => new Promise(resolve => {
		lastId += 1;
		const id = lastId;
		const finish = (answer: JobAnswer | NotLeading | undefined): void => {
			clearTimeout(timeout);
			waiting.delete(id);
			resolve(answer);
		};

		const timeout = setTimeout(finish, Math.max(1, Math.min(tryMs, untilMs - clock.monotonicMs())), undefined);
		waiting.set(id, {to, resolve: finish});
		send(to, {type: 'job-call', id, call});
	});

	/** A refusal after a try without an answer is no longer certain. */
	const qualify = (answer: JobAnswer, inDoubt: boolean): JobAnswer => {
		if (inDoubt && (answer.type === 'rejected' || answer.type === 'unavailable')) {
			return {
				type: 'unavailable', reason: 'outcome-unknown', mayHaveRun: true, retryAfterMs: answer.retryAfterMs,
			};
		}

		return answer;
	};

	return {
		leader: () => leader,
		/** Milliseconds since the leader was last heard. */
		leaderSilenceMs: (): number => (leader === undefined ? Infinity : clock.monotonicMs() - leaderHeardMs),
		/** Longest body that the manifest in force allows; undefined before a leader told it. */
		maxBodyBytes: () => view?.maxBodyBytes,

		/** Calls the leader until it answers or the time is up; `waitMs` is a span, as the caller may go by another clock. */
		async call(call: JobCall, waitMs: number): Promise<JobAnswer> {
			const untilMs = clock.monotonicMs() + waitMs;
			let inDoubt = false;
			// Each try depends on how the one before ended.
			/* eslint-disable no-await-in-loop */
			while (clock.monotonicMs() < untilMs) {
				if (leader === undefined) {
					await pause();
					continue;
				}

				const asked: string = leader;
				const answer = await tryOnce(asked, call, untilMs);
				if (answer === undefined) {
					inDoubt = true;
					log.warn('The leader gave no answer in time.', {leader: asked, call: call.type, next: leader});
				} else if (answer.type === 'not-leading') {
					if (leader === asked) {
						follow(answer.leader === asked ? undefined : answer.leader);
					}

					await pause();
				} else {
					return qualify(answer, inDoubt);
				}
			}

			/* eslint-enable no-await-in-loop */
			return {
				type: 'unavailable', reason: inDoubt ? 'outcome-unknown' : 'no-leader', mayHaveRun: inDoubt, retryAfterMs: LEADER_SILENCE_MS,
			};
		},

		/** Takes a message; returns false where it is not for a client. */
		receive(from: string, message: PeerMessage): boolean {
			if (message.type === 'job-answer') {
				if (from === leader) {
					leaderHeardMs = clock.monotonicMs();
				}

				waiting.get(message.id)?.resolve(message.answer);
				return true;
			}

			if (message.type !== 'view') {
				return false;
			}

			if (message.view.leading) {
				view = message.view;
				members = message.view.members;
				follow(from);
				leaderHeardMs = clock.monotonicMs();
			} else if (from === leader) {
				follow(undefined);
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
