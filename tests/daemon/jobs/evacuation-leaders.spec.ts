import assert from 'node:assert/strict';
import {
	afterEach, beforeEach, describe, it,
} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {createJobStore, type JobStore, type JobStoreSnapshot} from '@bronzebend/core';
import type {Log} from '@bronzebend/daemon';
import {decodeBytes, encodeBytes} from '@bronzebend/replica';
import {createKeeperGroup, type KeeperGroup} from '../../fixtures/keeper-group.js';
import {createLeaderHarness, waitUntilTrue} from '../../fixtures/leader-harness.js';
import {
	lifeNamed, orderOf, stepOf, storeWith,
} from '../../fixtures/job-fixtures.js';
import {createSessionHarness, eventually, unitOf} from '../../fixtures/session-harness.js';

const here = lifeNamed('here', {zone: 'a', address: '10.0.0.1:80'});
const there = lifeNamed('there', {zone: 'b', address: '10.0.0.2:80'});
const lives = [here, there];

const createStore = (count: number): JobStore => {
	const store = storeWith([orderOf('a', [stepOf({count, resources: {cpu: 1000, memoryMb: 100, gpu: 0}})])]);
	store.apply({type: 'group-whole'});
	return store;
};

/** The state as another keeper has it. */
const copyOf = (store: JobStore): JobStore => createJobStore(decodeBytes(encodeBytes(store.snapshot())) as JobStoreSnapshot);

