import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	createCatalogue, createPoolBudget, createRandom, previewEvacuation, SETTLE_MS, type Declaration, type Instance, type Pool,
} from '@bronzebend/core';
import {createPlannerFixture, waveOn} from '../fixtures/planner-fixture.js';

/** Data centre of the fixture's instance `iN` or `sN`. */
const homeOf = (name: string): string => `dc-${Number(name.slice(1)) % 4}`;

const poolOf = (instances: number, maxOut: number, maxOutPerDataCentre?: number): Pool => ({
	kind: 'pool', name: 'p', service: 's', capacity: {instances, slotsPerInstance: 8}, availability: {maxOut, ...(maxOutPerDataCentre === undefined ? {} : {maxOutPerDataCentre})}, spare: false,
});

const member = (index: number, dataCentre: string): Instance => ({
	kind: 'instance', name: `i${index}`, region: 'home', dataCentre, rack: 'r', pool: 'p',
});

describe('planned work with evacuated data centres', () => {
	it('should count the instances there as out, so that nothing is rebooted elsewhere beyond the budget', () => {
		const fixture = createPlannerFixture({maxOut: 3, more: [waveOn('w')]});
		fixture.evacuated.add('dc-2');
		fixture.step();
		assert.deepEqual(fixture.working().sort(), ['i0', 'i2', 'i6'], 'two instances there and one elsewhere');
	});

	it('should reboot the instances there although the budget is used up, first of the wave and without further budget', () => {
		const fixture = createPlannerFixture({maxOut: 1, perDataCentre: 1, more: [waveOn('w')]});
		fixture.evacuated.add('dc-3');
		fixture.step();
		assert.deepEqual(fixture.working().sort(), ['i3', 'i7']);
		fixture.step();
		assert.deepEqual(fixture.step().orders.map(order => order.instance).sort(), ['i3', 'i7'], 'the drains are not called off');
	});

	it('should still reboot none there that is also out by itself, nor any on stale evidence', () => {
		const failed = createPlannerFixture({maxOut: 1, more: [waveOn('w')]});
		failed.evacuated.add('dc-3');
		failed.out.add('i3');
		failed.step();
		assert.deepEqual(failed.working(), ['i7']);
		const stale = createPlannerFixture({maxOut: 1, more: [waveOn('w')]});
		stale.evacuated.add('dc-3');
		stale.setStale(true);
		stale.step();
		assert.deepEqual(stale.working(), []);
	});

	it('should call off drains elsewhere when an evacuation uses up the budget, and go on after the withdrawal', () => {
		const fixture = createPlannerFixture({maxOut: 1, more: [waveOn('w')]});
		fixture.step();
		const [draining] = fixture.working();
		fixture.undrained.add(draining!);
		fixture.evacuated.add(homeOf(draining!) === 'dc-1' ? 'dc-2' : 'dc-1');
		fixture.step();
		assert.ok(!fixture.working().includes(draining!));
		fixture.evacuated.clear();
		fixture.undrained.clear();
		for (let step = 0; step < 20; step += 1) {
			for (const order of fixture.step().orders) {
				fixture.platform.set(order.workId, 'done');
			}
		}

		assert.ok(fixture.placements.find(draining!)!.doneWaves.includes('w'));
	});

	it('should fill the pool from spares of other data centres once the shortage has settled, and give them back after the withdrawal', () => {
		const fixture = createPlannerFixture({maxOut: 2, spares: 8});
		fixture.evacuated.add('dc-0');
		fixture.step();
		assert.deepEqual(fixture.working(), [], 'a short evacuation moves nothing');
		fixture.step(SETTLE_MS);
		const movers = fixture.working();
		assert.equal(movers.length, 2);
		assert.ok(movers.every(name => name.startsWith('s') && homeOf(name) !== 'dc-0'));
		for (let step = 0; step < 10; step += 1) {
			for (const order of fixture.step().orders) {
				fixture.platform.set(order.workId, 'done');
			}
		}

		assert.deepEqual(movers.map(name => fixture.poolOf(name)), ['p', 'p']);
		assert.deepEqual(fixture.working(), [], 'the pool is whole with them');
		fixture.evacuated.clear();
		for (let step = 0; step < 80; step += 1) {
			for (const order of fixture.step(30_000).orders) {
				fixture.platform.set(order.workId, 'done');
			}
		}

		assert.equal(fixture.placements.list().filter(placement => placement.pool === 'p').length, 8);
	});

	it('should lend no spare of an evacuated data centre, and say that there is none to give if no other is left', () => {
		const fixture = createPlannerFixture({maxOut: 4, spares: 1});
		fixture.evacuated.add('dc-0');
		fixture.step();
		const {waits} = fixture.step(SETTLE_MS);
		assert.deepEqual(fixture.working(), []);
		assert.ok(waits.some(wait => wait.reason.includes('no instance to give')));
	});

	it('should, with random budgets, failures and evacuations, start a reboot elsewhere only within what the budget leaves, and never a second one of an instance', () => {
		let starts = 0;
		for (let seed = 1; seed <= 60; seed += 1) {
			const random = createRandom(seed);
			const draw = (count: number): number => Math.floor(random() * count);
			const maxOut = 1 + draw(5);
			const size = 4 + draw(20);
			const fixture = createPlannerFixture({size, maxOut, more: [waveOn('w')]});
			for (let step = 0; step < 30; step += 1) {
				if (random() < 0.2) {
					const name = `dc-${draw(4)}`;
					if (!fixture.evacuated.delete(name) && fixture.evacuated.size < 3) {
						fixture.evacuated.add(name);
					}
				}

				if (random() < 0.2) {
					const name = `i${draw(size)}`;
					if (!fixture.out.delete(name)) {
						fixture.out.add(name);
					}
				}

				const before = new Set(fixture.working());
				const {starts: started, orders} = fixture.step();
				for (const {instance} of started) {
					starts += 1;
					assert.ok(!before.has(instance), `seed ${seed}`);
				}

				const names = fixture.placements.list().filter(placement => placement.pool === 'p').map(placement => placement.instance);
				const working = new Set(fixture.working());
				const out = names.filter(name => working.has(name) || fixture.out.has(name) || fixture.evacuated.has(homeOf(name)));
				const elsewhere = started.filter(({instance}) => !fixture.evacuated.has(homeOf(instance)));
				assert.ok(elsewhere.length === 0 || out.length <= maxOut, `seed ${seed}: ${out.length} of ${maxOut} are out after a start elsewhere`);
				for (const order of orders) {
					fixture.platform.set(order.workId, 'done');
				}
			}
		}

		assert.ok(starts > 200, String(starts));
	});
});

