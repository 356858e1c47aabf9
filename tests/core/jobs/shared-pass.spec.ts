import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	createRandom, groupBy, parseUnitName, type JobStore, type RunStart, type SchedulableWorker,
} from '@bronzebend/core';
import {storeWith, stepOf} from '../../fixtures/job-fixtures.js';
import {
	manifestOfPools, orderIn, planPass, recordEnds, recordStarts, workersIn,
} from '../../fixtures/pool-fixtures.js';

const LATE_MS = 3000;
const NEVER_LATE_MS = 3_600_000;
const POOLS = ['stamp', 'press', 'forge', 'kiln'];

const small = stepOf({resources: {cpu: 100, memoryMb: 1, gpu: 0}});

const jobsOf = (starts: readonly RunStart[]): string[] => [...new Set(starts.map(({unit}) => parseUnitName(unit)!.job.replace(/0+$/u, '')))];

const startsIn = (store: JobStore, pool: string, starts: readonly RunStart[]): RunStart[] => starts.filter(({unit}) => store.find(unit)!.job.order.queue === pool);

/** Two pools: a backlog of 5,000 units that ranks first, and one job of each kind in the other. */
const backlogBeside = (): {store: JobStore; workers: SchedulableWorker[]} => {
	const backlog = Array.from({length: 500}, (_, number) => orderIn('stamp', `${(number + 4096).toString(16)}b`, [{...small, count: 10}]));
	const others = [
		orderIn('press', 'on-time', [stepOf({estimateMs: NEVER_LATE_MS})]),
		orderIn('press', 'behind', [stepOf({estimateMs: 1})]),
		orderIn('press', 'lasting', [stepOf({lasting: true, estimateMs: NEVER_LATE_MS})]),
	];
	return {store: storeWith([...backlog, ...others], manifestOfPools(['stamp', 'press'])), workers: [...workersIn('stamp', 150), ...workersIn('press', 3)]};
};

