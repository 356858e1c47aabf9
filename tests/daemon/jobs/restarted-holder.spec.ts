import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createForeignOrders, createMachineOrderTimes} from '@bronzebend/daemon';
import {storeWith} from '../../fixtures/job-fixtures.js';

const HOLDER_LEASE_MS = 3000;

/** The orders of another holder as a keeper sees them that started just now, with the record of one order at a position in the log. */
const afterRestart = ({orderAgeMs, index, lastIndexAtStart}: {orderAgeMs: number; index: number; lastIndexAtStart: number}) => {
	const clock = {nowMs: 100_000, wallMs: () => clock.nowMs, monotonicMs: () => clock.nowMs};
	const store = storeWith([]);
	const times = createMachineOrderTimes(clock, lastIndexAtStart);
	store.apply({
		type: 'machine-order', machine: 'm1', holder: 'other', atMs: clock.nowMs - orderAgeMs,
	});
	times.applied('m1', index);
	const orders = createForeignOrders({
		store, holder: 'me', holderLeaseMs: HOLDER_LEASE_MS, orderAppliedMs: times.of, clock,
	});
	return {clock, orders};
};

describe('a keeper that leads after all keepers were restarted', () => {
	// Machines with an order from long before the loss stayed where they were for another 3.75 s, and the queue in its turn had only its reserve.
	it('should order machines at once whose last order is older than any difference between clocks allows for', () => {
		const {orders} = afterRestart({orderAgeMs: 18_000, index: 40, lastIndexAtStart: 60});
		assert.equal(orders.isClear('m1'), true);
		assert.deepEqual(orders.last('m1')?.lastAgeSince, 'term');
	});

	// Guards against orders of two holders in turn: 5 s by the wall clock may be 1 s on another machine.
	it('should wait with machines whose last order may be recent', () => {
		const {clock, orders} = afterRestart({orderAgeMs: 5000, index: 40, lastIndexAtStart: 60});
		assert.equal(orders.isClear('m1'), false);
		clock.nowMs += HOLDER_LEASE_MS + 751;
		assert.equal(orders.isClear('m1'), true);
	});

	// Guards against a wall clock that is ahead where the record was seen to arrive.
	it('should not compare wall clocks for an order that was recorded since the start', () => {
		const {orders} = afterRestart({orderAgeMs: 18_000, index: 61, lastIndexAtStart: 60});
		assert.equal(orders.isClear('m1'), false);
		assert.deepEqual(orders.last('m1')?.lastAgeSince, 'record');
	});
});
