import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {JobRank} from '@bronzebend/core';
import {drawJobs, loads, type Load} from '@bronzebend/utils/experiment/load';
import {type PlayResult, play, type Way} from '@bronzebend/utils/experiment/model';

const SEEDS = [1, 2, 3];
const firstCome = (left: JobRank, right: JobRank): number => left.job.acceptedAtMs - right.job.acceptedAtMs;
const ours: Way = {name: 'ours', moves: true, refuses: true};
const inOrder: Way = {...ours, name: 'first come, first served', compare: firstCome};
const fixed: Way = {...ours, name: 'no moves', moves: false};

const loadNamed = (name: string): Load => loads.find(load => load.name === name)!;

const playAll = (name: string, way: Way): PlayResult[] => SEEDS.map(seed => play(loadNamed(name), drawJobs(loadNamed(name), seed), way));

/** Worth of the jobs in their objective against the worth of all that can be done. */
const earnedBy = (results: PlayResult[]): number => {
	const owed = results.flatMap(result => result.played).filter(played => !played.job.isPoison);
	const worth = (list: typeof owed): number => list.reduce((sum, played) => sum + played.job.queue.worth, 0);
	return worth(owed.filter(played => played.outcome === 'in-objective')) / worth(owed);
};

describe('callers under the heaviest load', () => {
	for (const name of ['schaumwerk-twice', 'udrtina-twice']) {
		it(`should get more in their objective than in order of arrival or from fixed pools (${name})`, () => {
			const earned = earnedBy(playAll(name, ours));
			assert.ok(earned > earnedBy(playAll(name, inOrder)), `${earned}`);
			assert.ok(earned > earnedBy(playAll(name, fixed)), `${earned}`);
		});

		it(`should have every job that was taken in done in the end (${name})`, () => {
			const left = playAll(name, ours).flatMap(result => result.played).filter(played => played.outcome === 'unfinished');
			assert.deepEqual(left, []);
		});
	}

	it('should keep serving while jobs come that can never be done', () => {
		const poisoned = earnedBy(playAll('schaumwerk-poison', ours));
		assert.ok(poisoned > 0.95 * earnedBy(playAll('schaumwerk', ours)), `${poisoned}`);
	});

	it('should lose no machine\'s work to moves', () => {
		assert.deepEqual(playAll('schaumwerk-twice', ours).map(result => result.lostCoreSeconds), SEEDS.map(() => 0));
	});
});
