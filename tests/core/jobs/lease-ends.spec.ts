import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createWorkerTrack} from '@bronzebend/core';
import fc from 'fast-check';
import {lifeNamed, orderOf, storeWith} from '../../fixtures/job-fixtures.js';

const LEASE_MS = 4000;
/** Part of the margin of a lease's end that must be left for late timers of the worker, in milliseconds. */
const LEFT_MARGIN_MS = 100;
const life = lifeNamed('w1');
const unit = `${'a'.padEnd(16, '0')}.0.0.0`;
const WORKER_START_MS = 700_000;

type Call = {kind: 'poll' | 'start'; gapMs: number; fate: 'answered' | 'answer lost' | 'late' | 'unsent'; outMs: number; backMs: number};

const callArbitrary: fc.Arbitrary<Call> = fc.record({
	kind: fc.constantFrom('poll', 'start'),
	gapMs: fc.nat(900),
	fate: fc.constantFrom('answered', 'answered', 'answer lost', 'late', 'unsent'),
	outMs: fc.nat(400),
	backMs: fc.nat(400),
});

/** Plays calls to a worker whose clock has a rate; checks after each event that the leader's end of the lease covers every call that the worker may get. */
const play = (calls: readonly Call[], rate: number, readingAgeMs: number) => {
	const store = storeWith([orderOf('a')]);
	store.apply({type: 'runs-start', lives: [life], runs: [{unit, attempt: 1, life: life.life}]});
	const beginMs = 20_000;
	const readingOf = (atMs: number): number => WORKER_START_MS + (rate * atMs);
	const track = createWorkerTrack({
		life: life.life, store, leaseMs: LEASE_MS, inherited: false, nowMs: beginMs, clock: {clockMs: readingOf(beginMs - readingAgeMs), receivedMs: beginMs - readingAgeMs},
	});
	track.ordered(unit, 1, beginMs);
	/** Ends, on the leader's clock, of the leases that calls have granted or may grant. */
	const granted = new Map<Call, number>();
	const events: Array<{atMs: number; run(nowMs: number): void}> = [];
	let sentMs = beginMs;
	for (const call of calls) {
		sentMs += call.gapMs;
		events.push({
			atMs: sentMs, run(nowMs) {
				const expiryMs = call.kind === 'poll' ? track.renewedExpiry(nowMs) : track.leaseExpiry(nowMs);
				if (expiryMs !== undefined) {
					granted.set(call, (expiryMs - WORKER_START_MS) / rate);
				}

				const takenMs = nowMs + call.outMs;
				events.push({
					atMs: takenMs + call.backMs, run(answeredMs) {
						if (expiryMs !== undefined) {
							track.leaseCallEnded(expiryMs, call.fate !== 'unsent');
						}

						if (call.fate === 'unsent') {
							granted.delete(call);
						} else if (call.fate === 'answered' && call.kind === 'poll') {
							track.reconcile({
								clockMs: readingOf(takenMs), finished: [], isCut: false, active: [{
									unit, attempt: 1, checkpoint: '', percent: 1, load: 0,
								}],
							}, nowMs, answeredMs);
						}
					},
				});
			},
		});
	}

	let nowMs = beginMs;
	while (events.length > 0) {
		events.sort((left, right) => left.atMs - right.atMs);
		const event = events.shift()!;
		nowMs = event.atMs;
		event.run(nowMs);
		const latestMs = Math.max(-Infinity, ...granted.values());
		assert.ok(latestMs <= Math.max(nowMs, track.leaseEndMs() - LEFT_MARGIN_MS), `lease until ${latestMs}, taken for over at ${track.leaseEndMs()}, now ${nowMs}`);
	}

	return {store, endedMs: sentMs, latestMs: Math.max(-Infinity, ...granted.values())};
};

describe('the end of a lease', () => {
	it('should not be reached on the leader while any call that was sent may still extend it on the worker', () => {
		fc.assert(fc.property(fc.array(callArbitrary, {minLength: 1, maxLength: 25}), fc.double({min: 0.98, max: 1, noNaN: true}), fc.nat(9000), (calls, rate, ageMs) => {
			play(calls, rate, ageMs);
		}), {numRuns: 2000});
	});

	// A grant on an old reading of a slow clock was longer than a lease.
	it('should not be reached on the next leader before a lease that the leader before granted', () => {
		fc.assert(fc.property(fc.array(callArbitrary, {minLength: 1, maxLength: 25}), fc.double({min: 0.98, max: 1, noNaN: true}), fc.nat(9000), (calls, rate, ageMs) => {
			const {store, endedMs, latestMs} = play(calls, rate, ageMs);
			const next = createWorkerTrack({
				life: life.life, store, leaseMs: LEASE_MS, inherited: true, nowMs: endedMs,
			});
			assert.ok(latestMs <= next.leaseEndMs() - LEFT_MARGIN_MS, `lease until ${latestMs}, taken for over at ${next.leaseEndMs()}`);
		}), {numRuns: 2000});
	});
});
