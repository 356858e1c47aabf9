/** Caches the advice service's decisions for each step, and requests missing ones, one call at a time. */
import type {Clock, Job} from '@bronzebend/core';
import type {Log} from '../utils/log.js';
import {pause} from '../utils/pause.js';
import type {AdvicePort} from './ports.js';

/** Workers named in one call at most; each one makes the call take longer. */
const MAX_WORKERS_PER_CALL = 30;
/** Share of a ticket's validity during which it is used; orders take a while to reach the worker. */
const USABLE_VALIDITY_SHARE = 0.8;
/** Waiting calls of one queue at most; its further requests are dropped. */
const MAX_WAITING = 64;
/** Number of a queue's calls of which one goes to its oldest request, whether or not its step has a valid ticket. */
const OLDEST_FIRST_EVERY = 4;
/** Pause after a call that got no answer, in milliseconds. */
const RETRY_MS = 300;
/** Number of cached steps above which those that were not used for a while are removed. */
const MAX_STEPS = 1000;
/** Time without use after which a step may be removed, in milliseconds. */
const UNUSED_STEP_MS = 10_000;

/** A worker that advice may be requested for, in one of its lives. */
export type AdvisableWorker = {life: string; id: string};

/** The decisions for one step, by the worker's life. */
type StepAdvice = {
	tickets: Map<string, {ticket: string; untilMs: number}>;
	/** Lives that the policy does not allow; a decision does not change. */
	denied: Set<string>;
	usedMs: number;
};

/** A cache of advice by step. */
export type AdviceCache = ReturnType<typeof createAdviceCache>;

