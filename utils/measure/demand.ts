/** The brief's demand: each queue asks five times its mean for some seconds, then a twentieth. */
import {createRandom} from '@bronzebend/core';

/** One request of the recorded demand. */
export type DemandedRequest = {atMs: number; entry: number; team: string; runMs: number};

/** Shape of the demand on one pool. */
export type DemandOptions = {
	seed: number;
	durationMs: number;
	entries: number;
	slots: number;
	meanRunMs: number;
	/** Mean load as a part of the pool's capacity. */
	load: number;
	/** Factor during a turn, and its length; a load of 1 with factor 5 overfills the pool. */
	turns: {high: number; low: number; highMs: number; lowMs: number};
	teams: ReadonlyArray<{team: string; weight: number; part: number}>;
	/** True where the balancer keeps each team's callers on entries of their own. */
	pinned?: boolean;
};

/** Records the demand on one pool; the same seed gives the same demand. */
export const recordDemand = (options: DemandOptions): DemandedRequest[] => {
	const {seed, durationMs, entries, slots, meanRunMs, load, turns, teams, pinned = false} = options;
	const random = createRandom(seed);
	const meanPerMs = load * slots / meanRunMs;
	const periodMs = turns.highMs + turns.lowMs;
	const requests: DemandedRequest[] = [];
	for (const [index, {team, part}] of teams.entries()) {
		const phaseMs = index * 700;
		const span = pinned ? Math.floor(entries / teams.length) : entries;
		const firstEntry = pinned ? index * span : 0;
		let atMs = 0;
		while (atMs < durationMs) {
			const isHigh = (atMs + phaseMs) % periodMs < turns.highMs;
			const ratePerMs = meanPerMs * part * (isHigh ? turns.high : turns.low);
			atMs += -Math.log(1 - random()) / ratePerMs;
			requests.push({
				atMs, entry: firstEntry + Math.floor(random() * span), team, runMs: Math.max(1, -Math.log(1 - random()) * meanRunMs),
			});
		}
	}

	return requests.filter(request => request.atMs < durationMs).sort((left, right) => left.atMs - right.atMs);
};