describe('a pass that is shared by several pools', () => {
	it('should start ready work of a pool with idle workers at once beside the backlog of another', () => {
		const {store, workers} = backlogBeside();
		const pass = planPass(store, workers, {wallMs: LATE_MS});
		assert.deepEqual(jobsOf(startsIn(store, 'press', pass.starts)).toSorted(), ['behind', 'lasting', 'on-time']);
		assert.equal(pass.starts.length, 200);
	});

	it('should start new work of a pool with idle workers in each of many consecutive cut passes', () => {
		const {store, workers} = backlogBeside();
		for (let round = 0; round < 20; round += 1) {
			const job = orderIn('press', `${round + 16}c`, [stepOf({estimateMs: 1})]);
			store.apply({type: 'submit', order: job, atMs: 0});
			const pass = planPass(store, workers, {wallMs: LATE_MS});
			assert.equal(startsIn(store, 'press', pass.starts).some(({unit}) => parseUnitName(unit)!.job === job.id), true, `pass ${round}`);
			assert.equal(pass.starts.length, 200);
			recordStarts(store, workers, pass);
			recordEnds(store, {starts: pass.starts.filter(({unit}) => !store.find(unit)!.job.order.steps[0]!.lasting)});
		}
	});

	it('should guarantee each pool its part with drawn loads, give the rest by rank, keep the order within each pool, and leave no start unused', () => {
		for (let seed = 1; seed <= 200; seed += 1) {
			const random = createRandom(seed);
			const below = (bound: number): number => Math.floor(bound * random());
			const orders = Array.from({length: 10 + below(60)}, (_, number) => orderIn(POOLS[below(4)]!, `${(number + 16).toString(16)}d`, [stepOf({
				count: 1 + below(40), resources: {cpu: 100 * (1 + below(20)), memoryMb: 1, gpu: 0}, estimateMs: 10 ** below(6), lasting: below(10) === 0, perWorker: below(5) === 0 ? 1 + below(3) : undefined,
			})]));
			const store = storeWith(orders, manifestOfPools(POOLS, () => below(3)));
			const workers = POOLS.flatMap(pool => workersIn(pool, below(30)));
			const maxStarts = 8 + below(200);
			const guaranteed = Math.floor(maxStarts / (2 * POOLS.length));
			for (let round = 0; round < 3; round += 1) {
				const wallMs = LATE_MS + round;
				const unlimited = planPass(store, workers, {wallMs, maxStarts: Infinity});
				const pass = planPass(store, workers, {wallMs, maxStarts});
				for (const pool of POOLS) {
					const starts = startsIn(store, pool, pass.starts);
					const wanted = startsIn(store, pool, unlimited.starts);
					assert.deepEqual(starts, wanted.slice(0, starts.length), `seed ${seed}, order within ${pool}`);
					assert.ok(starts.length >= Math.min(guaranteed, wanted.length), `seed ${seed}, share of ${pool}: ${starts.length} of ${wanted.length}`);
				}

				assert.equal(pass.starts.length, Math.min(maxStarts, unlimited.starts.length), `seed ${seed}`);
				recordStarts(store, workers, pass);
				recordEnds(store, {starts: pass.starts.filter((_, index) => index % 3 > 0)});
			}
		}
	});

	it('should give work in time more starts than another pool\'s late backlog', () => {
		const late = Array.from({length: 300}, (_, number) => orderIn('stamp', `${(number + 4096).toString(16)}a`, [{...small, count: 10, estimateMs: 1}]));
		const inTime = Array.from({length: 300}, (_, number) => orderIn('press', `${(number + 4096).toString(16)}b`, [{...small, count: 10, estimateMs: NEVER_LATE_MS}]));
		const store = storeWith([...late, ...inTime], manifestOfPools(['stamp', 'press']));
		const {starts} = planPass(store, [...workersIn('stamp', 30), ...workersIn('press', 30)], {wallMs: LATE_MS});
		assert.deepEqual(['stamp', 'press'].map(pool => startsIn(store, pool, starts).length), [50, 150]);
	});

	it('should use the whole limit if only one pool has work', () => {
		const store = storeWith([orderIn('kiln', 'a', [{...small, count: 500}])], manifestOfPools(POOLS));
		assert.equal(planPass(store, POOLS.flatMap(pool => workersIn(pool, 30))).starts.length, 200);
	});

	it('should count each work unit that waits once, and what the limit left', () => {
		const store = storeWith([orderIn('stamp', 'a', [{...small, count: 500}]), orderIn('press', 'b', [stepOf({count: 7})])], manifestOfPools(['stamp', 'press']));
		const pass = planPass(store, [...workersIn('stamp', 30), ...workersIn('press', 1)]);
		assert.equal(pass.starts.length, 200);
		assert.deepEqual(pass.waiting, new Map([['stamp', 304], ['press', 3]]));
		assert.deepEqual([...pass.cutSteps.values()], [{pool: 'stamp', left: 304}]);
	});

	it('should not place a work unit twice or exceed the limit per worker when a step gets starts in several rounds', () => {
		const step = {...small, count: 300, perWorker: 5};
		const store = storeWith([orderIn('stamp', 'a', [step]), orderIn('press', 'b', [small]), orderIn('forge', 'c', [small])], manifestOfPools(POOLS));
		const {starts} = planPass(store, [...workersIn('stamp', 30), ...workersIn('press', 1), ...workersIn('forge', 1)]);
		assert.equal(new Set(starts.map(({unit}) => unit)).size, starts.length);
		const perLife = groupBy(startsIn(store, 'stamp', starts), ({life}) => life);
		assert.deepEqual([...perLife.values()].map(each => each.length), Array.from({length: 30}, () => 5));
	});
});

describe('a gang wider than a pass', () => {
	const gang = stepOf({count: 201, gang: true, resources: {cpu: 1000, memoryMb: 1, gpu: 0}});

	it('should start whole if it comes first', () => {
		const store = storeWith([orderIn('stamp', 'a', [gang])], manifestOfPools(POOLS));
		assert.equal(planPass(store, workersIn('stamp', 51)).starts.length, 201);
	});

	it('should start whole behind smaller jobs and beside the backlogs of other pools', () => {
		const store = storeWith([
			orderIn('kiln', 'a', [{...small, lasting: true}]), orderIn('kiln', 'b', [gang]), ...POOLS.slice(0, 3).map(pool => orderIn(pool, `${pool}1`, [{...small, count: 500}])),
		], manifestOfPools(POOLS));
		const {starts} = planPass(store, POOLS.flatMap(pool => workersIn(pool, 52)));
		assert.deepEqual(POOLS.map(pool => startsIn(store, pool, starts).length), [25, 25, 25, 202]);
	});

	it('should not cost more than the other starts of a pass while it does not fit', () => {
		const store = storeWith([orderIn('stamp', 'a', [{...gang, count: 2000, resources: {cpu: 100, memoryMb: 1, gpu: 0}}]), orderIn('stamp', 'b', [small])], manifestOfPools(POOLS));
		const {starts, waiting, workersExamined} = planPass(store, workersIn('stamp', 49));
		assert.deepEqual(jobsOf(starts), ['b']);
		assert.equal(waiting.get('stamp'), 2000);
		assert.ok(workersExamined <= 100, `${workersExamined} checks`);
	});
});
