/** Plans how each team's upper limit is split over the pools, from the demand that dispatchers report. */
import {weightedMaxMin} from '../dispatch/weighted-share.js';
import type {GrantChange} from '../control/grants.js';

/** Demand of one team in one pool, from the pool's dispatcher. */
export type PoolDemand = {pool: string; team: string; running: number; waiting: number};

/** Portions of one team's limit as they stand. */
export type TeamGrants = {team: string; limit: number; byPool: ReadonlyMap<string, number>};

/** What the planner wants: growth can be committed, shrinks must be acknowledged first. */
export type GrantPlan = {
	growth: GrantChange[];
	shrinks: Array<{pool: string; team: string; target: number}>;
};

/** Whole units of each pool under a limit; fractions go to the largest remainders. */
const roundDown = (exact: readonly number[], limit: number): number[] => {
	const floors = exact.map(value => Math.floor(value + 1e-9));
	let left = Math.min(limit, Math.round(exact.reduce((sum, value) => sum + value, 0))) - floors.reduce((sum, value) => sum + value, 0);
	const byRemainder = exact.map((value, index) => ({index, remainder: value - floors[index]!}));
	byRemainder.sort((first, second) => second.remainder - first.remainder || first.index - second.index);
	for (const {index} of byRemainder) {
		if (left <= 0) {
			break;
		}

		floors[index]! += 1;
		left -= 1;
	}

	return floors;
};

/** True where the whole limit is granted and every pool has what it asks for. */
const isSettled = ({limit, byPool}: TeamGrants, demandOf: ReadonlyMap<string, PoolDemand>): boolean => {
	const total = [...byPool.values()].reduce((sum, amount) => sum + amount, 0);
	return total === limit && [...demandOf.values()].every(({pool, running, waiting}) => running + waiting <= (byPool.get(pool) ?? 0));
};

/**
Plans one team's portions, from the team's demand in each pool.

Pools with demand get the max-min split of the limit. What the demand leaves over stays spread
over all pools of the team, so that a pool whose demand returns can start at once.
*/
export const planTeamGrants = (grants: TeamGrants, demands: readonly PoolDemand[], pools: readonly string[]): GrantPlan => {
	const demandOf = new Map(demands.map(demand => [demand.pool, demand]));
	if (isSettled(grants, demandOf)) {
		return {growth: [], shrinks: []};
	}

	const names = [...new Set([...pools, ...grants.byPool.keys(), ...demandOf.keys()])].sort();
	const needs = names.map(pool => {
		const demand = demandOf.get(pool);
		return {weight: 1, demand: demand ? demand.running + demand.waiting : 0};
	});
	const exact = weightedMaxMin(grants.limit, needs);
	const used = exact.reduce((sum, value) => sum + value, 0);
	const spare = Math.max(0, grants.limit - used);
	const perPool = names.length > 0 ? spare / names.length : 0;
	const targets = roundDown(exact.map(value => value + perPool), grants.limit);

	const current = names.map(pool => grants.byPool.get(pool) ?? 0);
	const needy = names.some((_, index) => needs[index]!.demand > current[index]! && targets[index]! > current[index]!);
	const total = current.reduce((sum, value) => sum + value, 0);
	const shrinks = needy || total > grants.limit
		? names.flatMap((pool, index) => (targets[index]! < current[index]! ? [{pool, team: grants.team, target: targets[index]!}] : []))
		: [];

	let room = grants.limit - total;
	const growth: GrantChange[] = [];
	const byNeed = names.map((_, index) => index);
	byNeed.sort((left, right) => (needs[right]!.demand - current[right]!) - (needs[left]!.demand - current[left]!));
	for (const index of byNeed) {
		const step = Math.min(room, targets[index]! - current[index]!);
		if (step > 0) {
			growth.push({pool: names[index]!, team: grants.team, amount: current[index]! + step});
			room -= step;
		}
	}

	return {growth, shrinks};
};
