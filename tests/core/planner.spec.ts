import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {isInWindow, REPLACE_AFTER_MS, SETTLE_MS} from '@bronzebend/core';
import {createPlannerFixture as createFixture, PLANNER_START_MS as START, waveOn as wave} from '../fixtures/planner-fixture.js';

describe('planner', () => {
	it('should reboot as many instances at once as the budget allows', () => {
		const fixture = createFixture({more: [wave('w')]});
		fixture.step();
		assert.equal(fixture.working().length, 2);
		fixture.step();
		assert.equal(fixture.working().length, 2);
	});

	it('should count failed instances, and cancel a drain once failures have used up the budget', () => {
		const fixture = createFixture({more: [wave('w')]});
		fixture.out.add('i7');
		fixture.step();
		assert.equal(fixture.working().length, 1);
		fixture.undrained.add(fixture.working()[0]!);
		fixture.out.add('i6').add('i5');
		fixture.step();
		assert.deepEqual(fixture.working(), []);
		fixture.out.clear();
		fixture.step();
		assert.equal(fixture.working().length, 2, 'reboots continue after the failures');
	});

	it('should take no instance out on stale evidence', () => {
		const fixture = createFixture({more: [wave('w')]});
		fixture.setStale(true);
		const {waits} = fixture.step();
		assert.deepEqual(fixture.working(), []);
		assert.ok(waits.some(wait => wait.reason === 'stale-evidence'));
	});

	it('should not order a reboot before the drain is acknowledged', () => {
		const fixture = createFixture({maxOut: 1, more: [wave('w')]});
		fixture.step();
		const [first] = fixture.working();
		fixture.undrained.add(first!);
		for (let step = 0; step < 5; step += 1) {
			assert.deepEqual(fixture.step().orders, []);
		}

		fixture.undrained.delete(first!);
		fixture.step();
		assert.equal(fixture.step().orders[0]!.instance, first);
	});

	it('should repeat an order whose answer was lost, with the same work ID', () => {
		const fixture = createFixture({maxOut: 1, more: [wave('w')]});
		fixture.step();
		fixture.step();
		const [first] = fixture.step().orders;
		const [second] = fixture.step().orders;
		assert.deepEqual(first, second);
		fixture.platform.set(first!.workId, 'done');
		fixture.step();
		assert.equal(fixture.placements.find(first!.instance)!.work!.step, 'joining');
	});

	it('should reboot each instance once for a wave, with a new leader at every step', () => {
		const fixture = createFixture({more: [wave('w')], freshPlanner: true});
		const orders = new Map<string, number>();
		for (let step = 0; step < 200; step += 1) {
			for (const order of fixture.step().orders) {
				orders.set(order.instance, (orders.get(order.instance) ?? 0) + 1);
				fixture.platform.set(order.workId, 'done');
			}

			assert.ok(fixture.working().length <= 2);
		}

		assert.equal(orders.size, 8);
		assert.ok([...orders.values()].every(count => count === 1));
		assert.ok(fixture.placements.list().filter(item => item.pool === 'p').every(item => item.doneWaves.includes('w')));
	});

	it('should share one budget between two waves on the same pool', () => {
		const fixture = createFixture({more: [wave('w'), wave('v')]});
		fixture.step();
		assert.equal(fixture.working().length, 2);
	});

	it('should respect the budget of each data centre', () => {
		const fixture = createFixture({maxOut: 6, perDataCentre: 1, more: [wave('w')]});
		fixture.step();
		assert.equal(fixture.working().length, 4);
	});

	it('should not replace an instance that only restarts', () => {
		const fixture = createFixture();
		fixture.out.add('i1');
		fixture.step(60_000);
		fixture.step(60_000);
		fixture.out.clear();
		fixture.step(REPLACE_AFTER_MS);
		fixture.step(SETTLE_MS);
		assert.deepEqual(fixture.working(), []);
	});

	it('should replace a lost instance from the spare pool, changing pools only while the spare is empty', () => {
		const fixture = createFixture();
		fixture.out.add('i1');
		fixture.step();
		fixture.step(REPLACE_AFTER_MS);
		fixture.step(SETTLE_MS);
		const [mover] = fixture.working();
		assert.ok(mover !== undefined);
		assert.match(mover, /^s/);
		fixture.step();
		assert.equal(fixture.poolOf(mover), 'spare');
		const [order] = fixture.step().orders;
		assert.deepEqual(order!.action, {type: 'reassign', pool: 'p'});
		fixture.platform.set(order!.workId, 'done');
		fixture.step();
		assert.equal(fixture.poolOf(mover), 'p');
	});

	it('should take no other instance out when a second one fails right after a reboot', () => {
		const fixture = createFixture({maxOut: 1, more: [wave('w')]});
		fixture.step();
		fixture.step();
		const [order] = fixture.step().orders;
		fixture.platform.set(order!.workId, 'done');
		fixture.step();
		const other = fixture.placements.list().find(item => item.pool === 'p' && item.instance !== order!.instance)!.instance;
		fixture.out.add(other);
		const {starts} = fixture.step();
		assert.deepEqual(starts, []);
		fixture.step();
		assert.deepEqual(fixture.working(), []);
	});

	it('should cancel a move whose target pool was removed by a publication', () => {
		const fixture = createFixture();
		fixture.out.add('i1');
		fixture.step();
		fixture.step(REPLACE_AFTER_MS);
		fixture.step(SETTLE_MS);
		assert.equal(fixture.working().length, 1);
		fixture.publish(declaration => declaration.name !== 'p');
		fixture.step();
		assert.ok(fixture.placements.list().filter(item => item.instance.startsWith('s')).every(item => item.work === undefined));
	});

	it('should not move instances for demand that swings within seconds, between five times the mean and a twentieth of it', () => {
		const fixture = createFixture();
		for (let turn = 0; turn < 60; turn += 1) {
			fixture.setDemand(turn % 2 === 0 ? 96 : 1);
			fixture.step(10_000);
		}

		assert.deepEqual(fixture.working(), []);
	});

	it('should start nothing in a quiet window', () => {
		const fixture = createFixture({
			more: [wave('w'), {
				kind: 'policy', name: 'o', objective: {
					bufferCost: 1, rollOutTime: 5, moves: 5, closenessToShare: 1,
				}, quietWindows: [{from: '23:30', to: '01:00'}],
			}],
		});
		const {waits} = fixture.step();
		assert.deepEqual(fixture.working(), []);
		assert.ok(waits.some(wait => wait.reason === 'quiet window'));
	});

	it('should read daily windows that run past midnight', () => {
		assert.equal(isInWindow({from: '22:00', to: '02:00'}, START), true);
		assert.equal(isInWindow({from: '04:30', to: '07:30'}, START), false);
	});
});
