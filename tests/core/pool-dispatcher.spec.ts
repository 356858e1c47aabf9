import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {AGEING_MS, weightedMaxMin} from '@bronzebend/core';
import {createDispatchHarness, type DispatchHarness} from '../fixtures/dispatch-harness.js';

describe('weighted max-min', () => {
	it('should give each claimant its demand or an equal share by weight, and leave no capacity unused', () => {
		const claimant = fc.record({weight: fc.integer({min: 1, max: 9}), demand: fc.integer({min: 0, max: 50})});
		fc.assert(fc.property(fc.integer({min: 1, max: 100}), fc.array(claimant, {minLength: 1, maxLength: 8}), (capacity, claimants) => {
			const shares = weightedMaxMin(capacity, claimants);
			const demand = claimants.reduce((sum, item) => sum + item.demand, 0);
			const given = shares.reduce((sum, share) => sum + share, 0);
			assert.ok(Math.abs(given - Math.min(capacity, demand)) < 1e-6);
			const levels = claimants.map((item, index) => ({level: shares[index]! / item.weight, full: shares[index]! >= item.demand - 1e-9}));
			const wanting = levels.filter(item => !item.full).map(item => item.level);
			assert.ok(wanting.every(level => Math.abs(level - wanting[0]!) < 1e-6));
			assert.ok(levels.every(item => !item.full || wanting.length === 0 || item.level <= wanting[0]! + 1e-6));
		}), {seed: 1, numRuns: 300});
	});
});

