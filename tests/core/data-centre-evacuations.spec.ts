import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {
	createCatalogue, createControlState, diffCatalogues, type ControlState, type DataCentreEvacuationOutcome, type Declaration,
} from '@bronzebend/core';

const instanceIn = (dataCentre: string): Declaration => ({
	kind: 'instance', name: `i-${dataCentre}`, region: 'home', dataCentre, rack: 'r', pool: 'p',
});

/** Publishes one instance in each of the data centres. */
const publish = (state: ControlState, dataCentres: readonly string[]): void => {
	const base = state.publications.version();
	const catalogue = createCatalogue(dataCentres.map(name => instanceIn(name)));
	state.apply({
		type: 'publish', publicationId: `p-${base}`, base, contentDigest: catalogue.digest(), delta: diffCatalogues(state.publications.catalogue(), catalogue), author: 'x', atMs: 1,
	});
};

const createState = (...dataCentres: string[]): ControlState => {
	const state = createControlState();
	publish(state, dataCentres);
	return state;
};

const run = (state: ControlState, type: 'evacuate' | 'end-evacuation', dataCentre: string, atMs = 5): DataCentreEvacuationOutcome => {
	const result = state.apply({type, dataCentre, atMs});
	assert.ok(result.type === 'evacuation');
	return result.outcome;
};

const changed = {type: 'accepted', changed: true};
const unchanged = {type: 'accepted', changed: false};

describe('evacuated data centres in the control state', () => {
	it('should keep the time at which an evacuation began when the request is repeated', () => {
		const state = createState('a', 'b');
		assert.deepEqual(run(state, 'evacuate', 'a', 5), changed);
		assert.deepEqual(run(state, 'evacuate', 'a', 9), unchanged);
		assert.deepEqual(state.evacuations.list(), [{dataCentre: 'a', sinceMs: 5}]);
	});

	it('should refuse an unknown data centre for both commands, so that a misspelt name does not look accepted', () => {
		const state = createState('a', 'b');
		assert.deepEqual(run(state, 'evacuate', 'c'), {type: 'refused', reason: 'unknown-data-centre'});
		assert.deepEqual(run(state, 'end-evacuation', 'c'), {type: 'refused', reason: 'unknown-data-centre'});
		assert.deepEqual(state.evacuations.list(), []);
	});

	it('should never evacuate the last data centre, whatever the order of commands', () => {
		const names = ['a', 'b', 'c', 'd'];
		const command = fc.record({type: fc.constantFrom('evacuate' as const, 'end-evacuation' as const), dataCentre: fc.constantFrom(...names)});
		fc.assert(fc.property(fc.array(command, {maxLength: 30}), commands => {
			const state = createState(...names);
			for (const {type, dataCentre} of commands) {
				const before = state.evacuations.names();
				const outcome = run(state, type, dataCentre);
				const after = state.evacuations.names();
				assert.ok(after.size < names.length);
				const isLast = type === 'evacuate' && !before.has(dataCentre) && before.size === names.length - 1;
				assert.deepEqual(outcome, isLast ? {type: 'refused', reason: 'last-data-centre'} : {type: 'accepted', changed: before.has(dataCentre) === (type === 'end-evacuation')});
				assert.equal(after.has(dataCentre), isLast ? false : type === 'evacuate');
			}
		}), {seed: 1, numRuns: 200});
	});

	it('should acknowledge a repeated request although a publication has removed the other data centres, or this one', () => {
		const state = createState('a', 'b');
		run(state, 'evacuate', 'a');
		publish(state, ['a']);
		assert.deepEqual(run(state, 'evacuate', 'a'), unchanged);
		publish(state, ['b']);
		assert.deepEqual(run(state, 'evacuate', 'a'), unchanged);
		assert.deepEqual(run(state, 'end-evacuation', 'a'), changed);
	});

	it('should acknowledge the withdrawal of an evacuation that is not in force, and say that nothing changed', () => {
		assert.deepEqual(run(createState('a', 'b'), 'end-evacuation', 'a'), unchanged);
	});

	it('should survive a snapshot, and read snapshots of versions that had no evacuations', () => {
		const state = createState('a', 'b', 'c');
		const before = state.snapshot();
		assert.ok(!('evacuations' in before), 'the snapshot is the same as before while nothing is evacuated');
		assert.deepEqual(createControlState(before).evacuations.list(), []);
		run(state, 'evacuate', 'b', 7);
		const restored = createControlState(structuredClone(state.snapshot()));
		assert.deepEqual(restored.evacuations.list(), [{dataCentre: 'b', sinceMs: 7}]);
		assert.deepEqual(run(restored, 'evacuate', 'b'), unchanged);
	});
});
