import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	createFleetBalancer, createRandom, createTurnForecast, type MachineDemand, type MovableMachine, type TurnForecast,
} from '@bronzebend/core';

const FLEET_SIZE = 100;
const STEP_MS = 200;
const POOLS = ['a', 'b', 'c', 'd'];

/** Feeds a forecast with turns, each of a pool from a time, with the workers that its arriving work needs. */
const play = (forecast: TurnForecast, turns: ReadonlyArray<{pool: string; fromMs: number; untilMs: number; workers?: number; jobs?: number}>, untilMs: number): void => {
	for (let nowMs = 0; nowMs <= untilMs; nowMs += STEP_MS) {
		forecast.observe(new Map(POOLS.map(pool => {
			const turn = turns.find(each => each.pool === pool && nowMs >= each.fromMs && nowMs < each.untilMs);
			return [pool, {workers: turn?.workers ?? (turn ? 30 : 1), jobs: turn?.jobs ?? (turn ? 20 : 0)}];
		})), FLEET_SIZE, nowMs);
	}
};

const inOrder = (order: string, lengthMs: number): Array<{pool: string; fromMs: number; untilMs: number}> => [...order].map((pool, index) => ({pool, fromMs: index * lengthMs, untilMs: (index + 1) * lengthMs}));

describe('the forecast of turns', () => {
	it('should expect the only pool without a turn after the others', () => {
		const forecast = createTurnForecast();
		play(forecast, inOrder('abc', 4000), 9000);
		assert.deepEqual(forecast.next(POOLS), {
			pool: 'd', startMs: 12_000, spreadMs: 0, workers: 30,
		});
	});

	it('should expect the turns in the order that they had before', () => {
		const forecast = createTurnForecast();
		play(forecast, inOrder('acbdac', 4000), 21_000);
		assert.equal(forecast.next(POOLS)?.pool, 'b');
		assert.equal(forecast.next(POOLS)?.startMs, 24_000);
	});

	// Guards against machines that are moved for a pool at random.
	it('should expect nothing while two pools have had no turn, or without a regular pattern', () => {
		const early = createTurnForecast();
		play(early, inOrder('ab', 4000), 7000);
		assert.equal(early.next(POOLS), undefined);
		const random = createRandom(7);
		let fromMs = 0;
		const irregular = Array.from({length: 12}, (_, index) => {
			const lengthMs = 1500 + (12_000 * random());
			fromMs += lengthMs;
			return {pool: POOLS[index % 4]!, fromMs: fromMs - lengthMs, untilMs: fromMs};
		});
		const forecast = createTurnForecast();
		play(forecast, irregular, fromMs - 1);
		assert.equal(forecast.next(POOLS), undefined);
	});

	// Guards against an outage or a few large jobs that are taken for the begin of a turn.
	it('should ignore pauses within a turn, and rises of few jobs', () => {
		const forecast = createTurnForecast();
		const [first, ...others] = inOrder('abc', 4000);
		play(forecast, [{...first!, untilMs: 1600}, {...first!, fromMs: 2400}, {
			pool: 'd', fromMs: 5000, untilMs: 7000, workers: 40, jobs: 2,
		}, ...others], 9000);
		assert.equal(forecast.next(POOLS)?.pool, 'd');
		assert.equal(forecast.next(POOLS)?.startMs, 12_000);
	});

	it('should expect as many workers as the pool\'s latest turn needed', () => {
		const forecast = createTurnForecast();
		play(forecast, inOrder('abcd', 4000).map(turn => ({...turn, workers: turn.pool === 'a' ? 60 : 30})), 14_000);
		assert.equal(forecast.next(POOLS)?.pool, 'a');
		assert.equal(forecast.next(POOLS)?.workers, 60);
	});
});

const capacity = {cpu: 4000, memoryMb: 4000, gpu: 0};
const none = {cpu: 0, memoryMb: 0, gpu: 0};
const demandOf = (workers: number): MachineDemand => ({
	wanted: none, urgent: none, late: none, lasting: none, arrivingCpu: workers * capacity.cpu, arrivingMemoryMb: 0, riseFactor: 1, arrivingJobs: workers > 1 ? 20 : 0, spread: 0,
});

describe('a balancer that has seen the turns of three of four pools', () => {
	/** Plays turns of 4 s with moves that take effect at once; returns the machines of each pool at a time. */
	const countAt = (untilMs: number, forecasts: boolean, firstMs = 0): Map<string, number> => {
		const balancer = createFleetBalancer({drains: true, lends: true, forecasts});
		const machines = Array.from({length: FLEET_SIZE}, (_, index): MovableMachine => ({
			name: `m${index}`, pool: 'spare', capacity, kind: 'x', isIdle: true,
		}));
		for (let nowMs = firstMs; nowMs <= untilMs; nowMs += STEP_MS) {
			const count = (pool: string): number => machines.filter(machine => machine.pool === pool).length;
			const moves = balancer.step({
				pools: [...POOLS.map(name => ({name, guardsCapacity: true, standby: false})), {name: 'spare', guardsCapacity: true, standby: true}],
				demands: new Map(POOLS.map((pool, index) => [pool, demandOf(Math.floor(nowMs / 4000) === index ? 30 : 1)])),
				workers: new Map(POOLS.map(pool => [pool, count(pool)])),
				machines,
				poolOfMachine: new Map(machines.map(machine => [machine.name, machine.pool])),
				fleetSize: FLEET_SIZE,
				maxMoves: 11,
				nowMs,
			});
			for (const {machine, to} of moves) {
				machines.find(each => each.name === machine)!.pool = to;
			}
		}

		return new Map(POOLS.map(pool => [pool, machines.filter(machine => machine.pool === pool).length]));
	};

	it('should have the machines of the fourth in place before its turn begins', () => {
		assert.equal(countAt(11_800, true).get('d'), 30);
		assert.ok(countAt(11_800, false).get('d')! < 20);
	});

	it('should keep small reserves in pools whose turn is not next', () => {
		assert.equal(countAt(11_400, true).get('a'), 5);
	});

	// Guards against a new leader that expects turns it has not seen.
	it('should decide as after a start when a new leader begins', () => {
		assert.deepEqual(countAt(11_800, true, 10_000), countAt(11_800, false, 10_000));
	});
});
