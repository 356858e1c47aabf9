import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	MachineStates, type JobStore, type Machine, type WorkerLife,
} from '@bronzebend/core';
import type {MachinePort, MachineResult} from '@bronzebend/daemon';
import {
	lifeNamed, manifestOf, orderOf, storeWith,
} from '../../fixtures/job-fixtures.js';
import {createLeaderHarness, waitUntilTrue} from '../../fixtures/leader-harness.js';

const OLD = lifeNamed('old', {address: '10.0.0.1:80', machine: 'm-old'});
const OTHER = lifeNamed('other', {address: '10.0.0.2:80', machine: 'm-other'});

const waitMs = async (milliseconds: number): Promise<void> => new Promise(resolve => {
	setTimeout(resolve, milliseconds);
});

/** A platform with two machines on which an upkeep order ends the life at once; a list takes `listMs` milliseconds. */
const createPlatform = ({listMs = 0, answer = {type: 'done'} as MachineResult, isCarriedOut = true}) => {
	/** Workers whose machines got an order. */
	const ordered = new Set<string>();
	const machineOf = ({machine, id, capacity}: WorkerLife): Machine => ({
		name: machine!, pool: 'bench', state: MachineStates.up, zone: 'a', labels: ['kind'], capacity, workerId: id,
	});
	const machines = new Map([OLD, OTHER].map(life => [life.machine!, machineOf(life)]));
	const port: MachinePort = {
		async list() {
			const listed = [...machines.values()].map(machine => ({...machine}));
			await waitMs(listMs);
			return {machines: listed, unreadable: []};
		},
		move: async () => ({type: 'rejected', reason: 'impossible'}),
		async upkeep(machine, _wave, {maySend}) {
			if (!maySend()) {
				return {type: 'withheld'};
			}

			ordered.add(machines.get(machine)!.workerId!);
			if (!isCarriedOut) {
				return answer;
			}

			machines.set(machine, {...machines.get(machine)!, state: MachineStates.upkeep, workerId: undefined});
			return answer;
		},
	};
	return {port, ordered, machines};
};

const storeWithPool = (): JobStore => storeWith([], manifestOf({pools: [{name: 'bench', guardsCapacity: true, standby: false}]}));

const beginWave = (store: JobStore): void => {
	store.apply({
		type: 'wave', wave: {
			number: 1, machines: ['m-old'], deadlineMs: Date.now() + 100_000, cap: 1, begun: [], completed: false,
		},
	});
};

const storeWithWave = (): JobStore => {
	const store = storeWithPool();
	beginWave(store);
	return store;
};

const submitJobs = (store: JobStore, count: number): void => {
	for (let number = 0; number < count; number += 1) {
		store.apply({type: 'submit', order: orderOf(`${number}`), atMs: Date.now()});
	}
};

describe('the life of a worker whose machine got an order', () => {
	it('should get no start from the next leader, whose reports of the worker are older than the order', async () => {
		const store = storeWithWave();
		const platform = createPlatform({});
		const first = createLeaderHarness(store, {lives: [OLD, OTHER], node: 'n1', machines: platform.port});
		await waitUntilTrue(() => platform.ordered.has(OLD.id));
		first.work.stop();
		const slow = createPlatform({listMs: 400});
		slow.machines.set('m-old', platform.machines.get('m-old')!);
		const second = createLeaderHarness(store, {
			lives: [OLD, OTHER], node: 'n2', term: 2, machines: slow.port,
		});
		submitJobs(store, 8);
		await waitUntilTrue(() => second.startedOn.length > 4);
		await waitMs(1500);
		second.work.stop();
		assert.ok(second.startedOn.length > 0);
		assert.deepEqual(second.startedOn.filter(life => life === OLD.life), []);
	});

	it('should get starts from the next leader once the list shows that the order had no effect', async () => {
		const store = storeWithWave();
		store.apply({
			type: 'machine-order', machine: 'm-old', holder: 'n1', atMs: Date.now() - 60_000, life: OLD.life,
		});
		store.apply({type: 'wave-completed', number: 1});
		const platform = createPlatform({});
		const appliedMs = performance.now() - 60_000;
		const leader = createLeaderHarness(store, {
			lives: [OLD], node: 'n2', term: 2, machines: platform.port, orderAppliedMs: () => appliedMs,
		});
		submitJobs(store, 1);
		await waitUntilTrue(() => leader.running.size === 1);
		leader.work.stop();
		assert.deepEqual(leader.startedOn, [OLD.life]);
	});

	it('should get no start after an order without an answer that was carried out', async () => {
		const store = storeWithWave();
		const platform = createPlatform({answer: {type: 'unknown', cause: 'no answer'}});
		const leader = createLeaderHarness(store, {lives: [OLD, OTHER], machines: platform.port});
		await waitUntilTrue(() => platform.ordered.has(OLD.id));
		await waitMs(1600);
		submitJobs(store, 8);
		await waitMs(1200);
		leader.work.stop();
		assert.ok(leader.startedOn.length > 0);
		assert.deepEqual(leader.startedOn.filter(life => life === OLD.life), []);
	});

	// Its runs were started elsewhere while they went on, because an odd entry had been left out of the list.
	for (const [what, change] of [
		['leaves its machine out', () => undefined],
		['does not name the worker on its machine', (machine: Machine) => ({...machine, workerId: undefined})],
	] as const) {
		it(`should keep its runs if a list ${what} after an order that had no effect`, async () => {
			const store = storeWithPool();
			submitJobs(store, 4);
			const platform = createPlatform({answer: {type: 'unknown', cause: 'no answer'}, isCarriedOut: false});
			const leader = createLeaderHarness(store, {lives: [OLD], machines: platform.port});
			await waitUntilTrue(() => leader.running.size === 4);
			beginWave(store);
			await waitUntilTrue(() => platform.ordered.has(OLD.id));
			const running = [...store.runsOf(OLD.life).keys()];
			const listed = change(platform.machines.get('m-old')!);
			platform.machines.delete('m-old');
			if (listed) {
				platform.machines.set('m-old', listed);
			}

			await waitMs(1500);
			const kept = [...store.runsOf(OLD.life).keys()];
			leader.work.stop();
			assert.equal(running.length, 4);
			assert.deepEqual(kept, running);
		});
	}

	it('should get no start after the list shows its machine down without any order of ours', async () => {
		const store = storeWithWave();
		store.apply({type: 'wave-completed', number: 1});
		const platform = createPlatform({});
		platform.machines.set('m-old', {...platform.machines.get('m-old')!, state: MachineStates.moving, workerId: undefined});
		const leader = createLeaderHarness(store, {lives: [OLD, OTHER], machines: platform.port});
		await waitMs(400);
		submitJobs(store, 8);
		await waitUntilTrue(() => leader.startedOn.length > 3);
		leader.work.stop();
		assert.ok(leader.startedOn.length > 0);
		assert.deepEqual(leader.startedOn.filter(life => life === OLD.life), []);
	});
});