/** Creates an empty cache; `onAdvice` is called after each answer of the advice service. */
export const createAdviceCache = (options: {port: AdvicePort | undefined; clock: Clock; log: Log; onAdvice(): void}) => {
	const {port, clock, log} = options;
	const adviceByStep = new Map<string, StepAdvice>();
	/** Requests by queue and step. Queues take turns, the first one next, so that none waits for another's backlog; steps without any valid ticket go first in most of a queue's calls. */
	const waiting = new Map<string, Map<string, readonly AdvisableWorker[]>>();
	/** Number of calls by queue. */
	const calls = new Map<string, number>();
	let askedStep: string | undefined;
	let isBusy = false;
	let isClosed = false;
	const isOpen = (): boolean => !isClosed;

	const key = (job: Job, occurrence: number, step: number): string => `${job.order.id}.${occurrence}.${step}`;

	const removeUnused = (): void => {
		if (adviceByStep.size <= MAX_STEPS) {
			return;
		}

		for (const [step, {usedMs}] of adviceByStep) {
			if (clock.monotonicMs() - usedMs > UNUSED_STEP_MS) {
				adviceByStep.delete(step);
			}
		}
	};

	const adviceOf = (step: string): StepAdvice => {
		const advice = adviceByStep.get(step) ?? {tickets: new Map(), denied: new Set(), usedMs: 0};
		advice.usedMs = clock.monotonicMs();
		adviceByStep.set(step, advice);
		return advice;
	};

	const validTicket = (advice: StepAdvice | undefined, life: string): string | undefined => {
		const found = advice?.tickets.get(life);
		return found && clock.monotonicMs() < found.untilMs ? found.ticket : undefined;
	};

	const hasValidTicket = (step: string): boolean => {
		const advice = adviceByStep.get(step);
		return advice !== undefined && [...advice.tickets.keys()].some(life => validTicket(advice, life) !== undefined);
	};

	/** The next workers to name: known to be allowed first, then unknown ones, in the order of the request. */
	const choose = (step: string, workers: readonly AdvisableWorker[]): AdvisableWorker[] => {
		const advice = adviceOf(step);
		const open = workers.filter(({life}) => !advice.denied.has(life) && validTicket(advice, life) === undefined);
		const isKnown = ({life}: AdvisableWorker): boolean => advice.tickets.has(life);
		return [...open.filter(worker => isKnown(worker)), ...open.filter(worker => !isKnown(worker))].slice(0, MAX_WORKERS_PER_CALL);
	};

	const fetchAdvice = async (step: string, workers: readonly AdvisableWorker[]): Promise<void> => {
		const asked = choose(step, workers);
		if (asked.length === 0) {
			return;
		}

		const answer = await port!.advise(step, asked.map(({id}) => id));
		if (!answer) {
			log.warn('The advice service gave no answer for a step.', {step, workers: asked.length});
			await pause(RETRY_MS);
			return;
		}

		log.debug('Received advice for a step.', {step, asked: asked.length, approved: answer.tickets.size});
		const advice = adviceOf(step);
		const untilMs = clock.monotonicMs() + (answer.validityMs * USABLE_VALIDITY_SHARE);
		for (const {life, id} of asked) {
			const ticket = answer.tickets.get(id);
			if (ticket === undefined) {
				advice.denied.add(life);
			} else {
				advice.tickets.set(life, {ticket, untilMs});
			}
		}

		removeUnused();
		options.onAdvice();
	};

	/** Takes the next request off the queue whose turn it is, which then goes behind the others. */
	const takeNext = (): {step: string; workers: readonly AdvisableWorker[]} => {
		const [queue, requests] = waiting.entries().next().value!;
		const steps = [...requests.keys()];
		const count = (calls.get(queue) ?? 0) + 1;
		calls.set(queue, count);
		const step = (count % OLDEST_FIRST_EVERY === 0 ? undefined : steps.find(each => !hasValidTicket(each))) ?? steps[0]!;
		const workers = requests.get(step)!;
		requests.delete(step);
		waiting.delete(queue);
		if (requests.size > 0) {
			waiting.set(queue, requests);
		}

		return {step, workers};
	};

	const processQueue = async (): Promise<void> => {
		isBusy = true;
		try {
			while (waiting.size > 0 && isOpen()) {
				const {step, workers} = takeNext();
				askedStep = step;
				// The service handles one call at a time.
				// eslint-disable-next-line no-await-in-loop
				await fetchAdvice(step, workers);
				askedStep = undefined;
			}
		} finally {
			askedStep = undefined;
			isBusy = false;
		}
	};

	return {
		/** Lives that a step may run on; undefined if nothing is known yet, or no ticket is valid although the policy allows some. */
		approved(job: Job, occurrence: number, step: number): ReadonlySet<string> | undefined {
			const advice = adviceByStep.get(key(job, occurrence, step));
			if (!advice) {
				return undefined;
			}

			const lives = [...advice.tickets.keys()].filter(life => validTicket(advice, life) !== undefined);
			return lives.length === 0 && (advice.tickets.size > 0 || advice.denied.size === 0) ? undefined : new Set(lives);
		},

		ticket: (job: string, occurrence: number, step: number, life: string): string | undefined => validTicket(adviceByStep.get(`${job}.${occurrence}.${step}`), life),

		/** Requests decisions on workers for a step, the most useful workers first; does nothing if all are known, the step's call is under way, too many of the queue's steps wait or there is no advice service. */
		request(job: Job, occurrence: number, step: number, workers: readonly AdvisableWorker[]): void {
			const name = key(job, occurrence, step);
			const {queue} = job.order;
			const requests = waiting.get(queue) ?? new Map<string, readonly AdvisableWorker[]>();
			if (!port || name === askedStep || (!requests.has(name) && requests.size >= MAX_WAITING) || choose(name, workers).length === 0) {
				return;
			}

			requests.set(name, workers);
			waiting.set(queue, requests);
			if (!isBusy) {
				processQueue().catch((error: unknown) => {
					log.error('Processing the queue of advice requests failed.', {cause: String(error)});
				});
			}
		},

		close(): void {
			isClosed = true;
		},
	};
};
