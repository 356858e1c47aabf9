import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	createBegunJobs, createRunEstimates, type JobAnswer, type JobCommand, type JobOutcome,
} from '@bronzebend/core';
import {createJobCallHandler, createJobMetrics, silentLogs} from '@bronzebend/daemon';
import {replyTo} from '@bronzebend/platform/http-server';
import {DiskFullError, NotLeaderError} from '@bronzebend/replica';
import {storeWith} from '../../fixtures/job-fixtures.js';

const createHandler = ({known = ['a', 'b', 'c'], isComplete = true, isWhole = true, commit}: {
	known?: string[]; isComplete?: boolean; isWhole?: boolean;
	/** Runs before a command is applied; may throw. */
	commit?: (command: JobCommand) => void | Promise<void>;
} = {}) => {
	const store = storeWith([]);
	if (isWhole) {
		store.apply({type: 'group-whole'});
	}

	const state = {leads: true, commits: 0, passes: 0};
	const handler = createJobCallHandler({
		store,
		begunJobs: createBegunJobs(store),
		estimates: createRunEstimates(),
		clock: {wallMs: () => 7, monotonicMs: () => 7},
		log: silentLogs('test'),
		metrics: createJobMetrics(),
		async propose(command): Promise<JobOutcome> {
			state.commits += 1;
			await commit?.(command);
			return store.apply(command);
		},
		isLeading: () => state.leads,
		roomOf: () => undefined,
		dataCentres: {list: () => known, isComplete: () => isComplete},
		announce: () => undefined,
		leave: () => undefined,
		onAccepted: () => undefined,
		requestPass() {
			state.passes += 1;
		},
	});
	return {
		store, state,
		begin: async (dataCentre: string) => handler.answer({type: 'evacuate', dataCentre}),
		end: async (dataCentre: string) => handler.answer({type: 'end-evacuation', dataCentre}),
	};
};

const statusOf = (answer: JobAnswer): number => replyTo(answer).status;

describe('the calls that evacuate a data centre', () => {
	it('should be acknowledged after the commit, and again without effect when they are repeated', async () => {
		const {store, state, begin, end} = createHandler();
		assert.deepEqual(await begin('a'), {type: 'evacuation', changed: true});
		assert.ok(store.isEvacuated('a'));
		assert.equal(state.passes, 1);
		assert.deepEqual(await begin('a'), {type: 'evacuation', changed: false});
		assert.equal(state.commits, 1, 'a repeated call waits for no commit');
		assert.deepEqual(replyTo(await begin('a')), {status: 200, body: {changed: false}});
		assert.deepEqual(await end('a'), {type: 'evacuation', changed: true});
		assert.deepEqual(await end('a'), {type: 'evacuation', changed: false});
		assert.deepEqual(await end('b'), {type: 'evacuation', changed: false}, 'cannot be told from a repetition');
		assert.deepEqual([...store.evacuations()], []);
	});

	it('should be refused for unknown data centres and the last one, and change nothing', async () => {
		const {store, begin, end} = createHandler({known: ['a', 'b']});
		assert.deepEqual([statusOf(await begin('x')), statusOf(await end('x'))], [422, 422]);
		assert.equal(statusOf(await begin('a')), 200);
		assert.equal(statusOf(await begin('b')), 409);
		assert.deepEqual([...store.evacuations().keys()], ['a']);
		assert.equal(statusOf(await begin('a')), 200, 'one that was accepted is never refused');
	});

	// Guards against two operators who evacuate the last two data centres at the same time.
	it('should leave one data centre when all are evacuated at once', async () => {
		const {store, begin} = createHandler();
		const answers = await Promise.all(['a', 'b', 'c'].map(async dataCentre => begin(dataCentre)));
		assert.deepEqual(answers.map(answer => statusOf(answer)), [200, 200, 409]);
		assert.deepEqual([...store.evacuations().keys()], ['a', 'b']);
	});

	// Guards against an operator whose call is ended for good by a leader that has not heard of the workers yet.
	it('should not be refused for good by a leader that does not know all data centres yet', async () => {
		const {store, begin, end} = createHandler({known: ['a'], isComplete: false});
		assert.deepEqual([statusOf(await begin('x')), statusOf(await end('x')), statusOf(await begin('a'))], [503, 503, 503]);
		assert.deepEqual([...store.evacuations()], []);
	});

	it('should be refused until the group is whole', async () => {
		const {state, begin, end} = createHandler({isWhole: false});
		assert.deepEqual([statusOf(await begin('a')), statusOf(await end('a'))], [503, 503]);
		assert.equal(state.commits, 0);
	});

	// Guards against an acknowledgement of what a failed store may have lost.
	for (const [name, error, status] of [['is full', new DiskFullError(), 503], ['has another leader', new NotLeaderError(undefined), 503], ['fails', new Error('commit failed'), 504]] as const) {
		it(`should be answered ${status} when the store ${name} during the commit`, async () => {
			let isFailing = true;
			const {store, begin, end} = createHandler({
				commit() {
					if (isFailing) {
						throw error;
					}
				},
			});
			assert.equal(statusOf(await begin('a')), status);
			assert.equal(store.isEvacuated('a'), false);
			isFailing = false;
			await begin('a');
			isFailing = true;
			assert.equal(statusOf(await end('a')), status);
			assert.equal(store.isEvacuated('a'), true);
		});
	}

	// Guards against an acknowledgement of a repeated call by a former leader that was cut off, while another one withdrew the evacuation.
	it('should not be acknowledged from the state of a leader that may be cut off', async () => {
		const {state, begin} = createHandler();
		await begin('a');
		state.leads = false;
		assert.equal(statusOf(await begin('a')), 504);
	});
});
