import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	activeRun, createSessionHarness, eventually, finishedRun, listsOf, never, unitOf,
} from '../../fixtures/session-harness.js';

const unit = unitOf(0);
const LEASE_MS = 4000;

describe('a session that grants leases', () => {
	// The next leader counts inherited leases from the start of its term.
	it('should grant none that is counted from later than the end of its leadership, wherever it is paused', async () => {
		const leadsUntilMs = 1400;
		for (let pausedAfterCheck = 1; pausedAfterCheck < 10; pausedAfterCheck += 1) {
			const clock = {nowMs: 1000};
			let checks = 0;
			const harness = createSessionHarness({
				clock,
				isLeading() {
					const leads = clock.nowMs < leadsUntilMs;
					checks += 1;
					clock.nowMs += checks === pausedAfterCheck ? 1200 : 0;
					return leads;
				},
				hold: async () => listsOf({clockMs: clock.nowMs, active: [activeRun(unit)]}),
			});
			harness.place(unit);
			assert.ok(await eventually(() => checks > pausedAfterCheck + 2));
			harness.session.close();
			const latestMs = Math.max(...harness.holds.flatMap(({expiresMs}) => expiresMs ?? []), ...harness.starts.map(({expiresMs}) => expiresMs));
			assert.ok(latestMs <= leadsUntilMs + LEASE_MS, `paused after check ${pausedAfterCheck}: ${latestMs}`);
		}
	});

	it('should not end after a pause while the next leader may keep the runs going', async () => {
		const clock = {nowMs: 1000};
		let leads = true;
		let isPaused = false;
		const harness = createSessionHarness({
			clock,
			isLeading: () => leads,
			// Timers of a process that was paused fire before its sockets are read.
			hold: async () => (isPaused ? {type: 'unknown', cause: 'no response'} : listsOf({clockMs: clock.nowMs, active: [activeRun(unit)]})),
		});
		harness.place(unit);
		assert.ok(await eventually(() => harness.holds.length > 3));
		isPaused = true;
		leads = false;
		clock.nowMs += 20_000;
		assert.ok(await never(() => harness.ended.length > 0));
		harness.session.close();
		assert.equal(harness.stateOf(unit), 'running');
	});

	it('should count the lease of a renewal whose answer is lost', async () => {
		let isCut = false;
		const harness = createSessionHarness({
			async hold({expiresMs}) {
				harness.clock.nowMs += 250;
				granted = Math.max(granted, expiresMs ?? 0);
				return isCut ? {type: 'unknown', cause: 'no response'} : listsOf({clockMs: harness.clock.nowMs, active: [activeRun(unit)]});
			},
		});
		let granted = 0;
		harness.place(unit);
		assert.ok(await eventually(() => harness.holds.length > 3));
		isCut = true;
		assert.ok(await eventually(() => harness.ended.length > 0));
		assert.ok(harness.clock.nowMs > granted, `${harness.clock.nowMs} ${granted}`);
	});

	it('should neither be ended nor lose runs by a poll that is rejected', async () => {
		const harness = createSessionHarness({
			hold: async () => (harness.holds.length % 2 === 0 ? {type: 'unknown', cause: 'unhealthy'} : listsOf({clockMs: harness.clock.nowMs, active: [activeRun(unit)]})),
		});
		harness.place(unit);
		assert.ok(await eventually(() => harness.holds.length > 6));
		harness.session.close();
		assert.deepEqual([harness.ended, harness.stateOf(unit)], [[], 'running']);
	});

	// The first poll of a session for a life that the term before had used must carry its token before anything counts as missing.
	it('should keep an inherited run until a poll with its own token is answered', async () => {
		let isCut = true;
		const first = createSessionHarness();
		first.record(unit);
		first.session.close();
		const harness = createSessionHarness({
			store: first.store,
			inherited: true,
			announcedClock: undefined,
			hold: async () => (isCut ? {type: 'unknown', cause: 'no response'} : listsOf({clockMs: harness.clock.nowMs})),
		});
		assert.ok(await eventually(() => harness.holds.length > 4));
		harness.clock.nowMs += LEASE_MS;
		assert.ok(await never(() => harness.ended.length > 0));
		assert.equal(harness.stateOf(unit), 'running');
		isCut = false;
		assert.ok(await eventually(() => harness.stateOf(unit) === 'idle'));
		harness.session.close();
		assert.ok(harness.holds.every(({expiresMs}) => expiresMs === undefined));
	});
});

describe('the acknowledgement of ended runs', () => {
	it('should not follow lists that arrive after the leader has lost its lease', async () => {
		let leads = true;
		let arrived = 0;
		const harness = createSessionHarness({
			units: 2,
			isLeading: () => leads,
			async hold({ackSeq}) {
				leads = arrived > 0;
				arrived += 1;
				return listsOf({clockMs: harness.clock.nowMs, finished: ackSeq < 5 ? [finishedRun(5, unit)] : []});
			},
		});
		harness.place(unit);
		assert.ok(await eventually(() => arrived > 0));
		assert.ok(await never(() => harness.stateOf(unit) !== 'running'));
		leads = true;
		assert.ok(await eventually(() => harness.holds.at(-1)!.ackSeq === 5));
		assert.deepEqual([harness.holds.map(({ackSeq}) => ackSeq), harness.stateOf(unit)], [[0, 0, 5], 'idle']);
	});

	it('should wait until the ends are recorded, however often that fails', async () => {
		let isDown = true;
		const harness = createSessionHarness({
			hold: async ({ackSeq}) => listsOf({clockMs: harness.clock.nowMs, finished: ackSeq < 5 ? [finishedRun(5, unit)] : []}),
			async recordEnds(_over, apply) {
				if (!isDown) {
					apply();
				}

				return !isDown;
			},
		});
		harness.place(unit);
		assert.ok(await eventually(() => harness.holds.length > 4));
		assert.deepEqual([harness.holds.every(({ackSeq}) => ackSeq === 0), harness.stateOf(unit)], [true, 'running']);
		isDown = false;
		assert.ok(await eventually(() => harness.holds.at(-1)!.ackSeq === 5));
		assert.equal(harness.stateOf(unit), 'idle');
	});

	it('should follow a record whose outcome was unknown only once the end is recorded again', async () => {
		let records = 0;
		const harness = createSessionHarness({
			hold: async ({ackSeq}) => listsOf({clockMs: harness.clock.nowMs, finished: ackSeq < 5 ? [finishedRun(5, unit)] : []}),
			async recordEnds(_over, apply) {
				records += 1;
				apply();
				return records > 1;
			},
		});
		harness.place(unit);
		assert.ok(await eventually(() => harness.holds.at(-1)?.ackSeq === 5));
		assert.equal(records, 2);
	});

	it('should cover no run that was recorded for the life after its session began and that nobody ordered', async () => {
		const harness = createSessionHarness({
			units: 2,
			hold: async () => listsOf({clockMs: harness.clock.nowMs, active: [activeRun(unit)]}),
		});
		harness.place(unit);
		harness.record(unitOf(1));
		assert.ok(await eventually(() => harness.holds.length > 4));
		assert.deepEqual([harness.stateOf(unitOf(1)), harness.stops], ['running', []]);
		harness.session.adopt(unitOf(1), 1);
		assert.ok(await eventually(() => harness.stateOf(unitOf(1)) === 'idle'));
		harness.session.close();
		assert.deepEqual([harness.stops, harness.starts.map(start => start.unit)], [[unitOf(1)], [unit]]);
	});
});
