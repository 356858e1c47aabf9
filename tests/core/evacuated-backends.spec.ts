import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createRandom} from '@bronzebend/core';
import {createDispatchHarness, type DispatchHarness} from '../fixtures/dispatch-harness.js';

/** Fleets drawn at random; at least 50 are required by the specification. */
const FLEETS = 60;
const STEPS = 150;

describe('dispatch with evacuated data centres', () => {
	it('should give no ticket there to new or waiting requests, and let open tickets run to their end', () => {
		const fixture = createDispatchHarness({backends: 0, slots: 1});
		fixture.announce('i1', {dataCentre: 'east'});
		fixture.announce('i2', {dataCentre: 'west'});
		fixture.enqueue('a');
		fixture.enqueue('a');
		const waiting = fixture.enqueue('a');
		fixture.evacuate({east: ['i1']});
		const [inEast, inWest] = ['i1', 'i2'].map(name => fixture.tickets.find(ticket => ticket.instance === name)!);
		assert.equal(fixture.runningOf('a'), 2, 'both tickets stay open');
		fixture.release(inEast!);
		assert.equal(fixture.ticketOf(waiting), undefined);
		fixture.release(inWest!);
		assert.equal(fixture.ticketOf(waiting)?.instance, 'i2');
	});

	it('should refuse a request that finds no instance elsewhere as not run, at its deadline and not before', () => {
		const fixture = createDispatchHarness({backends: 2, slots: 1});
		fixture.evacuate({dc: ['i1', 'i2']});
		fixture.enqueue('a', {deadlineMs: 1000});
		fixture.pass(900);
		assert.equal(fixture.refusals.length, 0);
		fixture.pass(200);
		assert.equal(fixture.refusals[0]!.reason, 'deadline-passed');
		assert.ok(fixture.refusals[0]!.retryAfterMs > 0);
		assert.deepEqual(fixture.tickets, []);
	});

	it('should use the instances again at once after the withdrawal, for requests that wait', () => {
		const fixture = createDispatchHarness({backends: 1, slots: 1});
		fixture.evacuate({dc: ['i1']});
		const waiting = fixture.enqueue('a');
		fixture.evacuate({});
		assert.equal(fixture.ticketOf(waiting)?.instance, 'i1');
	});

	it('should give no ticket to a server that announces another data centre than the evacuated one in which it is declared, or the reverse', () => {
		const fixture = createDispatchHarness({backends: 0});
		fixture.announce('i1', {dataCentre: 'west'});
		fixture.announce('i2', {dataCentre: 'east'});
		fixture.evacuate({east: ['i1']});
		fixture.enqueue('a');
		assert.equal(fixture.tickets.length, 0);
		fixture.announce('i3', {dataCentre: 'west'});
		assert.equal(fixture.tickets[0]?.instance, 'i3');
	});

	it('should give no ticket there after a take-over, to a server that announces itself later', () => {
		const fixture = createDispatchHarness({
			epoch: 2, entries: ['e1'], rebuildUntilMs: 2000, backends: 0,
		});
		fixture.evacuate({east: []});
		fixture.enqueue('a');
		fixture.report({seq: 5, waiting: ['r1'], held: [{ticketId: 'p:b:1:1', instance: 'i1'}]});
		fixture.announce('i1', {dataCentre: 'east', inFlight: ['p:b:1:1']});
		assert.deepEqual(fixture.tickets, []);
		assert.deepEqual(fixture.dispatcher.evacuatedUsage(), [{dataCentre: 'east', running: 1}], 'the earlier work still counts as running there');
	});

	it('should not let failing servers of an evacuated data centre use up the ejections of those that serve', () => {
		const fixture = createDispatchHarness({backends: 0, slots: 1});
		fixture.announce('i1', {dataCentre: 'east', healthy: false});
		fixture.announce('i2', {dataCentre: 'west'});
		fixture.enqueue('a');
		fixture.announce('i3', {dataCentre: 'west'});
		fixture.evacuate({east: ['i1']});
		for (let failures = 0; failures < 5; failures += 1) {
			fixture.enqueue('a');
			fixture.release(fixture.tickets.at(-1)!, 'failed');
		}

		assert.deepEqual(fixture.dispatcher.health(fixture.nowMs()).out, ['i1', 'i3']);
	});

	it('should count neither the slots nor the servers of an evacuated data centre, and leave those that are in order out of the failed ones', () => {
		const fixture = createDispatchHarness({backends: 0, slots: 3});
		fixture.announce('i1', {dataCentre: 'east'});
		fixture.announce('i2', {dataCentre: 'west'});
		fixture.evacuate({east: ['i1']});
		const {slots, live, out} = fixture.dispatcher.health(fixture.nowMs());
		assert.deepEqual({slots, live, out}, {slots: 3, live: 1, out: []});
	});

	it(`should, on ${FLEETS} random fleets under load, give no ticket in an evacuated data centre and leave no request waiting beside a free slot elsewhere`, () => {
		const totals = {tickets: 0, waited: 0, evacuations: 0};
		for (let seed = 1; seed <= FLEETS; seed += 1) {
			const random = createRandom(seed);
			const draw = (count: number): number => Math.floor(random() * count);
			const names = Array.from({length: 2 + draw(3)}, (_, index) => `dc-${index}`);
			const slots = 1 + draw(4);
			const fixture: DispatchHarness = createDispatchHarness({backends: 0, slots, caps: {a: 1000, b: 1000, c: 1000}});
			const homes = new Map(Array.from({length: 2 + draw(20)}, (_, index) => [`i${index}`, names[draw(names.length)]!]));
			const evacuated = new Set<string>();
			const open = new Set<string>();
			const waiting = new Set<string>();
			let seen = 0;
			let seq = 1;

			/** Checks the tickets that were given since the last check, then looks for requests that wait beside a free slot. */
			const check = (): void => {
				for (const ticket of fixture.tickets.slice(seen)) {
					assert.ok(!evacuated.has(homes.get(ticket.instance)!), `seed ${seed}: a ticket for ${ticket.instance}`);
					open.add(ticket.ticketId);
					waiting.delete(ticket.requestId);
					totals.tickets += 1;
				}

				seen = fixture.tickets.length;
				const free = fixture.dispatcher.backends().filter(backend => !evacuated.has(homes.get(backend.instance)!) && backend.running.size < slots);
				assert.ok(waiting.size === 0 || free.length === 0, `seed ${seed}: ${waiting.size} request(s) wait although ${free.length} server(s) have room`);
				totals.waited += waiting.size;
			};

			for (let step = 0; step < STEPS; step += 1) {
				const kind = random();
				if (kind < 0.5) {
					waiting.add(fixture.enqueue(['a', 'b', 'c'][draw(3)]!, {deadlineMs: 1_000_000}));
				} else if (kind < 0.85) {
					const ticket = fixture.tickets.find(item => open.has(item.ticketId));
					if (ticket) {
						open.delete(ticket.ticketId);
						fixture.release(ticket);
					}
				} else if (kind < 0.95) {
					const name = names[draw(names.length)]!;
					if (!evacuated.delete(name) && evacuated.size < names.length - 1) {
						evacuated.add(name);
						totals.evacuations += 1;
					}

					fixture.evacuate(Object.fromEntries([...evacuated].map(home => [home, [...homes].filter(([, at]) => at === home).map(([instance]) => instance)])));
				} else {
					fixture.pass(200);
				}

				for (const [instance, dataCentre] of homes) {
					fixture.announce(instance, {dataCentre});
				}

				seq += 1;
				check();
				fixture.report({
					seq,
					held: fixture.tickets.filter(ticket => open.has(ticket.ticketId)).map(({ticketId, instance}) => ({ticketId, instance})),
					waiting: [...waiting],
				});
				check();
			}
		}

		assert.ok(totals.tickets > FLEETS * 10 && totals.waited > FLEETS * 10 && totals.evacuations > FLEETS, JSON.stringify(totals));
	});
});
