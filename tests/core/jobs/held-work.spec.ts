import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createJobStore, mayHold, weightOf} from '@bronzebend/core';
import {orderOf, stepOf, storeWith} from '../../fixtures/job-fixtures.js';

/** Longer than the work units of an ended job are kept, in milliseconds. */
const LATER_MS = 11_000;

describe('the work that keepers hold for jobs', () => {
	it('should count work units and steps of all occurrences, and long names', () => {
		assert.equal(weightOf(orderOf('a', [stepOf({count: 10}), stepOf({count: 2})])), 20);
		assert.equal(weightOf(orderOf('a', [stepOf({count: 10})], {times: 3})), 42);
		assert.equal(weightOf(orderOf('a', [stepOf({label: 'x'.repeat(700)})], {spec: 'x'.repeat(3500)})), 17);
	});

	// Guards against callers without a key who take all that the keepers can hold, and against jobs that no state would accept.
	it('should leave room for others beside a workspace, and accept a job of any size where nothing is held', () => {
		assert.equal(mayHold(30, {total: 70, ofWorkspace: 0}, 100), true);
		assert.equal(mayHold(31, {total: 70, ofWorkspace: 0}, 100), false);
		assert.equal(mayHold(5, {total: 40, ofWorkspace: 20}, 100), true);
		assert.equal(mayHold(6, {total: 40, ofWorkspace: 20}, 100), false);
		assert.equal(mayHold(1000, {total: 0, ofWorkspace: 0}, 100), true);
	});

	// Guards against keepers whose memory grows with all jobs of the last minutes.
	it('should be dropped some time after the end of a job, whose state can still be asked for', () => {
		const store = storeWith([orderOf('a', [stepOf({count: 10})]), orderOf('b', [stepOf({count: 20})], {workspace: 'south'})]);
		const a = orderOf('a').id;
		assert.deepEqual(store.heldWork(0, 'north'), {total: 38, ofWorkspace: 14});
		store.apply({type: 'cancel', job: a, atMs: 1000});
		assert.deepEqual(store.heldWork(2000, 'north'), {total: 38, ofWorkspace: 14});
		assert.deepEqual(store.heldWork(1000 + LATER_MS, 'north'), {total: 24, ofWorkspace: 0});
		store.apply({type: 'submit', order: orderOf('c', [stepOf({count: 1})]), atMs: 1000 + LATER_MS});
		assert.deepEqual(store.heldWork(1000 + LATER_MS, 'north'), {total: 29, ofWorkspace: 5});
		assert.deepEqual([store.job(a)?.state, store.job(a)?.occurrences, store.job(a)?.order.steps], ['cancelled', [], []]);
		assert.equal(store.find(`${a}.0.0.1`), undefined);
		assert.deepEqual(store.apply({type: 'submit', order: orderOf('a', [stepOf({count: 10})]), atMs: 20_000}), {type: 'accepted', isNew: false});
	});

	it('should be the same after a snapshot', () => {
		const store = storeWith([orderOf('a', [stepOf({count: 10})]), orderOf('b', [stepOf({count: 20})])]);
		store.apply({type: 'cancel', job: orderOf('a').id, atMs: 1000});
		const restored = createJobStore(structuredClone(store.snapshot()));
		for (const atMs of [1000, 1000 + LATER_MS]) {
			assert.deepEqual(restored.heldWork(atMs, 'north'), store.heldWork(atMs, 'north'));
		}
	});
});
