/** Keeps what the advising service said of each step, and asks for what is missing, one call at a time. */
import type {Clock, Job} from '@bronzebend/core';
import type {Log} from '../utils/log.js';
import type {AdvicePort} from './ports.js';

/** Workers named in one call; each lengthens it. */
const MAX_WORKERS = 30;
/** Part of a ticket's validity after which it is not used any more; orders take a while to arrive. */
const USABLE = 0.8;
/** Calls that wait at most. */
const MAX_WAITING = 64;
/** Pause after a call without an answer, in milliseconds. */
const RETRY_MS = 300;

type Held = {tickets: Map<string, string>; untilMs: number};

/** The desk. */
export type AdviceDesk = ReturnType<typeof createAdviceDesk>;

/** Creates the desk; `onAdvice` is called when new advice is there. */
export const createAdviceDesk = (options: {port: AdvicePort | undefined; clock: Clock; log: Log; onAdvice(): void}) => {
	const {port, clock, log} = options;
	const held = new Map<string, Held>();
	const waiting = new Map<string, string[]>();
	let isBusy = false;
	let isClosed = false;
	const isOpen = (): boolean => !isClosed;

	const key = (job: Job, occurrence: number, step: number): string => `${job.order.id}.${occurrence}.${step}`;

	const ask = async (step: string, workers: string[]): Promise<void> => {
		const advice = await port!.advise(step, workers);
		if (!advice) {
			log.warn('No advice on a step.', {step, workers: workers.length});
			await new Promise(resolve => {
				setTimeout(resolve, RETRY_MS);
			});
			return;
		}

		log.debug('Advice on a step.', {step, asked: workers.length, approved: advice.tickets.size});
		const before = held.get(step);
		const tickets = before && before.untilMs > clock.monotonicMs() ? new Map([...before.tickets, ...advice.tickets]) : advice.tickets;
		held.set(step, {tickets, untilMs: clock.monotonicMs() + (advice.validityMs * USABLE)});
		options.onAdvice();
	};

	const pump = async (): Promise<void> => {
		isBusy = true;
		try {
			while (waiting.size > 0 && isOpen()) {
				const [step, workers] = [...waiting][0]!;
				waiting.delete(step);
				// The service handles one call at a time.
				// eslint-disable-next-line no-await-in-loop
				await ask(step, workers);
			}
		} finally {
			isBusy = false;
		}
	};

	const current = (step: string): Held | undefined => {
		const advice = held.get(step);
		return advice && clock.monotonicMs() < advice.untilMs ? advice : undefined;
	};

	return {
		/** Workers that a step may run on; undefined where that is not known now. */
		approved(job: Job, occurrence: number, step: number): ReadonlySet<string> | undefined {
			const advice = current(key(job, occurrence, step));
			return advice && new Set(advice.tickets.keys());
		},

		ticket: (job: string, occurrence: number, step: number, worker: string): string | undefined => current(`${job}.${occurrence}.${step}`)?.tickets.get(worker),

		/** Asks about a step once. */
		request(job: Job, occurrence: number, step: number, workers: string[]): void {
			const name = key(job, occurrence, step);
			if (!port || waiting.has(name) || waiting.size >= MAX_WAITING || workers.length === 0) {
				return;
			}

			waiting.set(name, workers.slice(0, MAX_WORKERS));
			if (!isBusy) {
				pump().catch((error: unknown) => {
					log.error('Asking for advice failed.', {cause: String(error)});
				});
			}
		},

		close(): void {
			isClosed = true;
		},
	};
};
