import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {Job} from '@bronzebend/core';
import {createAdviceCache, silentLogs, type Advice} from '@bronzebend/daemon';
import {
	manifestOf, orderOf, queueOf, storeWith,
} from '../../fixtures/job-fixtures.js';

const VALIDITY_MS = 3000;
/** Workers that one call may name. */
const CALL_LIMIT = 100;
const workers = (count: number) => Array.from({length: count}, (_, number) => ({id: `w${number}`, life: `w${number}@1`}));

const settle = async (): Promise<void> => new Promise(resolve => {
	setImmediate(resolve);
});

const setUp = (allowed: string[]) => {
	const asked: Array<{step: string; ids: string[]}> = [];
	const state = {nowMs: 0, isSilent: false};
	const cache = createAdviceCache({
		clock: {wallMs: () => state.nowMs, monotonicMs: () => state.nowMs},
		log: silentLogs('test'),
		onAdvice: () => undefined,
		port: {
			async advise(step, ids): Promise<Advice | undefined> {
				assert.ok(ids.length > 0 && ids.length <= CALL_LIMIT);
				asked.push({step, ids});
				return state.isSilent ? undefined : {tickets: new Map(ids.filter(id => allowed.includes(id)).map(id => [id, `${id} at ${state.nowMs}`])), validityMs: VALIDITY_MS};
			},
		},
	});
	const job = (id: string, queue = 'quotes'): Job => storeWith([orderOf(id, undefined, {queue})], manifestOf({queues: [queueOf({name: queue})]})).job(id.padEnd(16, '0'))!;
	return {
		asked, state, cache, job,
	};
};

describe('a cache of advice', () => {
	// The same 30 workers were named each time, so a job whose policy allows only others never started.
	it('should ask about every worker of a large pool in turn while the policy allows none', async () => {
		const {asked, cache, job} = setUp(['w88']);
		const step = job('a');
		for (let pass = 0; pass < 8 && !cache.approved(step, 0, 0)?.has('w88@1'); pass += 1) {
			cache.request(step, 0, 0, workers(90));
			await settle();
		}

		assert.deepEqual([...cache.approved(step, 0, 0)!], ['w88@1']);
		assert.equal(new Set(asked.flatMap(({ids}) => ids)).size, 90);
		assert.ok(asked.length <= 4);
	});

	it('should not ask again about workers that the policy does not allow, and ask about new lives', async () => {
		const {asked, cache, job} = setUp([]);
		const step = job('a');
		for (let pass = 0; pass < 4; pass += 1) {
			cache.request(step, 0, 0, workers(20));
			await settle();
		}

		assert.equal(asked.length, 1);
		assert.deepEqual(cache.approved(step, 0, 0), new Set());
		cache.request(step, 0, 0, [...workers(20), {id: 'w3', life: 'w3@2'}]);
		await settle();
		assert.deepEqual(asked[1]?.ids, ['w3']);
	});

	it('should first renew the tickets of allowed workers', async () => {
		const {asked, state, cache, job} = setUp(['w5', 'w20']);
		const step = job('a');
		cache.request(step, 0, 0, workers(30));
		await settle();
		assert.deepEqual([...cache.approved(step, 0, 0)!], ['w5@1', 'w20@1']);
		state.nowMs = VALIDITY_MS;
		assert.equal(cache.approved(step, 0, 0), undefined);
		assert.equal(cache.ticket(step.order.id, 0, 0, 'w5@1'), undefined);
		cache.request(step, 0, 0, workers(60).toReversed());
		await settle();
		assert.deepEqual(asked[1]?.ids.slice(0, 2), ['w20', 'w5']);
		assert.equal(cache.ticket(step.order.id, 0, 0, 'w5@1'), 'w5 at 3000');
	});

	it('should ask for steps without valid tickets first, with the workers of the latest request', async () => {
		const {asked, cache, job} = setUp(['w1']);
		const [wider, first] = [job('a'), job('b')];
		cache.request(wider, 0, 0, workers(2));
		await settle();
		cache.request(job('c'), 0, 0, workers(1));
		cache.request(wider, 0, 0, workers(4).slice(2));
		cache.request(first, 0, 0, workers(3));
		cache.request(first, 0, 0, workers(5).slice(4));
		await settle();
		await settle();
		assert.deepEqual(asked.slice(2).map(({step, ids}) => [step[0], ids]), [['b', ['w4']], ['a', ['w2', 'w3']]]);
	});

	it('should ask for a queue in its turn however many steps of another wait and are requested first', async () => {
		const {asked, cache, job} = setUp(['w1']);
		const backlog = Array.from({length: 200}, (_, number) => job(`${number + 256}a`));
		const behind = job('b', 'audits');
		const request = (): void => {
			for (const each of [...backlog, behind]) {
				if (!cache.approved(each, 0, 0)) {
					cache.request(each, 0, 0, workers(2));
				}
			}
		};

		for (let pass = 0; pass < 3; pass += 1) {
			request();
			// Each pass follows an answer, before the next call is chosen.
			await Promise.resolve();
		}

		await settle();
		assert.ok(asked.slice(0, 3).some(({step}) => step.startsWith('b')), asked.slice(0, 3).map(({step}) => step).join(' '));
	});

	it('should ask for more workers for a step with a ticket while new steps keep coming', async () => {
		const {asked, cache, job} = setUp(['w1']);
		const wide = job('a');
		cache.request(wide, 0, 0, workers(2));
		await settle();
		for (let pass = 0; pass < 24; pass += 1) {
			for (const number of [0, 1]) {
				cache.request(job(`b${(2 * pass) + number}`), 0, 0, workers(2));
			}

			cache.request(wide, 0, 0, workers(4).slice(2));
			// Each pass follows an answer, before the next call is chosen.
			await Promise.resolve();
		}

		const calls = asked.slice(1, 11).map(({step}) => step[0]);
		assert.equal(calls.length, 10);
		assert.ok(calls.includes('a'), calls.join(' '));
		cache.close();
	});

	it('should ask about workers again after a call without an answer', async () => {
		const {asked, state, cache, job} = setUp(['w1']);
		const step = job('a');
		state.isSilent = true;
		cache.request(step, 0, 0, workers(2));
		await settle();
		assert.equal(cache.approved(step, 0, 0), undefined);
		state.isSilent = false;
		await new Promise(resolve => {
			setTimeout(resolve, 350);
		});
		cache.request(step, 0, 0, workers(2));
		await settle();
		assert.deepEqual(asked.map(({ids}) => ids), [['w0', 'w1'], ['w0', 'w1']]);
		assert.deepEqual([...cache.approved(step, 0, 0)!], ['w1@1']);
	});
});
