import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {AGEING_MS, weightedMaxMin} from '@bronzebend/core';
import {createDispatchBench, type DispatchBench} from '../fixtures/dispatch-bench.js';

describe('weighted max-min', () => {
	it('should give each claimant its demand or an equal share by weight, and waste nothing', () => {
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
	it('should start what fits and make the rest wait', () => {
		const bench = createDispatchBench();
		const ids = Array.from({length: 6}, () => bench.enqueue('a'));
		assert.deepEqual(bench.tickets.map(ticket => ticket.requestId), ids.slice(0, 4));
		bench.release(bench.tickets[0]!);
		assert.equal(bench.tickets.length, 5);
	});

	it('should lend all slots to one team and return them as work ends', () => {
		const bench = createDispatchBench();
		for (let index = 0; index < 8; index += 1) {
			bench.enqueue('a');
		}

		assert.equal(bench.runningOf('a'), 4);
		bench.enqueue('b');
		bench.enqueue('b');
		bench.release(bench.tickets[0]!);
		bench.release(bench.tickets[1]!);
		assert.equal(bench.runningOf('b'), 2);
	});

	it('should never pass a team\'s portion of its limit, also when that is lowered below what runs', () => {
		const bench = createDispatchBench({caps: {a: 3}});
		for (let index = 0; index < 6; index += 1) {
			bench.enqueue('a');
		}

		assert.equal(bench.runningOf('a'), 3);
		assert.equal(bench.dispatcher.shrink('a', 1), 3);
		bench.release(bench.tickets[0]!);
		assert.equal(bench.dispatcher.shrink('a', 1), 2);
		bench.release(bench.tickets[1]!);
		assert.equal(bench.dispatcher.shrink('a', 1), 1);
		assert.equal(bench.tickets.length, 3, 'waiting work does not take what is being given back');
		bench.dispatcher.endHolds(new Set());
		bench.send({type: 'grants', grants: [{team: 'a', amount: 2}]});
		assert.equal(bench.runningOf('a'), 2);
	});

	it('should give no ticket without a lease', () => {
		const bench = createDispatchBench();
		bench.send({type: 'lease', untilMs: -Infinity});
		bench.enqueue('a');
		assert.equal(bench.tickets.length, 0);
		bench.renew();
		assert.equal(bench.tickets.length, 1);
	});

	it('should put urgent work first without starving the rest', () => {
		const bench = createDispatchBench({backends: 1, slots: 1});
		bench.enqueue('a');
		const waitingSince = bench.enqueue('a');
		for (let index = 0; index < 20; index += 1) {
			bench.enqueue('a', {queue: 'hot'});
		}

		let position = 0;
		while (!bench.ticketOf(waitingSince) && position < 30) {
			bench.release(bench.tickets.at(-1)!);
			position += 1;
		}

		assert.equal(position, 9, 'one other request after eight urgent ones');
	});

	it('should put a request first that waited for the ageing time', () => {
		const bench = createDispatchBench({backends: 1, slots: 1});
		bench.enqueue('a');
		const old = bench.enqueue('a', {deadlineMs: 300_000});
		const held = [{ticketId: bench.tickets[0]!.ticketId, instance: 'i1'}];
		for (let seq = 2; bench.nowMs() <= AGEING_MS; seq += 1) {
			bench.pass(1000);
			bench.announceAll();
			bench.report({seq, held, waiting: ['r2']});
		}

		bench.enqueue('a', {queue: 'hot'});
		bench.release(bench.tickets[0]!);
		assert.equal(bench.tickets.at(-1)!.requestId, old);
	});

	it('should refuse early what cannot start before its deadline', () => {
		const bench = createDispatchBench({backends: 1, slots: 1});
		bench.enqueue('a');
		bench.release(bench.tickets[0]!, 'ok', 1000);
		for (let index = 0; index < 5; index += 1) {
			bench.enqueue('a');
		}

		bench.enqueue('a', {deadlineMs: 2000});
		assert.equal(bench.refusals[0]!.reason, 'would-miss-deadline');
		assert.ok(bench.refusals[0]!.retryAfterMs >= 2000);
	});

	it('should bound each team\'s queue without touching the others', () => {
		const bench = createDispatchBench({backends: 1, slots: 1});
		for (let index = 0; index < 52; index += 1) {
			bench.enqueue('a');
		}

		assert.deepEqual(bench.refusals.map(refusal => refusal.reason), ['queue-full']);
		bench.enqueue('b');
		assert.equal(bench.refusals.length, 1);
	});

	it('should free a waiting place at once when its caller cancels', () => {
		const bench = createDispatchBench({backends: 1, slots: 1});
		bench.enqueue('a');
		const cancelled = bench.enqueue('a');
		const next = bench.enqueue('a');
		bench.send({type: 'cancel', requestId: cancelled});
		bench.release(bench.tickets[0]!);
		assert.equal(bench.tickets.at(-1)!.requestId, next);
	});

	it('should keep a slot and a unit of the limit for work that was cut, until two announcements leave it out', () => {
		const bench = createDispatchBench({backends: 1, slots: 1, caps: {a: 1}});
		bench.enqueue('a');
		bench.enqueue('a');
		const {ticketId} = bench.tickets[0]!;
		bench.release(bench.tickets[0]!, 'unknown');
		bench.announce('i1', {inFlight: [ticketId]});
		bench.announce('i1', {inFlight: [ticketId]});
		assert.equal(bench.tickets.length, 1);
		bench.announce('i1');
		assert.equal(bench.tickets.length, 2);
	});

	it('should eject a server that fails everything, but never more than the budget', () => {
		const bench = createDispatchBench({backends: 2, slots: 4});
		const failEverything = (): void => {
			for (let index = 0; index < 40; index += 1) {
				bench.enqueue('a');
				bench.release(bench.tickets.at(-1)!, 'failed');
			}
		};

		failEverything();
		assert.equal(bench.dispatcher.health(bench.nowMs()).ejected, 1);
		assert.equal(bench.dispatcher.health(bench.nowMs()).live, 1);
	});

	it('should return an ejected server slowly', () => {
		const bench = createDispatchBench({backends: 2, slots: 4});
		for (let index = 0; index < 8; index += 1) {
			bench.enqueue('a');
		}

		for (const ticket of bench.tickets.slice(0, 8)) {
			bench.release(ticket, ticket.instance === 'i1' ? 'failed' : 'ok');
		}

		for (let index = 0; index < 8; index += 1) {
			bench.enqueue('a');
		}

		for (const ticket of bench.tickets.slice(8)) {
			bench.release(ticket, ticket.instance === 'i1' ? 'failed' : 'ok');
		}

		assert.equal(bench.dispatcher.health(bench.nowMs()).ejected, 1);
		bench.pass(2500);
		bench.announceAll();
		assert.equal(bench.dispatcher.health(bench.nowMs()).slots, 5);
	});

	it('should give a leaving or excluded server no new work', () => {
		const bench = createDispatchBench({backends: 2, slots: 1});
		bench.announce('i1', {leaving: true});
		bench.send({
			type: 'configure', configuration: {
				queues: [{
					name: 'q', weight: 1, urgent: false, maxWaiting: 50, maxDeadlineMs: 60_000,
				}], weights: [], maxOut: 1, excluded: ['i2'],
			},
		});
		bench.enqueue('a');
		assert.equal(bench.tickets.length, 0);
		assert.equal(bench.dispatcher.isDrained('i2', bench.nowMs()), true);
	});

	it('should open no more connections to a server than it announced', () => {
		const bench = createDispatchBench({backends: 1, slots: 8});
		bench.announce('i1', {connections: 2});
		for (const entry of ['e1', 'e2', 'e3']) {
			bench.enqueue('a', {entry});
		}

		assert.equal(bench.tickets.length, 2);
		bench.release(bench.tickets[0]!);
		assert.equal(bench.tickets.length, 2, 'e1 still has its idle connection');
		bench.report({seq: 2, entry: 'e1'});
		assert.equal(bench.tickets.length, 3);
	});

	it('should try another rack first', () => {
		const bench = createDispatchBench({backends: 0, slots: 4});
		bench.announce('i1', {rack: 'x'});
		bench.announce('i2', {rack: 'x'});
		bench.announce('i3', {rack: 'y'});
		bench.enqueue('a', {tried: ['i1']});
		assert.equal(bench.tickets[0]!.instance, 'i3');
	});

	it('should take back a ticket that its entry never reported, once that can no longer be used', () => {
		const bench = createDispatchBench({backends: 1, slots: 1});
		const lost = bench.enqueue('a');
		bench.report({seq: 2, waiting: [lost]});
		assert.deepEqual(bench.resends, [], 'the ticket may still be on its way');
		bench.report({seq: 3, waiting: [lost]});
		bench.announceAll();
		bench.announceAll();
		bench.report({seq: 4, waiting: [lost]});
		assert.deepEqual(bench.resends.slice(0, 1), [lost]);
		bench.enqueue('a', {requestId: lost});
		assert.equal(bench.tickets.length, 2);
	});

	it('should free what a silent entry held only by the servers\' reports', () => {
		const bench = createDispatchBench({backends: 1, slots: 1});
		bench.enqueue('a', {entry: 'e1'});
		const {ticketId} = bench.tickets[0]!;
		bench.enqueue('b', {entry: 'e2'});
		bench.pass(2000);
		bench.report({seq: 2, entry: 'e2', waiting: ['r2']});
		bench.pass(1500);
		bench.announce('i1', {inFlight: [ticketId]});
		assert.equal(bench.tickets.length, 1);
		bench.announce('i1');
		assert.equal(bench.tickets.length, 2);
	});

	it('should give no ticket after a take-over before every entry has reported', () => {
		const bench = createDispatchBench({
			epoch: 2, entries: ['e1', 'e2'], rebuildUntilMs: 2000, backends: 1, slots: 2,
		});
		bench.enqueue('a', {entry: 'e2'});
		bench.report({seq: 3, entry: 'e1', held: [{ticketId: 'p:b:1:7', instance: 'i1'}]});
		assert.equal(bench.tickets.length, 0);
		bench.report({seq: 3, entry: 'e2', waiting: ['r1']});
		assert.equal(bench.tickets.length, 1);
		assert.equal(bench.runningOf('b'), 1, 'the work of the earlier epoch counts');
		bench.enqueue('a', {entry: 'e2'});
		assert.equal(bench.tickets.length, 1, 'and holds its slot');
	});

	it('should count work that entries reported before its server announced itself', () => {
		const bench = createDispatchBench({
			epoch: 2, entries: ['e1', 'e2'], rebuildUntilMs: 2000, backends: 0, slots: 1,
		});
		bench.report({
			seq: 3, entry: 'e1', held: [{ticketId: 'p:b:1:7', instance: 'i1'}], connections: [{instance: 'i1', open: 1}],
		});
		bench.report({seq: 3, entry: 'e2'});
		bench.announce('i1', {inFlight: ['p:b:1:7'], connections: 1});
		bench.enqueue('a', {entry: 'e2'});
		assert.equal(bench.tickets.length, 0, 'its only slot is taken');
		bench.send({
			type: 'release', ticketId: 'p:b:1:7', outcome: 'ok', ranMs: 5,
		});
		assert.equal(bench.tickets.length, 0, 'and its only connection is still open at e1');
		bench.report({seq: 4, entry: 'e1'});
		assert.equal(bench.tickets.length, 1);
	});

	it('should wait for a fresh announcement of each server where an entry stayed silent', () => {
		const bench = createDispatchBench({
			epoch: 2, entries: ['gone'], rebuildUntilMs: 2000, backends: 1, slots: 1,
		});
		bench.enqueue('a');
		bench.pass(2100);
		assert.equal(bench.tickets.length, 0);
		bench.announce('i1', {inFlight: ['p:b:1:3']});
		assert.equal(bench.tickets.length, 0, 'the silent entry\'s work runs there');
		assert.equal(bench.runningOf('b'), 1);
		bench.announce('i1');
		assert.equal(bench.tickets.length, 1);
	});

	it('should wait for each silent entry only until its own lease has ended', () => {
		const bench = createDispatchBench({
			epoch: 2, entries: ['gone', 'slow'], rebuildUntilMs: 2000, leaseEnds: [{entry: 'gone', untilMs: 500}, {entry: 'slow', untilMs: 2000}], backends: 1, slots: 1,
		});
		bench.enqueue('a');
		bench.pass(600);
		bench.announce('i1');
		assert.equal(bench.tickets.length, 0, 'the other may still start something');
		bench.report({seq: 3, entry: 'slow'});
		bench.pass(50);
		assert.equal(bench.tickets.length, 0, 'no server has announced itself since');
		bench.announce('i1');
		assert.equal(bench.tickets.length, 1);
	});

	it('should take a thousand cancellations in a thousand steps', () => {
		const bench = createDispatchBench({
			backends: 1, slots: 1, configuration: {
				queues: [{
					name: 'q', weight: 1, urgent: false, maxWaiting: 5000, maxDeadlineMs: 60_000,
				}],
			},
		});
		const ids = Array.from({length: 2000}, () => bench.enqueue('a'));
		for (const requestId of ids.slice(1, 1001)) {
			bench.send({type: 'cancel', requestId});
		}

		bench.release(bench.tickets[0]!);
		assert.equal(bench.tickets.at(-1)!.requestId, ids[1001]);
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
			const bench = createDispatchBench({caps});
			const open = new Map<string, {instance: string; entry: string; team: string}>();
			const seq = {e1: 1, e2: 1};
			const check = (bench_: DispatchBench): void => {
				for (const ticket of bench_.tickets) {
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
						bench.enqueue(step.team, {entry: step.entry, queue: step.queue});
						break;
					}

					case 'release': {
						const ids = [...open.keys()];
						const ticketId = ids[step.index % Math.max(1, ids.length)];
						if (ticketId !== undefined && step.outcome !== 'unknown') {
							open.delete(ticketId);
						}

						if (ticketId !== undefined) {
							bench.send({
								type: 'release', ticketId, outcome: step.outcome, ranMs: 5,
							});
						}

						break;
					}

					case 'cancel': {
						bench.send({type: 'cancel', requestId: `r${step.index}`});
						break;
					}

					case 'announce': {
						const inFlight = [...open].filter(([, item]) => item.instance === step.instance).map(([ticketId]) => ticketId);
						bench.announce(step.instance, {leaving: step.leaving, inFlight});
						break;
					}

					case 'shrink': {
						caps[step.team] = Math.max(bench.dispatcher.shrink(step.team, step.target), 0);
						break;
					}

					case 'report': {
						seq[step.entry] += 1;
						const held = [...open].filter(([, item]) => item.entry === step.entry).map(([ticketId, {instance}]) => ({ticketId, instance}));
						bench.report({seq: seq[step.entry], entry: step.entry, held});
						break;
					}

					case 'pass': {
						bench.pass(step.milliseconds);
						break;
					}
				}

				check(bench);
			}

			Object.assign(caps, {a: 2, b: 3, c: 1});
		}), {seed: 42, numRuns: 400});
	});
});
