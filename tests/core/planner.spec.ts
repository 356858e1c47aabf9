import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	createCatalogue, createPlacements, createPlanner, isInWindow, REPLACE_AFTER_MS, SETTLE_MS, type Declaration, type PlannerOutput, type PlatformWork, type PoolEvidence,
} from '@bronzebend/core';

const START = Date.parse('2026-12-07T00:00:00Z');

type Options = {size?: number; maxOut?: number; perDataCentre?: number; spares?: number; more?: Declaration[]; freshPlanner?: boolean};

/** A pool, a spare pool and a planner whose commands are committed at once. */
const createBench = ({size = 8, maxOut = 2, perDataCentre, spares = 2, more = [], freshPlanner = false}: Options = {}) => {
	const instance = (name: string, index: number, pool: string): Declaration => ({
		kind: 'instance', name, region: 'home', dataCentre: `dc-${index % 4}`, rack: `r-${index % 4}-${Math.floor(index / 4) % 2}`, pool,
	});
	const declarations: Declaration[] = [
		{
			kind: 'pool', name: 'p', service: 's', capacity: {instances: size, slotsPerInstance: 8}, availability: {maxOut, ...(perDataCentre === undefined ? {} : {maxOutPerDataCentre: perDataCentre})}, spare: false, sparePool: 'spare',
		},
		{
			kind: 'pool', name: 'spare', service: 'x', capacity: {instances: spares, slotsPerInstance: 8}, availability: {maxOut: spares}, spare: true,
		},
		...Array.from({length: size}, (_, index) => instance(`i${index}`, index, 'p')),
		...Array.from({length: spares}, (_, index) => instance(`s${index}`, index, 'spare')),
		...more,
	];
	let catalogue = createCatalogue(declarations);
	const placements = createPlacements(catalogue.list('instance').map(({name, pool}) => ({instance: name, pool, doneWaves: []})));
	const platform = new Map<string, PlatformWork>();
	const out = new Set<string>();
	const undrained = new Set<string>();
	let planner = createPlanner();
	let wallMs = START;
	let demand = 0;
	let isStale = false;

	const evidenceOf = (): Map<string, PoolEvidence> => {
		const names = placements.list().map(placement => placement.instance);
		const common = {
			out, drained: new Set(names.filter(name => !undrained.has(name))), ready: new Set(names.filter(name => !out.has(name))),
		};
		return new Map([['p', {...common, atMs: isStale ? 0 : wallMs, demand}]]);
	};

	return {
		placements,
		platform,
		out,
		undrained,
		setDemand(slots: number): void {
			demand = slots;
		},
		setStale(value: boolean): void {
			isStale = value;
		},
		publish(change: (declaration: Declaration) => boolean): void {
			catalogue = createCatalogue(declarations.filter(declaration => change(declaration)));
		},

		/** Plans once and commits what was decided. */
		step(milliseconds = 1000): PlannerOutput {
			wallMs += milliseconds;
			planner = freshPlanner ? createPlanner() : planner;
			const output = planner.plan({
				catalogue, placements: placements.list(), evidence: evidenceOf(), platform, wallMs,
			});
			for (const command of output.commands) {
				placements.apply(command);
			}

			return output;
		},
		working: (): string[] => placements.list().filter(placement => placement.work !== undefined).map(placement => placement.instance),
		poolOf: (name: string): string => placements.find(name)!.pool,
	};
};

const wave = (name: string, pools = ['p']): Declaration => ({
	kind: 'wave', name, pools, start: new Date(START).toISOString(), paused: false, windows: [],
});

