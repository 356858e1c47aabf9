import assert from 'node:assert/strict';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {describe, it} from 'node:test';
import {
	createRandom, createWorkerDirectory, lifeOf, type JobOutcome,
} from '@bronzebend/core';
import {createJobLeader, createJobMetrics, silentLogs} from '@bronzebend/daemon';
import {
	lifeNamed, manifestOf, orderOf, queueOf, stepOf, storeWith,
} from '../../fixtures/job-fixtures.js';
import {
	createRestartingWorker, MAX_LEASE_MS, STOP_MS, type Fate,
} from '../../fixtures/restarting-workers.js';
import {installTimers} from '../../fixtures/simulated-timers.js';

const STEP_MS = 5;
const PLAY_MS = 20_000;
const TROUBLE_MS = 14_000;

/** Plays jobs on restarting workers under a leader that changes; returns what ran twice or after its end, and how many runs began. */
const play = async (seed: number) => {
	const random = createRandom(seed);
	const timers = installTimers(1000);
	let nowMs = 1000;
	const clock = {wallMs: timers.now, monotonicMs: timers.now};
	const delay = async (milliseconds: number): Promise<void> => new Promise(resolve => {
		setTimeout(resolve, milliseconds);
	});
	const broken: string[] = [];
	/** Work units whose end as done was acknowledged. */
	const noted = new Map<string, string>();
	const cutUntilMs = new Map<string, {untilMs: number; fate: Fate}>();
	const workers = new Map(['w1', 'w2', 'w3'].map(id => [id, createRestartingWorker({
		id, delay, now: () => nowMs, runMs: () => 300 + (random() * 3000), queueMs: () => random() * 1300,
		onStart(unit) {
			if (noted.has(unit)) {
				broken.push(`${unit} starts on ${id} at ${nowMs} after its end was noted: ${noted.get(unit)}`);
			}
		},
		onNoted({unit, how, attempt, seq: end}) {
			if (how === 'done' && !noted.has(unit)) {
				noted.set(unit, `attempt ${attempt}, end ${end} of ${id}, at ${nowMs}`);
			}
		},
		fate() {
			const cut = cutUntilMs.get(id);
			if (cut && nowMs < cut.untilMs) {
				return cut.fate;
			}

			return random() < 0.04 ? (['answer lost', 'lost', 'late', 'queued', 'refused'] as const)[Math.floor(random() * 5)]! : 'answered';
		},
	})]));
	const store = storeWith([], manifestOf({queues: [queueOf({maxAttempts: 100})], pools: [{name: 'bench', guardsCapacity: true, standby: false}]}));
	let term = 0;
	let isAvailable = true;

	const lead = () => {
		term += 1;
		const own = term;
		const directory = createWorkerDirectory();
		const isLeading = (): boolean => own === term && isAvailable;
		const work = createJobLeader({
			node: `n${own}`, clock, logs: silentLogs, metrics: createJobMetrics(), directory,
			connect: ({id, ...worker}) => workers.get(id)!.connect({id, ...worker}),
			leaseMs: 4000, maxLeaseMs: MAX_LEASE_MS, maxStopMs: STOP_MS, holderLeaseMs: 3000, reportMs: 1500, shareWorkers: () => undefined, send: () => undefined,
		}, {
			term: own, store, isLeading, liveKeepers: () => [], orderAppliedMs: () => undefined,
			async propose(command): Promise<JobOutcome> {
				await delay(10);
				if (own !== term) {
					throw new Error('not leading');
				}

				return store.apply(command);
			},
		});
		return work;
	};

	let work = lead();
	let seq = 0;
	const announce = (id: string): void => {
		const life = workers.get(id)!.life();
		const isCut = nowMs < (cutUntilMs.get(id)?.untilMs ?? 0);
		if (life && !isCut) {
			seq += 1;
			void work.answer({
				type: 'announce', announcement: {
					...lifeNamed(id, {address: `10.0.0.${id.slice(1)}:80`, bornMs: life.bornMs, life: lifeOf(id, life.bornMs)}), seq, draining: false, coldLeftMs: 0, clockMs: workers.get(id)!.clockMs(),
				},
			});
		}
	};

	const seen = new Set<string>();
	const check = (): void => {
		const at = new Map<string, string>();
		for (const [id, worker] of workers) {
			for (const run of worker.life()?.runs.values() ?? []) {
				seen.add(`${run.unit}#${run.attempt}`);
				if (at.has(run.unit)) {
					broken.push(`${run.unit} on ${at.get(run.unit)} and ${id} at ${nowMs}`);
				}

				at.set(run.unit, id);
			}
		}
	};

	const trouble = (): void => {
		const id = `w${1 + Math.floor(random() * 3)}`;
		const chosen = random();
		if (chosen < 0.35) {
			workers.get(id)!.crash();
			setTimeout(() => {
				workers.get(id)!.restart();
				announce(id);
			}, 100 + (random() * 2500));
		} else if (chosen < 0.75) {
			cutUntilMs.set(id, {untilMs: nowMs + (random() * 6000), fate: (['refused', 'lost', 'answer lost', 'late', 'queued'] as const)[Math.floor(random() * 5)]!});
		} else if (chosen < 0.9) {
			work.stop();
			work = lead();
		} else {
			isAvailable = false;
			setTimeout(() => {
				isAvailable = true;
			}, random() * 1500);
		}
	};

	let jobs = 0;
	for (const endMs = nowMs + PLAY_MS; nowMs < endMs; nowMs += STEP_MS) {
		for (const worker of workers.values()) {
			worker.step();
		}

		if (nowMs % 300 === 0 && nowMs < TROUBLE_MS) {
			jobs += 1;
			store.apply({type: 'submit', order: orderOf(jobs.toString(16), [stepOf({count: 3, resources: {cpu: 400, memoryMb: 1, gpu: 0}})]), atMs: nowMs});
		}

		if (nowMs % 500 === 0) {
			for (const id of workers.keys()) {
				announce(id);
			}
		}

		if (nowMs < TROUBLE_MS && nowMs % 700 === 0) {
			trouble();
		}

		timers.pass(STEP_MS);
		await nextTurn();
		check();
	}

	work.stop();
	timers.restore();
	return {
		broken, runs: seen.size, openJobs: store.openCount(), jobs,
	};
};

describe('the runs of a work unit', () => {
	for (const seed of [1, 2, 3, 4, 5, 6]) {
		it(`should not overlap or follow a noted end while workers restart, are cut off and answer late, and leaders change (seed ${seed})`, {timeout: 60_000}, async () => {
			const {broken, runs, jobs} = await play(seed);
			assert.deepEqual(broken.slice(0, 5), []);
			assert.ok(runs > jobs, `${runs} runs of ${jobs} jobs`);
		});
	}

	it('should not follow an end on the next life of the worker that the start was meant for', {timeout: 60_000}, async () => {
		const {broken} = await play(25);
		assert.deepEqual(broken.slice(0, 5), []);
	});

	it('should not follow an end that a poll meant for an earlier life of its worker has acknowledged', {timeout: 60_000}, async () => {
		const {broken} = await play(52);
		assert.deepEqual(broken.slice(0, 5), []);
	});

	for (const seed of [72, 88, 109, 178, 196]) {
		it(`should not follow an end that a poll meant for an earlier life of its worker has acknowledged (seed ${seed})`, {timeout: 60_000}, async () => {
			const {broken} = await play(seed);
			assert.deepEqual(broken.slice(0, 5), []);
		});
	}
});