describe('budget of a pool with evacuated members', () => {
	it('should need no more budget for a member there, and count it against the others', () => {
		const members = [member(0, 'a'), member(1, 'a'), member(2, 'b'), member(3, 'c')];
		const budget = createPoolBudget({
			pool: poolOf(4, 2, 1), members, out: new Set(), evacuated: new Set(['i0', 'i1']), isFresh: true,
		});
		assert.equal(budget.refusal(members[0]!), undefined);
		assert.equal(budget.refusal(members[2]!), 'budget-used-up');
		budget.take(members[0]!);
		assert.equal(budget.outCount(), 2);
	});
});

describe('preview of an evacuation', () => {
	const declarations: Declaration[] = [
		poolOf(4, 1),
		{
			kind: 'pool', name: 'spare', service: 'x', capacity: {instances: 1, slotsPerInstance: 2}, availability: {maxOut: 1}, spare: true,
		},
		...['a', 'a', 'b', 'c'].map((dataCentre, index) => member(index, dataCentre)),
		{...member(9, 'a'), name: 's0', pool: 'spare'},
	];
	const catalogue = createCatalogue(declarations);
	const placements = catalogue.list('instance').map(({name, pool}) => ({instance: name, pool, doneWaves: []}));
	const evidence = new Map([['p', {
		atMs: 0, out: new Set(['i3']), drained: new Set<string>(), ready: new Set<string>(), demand: 0,
	}]]);

	it('should count what works now and what would be left, without instances that are out or evacuated already', () => {
		const preview = previewEvacuation({
			dataCentre: 'a', evacuated: new Set(), catalogue, placements, evidence,
		});
		assert.deepEqual(preview, {
			dataCentre: 'a',
			inForce: false,
			pools: [
				{
					pool: 'p', instances: 3, slots: 24, instancesLeft: 1, slotsLeft: 8, wanted: 4, maxOut: 1, exceedsBudget: true,
				},
				{
					pool: 'spare', instances: 1, slots: 2, instancesLeft: 0, slotsLeft: 0, wanted: 1, maxOut: 1, exceedsBudget: false,
				},
			],
		});
		const second = previewEvacuation({
			dataCentre: 'b', evacuated: new Set(['a']), catalogue, placements, evidence,
		});
		assert.deepEqual([second.pools[0]!.instances, second.pools[0]!.instancesLeft], [1, 0]);
		assert.equal(previewEvacuation({
			dataCentre: 'a', evacuated: new Set(['a']), catalogue, placements, evidence,
		}).inForce, true);
	});
});
