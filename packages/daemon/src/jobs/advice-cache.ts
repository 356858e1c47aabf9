/** Caches the advice service's tickets for each step, and requests missing ones, one call at a time. */
import type {Clock, Job} from '@bronzebend/core';
import type {Log} from '../utils/log.js';
import type {AdvicePort} from './ports.js';

/** Workers named in one call at most; each one makes the call take longer. */
const MAX_WORKERS_PER_CALL = 30;
/** Share of a ticket's validity during which it is used; orders take a while to reach the worker. */
const USABLE_VALIDITY_SHARE = 0.8;
/** Waiting calls at most; further requests are dropped. */
const MAX_WAITING = 64;
/** Pause after a call that got no answer, in milliseconds. */
const RETRY_MS = 300;

type CachedAdvice = {tickets: Map<string, string>; untilMs: number};

/** A cache of advice by step. */
export type AdviceCache = ReturnType<typeof createAdviceCache>;

/** Creates an empty cache; `onAdvice` is called after each answer of the advice service. */
export const createAdviceCache = (options: {port: AdvicePort | undefined; clock: Clock; log: Log; onAdvice(): void}) => {
	const {port, clock, log} = options;
	const adviceByStep = new Map<string, CachedAdvice>();
	const waiting = new Map<string, string[]>();
	let isBusy = false;
	let isClosed = false;
	const isOpen = (): boolean => !isClosed;

	const key = (job: Job, occurrence: number, step: number): string => `${job.order.id}.${occurrence}.${step}`;

	const fetchAdvice = async (step: string, workers: string[]): Promise<void> => {
		const advice = await port!.advise(step, workers);
		if (!advice) {
			log.warn('The advice service gave no answer for a step.', {step, workers: workers.length});
			await new Promise(resolve => {
				setTimeout(resolve, RETRY_MS);
			});
			return;
		}

		log.debug('Received advice for a step.', {step, asked: workers.length, approved: advice.tickets.size});
		const before = adviceByStep.get(step);
		const tickets = before && before.untilMs > clock.monotonicMs() ? new Map([...before.tickets, ...advice.tickets]) : advice.tickets;
		adviceByStep.set(step, {tickets, untilMs: clock.monotonicMs() + (advice.validityMs * USABLE_VALIDITY_SHARE)});
		options.onAdvice();
	};

	const processQueue = async (): Promise<void> => {
		isBusy = true;
		try {
			while (waiting.size > 0 && isOpen()) {
				const [step, workers] = [...waiting][0]!;
				waiting.delete(step);
				// The service handles one call at a time.
				// eslint-disable-next-line no-await-in-loop
				await fetchAdvice(step, workers);
			}
		} finally {
			isBusy = false;
		}
	};

	const current = (step: string): CachedAdvice | undefined => {
		const advice = adviceByStep.get(step);
		return advice && clock.monotonicMs() < advice.untilMs ? advice : undefined;
	};

	return {
		/** Workers that a step may run on; undefined if there is no valid advice. */
		approved(job: Job, occurrence: number, step: number): ReadonlySet<string> | undefined {
			const advice = current(key(job, occurrence, step));
			return advice && new Set(advice.tickets.keys());
		},

		ticket: (job: string, occurrence: number, step: number, worker: string): string | undefined => current(`${job}.${occurrence}.${step}`)?.tickets.get(worker),

		/** Queues a call for a step, unless one is waiting already, the queue is full or there is no advice service. */
		request(job: Job, occurrence: number, step: number, workers: string[]): void {
			const name = key(job, occurrence, step);
			if (!port || waiting.has(name) || waiting.size >= MAX_WAITING || workers.length === 0) {
				return;
			}

			waiting.set(name, workers.slice(0, MAX_WORKERS_PER_CALL));
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