describe('the leader while a data centre is evacuated', () => {
	it('should start nothing there until the withdrawal, and leave what runs there', async context => {
		const store = createStore(6);
		const lines: Array<{message: string; fields?: Record<string, unknown>}> = [];
		const write = (message: string, fields?: Record<string, unknown>): void => {
			lines.push({message, fields});
		};

		const log: Log = {
			debug: write, info: write, warn: write, error: write,
		};
		const harness = createLeaderHarness(store, {lives: [here], logs: () => log});
		context.after(harness.work.stop);
		await waitUntilTrue(() => harness.running.size === 4);
		const unknown = await harness.work.answer({type: 'evacuate', dataCentre: 'x'});
		assert.equal(unknown.type === 'unavailable' && unknown.reason, 'workers-unknown', 'workers of x may not have announced themselves');
		harness.directory.announce({
			...there, seq: 1, draining: false, coldLeftMs: 0, clockMs: performance.now(),
		}, performance.now());
		assert.deepEqual(await harness.work.answer({type: 'evacuate', dataCentre: 'a'}), {type: 'evacuation', changed: true});
		await waitUntilTrue(() => harness.running.size === 6);
		assert.deepEqual(harness.startedOn.slice(4), [there.life, there.life]);
		assert.deepEqual(harness.stops, []);
		await waitUntilTrue(() => lines.some(({message}) => message === 'Evacuated data centre.'));
		const {fields} = lines.find(({message}) => message === 'Evacuated data centre.')!;
		assert.deepEqual([fields?.dataCentre, fields?.runs, fields?.lasting, fields?.idleWorkers], ['a', 4, 0, 0]);
		const metrics = await harness.metrics.registry.metrics();
		assert.match(metrics, /^bronzebend_evacuated_data_centres 1$/mu);
		assert.match(metrics, /^bronzebend_evacuated_runs\{data_centre="a"\} 4$/mu);
		assert.ok(lines.some(({message}) => message === 'Evacuation of a data centre accepted.'));
		assert.deepEqual(await harness.work.answer({type: 'end-evacuation', dataCentre: 'a'}), {type: 'evacuation', changed: true});
		assert.ok(lines.some(({message}) => message === 'Evacuation of a data centre withdrawn.'));
	});

	// Guards against an evacuation that is forgotten with the leader that accepted it.
	it('should be followed by one that starts nothing there either, when it is lost right after the acceptance', async context => {
		const store = createStore(12);
		let isHeld = true;
		const lost = createLeaderHarness(store, {
			lives,
			// The passes of the lost leader wait behind the acceptance.
			async beforeCommit({type}) {
				await waitUntilTrue(() => type !== 'runs-start' || !isHeld);
			},
		});
		const accepted = await Promise.race([lost.work.answer({type: 'evacuate', dataCentre: 'a'}), pause(2000, 'late' as const)]);
		lost.setLeading(false);
		isHeld = false;
		lost.work.stop();
		assert.deepEqual(accepted, {type: 'evacuation', changed: true});
		const next = createLeaderHarness(copyOf(store), {lives, node: 'n2', term: 2});
		context.after(next.work.stop);
		await waitUntilTrue(() => next.running.size === 4);
		assert.deepEqual(new Set(next.startedOn), new Set([there.life]));
		assert.deepEqual(lost.startedOn.filter(life => life === here.life), []);
	});

	// Guards against a former leader that still plans for the data centre when it has contact again.
	it('should be safe from a former leader that was cut off meanwhile', async context => {
		const store = createStore(12);
		const old = copyOf(store);
		const former = createLeaderHarness(old, {
			lives: [here],
			async beforeCommit() {
				// Cut off: no commit of it succeeds.
				throw new Error('no quorum');
			},
		});
		const leader = createLeaderHarness(store, {lives, node: 'n2', term: 2});
		context.after(leader.work.stop);
		const refusals = [await former.work.answer({type: 'evacuate', dataCentre: 'a'})];
		assert.deepEqual(await leader.work.answer({type: 'evacuate', dataCentre: 'a'}), {type: 'evacuation', changed: true});
		const before = leader.startedOn.length;
		former.setLeading(false);
		refusals.push(await former.work.answer({type: 'end-evacuation', dataCentre: 'a'}));
		assert.deepEqual(refusals.map(({type}) => type), ['unavailable', 'unavailable']);
		await waitUntilTrue(() => leader.running.size >= 4);
		await pause(300);
		former.work.stop();
		assert.deepEqual(former.starts, []);
		assert.deepEqual(leader.startedOn.slice(before).filter(life => life === here.life), []);
		// What it planned and is committed late has no effect.
		assert.deepEqual(store.apply({type: 'runs-start', lives: [here], runs: [{unit: unitOf(11), attempt: 1, life: here.life}]}), {type: 'runs-started', accepted: []});
	});

	// Guards against jobs that are accepted for capacity which they cannot get.
	it('should not count capacity there when it admits jobs', async context => {
		const store = createStore(0);
		// Work for 7.5 s of both workers, or 15 s of one; a job with an estimate of 1 s is useless after 6.6 s, and admission allows 1.5 times that.
		store.apply({type: 'submit', order: orderOf('b', [stepOf({count: 60, estimateMs: 1000})]), atMs: Date.now()});
		const harness = createLeaderHarness(store, {lives});
		context.after(harness.work.stop);
		const {steps, spec, times, startAtMs, intervalMs} = orderOf('c');
		const submit = async (id: string) => {
			const {type} = await harness.work.answer({
				type: 'submit', target: {host: 'desk.example', path: `/quotes/${id.repeat(16)}`, key: 'key-north'}, job: {
					steps, spec, times, startAtMs, intervalMs,
				},
			});
			return type;
		};

		const types = [await submit('1')];
		await harness.work.answer({type: 'evacuate', dataCentre: 'a'});
		// Backlogs are measured at most every 100 ms.
		await pause(150);
		types.push(await submit('2'));
		await harness.work.answer({type: 'end-evacuation', dataCentre: 'a'});
		await pause(150);
		types.push(await submit('3'));
		assert.deepEqual(types, ['accepted', 'rejected', 'accepted']);
	});

	// Guards against a pass that was planned before the evacuation.
	it('should place work of a pass that was committed after the evacuation elsewhere', async context => {
		const store = createStore(4);
		let isFirst = true;
		const harness = createLeaderHarness(store, {
			lives,
			async beforeCommit({type}) {
				if (type === 'runs-start' && isFirst) {
					isFirst = false;
					store.apply({type: 'evacuate', dataCentre: 'a', atMs: Date.now()});
				}
			},
		});
		context.after(harness.work.stop);
		await waitUntilTrue(() => harness.running.size === 4);
		assert.deepEqual(new Set(harness.startedOn), new Set([there.life]));
	});
});

