import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {lifeOf, type OrderResult} from '@bronzebend/core';
import {lifeNamed} from '../../fixtures/job-fixtures.js';
import {
	activeRun, createSessionHarness, eventually, finishedRun, listsOf, never, unitOf,
} from '../../fixtures/session-harness.js';

const unit = unitOf(0);
const unanswered: OrderResult = {type: 'unknown', cause: 'no answer'};
/** Reading of a clock that is two percent slow and showed 1,000 ms when the leader's did. */
const slowClock = (nowMs: number): number => 1000 + ((nowMs - 1000) * 0.98);

/** A session that loses contact with a worker that has got a start, until it ends. */
const loseContact = async () => {
	const harness = createSessionHarness({
		start: async () => unanswered,
		stop: async () => unanswered,
		async hold() {
			harness.clock.nowMs += 250;
			return {type: 'unknown', cause: 'no response'};
		},
	});
	harness.place(unit);
	assert.ok(await eventually(() => harness.ended.length > 0));
	return harness;
};

describe('a life whose contact was lost', () => {
	it('should be given up only once no start can begin on it, however late it is carried out', async () => {
		const {starts, holds, clock} = await loseContact();
		const expiries = [...starts, ...holds].flatMap(({expiresMs}) => expiresMs ?? []);
		assert.ok(expiries.length > 0 && expiries.every(expiresMs => expiresMs <= slowClock(clock.nowMs)), `${expiries.join(', ')} at ${slowClock(clock.nowMs)}`);
	});

	it('should keep a run that its next session in the same term finds at work', async () => {
		const first = await loseContact();
		const next = createSessionHarness({
			store: first.store, clock: first.clock, announcedClock: undefined, hold: async () => listsOf({clockMs: first.clock.nowMs, active: [activeRun(unit)]}),
		});
		assert.ok(await eventually(() => next.holds.length > 3));
		next.session.close();
		assert.deepEqual([next.stateOf(unit), next.stops, next.ended], ['running', [], []]);
	});

	it('should not have a run ended by an answer that its ended session gets late', async () => {
		let answer: (result: OrderResult) => void = () => undefined;
		const harness = createSessionHarness({
			start: async () => new Promise(resolve => {
				answer = resolve;
			}),
			async hold() {
				harness.clock.nowMs += 250;
				return {type: 'unknown', cause: 'no response'};
			},
		});
		harness.place(unit);
		assert.ok(await eventually(() => harness.ended.length > 0));
		harness.store.apply({
			type: 'runs-over', life: harness.life.life, runs: [{
				unit, attempt: 1, how: 'lost', checkpoint: '',
			}], atMs: 0,
		});
		harness.record(unit, 2);
		answer({type: 'rejected', reason: 'late'});
		assert.ok(await never(() => harness.stateOf(unit) !== 'running'));
		assert.equal(harness.store.find(unit)!.unit.attempt, 2);
	});

	it('should have the end of a start that its worker\'s next life carried out recorded before it is acknowledged', async () => {
		const earlier = lifeNamed('w1', {bornMs: 0, life: lifeOf('w1', 0)});
		const harness = createSessionHarness({
			units: 2,
			hold: async ({ackSeq}) => listsOf({clockMs: harness.clock.nowMs, active: [activeRun(unit)], finished: ackSeq < 5 ? [finishedRun(5, unitOf(1))] : []}),
		});
		harness.store.apply({type: 'runs-start', lives: [earlier], runs: [{unit: unitOf(1), attempt: 1, life: earlier.life}]});
		harness.place(unit);
		await eventually(() => harness.holds.at(-1)?.ackSeq === 5, 80);
		harness.session.close();
		assert.deepEqual([harness.stateOf(unitOf(1)), harness.stateOf(unit)], ['idle', 'running']);
	});
});
