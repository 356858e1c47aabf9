/** Closeness to share, utilisation and added wait of three dispatch strategies, and goodput under overload. */
import {recordDemand} from './demand.js';
import {
	runEntriesAlone, runPoolDispatcher, runTradedLeases, type DispatchResult, type PoolShape,
} from './dispatch-strategies.js';
import {mean, percentile, type Figure} from './table.js';

const SEED = 20_261_204;
const MEAN_RUN_MS = 200;

const shape: PoolShape = {
	backends: 8,
	slots: 8,
	entries: 9,
	hopMs: 1,
	teams: [{team: 'hotel-chain', weight: 2}, {team: 'service-desk', weight: 3}, {team: 'cafes', weight: 2}],
	maxWaiting: 100_000,
	deadlineMs: 3_600_000,
};

const teamShares = [{team: 'hotel-chain', weight: 2, part: 0.6}, {team: 'service-desk', weight: 3, part: 0.25}, {team: 'cafes', weight: 2, part: 0.15}];
const turns = {
	high: 5, low: 0.05, highMs: 20_000, lowMs: 20_000,
};
const steady = {
	high: 1, low: 1, highMs: 1000, lowMs: 1000,
};

const baselineStrategies = {
	'entries alone': runEntriesAlone,
	'traded leases': runTradedLeases,
};

const allWaits = (result: DispatchResult): number[] => [...result.waits.values()].flat();

const demandOf = (durationMs: number, load: number, shapeOfTurns: typeof turns, pinned = false) => recordDemand({
	seed: SEED, durationMs, entries: shape.entries, slots: shape.backends * shape.slots, meanRunMs: MEAN_RUN_MS, load, turns: shapeOfTurns, teams: teamShares, pinned,
});

const compare = (read: (result: DispatchResult) => number, results: ReadonlyMap<string, DispatchResult>): Record<string, number> => Object.fromEntries([...results].map(([name, result]) => [name, read(result)]));

/** Measures shares, utilisation and waits of each strategy. */
export const measureDispatch = async (): Promise<Figure[]> => {
	const section = 'dispatch';
	const full = demandOf(120_000, 1, turns);
	const half = demandOf(60_000, 0.5, steady);
	const ours = runPoolDispatcher(shape, full, 120_000);
	const others = new Map(Object.entries(baselineStrategies).map(([name, run]) => [name, run(shape, full, 120_000)]));
	const pinnedDemand = demandOf(120_000, 1, turns, true);
	const oursPinned = runPoolDispatcher(shape, pinnedDemand, 120_000);
	const othersPinned = new Map(Object.entries(baselineStrategies).map(([name, run]) => [name, run(shape, pinnedDemand, 120_000)]));
	const oursHalf = runPoolDispatcher(shape, half, 60_000);
	const othersHalf = new Map(Object.entries(baselineStrategies).map(([name, run]) => [name, run(shape, half, 60_000)]));
	const waitFigures = shape.teams.map(({team}): Figure => ({
		section, name: `wait p99 of ${team} under turns of demand`, unit: 'ms', ours: percentile(ours.waits.get(team) ?? [], 0.99), baselines: compare(result => percentile(result.waits.get(team) ?? [], 0.99), others),
	}));
	return [
		{
			section, name: `worst gap to the exact share over 10 s, of the team's share (${ours.fullWindows} full windows)`, unit: '%', ours: ours.worstGap * 100, baselines: compare(result => result.worstGap * 100, others), target: 'at most 1 %', met: ours.worstGap <= 0.01,
		},
		{
			section, name: 'the same gap as a part of the pool', unit: '%', ours: ours.worstGapOfPool * 100, baselines: compare(result => result.worstGapOfPool * 100, others),
		},
		{
			section, name: 'utilisation while full', unit: '%', ours: ours.utilisation * 100, baselines: compare(result => result.utilisation * 100, others), target: 'at least 98 %', met: ours.utilisation >= 0.98,
		},
		{
			section, name: 'worst gap with each team\'s callers on three entries', unit: '%', ours: oursPinned.worstGap * 100, baselines: compare(result => result.worstGap * 100, othersPinned),
		},
		{
			section, name: 'utilisation with each team\'s callers on three entries', unit: '%', ours: oursPinned.utilisation * 100, baselines: compare(result => result.utilisation * 100, othersPinned),
		},
		{
			section, name: 'wait at half load, mean', unit: 'ms', ours: mean(allWaits(oursHalf)), baselines: compare(result => mean(allWaits(result)), othersHalf), target: 'under 3 ms', met: mean(allWaits(oursHalf)) < 3,
		},
		{
			section, name: 'wait at half load, p99', unit: 'ms', ours: percentile(allWaits(oursHalf), 0.99), baselines: compare(result => percentile(allWaits(result), 0.99), othersHalf),
		},
		...waitFigures,
	];
};

const DEADLINE_MS = 3200;

/** Measures goodput at five times capacity relative to goodput at capacity. */
export const measureOverload = async (): Promise<Figure[]> => {
	const section = 'overload';
	const durationMs = 60_000;
	const bounded: PoolShape = {...shape, maxWaiting: 1000, deadlineMs: DEADLINE_MS};
	const quiet = {team: 'cafes', weight: 2, part: 0.03};
	const teams = [{team: 'hotel-chain', weight: 2, part: 0.9}, {team: 'service-desk', weight: 3, part: 0.07}, quiet];
	const at = (load: number) => recordDemand({
		seed: SEED, durationMs, entries: shape.entries, slots: 64, meanRunMs: MEAN_RUN_MS, load, turns: steady, teams,
	});
	const capacity = runPoolDispatcher(bounded, at(1), durationMs);
	const overload = runPoolDispatcher(bounded, at(5), durationMs);
	const unbounded = runPoolDispatcher({...shape, deadlineMs: 3_600_000}, at(5), durationMs);
	const late = [...unbounded.waits.values()].flat().filter(wait => wait > DEADLINE_MS).length;
	const unboundedGood = [...unbounded.waits.values()].flat().length - late;
	const cost = performance.now();
	runPoolDispatcher(bounded, at(5), 10_000);
	const spentMs = performance.now() - cost;
	return [
		{
			section, name: 'goodput at 5× capacity, of that at capacity', unit: '%', ours: 100 * overload.finished / capacity.finished, baselines: {'no bounds, no early refusal': 100 * unboundedGood / capacity.finished}, target: 'at least 95 %', met: overload.finished >= 0.95 * capacity.finished,
		},
		{
			section, name: 'refusals of a team within its share', unit: '', ours: overload.refused.get('cafes') ?? 0, target: '0', met: (overload.refused.get('cafes') ?? 0) === 0,
		},
		{
			section, name: 'wait p99 of a team within its share', unit: 'ms', ours: percentile(overload.waits.get('cafes') ?? [], 0.99), baselines: {'no bounds, no early refusal': percentile(unbounded.waits.get('cafes') ?? [], 0.99)}, target: 'urgent work starts within 3,200 ms', met: percentile(overload.waits.get('cafes') ?? [], 0.99) <= DEADLINE_MS,
		},
		{
			section, name: 'processor time of the decisions, per offered request at 5× capacity', unit: 'µs', ours: spentMs * 1000 / at(5).filter(request => request.atMs < 10_000).length,
		},
	];
};
