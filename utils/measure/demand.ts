/** Demand as the users state it: each team alternates between five times its mean rate for some seconds and a twentieth of it. */
import {createRandom} from '@bronzebend/core';

/** One request of the generated demand. */
export type RecordedRequest = {atMs: number; entry: number; team: string; runMs: number};

/** Parameters of the demand on one pool. */
export type DemandOptions = {
	seed: number;
	durationMs: number;
	entries: number;
	slots: number;
	meanRunMs: number;
	/** Mean load as a fraction of the pool's capacity. */
	load: number;
	/** Rate factors of the high and low phases, and their durations; a load of 1 with factor 5 exceeds the capacity of the pool. */
	turns: {high: number; low: number; highMs: number; lowMs: number};
	teams: ReadonlyArray<{team: string; weight: number; part: number}>;
	/** Whether the load balancer sends the callers of each team to a separate group of entries. */
	pinned?: boolean;
};

/** Generates the demand on one pool, sorted by time; the same seed gives the same demand. */
export const recordDemand = (options: DemandOptions): RecordedRequest[] => {
	const {seed, durationMs, entries, slots, meanRunMs, load, turns, teams, pinned = false} = options;
	const random = createRandom(seed);
	const meanPerMs = load * slots / meanRunMs;
	const periodMs = turns.highMs + turns.lowMs;
	const requests: RecordedRequest[] = [];
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