describe('planner', () => {
	it('should reboot as many at once as the budget allows, and no more', () => {
		const bench = createBench({more: [wave('w')]});
		bench.step();
		assert.equal(bench.working().length, 2);
		bench.step();
		assert.equal(bench.working().length, 2);
	});

	it('should count failed instances, and call a drain off once failures used up the budget', () => {
		const bench = createBench({more: [wave('w')]});
		bench.out.add('i7');
		bench.step();
		assert.equal(bench.working().length, 1);
		bench.undrained.add(bench.working()[0]!);
		bench.out.add('i6').add('i5');
		bench.step();
		assert.deepEqual(bench.working(), []);
		bench.out.clear();
		bench.step();
		assert.equal(bench.working().length, 2, 'and goes on after');
	});

	it('should take nothing out on stale evidence', () => {
		const bench = createBench({more: [wave('w')]});
		bench.setStale(true);
		const {waits} = bench.step();
		assert.deepEqual(bench.working(), []);
		assert.ok(waits.some(wait => wait.reason === 'stale-evidence'));
	});

	it('should not order a reboot before the drain is acknowledged', () => {
		const bench = createBench({maxOut: 1, more: [wave('w')]});
		bench.step();
		const [first] = bench.working();
		bench.undrained.add(first!);
		for (let step = 0; step < 5; step += 1) {
			assert.deepEqual(bench.step().orders, []);
		}

		bench.undrained.delete(first!);
		bench.step();
		assert.equal(bench.step().orders[0]!.instance, first);
	});

	it('should repeat an order whose answer was lost, with the same work ID', () => {
		const bench = createBench({maxOut: 1, more: [wave('w')]});
		bench.step();
		bench.step();
		const [first] = bench.step().orders;
		const [second] = bench.step().orders;
		assert.deepEqual(first, second);
		bench.platform.set(first!.workId, 'done');
		bench.step();
		assert.equal(bench.placements.find(first!.instance)!.work!.step, 'joining');
	});

	it('should finish a wave once for each instance with another leader at every step', () => {
		const bench = createBench({more: [wave('w')], freshPlanner: true});
		const orders = new Map<string, number>();
		for (let step = 0; step < 200; step += 1) {
			for (const order of bench.step().orders) {
				orders.set(order.instance, (orders.get(order.instance) ?? 0) + 1);
				bench.platform.set(order.workId, 'done');
			}

			assert.ok(bench.working().length <= 2);
		}

		assert.equal(orders.size, 8);
		assert.ok([...orders.values()].every(count => count === 1));
		assert.ok(bench.placements.list().filter(item => item.pool === 'p').every(item => item.doneWaves.includes('w')));
	});

	it('should keep one budget for two waves on one pool', () => {
		const bench = createBench({more: [wave('w'), wave('v')]});
		bench.step();
		assert.equal(bench.working().length, 2);
	});

	it('should keep the budget of each data centre', () => {
		const bench = createBench({maxOut: 6, perDataCentre: 1, more: [wave('w')]});
		bench.step();
		assert.equal(bench.working().length, 4);
	});

	it('should not replace an instance that only restarts', () => {
		const bench = createBench();
		bench.out.add('i1');
		bench.step(60_000);
		bench.step(60_000);
		bench.out.clear();
		bench.step(REPLACE_AFTER_MS);
		bench.step(SETTLE_MS);
		assert.deepEqual(bench.working(), []);
	});

	it('should replace a lost instance from the spare pool, through an empty step', () => {
		const bench = createBench();
		bench.out.add('i1');
		bench.step();
		bench.step(REPLACE_AFTER_MS);
		bench.step(SETTLE_MS);
		const [mover] = bench.working();
		assert.ok(mover !== undefined);
		assert.match(mover, /^s/);
		bench.step();
		assert.equal(bench.poolOf(mover), 'spare');
		const [order] = bench.step().orders;
		assert.deepEqual(order!.action, {type: 'reassign', pool: 'p'});
		bench.platform.set(order!.workId, 'done');
		bench.step();
		assert.equal(bench.poolOf(mover), 'p');
	});

	it('should not let another out when a second instance is lost right after a repair', () => {
		const bench = createBench({maxOut: 1, more: [wave('w')]});
		bench.step();
		bench.step();
		const [order] = bench.step().orders;
		bench.platform.set(order!.workId, 'done');
		bench.step();
		const other = bench.placements.list().find(item => item.pool === 'p' && item.instance !== order!.instance)!.instance;
		bench.out.add(other);
		const {starts} = bench.step();
		assert.deepEqual(starts, []);
		bench.step();
		assert.deepEqual(bench.working(), []);
	});

	it('should call off a move whose target pool was removed by a publication', () => {
		const bench = createBench();
		bench.out.add('i1');
		bench.step();
		bench.step(REPLACE_AFTER_MS);
		bench.step(SETTLE_MS);
		assert.equal(bench.working().length, 1);
		bench.publish(declaration => declaration.name !== 'p');
		bench.step();
		assert.ok(bench.placements.list().filter(item => item.instance.startsWith('s')).every(item => item.work === undefined));
	});

	it('should not move for turns in demand, five times the mean and then a twentieth', () => {
		const bench = createBench();
		for (let turn = 0; turn < 60; turn += 1) {
			bench.setDemand(turn % 2 === 0 ? 96 : 1);
			bench.step(10_000);
		}

		assert.deepEqual(bench.working(), []);
	});

	it('should start nothing in a quiet window', () => {
		const bench = createBench({
			more: [wave('w'), {
				kind: 'policy', name: 'o', objective: {
					bufferCost: 1, rollOutTime: 5, moves: 5, closenessToShare: 1,
				}, quietWindows: [{from: '23:30', to: '01:00'}],
			}],
		});
		const {waits} = bench.step();
		assert.deepEqual(bench.working(), []);
		assert.ok(waits.some(wait => wait.reason === 'quiet window'));
	});

	it('should read daily windows that run past midnight', () => {
		assert.equal(isInWindow({from: '22:00', to: '02:00'}, START), true);
		assert.equal(isInWindow({from: '04:30', to: '07:30'}, START), false);
	});
});