describe('a start that is recorded when its data centre is evacuated', () => {
	it('should not be sent, and count as never begun', async () => {
		const harness = createSessionHarness();
		harness.record(unitOf(0));
		harness.store.apply({type: 'evacuate', dataCentre: 'a', atMs: 1});
		harness.session.start({unit: unitOf(0), attempt: 1, life: harness.life.life}, undefined);
		assert.ok(await eventually(() => harness.stateOf(unitOf(0)) === 'idle'));
		harness.session.close();
		assert.deepEqual(harness.starts, []);
		assert.equal(harness.store.job('a'.padEnd(16, '0'))!.hasBegun, false);
		assert.deepEqual(harness.ended, []);
	});

	it('should be withheld while it waits for a connection', async () => {
		let sent = 0;
		const harness = createSessionHarness({
			async start(_order, maySend) {
				await pause(20);
				if (maySend?.() === false) {
					return {type: 'unsent', cause: 'withheld', isCarrierLost: true};
				}

				sent += 1;
				return {type: 'done'};
			},
		});
		harness.place(unitOf(0));
		harness.store.apply({type: 'evacuate', dataCentre: 'a', atMs: 1});
		assert.ok(await eventually(() => harness.stateOf(unitOf(0)) === 'idle'));
		harness.session.close();
		assert.deepEqual([sent, harness.store.job('a'.padEnd(16, '0'))!.hasBegun], [0, false]);
	});
});

describe('an acknowledged evacuation', {timeout: 60_000}, () => {
	const nodes = ['k1:1', 'k2:1', 'k3:1'];
	let group: KeeperGroup;

	const evacuate = async (dataCentre: string): Promise<unknown> => group.leader()!.replica()!.propose({
		type: 'evacuate', dataCentre, atMs: 5, known: ['a', 'b', 'c'],
	});
	const leaderHas = (dataCentre: string): boolean => group.leader()?.store().isEvacuated(dataCentre) === true;

	beforeEach(async () => {
		group = await createKeeperGroup(3, nodes);
		await group.form();
	});

	afterEach(async () => {
		await group.close();
	});

	it('should outlive the loss of all keepers at once', async () => {
		assert.deepEqual(await evacuate('a'), {type: 'evacuation', changed: true});
		await Promise.all(nodes.map(async node => group.stop(node)));
		await Promise.all(nodes.map(async node => group.start(node)));
		assert.ok(await group.holds(() => leaderHas('a')));
		assert.deepEqual(await evacuate('a'), {type: 'evacuation', changed: false});
	});

	it('should outlive a leader that is cut off, and be known to its keeper afterwards', async () => {
		const old = group.leader()!;
		const oldNode = old.view().leader!;
		await evacuate('a');
		group.cut(oldNode);
		assert.ok(await group.holds(() => group.leader() !== undefined && group.leader() !== old));
		assert.ok(leaderHas('a'));
		await evacuate('b');
		group.join(oldNode);
		assert.ok(await group.holds(() => group.keeper(oldNode).store().isEvacuated('b')));
	});

	it('should reach a keeper whose machine was replaced by an empty one', async () => {
		await evacuate('a');
		const lost = nodes.find(node => node !== group.leader()!.view().leader)!;
		await group.wipe(lost);
		await group.start(lost);
		assert.ok(await group.holds(() => group.keeper(lost).store().isEvacuated('a')));
	});
});
