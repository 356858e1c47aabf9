/** The fault of a keeper that starts with an empty disk and is disturbed again before it has a vote. */
import type {Processes} from '../processes.js';
import {delayLinks, type createEffects} from './effects.js';
import type {CoreFault} from './faults.js';
import type {Links} from './links.js';
import type {Place} from './places.js';

/** Time for which the machine is down before it starts with an empty disk, in milliseconds. */
const DOWN_MS = 300;
/** Time for which the fault waits until its machine is a learner, in milliseconds, and how often it looks; learners become voters within some 200 ms. */
const MAX_LEARNER_WAIT_MS = 6000;
const LEARNER_POLL_MS = 5;

const pause = async (milliseconds: number): Promise<void> => new Promise(resolve => {
	setTimeout(resolve, milliseconds);
});

export const createLearnerFault = ({processes, links, everyoneExcept, darken, startSuccessor, exchangeInList, applyEffect}: {
	processes: Processes; links: Links;
	everyoneExcept(host: string): string[];
	/** Ends the process of a machine without a word to the others; returns a function that connects it again. */
	darken(host: string): Promise<() => void>;
	/** Starts an empty machine at another address, which it returns. */
	startSuccessor(): string;
	/** Names the successor of a machine to operators and workers. */
	exchangeInList(before: string, after: string): void;
	applyEffect: ReturnType<typeof createEffects>;
}) => {
	const waitForLearner = async (host: string): Promise<void> => {
		const untilMs = Date.now() + MAX_LEARNER_WAIT_MS;
		while (!processes.isLearner(host) && Date.now() < untilMs) {
			await pause(LEARNER_POLL_MS);
		}
	};

	return async ({
		isNew, since, afterMs, delayMs, effect,
	}: CoreFault & {type: 'learner'}, place: Place): Promise<void> => {
		const before = place.host;
		const heal = await darken(before);
		await pause(DOWN_MS);
		if (isNew) {
			place.host = startSuccessor();
			exchangeInList(before, place.host);
		} else {
			processes.wipe(before);
			heal();
			processes.start(before, false);
		}

		const endDelay = delayLinks(links, place.host, everyoneExcept(place.host), delayMs);
		if (since === 'learner') {
			await waitForLearner(place.host);
		}

		await pause(afterMs);
		const applying = applyEffect(place.host, effect);
		endDelay();
		await applying;
	};
};