describe('pool dispatcher', () => {
	it('should start the requests that fit and queue the rest', () => {
		const fixture = createDispatchHarness();
		const ids = Array.from({length: 6}, () => fixture.enqueue('a'));
		assert.deepEqual(fixture.tickets.map(ticket => ticket.requestId), ids.slice(0, 4));
		fixture.release(fixture.tickets[0]!);
		assert.equal(fixture.tickets.length, 5);
	});

	it('should let one team use all slots and give them to another team as its requests end', () => {
		const fixture = createDispatchHarness();
		for (let index = 0; index < 8; index += 1) {
			fixture.enqueue('a');
		}

		assert.equal(fixture.runningOf('a'), 4);
		fixture.enqueue('b');
		fixture.enqueue('b');
		fixture.release(fixture.tickets[0]!);
		fixture.release(fixture.tickets[1]!);
		assert.equal(fixture.runningOf('b'), 2);
	});

	it('should never exceed a team\'s portion of its limit, even if the portion is lowered below the running count', () => {
		const fixture = createDispatchHarness({caps: {a: 3}});
		for (let index = 0; index < 6; index += 1) {
			fixture.enqueue('a');
		}

		assert.equal(fixture.runningOf('a'), 3);
		assert.equal(fixture.dispatcher.shrink('a', 1), 3);
		fixture.release(fixture.tickets[0]!);
		assert.equal(fixture.dispatcher.shrink('a', 1), 2);
		fixture.release(fixture.tickets[1]!);
		assert.equal(fixture.dispatcher.shrink('a', 1), 1);
		assert.equal(fixture.tickets.length, 3, 'waiting requests do not take the units that are being given back');
		fixture.dispatcher.endHolds(new Set());
		fixture.send({type: 'grants', grants: [{team: 'a', amount: 2}]});
		assert.equal(fixture.runningOf('a'), 2);
	});

	it('should issue no ticket without a lease', () => {
		const fixture = createDispatchHarness();
		fixture.send({type: 'lease', untilMs: -Infinity});
		fixture.enqueue('a');
		assert.equal(fixture.tickets.length, 0);
		fixture.renew();
		assert.equal(fixture.tickets.length, 1);
	});

	it('should start urgent requests first without starving others', () => {
		const fixture = createDispatchHarness({backends: 1, slots: 1});
		fixture.enqueue('a');
		const waitingSince = fixture.enqueue('a');
		for (let index = 0; index < 20; index += 1) {
			fixture.enqueue('a', {queue: 'hot'});
		}

		let position = 0;
		while (!fixture.ticketOf(waitingSince) && position < 30) {
			fixture.release(fixture.tickets.at(-1)!);
			position += 1;
		}

		assert.equal(position, 9, 'one other request after eight urgent ones');
	});

	it('should start a request first once it has waited for the ageing time', () => {
		const fixture = createDispatchHarness({backends: 1, slots: 1});
		fixture.enqueue('a');
		const old = fixture.enqueue('a', {deadlineMs: 300_000});
		const held = [{ticketId: fixture.tickets[0]!.ticketId, instance: 'i1'}];
		for (let seq = 2; fixture.nowMs() <= AGEING_MS; seq += 1) {
			fixture.pass(1000);
			fixture.announceAll();
			fixture.report({seq, held, waiting: ['r2']});
		}

		fixture.enqueue('a', {queue: 'hot'});
		fixture.release(fixture.tickets[0]!);
		assert.equal(fixture.tickets.at(-1)!.requestId, old);
	});

	it('should refuse a request at once if it cannot start before its deadline', () => {
		const fixture = createDispatchHarness({backends: 1, slots: 1});
		fixture.enqueue('a');
		fixture.release(fixture.tickets[0]!, 'ok', 1000);
		for (let index = 0; index < 5; index += 1) {
			fixture.enqueue('a');
		}

		fixture.enqueue('a', {deadlineMs: 2000});
		assert.equal(fixture.refusals[0]!.reason, 'would-miss-deadline');
		assert.ok(fixture.refusals[0]!.retryAfterMs >= 2000);
	});

	it('should limit the queue of each team independently', () => {
		const fixture = createDispatchHarness({backends: 1, slots: 1});
		for (let index = 0; index < 52; index += 1) {
			fixture.enqueue('a');
		}

		assert.deepEqual(fixture.refusals.map(refusal => refusal.reason), ['queue-full']);
		fixture.enqueue('b');
		assert.equal(fixture.refusals.length, 1);
	});

	it('should skip a waiting request that its caller cancelled', () => {
		const fixture = createDispatchHarness({backends: 1, slots: 1});
		fixture.enqueue('a');
		const cancelled = fixture.enqueue('a');
		const next = fixture.enqueue('a');
		fixture.send({type: 'cancel', requestId: cancelled});
		fixture.release(fixture.tickets[0]!);
		assert.equal(fixture.tickets.at(-1)!.requestId, next);
	});

	it('should keep the slot and limit unit of a request that was cut off until announcements no longer list it', () => {
		const fixture = createDispatchHarness({backends: 1, slots: 1, caps: {a: 1}});
		fixture.enqueue('a');
		fixture.enqueue('a');
		const {ticketId} = fixture.tickets[0]!;
		fixture.release(fixture.tickets[0]!, 'unknown');
		fixture.announce('i1', {inFlight: [ticketId]});
		fixture.announce('i1', {inFlight: [ticketId]});
		assert.equal(fixture.tickets.length, 1);
		fixture.announce('i1');
		assert.equal(fixture.tickets.length, 2);
	});

	it('should eject a server that fails every request, but not more servers than the budget allows', () => {
		const fixture = createDispatchHarness({backends: 2, slots: 4});
		const failEverything = (): void => {
			for (let index = 0; index < 40; index += 1) {
				fixture.enqueue('a');
				fixture.release(fixture.tickets.at(-1)!, 'failed');
			}
		};

		failEverything();
		assert.equal(fixture.dispatcher.health(fixture.nowMs()).ejected, 1);
		assert.equal(fixture.dispatcher.health(fixture.nowMs()).live, 1);
	});

	it('should return an ejected server with one slot at first', () => {
		const fixture = createDispatchHarness({backends: 2, slots: 4});
		for (let index = 0; index < 8; index += 1) {
			fixture.enqueue('a');
		}

		for (const ticket of fixture.tickets.slice(0, 8)) {
			fixture.release(ticket, ticket.instance === 'i1' ? 'failed' : 'ok');
		}

		for (let index = 0; index < 8; index += 1) {
			fixture.enqueue('a');
		}

		for (const ticket of fixture.tickets.slice(8)) {
			fixture.release(ticket, ticket.instance === 'i1' ? 'failed' : 'ok');
		}

		assert.equal(fixture.dispatcher.health(fixture.nowMs()).ejected, 1);
		fixture.pass(2500);
		fixture.announceAll();
		assert.equal(fixture.dispatcher.health(fixture.nowMs()).slots, 5);
	});

	it('should send no new requests to a leaving or excluded server', () => {
		const fixture = createDispatchHarness({backends: 2, slots: 1});
		fixture.announce('i1', {leaving: true});
		fixture.send({
			type: 'configure', configuration: {
				queues: [{
					name: 'q', weight: 1, urgent: false, maxWaiting: 50, maxDeadlineMs: 60_000,
				}], weights: [], maxOut: 1, excluded: ['i2'],
			},
		});
		fixture.enqueue('a');
		assert.equal(fixture.tickets.length, 0);
		assert.equal(fixture.dispatcher.isDrained('i2', fixture.nowMs()), true);
	});

	it('should open no more connections to a server than it announced', () => {
		const fixture = createDispatchHarness({backends: 1, slots: 8});
		fixture.announce('i1', {connections: 2});
		for (const entry of ['e1', 'e2', 'e3']) {
			fixture.enqueue('a', {entry});
		}

		assert.equal(fixture.tickets.length, 2);
		fixture.release(fixture.tickets[0]!);
		assert.equal(fixture.tickets.length, 2, 'e1 still has its idle connection');
		fixture.report({seq: 2, entry: 'e1'});
		assert.equal(fixture.tickets.length, 3);
	});

	it('should prefer a server in another rack on a retry', () => {
		const fixture = createDispatchHarness({backends: 0, slots: 4});
		fixture.announce('i1', {rack: 'x'});
		fixture.announce('i2', {rack: 'x'});
		fixture.announce('i3', {rack: 'y'});
		fixture.enqueue('a', {tried: ['i1']});
		assert.equal(fixture.tickets[0]!.instance, 'i3');
	});

	it('should take back a ticket that its entry did not report, once the entry can no longer use it', () => {
		const fixture = createDispatchHarness({backends: 1, slots: 1});
		const lost = fixture.enqueue('a');
		fixture.report({seq: 2, waiting: [lost]});
		assert.deepEqual(fixture.resends, [], 'the ticket may still be on its way');
		fixture.report({seq: 3, waiting: [lost]});
		fixture.announceAll();
		fixture.announceAll();
		fixture.report({seq: 4, waiting: [lost]});
		assert.deepEqual(fixture.resends.slice(0, 1), [lost]);
		fixture.enqueue('a', {requestId: lost});
		assert.equal(fixture.tickets.length, 2);
	});

	it('should free the slots of a silent entry only after the servers stop reporting its work', () => {
		const fixture = createDispatchHarness({backends: 1, slots: 1});
		fixture.enqueue('a', {entry: 'e1'});
		const {ticketId} = fixture.tickets[0]!;
		fixture.enqueue('b', {entry: 'e2'});
		fixture.pass(2000);
		fixture.report({seq: 2, entry: 'e2', waiting: ['r2']});
		fixture.pass(1500);
		fixture.announce('i1', {inFlight: [ticketId]});
		assert.equal(fixture.tickets.length, 1);
		fixture.announce('i1');
		assert.equal(fixture.tickets.length, 2);
	});

	it('should issue no ticket after a take-over before every entry has reported', () => {
		const fixture = createDispatchHarness({
			epoch: 2, entries: ['e1', 'e2'], rebuildUntilMs: 2000, backends: 1, slots: 2,
		});
		fixture.enqueue('a', {entry: 'e2'});
		fixture.report({seq: 3, entry: 'e1', held: [{ticketId: 'p:b:1:7', instance: 'i1'}]});
		assert.equal(fixture.tickets.length, 0);
		fixture.report({seq: 3, entry: 'e2', waiting: ['r1']});
		assert.equal(fixture.tickets.length, 1);
		assert.equal(fixture.runningOf('b'), 1, 'the work of the earlier epoch counts');
		fixture.enqueue('a', {entry: 'e2'});
		assert.equal(fixture.tickets.length, 1, 'and holds its slot');
	});

	it('should count work that an entry reported before the server announced itself', () => {
		const fixture = createDispatchHarness({
			epoch: 2, entries: ['e1', 'e2'], rebuildUntilMs: 2000, backends: 0, slots: 1,
		});
		fixture.report({
			seq: 3, entry: 'e1', held: [{ticketId: 'p:b:1:7', instance: 'i1'}], connections: [{instance: 'i1', open: 1}],
		});
		fixture.report({seq: 3, entry: 'e2'});
		fixture.announce('i1', {inFlight: ['p:b:1:7'], connections: 1});
		fixture.enqueue('a', {entry: 'e2'});
		assert.equal(fixture.tickets.length, 0, 'its only slot is taken');
		fixture.send({
			type: 'release', ticketId: 'p:b:1:7', outcome: 'ok', ranMs: 5,
		});
		assert.equal(fixture.tickets.length, 0, 'and its only connection is still open at e1');
		fixture.report({seq: 4, entry: 'e1'});
		assert.equal(fixture.tickets.length, 1);
	});

	it('should wait for a new announcement of each server if an entry did not report', () => {
		const fixture = createDispatchHarness({
			epoch: 2, entries: ['gone'], rebuildUntilMs: 2000, backends: 1, slots: 1,
		});
		fixture.enqueue('a');
		fixture.pass(2100);
		assert.equal(fixture.tickets.length, 0);
		fixture.announce('i1', {inFlight: ['p:b:1:3']});
		assert.equal(fixture.tickets.length, 0, 'the silent entry\'s work runs there');
		assert.equal(fixture.runningOf('b'), 1);
		fixture.announce('i1');
		assert.equal(fixture.tickets.length, 1);
	});

	it('should wait for each silent entry only until its own lease has ended', () => {
		const fixture = createDispatchHarness({
			epoch: 2, entries: ['gone', 'slow'], rebuildUntilMs: 2000, leaseEnds: [{entry: 'gone', untilMs: 500}, {entry: 'slow', untilMs: 2000}], backends: 1, slots: 1,
		});
		fixture.enqueue('a');
		fixture.pass(600);
		fixture.announce('i1');
		assert.equal(fixture.tickets.length, 0, 'the other entry may still start work');
		fixture.report({seq: 3, entry: 'slow'});
		fixture.pass(50);
		assert.equal(fixture.tickets.length, 0, 'no server has announced itself since');
		fixture.announce('i1');
		assert.equal(fixture.tickets.length, 1);
	});

	it('should skip a thousand cancelled requests', () => {
		const fixture = createDispatchHarness({
			backends: 1, slots: 1, configuration: {
				queues: [{
					name: 'q', weight: 1, urgent: false, maxWaiting: 5000, maxDeadlineMs: 60_000,
				}],
			},
		});
		const ids = Array.from({length: 2000}, () => fixture.enqueue('a'));
		for (const requestId of ids.slice(1, 1001)) {
			fixture.send({type: 'cancel', requestId});
		}

		fixture.release(fixture.tickets[0]!);
		assert.equal(fixture.tickets.at(-1)!.requestId, ids[1001]);
	});

	it('should keep slots, connections and limits under any order of events', () => {
		const event = fc.oneof(
			{
				weight: 5, arbitrary: fc.record({
					type: fc.constant('enqueue' as const), team: fc.constantFrom('a', 'b', 'c'), entry: fc.constantFrom('e1', 'e2'), queue: fc.constantFrom('q', 'hot'),
				}),
			},
			{weight: 5, arbitrary: fc.record({type: fc.constant('release' as const), index: fc.nat(), outcome: fc.constantFrom('ok' as const, 'failed' as const, 'unknown' as const, 'not-run' as const)})},
			{weight: 2, arbitrary: fc.record({type: fc.constant('cancel' as const), index: fc.nat(60)})},
			{weight: 2, arbitrary: fc.record({type: fc.constant('announce' as const), instance: fc.constantFrom('i1', 'i2', 'i3'), leaving: fc.boolean()})},
			{weight: 1, arbitrary: fc.record({type: fc.constant('shrink' as const), team: fc.constantFrom('a', 'b', 'c'), target: fc.nat(3)})},
			{weight: 1, arbitrary: fc.record({type: fc.constant('report' as const), entry: fc.constantFrom('e1', 'e2'), forget: fc.boolean()})},
			{weight: 1, arbitrary: fc.record({type: fc.constant('pass' as const), milliseconds: fc.integer({min: 1, max: 4000})})},
		);
		const caps = {a: 2, b: 3, c: 1};
		fc.assert(fc.property(fc.array(event, {minLength: 20, maxLength: 120}), events => {
			const fixture = createDispatchHarness({caps});
			const open = new Map<string, {instance: string; entry: string; team: string}>();
			const seq = {e1: 1, e2: 1};
			const check = (current: DispatchHarness): void => {
				for (const ticket of current.tickets) {
					if (!seen.has(ticket.ticketId)) {
						seen.add(ticket.ticketId);
						open.set(ticket.ticketId, {instance: ticket.instance, entry: ticket.entry, team: ticket.ticketId.split(':')[1]!});
					}
				}

				for (const team of ['a', 'b', 'c'] as const) {
					assert.ok([...open.values()].filter(item => item.team === team).length <= caps[team], `team ${team} is above its limit`);
				}

				for (const instance of ['i1', 'i2', 'i3']) {
					assert.ok([...open.values()].filter(item => item.instance === instance).length <= 2, `${instance} has a slot given twice`);
				}
			};

			const seen = new Set<string>();
			for (const step of events) {
				switch (step.type) {
					case 'enqueue': {
						fixture.enqueue(step.team, {entry: step.entry, queue: step.queue});
						break;
					}

					case 'release': {
						const ids = [...open.keys()];
						const ticketId = ids[step.index % Math.max(1, ids.length)];
						if (ticketId !== undefined && step.outcome !== 'unknown') {
							open.delete(ticketId);
						}

						if (ticketId !== undefined) {
							fixture.send({
								type: 'release', ticketId, outcome: step.outcome, ranMs: 5,
							});
						}

						break;
					}

					case 'cancel': {
						fixture.send({type: 'cancel', requestId: `r${step.index}`});
						break;
					}

					case 'announce': {
						const inFlight = [...open].filter(([, item]) => item.instance === step.instance).map(([ticketId]) => ticketId);
						fixture.announce(step.instance, {leaving: step.leaving, inFlight});
						break;
					}

					case 'shrink': {
						caps[step.team] = Math.max(fixture.dispatcher.shrink(step.team, step.target), 0);
						break;
					}

					case 'report': {
						seq[step.entry] += 1;
						const held = [...open].filter(([, item]) => item.entry === step.entry).map(([ticketId, {instance}]) => ({ticketId, instance}));
						fixture.report({seq: seq[step.entry], entry: step.entry, held});
						break;
					}

					case 'pass': {
						fixture.pass(step.milliseconds);
						break;
					}
				}

				check(fixture);
			}

			Object.assign(caps, {a: 2, b: 3, c: 1});
		}), {seed: 42, numRuns: 400});
	});
});
