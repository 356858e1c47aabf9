/** Plans how each team's upper limit is divided among the pools, from the demand that dispatchers report. */
import {weightedMaxMin} from '../dispatch/weighted-share.js';
import type {GrantChange} from '../control/grants.js';

/** Demand of one team in one pool, from the pool's dispatcher. */
export type PoolDemand = {pool: string; team: string; running: number; waiting: number};

/** Current portions of one team's limit. */
export type TeamGrants = {team: string; limit: number; byPool: ReadonlyMap<string, number>};

/** Planned changes: growth can be committed at once, shrinks must be acknowledged by the dispatchers first. */
export type GrantPlan = {
	growth: GrantChange[];
	shrinks: Array<{pool: string; team: string; target: number}>;
};

/** Rounds the pools' portions to whole units within a limit, by the largest-remainder method. */
const roundDown = (exact: readonly number[], limit: number): number[] => {
	const floors = exact.map(value => Math.floor(value + 1e-9));
	let unassigned = Math.min(limit, Math.round(exact.reduce((sum, value) => sum + value, 0))) - floors.reduce((sum, value) => sum + value, 0);
	const byRemainder = exact.map((value, index) => ({index, remainder: value - floors[index]!}));
	byRemainder.sort((first, second) => second.remainder - first.remainder || first.index - second.index);
	for (const {index} of byRemainder) {
		if (unassigned <= 0) {
			break;
		}

		floors[index]! += 1;
		unassigned -= 1;
	}

	return floors;
};

/** Whether the whole limit is granted and each pool's portion covers its demand. */
const isSettled = ({limit, byPool}: TeamGrants, demandOf: ReadonlyMap<string, PoolDemand>): boolean => {
	const total = [...byPool.values()].reduce((sum, amount) => sum + amount, 0);
	return total === limit && [...demandOf.values()].every(({pool, running, waiting}) => running + waiting <= (byPool.get(pool) ?? 0));
};

/**
Plans one team's portions, from the team's demand in each pool.

Pools with demand get max-min fair portions of the limit. The rest is spread evenly over all pools
of the team, so that a pool whose demand returns can start work at once.
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
	const sparePerPool = names.length > 0 ? spare / names.length : 0;
	const targets = roundDown(exact.map(value => value + sparePerPool), grants.limit);

	const current = names.map(pool => grants.byPool.get(pool) ?? 0);
	const hasUnmetDemand = names.some((_, index) => needs[index]!.demand > current[index]! && targets[index]! > current[index]!);
	const total = current.reduce((sum, value) => sum + value, 0);
	const shrinks = hasUnmetDemand || total > grants.limit
		? names.flatMap((pool, index) => (targets[index]! < current[index]! ? [{pool, team: grants.team, target: targets[index]!}] : []))
		: [];

	let available = grants.limit - total;
	const growth: GrantChange[] = [];
	const byNeed = names.map((_, index) => index);
	byNeed.sort((left, right) => (needs[right]!.demand - current[right]!) - (needs[left]!.demand - current[left]!));
	for (const index of byNeed) {
		const increase = Math.min(available, targets[index]! - current[index]!);
		if (increase > 0) {
			growth.push({pool: names[index]!, team: grants.team, amount: current[index]! + increase});
			available -= increase;
		}
	}

	return {growth, shrinks};
};
