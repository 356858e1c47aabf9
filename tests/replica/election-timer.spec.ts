import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createElectionTimer, defaultTimings as timings} from '@bronzebend/replica';

const {minElectionMs, maxElectionMs} = timings;

describe('the election timer', () => {
	/** Earliest and latest time at which a timer fires that was reset at 0. */
	const rangeOf = (termsWithoutLeader: number, syncsMs: number[] = []): number[] => [0, 0.999_999].map(drawn => {
		const timer = createElectionTimer({timings, random: () => drawn, nowMs: 0});
		for (const tookMs of syncsMs) {
			timer.synced(tookMs);
		}

		timer.reset(0, termsWithoutLeader);
		return Array.from({length: 20_000}, (_, nowMs) => nowMs).find(nowMs => timer.hasFired(nowMs))!;
	});

	it('should fire within the usual time after a tie between candidates where disks are fast', () => {
		for (const terms of [0, 1, 2]) {
			assert.deepEqual(rangeOf(terms), [minElectionMs, maxElectionMs]);
		}
	});

	// Guards against elections that begin anew before the votes of slow replicas have come.
	it('should allow for more time with each further term without a leader, up to a limit', () => {
		assert.deepEqual([3, 4, 5, 6].map(terms => rangeOf(terms)[0]), [2, 4, 8, 8].map(factor => factor * minElectionMs));
	});

	it('should allow for the two syncs of a vote, and forget a slow one within some tens of syncs', () => {
		assert.equal(rangeOf(0, [400])[0], minElectionMs + 800);
		assert.equal(rangeOf(0, [60_000])[0], minElectionMs + 2000);
		assert.ok(rangeOf(0, [400, ...Array.from({length: 40}, () => 5)])[0]! < minElectionMs + 20);
	});

	it('should fire soon once it is hastened, and not later than it would have', () => {
		const timer = createElectionTimer({timings, random: () => 0.5, nowMs: 0});
		timer.hasten(100);
		assert.deepEqual([timer.hasFired(100), timer.hasFired(160)], [false, true]);
		timer.reset(0, 0);
		timer.hasten(10_000);
		assert.equal(timer.hasFired(maxElectionMs), true);
	});
});
