import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createCatalogue, type Declaration, type PlannerOutput} from '@bronzebend/core';
import {createClusterCoordinator, previewPlan} from '@bronzebend/daemon';
import type {DispatchReport} from '@bronzebend/wire';
import {createPublishedState} from '../fixtures/dispatching-node.js';

const instance = (name: string, dataCentre: string, pool: string): Declaration => ({
	kind: 'instance', name, region: 'home', dataCentre, rack: 'r', pool,
});

const declarations: Declaration[] = [
	{
		kind: 'pool', name: 'p', service: 's', capacity: {instances: 2, slotsPerInstance: 8}, availability: {maxOut: 1}, spare: false, sparePool: 'spare',
	},
	{
		kind: 'pool', name: 'spare', service: 'x', capacity: {instances: 2, slotsPerInstance: 8}, availability: {maxOut: 1}, spare: true,
	},
	instance('i-east', 'east', 'p'),
	instance('i-west', 'west', 'p'),
	instance('s-east', 'east', 'spare'),
	instance('s-west', 'west', 'spare'),
];

const reportOf = (pool: string, known: string[]): DispatchReport => ({
	pool, epoch: 1, released: false, demands: [], promises: [], drained: [], out: [], known, ready: [], slots: 0, live: known.length, grantsVersion: '',
});

describe('evidence about spare pools', () => {
	/** Plans with the reports that dispatchers send while every server is in order, long after the leadership began. */
	const planWith = (evacuated: string[]): PlannerOutput => {
		const state = createPublishedState(declarations);
		for (const pool of ['p', 'spare']) {
			state.apply({
				type: 'assign', pool, node: 'n1', epoch: 1,
			});
		}

		for (const dataCentre of evacuated) {
			state.apply({type: 'evacuate', dataCentre, atMs: 1});
		}

		const nowMs = 60_000;
		const {directory} = createClusterCoordinator({state, leadership: 'l', startedAtMs: 0});
		directory.recordHeartbeat({
			type: 'heartbeat', seq: 1, sentAtMs: nowMs, run: 'r', address: {
				node: 'n1', host: '127.0.0.1', port: 1, dataCentre: 'east', region: 'home',
			}, isEntry: true, draining: false, viewVersion: 1, clusterVersion: '', dispatch: [reportOf('p', ['i-east', 'i-west']), reportOf('spare', [])],
		}, nowMs);
		return previewPlan({
			state, directory, clock: {wallMs: () => nowMs, monotonicMs: () => nowMs}, startedAtMs: 0,
		}, createCatalogue(declarations));
	};

	it('should not take spares for failed because they announce nothing, which would leave a pool without replacements', () => {
		assert.deepEqual(planWith([]).starts, []);
		assert.deepEqual(planWith(['east']).starts.map(start => [start.instance, start.what]), [['s-west', 'move to p']]);
	});
});
