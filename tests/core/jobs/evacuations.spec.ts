import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	createJobStore, type JobOutcome, type JobStore, type JobStoreSnapshot,
} from '@bronzebend/core';
import {decodeBytes, encodeBytes} from '@bronzebend/replica';
import {
	lifeNamed, orderOf, stepOf, storeWith,
} from '../../fixtures/job-fixtures.js';

const here = lifeNamed('w1', {zone: 'a'});
const there = lifeNamed('w2', {zone: 'b'});

const unitOf = (job: string, index = 0): string => `${job.padEnd(16, '0')}.0.0.${index}`;
const evacuate = (store: JobStore, dataCentre: string, atMs = 5, known?: string[]): JobOutcome => store.apply({
	type: 'evacuate', dataCentre, atMs, known,
});
const start = (store: JobStore, runs: Array<[unit: string, life: string]>): string[] => {
	const outcome = store.apply({type: 'runs-start', lives: [here, there], runs: runs.map(([unit, life]) => ({unit, life, attempt: 1}))});
	return outcome.type === 'runs-started' ? outcome.accepted.map(({unit}) => unit) : [];
};

describe('the evacuations of a job store', () => {
	it('should change with the first command only', () => {
		const store = storeWith([]);
		assert.deepEqual(evacuate(store, 'a', 5), {type: 'evacuation', changed: true});
		assert.deepEqual(evacuate(store, 'a', 9), {type: 'evacuation', changed: false});
		assert.deepEqual([...store.evacuations()], [['a', 5]]);
		assert.deepEqual([store.isEvacuated('a'), store.isEvacuated('b')], [true, false]);
		assert.deepEqual(store.apply({type: 'end-evacuation', dataCentre: 'a', atMs: 20}), {type: 'evacuation', changed: true});
		assert.deepEqual(store.apply({type: 'end-evacuation', dataCentre: 'a', atMs: 30}), {type: 'evacuation', changed: false});
		assert.deepEqual([...store.evacuations()], []);
		assert.equal(store.evacuationWithdrawnMs('a'), 20);
	});

	// Guards against two calls that each see the other data centre in use, and are both committed.
	it('should never cover all known data centres, whatever their commands were decided from', () => {
		const store = storeWith([]);
		assert.deepEqual(evacuate(store, 'a', 5, ['a', 'b']), {type: 'evacuation', changed: true});
		assert.deepEqual(evacuate(store, 'b', 5, ['a', 'b']), {type: 'last-data-centre'});
		assert.equal(store.isEvacuated('b'), false);
		assert.deepEqual(evacuate(store, 'a', 5, ['a', 'b']), {type: 'evacuation', changed: false}, 'one that is in force is never refused');
		assert.deepEqual(evacuate(store, 'b', 5, ['a', 'b', 'c']), {type: 'evacuation', changed: true});
	});

	// Guards against a pass that was planned before the evacuation and is committed after it.
	it('should refuse a start that is applied after them, and accept it after the withdrawal', () => {
		const store = storeWith([orderOf('a', [stepOf({count: 3})])]);
		evacuate(store, 'a');
		assert.deepEqual(start(store, [[unitOf('a', 0), here.life], [unitOf('a', 1), there.life]]), [unitOf('a', 1)]);
		assert.equal(store.find(unitOf('a', 0))!.unit.state, 'idle');
		assert.ok(store.isLifeEvacuated(here.life) && !store.isLifeEvacuated(there.life) && !store.isLifeEvacuated('unknown@1'));
		store.apply({type: 'end-evacuation', dataCentre: 'a', atMs: 7});
		assert.deepEqual(start(store, [[unitOf('a', 0), here.life]]), [unitOf('a', 0)]);
	});

	// Guards against a gang of which only the members outside the data centre start.
	it('should refuse a gang as a whole, and no other work of the same command', () => {
		const store = storeWith([orderOf('a', [stepOf({count: 2, gang: true})]), orderOf('b', [stepOf({count: 2, gang: true})]), orderOf('c')]);
		evacuate(store, 'a');
		const accepted = start(store, [[unitOf('a', 0), there.life], [unitOf('a', 1), here.life], [unitOf('b', 0), there.life], [unitOf('b', 1), there.life], [unitOf('c'), there.life]]);
		assert.deepEqual(accepted, [unitOf('b', 0), unitOf('b', 1), unitOf('c')]);
	});

	it('should leave the work that runs there as it is', () => {
		const store = storeWith([orderOf('a', [stepOf({count: 2, lasting: true})])]);
		start(store, [[unitOf('a', 0), here.life]]);
		evacuate(store, 'a');
		assert.equal(store.find(unitOf('a', 0))!.unit.state, 'running');
		assert.equal(store.runsOf(here.life).size, 1);
	});

	it('should be part of the snapshot, of which older ones have none', () => {
		const store = storeWith([]);
		evacuate(store, 'a', 5);
		evacuate(store, 'b', 6);
		evacuate(store, 'c', 7);
		store.apply({type: 'end-evacuation', dataCentre: 'c', atMs: 8});
		const restored = createJobStore(decodeBytes(encodeBytes(store.snapshot())) as JobStoreSnapshot);
		assert.deepEqual([...restored.evacuations()], [['a', 5], ['b', 6]]);
		assert.equal(restored.evacuationWithdrawnMs('c'), 8);
		assert.deepEqual([...restored.dataCentres()].toSorted((left, right) => left.localeCompare(right)), ['a', 'b', 'c']);
		const {evacuations, ...older} = store.snapshot();
		assert.ok(evacuations);
		assert.deepEqual([...createJobStore(older).evacuations()], []);
	});
});
