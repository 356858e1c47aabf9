/** What happens for a time to one machine of a soak whose process runs. */
import type {Processes} from '../processes.js';
import type {Effect} from './faults.js';
import type {Links} from './links.js';

const pause = async (milliseconds: number): Promise<void> => new Promise(resolve => {
	setTimeout(resolve, milliseconds);
});

/** Cuts a host off from others without a notice to either side; returns a function that ends it. */
export const isolate = (links: Links, host: string, others: string[], direction: 'both' | 'in' | 'out'): (() => void) => {
	const heals = [
		...(direction === 'out' ? [] : [links.begin({from: others, to: [host], blocks: true})]),
		...(direction === 'in' ? [] : [links.begin({from: [host], to: others, blocks: true})]),
	];
	return () => {
		for (const heal of heals) {
			heal();
		}
	};
};

/** Delays the bytes between a host and others; returns a function that ends it. */
export const delayLinks = (links: Links, host: string, others: string[], delayMs: number): (() => void) => {
	const heals = [{from: [host], to: others}, {from: others, to: [host]}].map(effect => links.begin({...effect, delayMs}));
	return () => {
		for (const heal of heals) {
			heal();
		}
	};
};

/**
Creates what applies effects to machines.

@param known Hosts of all keepers that there were; the list may grow.
*/
export const createEffects = ({processes, links, known, entries}: {processes: Processes; links: Links; known: readonly string[]; entries: readonly string[]}) => {
	const coreExcept = (host: string): string[] => known.filter(other => other !== host);
	const everyoneExcept = (host: string): string[] => [...coreExcept(host), ...entries];

	/** Begins an effect; returns a function that ends it. */
	const begin = (host: string, effect: Exclude<Effect, {type: 'silence'}>): (() => void) => {
		switch (effect.type) {
			case 'cut': {
				return isolate(links, host, effect.isFromAll ? everyoneExcept(host) : coreExcept(host), effect.direction);
			}

			case 'freeze': {
				processes.freeze(host, true);
				return () => {
					processes.freeze(host, false);
				};
			}

			case 'slow-link': {
				return delayLinks(links, host, everyoneExcept(host), effect.delayMs);
			}

			case 'slow-disk': {
				processes.slowDisk(host, effect.delayMs);
				return () => {
					processes.slowDisk(host, 0);
				};
			}

			case 'full-disk': {
				processes.fillDisk(host, true);
				return () => {
					processes.fillDisk(host, false);
				};
			}
		}
	};

	/** Applies an effect; resolves once it is over. */
	return async (host: string, effect: Effect): Promise<void> => {
		if (effect.type === 'silence') {
			const others = coreExcept(host);
			for (const other of others) {
				links.silence(host, other);
				await pause(effect.forMs / others.length);
			}

			return;
		}

		const end = begin(host, effect);
		await pause(effect.forMs);
		end();
	};
};
