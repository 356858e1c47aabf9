import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createWorkerTrack, type WorkerLists} from '@bronzebend/core';
import {storeWith, lifeNamed, orderOf} from '../../fixtures/job-fixtures.js';

const leaseMs = 4000;
const life = lifeNamed('w1');
const unit = `${'a'.padEnd(16, '0')}.0.0.0`;
const noLists: WorkerLists = {
	clockMs: 50_000, active: [], finished: [], isCut: false,
};
const active = {
	unit, attempt: 1, checkpoint: '', percent: 10, load: 0,
};

const setUp = (options: {inherited?: boolean} = {}) => {
	const store = storeWith([orderOf('a')]);
	store.apply({type: 'runs-start', lives: [life], runs: [{unit, attempt: 1, life: life.life}]});
	const track = createWorkerTrack({
		life: life.life, store, leaseMs, inherited: options.inherited ?? false, nowMs: 0, clock: options.inherited ? undefined : {clockMs: 50_000, receivedMs: 0},
	});
	if (!options.inherited) {
		track.ordered(unit, 1, 0);
	}

	return {store, track};
};

describe('a leader\'s view of a worker\'s life', () => {
	it('should not renew the lease of a silent worker, so that it expires', () => {
		const {track} = setUp();
		track.reconcile({...noLists, active: [active]}, 90, 100);
		assert.equal(typeof track.renewedExpiry(200), 'number');
		const overMs = track.leaseEndMs();
		for (let nowMs = 2000; nowMs < 20_000; nowMs += 500) {
			assert.equal(track.renewedExpiry(nowMs), undefined);
		}

		assert.equal(track.leaseEndMs(), overMs);
		assert.ok(overMs < 100 + leaseMs + 1000);
	});

	it('should not count a lease that was not sent', () => {
		const {track} = setUp();
		track.reconcile({...noLists, active: [active]}, 90, 100);
		const sent = track.renewedExpiry(100)!;
		track.leaseCallEnded(sent, true);
		const overMs = track.leaseEndMs();
		const unsent = track.renewedExpiry(900)!;
		assert.ok(track.leaseEndMs() > overMs, 'a call in flight may still reach the worker');
		track.leaseCallEnded(unsent, false);
		assert.equal(track.leaseEndMs(), overMs);
	});

	it('should allow for a worker clock that is two percent slow', () => {
		const {track} = setUp();
		track.reconcile({...noLists, active: [active]}, 90, 100);
		track.renewedExpiry(100);
		assert.ok(track.leaseEndMs() >= 90 + (leaseMs / 0.98));
	});

	it('should not treat a lease as over while it may hold on a worker that read its clock at the latest possible time', () => {
		const {track} = setUp();
		track.reconcile({...noLists, active: [active]}, 0, 400);
		track.renewedExpiry(400);
		assert.ok(track.leaseEndMs() >= 400 + (leaseMs / 0.98), `${track.leaseEndMs()}`);
	});

	it('should treat a run whose order got no clear answer as lost only after it was stopped', () => {
		const {track} = setUp();
		track.doubtful(unit, 1, 50);
		assert.deepEqual(track.reconcile(noLists, 40, 60).runsToStop, []);
		assert.deepEqual(track.reconcile(noLists, 100, 110), {endedRuns: [], runsToStop: [{unit, attempt: 1}], ackSeq: 0});
		track.stopped(unit, 1, 200);
		assert.deepEqual(track.reconcile(noLists, 190, 210).endedRuns, []);
		assert.deepEqual(track.reconcile(noLists, 210, 220).endedRuns.map(run => run.how), ['lost']);
	});

	it('should keep a run whose order got no clear answer if the worker lists it', () => {
		const {track} = setUp();
		track.doubtful(unit, 1, 50);
		assert.deepEqual(track.reconcile({...noLists, active: [active]}, 100, 110), {endedRuns: [], runsToStop: [], ackSeq: 0});
		assert.equal(track.runs.get(unit)!.phase.type, 'confirmed');
	});

	it('should not treat a run as lost while its order is pending', () => {
		const {track} = setUp();
		assert.deepEqual(track.reconcile(noLists, 10, 20), {endedRuns: [], runsToStop: [], ackSeq: 0});
	});

	it('should treat inherited runs that the first lists do not show as lost', () => {
		const {track} = setUp({inherited: true});
		assert.deepEqual(track.reconcile(noLists, 10, 20).endedRuns.map(run => run.how), ['lost']);
	});

	// Runs that had ended beyond the 500 that a worker lists at once were started again.
	for (const inherited of [true, false]) {
		it(`should not treat ${inherited ? 'inherited' : 'ordered'} runs as missing while the list of ends is cut`, () => {
			const {track} = setUp({inherited});
			track.confirmed(unit, 1, 10);
			track.stopped(unit, 1, 20);
			const cut: WorkerLists = {
				...noLists, isCut: true, finished: [{
					seq: 1, unit: `${'b'.padEnd(16, '0')}.0.0.0`, attempt: 1, how: 'done', checkpoint: '',
				}],
			};
			for (const atMs of [30, 50, 70]) {
				assert.deepEqual(track.reconcile(cut, atMs, atMs + 10), {endedRuns: [], runsToStop: [], ackSeq: 1});
			}

			const end = {
				seq: 501, unit, attempt: 1, how: 'done' as const, checkpoint: '',
			};
			assert.deepEqual(track.reconcile({...noLists, finished: [end]}, 90, 100).endedRuns, [end]);
		});
	}

	it('should keep inherited runs that the first lists show', () => {
		const {track} = setUp({inherited: true});
		assert.deepEqual(track.reconcile({...noLists, active: [active]}, 10, 20), {endedRuns: [], runsToStop: [], ackSeq: 0});
		assert.equal(track.runs.get(unit)!.phase.type, 'confirmed');
	});

	it('should wait for the end of a lease that an earlier leader may have granted', () => {
		const {track} = setUp({inherited: true});
		assert.ok(track.leaseEndMs() >= leaseMs / 0.98);
	});

	it('should stop listed runs that are not recorded', () => {
		const {track} = setUp();
		const unrecorded = {...active, unit: `${'b'.padEnd(16, '0')}.0.0.0`};
		assert.deepEqual(track.reconcile({...noLists, active: [active, unrecorded]}, 10, 20).runsToStop, [{unit: unrecorded.unit, attempt: 1}]);
	});

	it('should acknowledge finished runs only once they are recorded', () => {
		const {track} = setUp();
		const end = {
			seq: 7, unit, attempt: 1, how: 'done' as const, checkpoint: '',
		};
		const reconciled = track.reconcile({...noLists, finished: [end]}, 10, 20);
		assert.equal(track.ackSeq(), 0);
		track.recorded(reconciled.endedRuns, reconciled.ackSeq);
		assert.equal(track.ackSeq(), 7);
		assert.equal(track.runs.size, 0);
	});

	it('should not end a run because an earlier attempt finished', () => {
		const {track} = setUp();
		const end = {
			seq: 7, unit, attempt: 0, how: 'failed' as const, checkpoint: '',
		};
		assert.deepEqual(track.reconcile({...noLists, active: [active], finished: [end]}, 10, 20).endedRuns, []);
	});
});
