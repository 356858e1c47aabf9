/** The places of the core machines of a soak, and which of them a fault may hit. */
import type {Target} from './faults.js';

/** The place of one core machine, which its successor takes over. */
export type Place = {
	host: string; isBusy: boolean; lostUntilMs: number;
	/** When its machine last got another disk or address, in Unix milliseconds. */
	renewedMs: number;
};

/** Picks the keepers that a fault may hit among those that are not disturbed. */
export const candidatesFor = (target: Target, free: readonly Place[], leader: string | undefined): Place[] => {
	switch (target) {
		case 'leader': {
			return free.filter(place => place.host === leader);
		}

		case 'follower': {
			return free.filter(place => place.host !== leader);
		}

		case 'oldest': {
			const oldestMs = Math.min(...free.map(place => place.renewedMs));
			return free.filter(place => place.renewedMs === oldestMs);
		}

		case 'any': {
			return [...free];
		}
	}
};
