import assert from 'node:assert/strict';
import {
	after, before, describe, it,
} from 'node:test';
import {createProcesses} from '@bronzebend/utils/platform-processes';
import {startWorker, until} from '@bronzebend/utils/platform-stand-ins';

const JOBS = 30;
const UNITS = 8;
/** Largest fraction of the calls to workers that the leader may make itself while other keepers are available. */
const MAX_LEADER_FRACTION = 0.1;

const step = {
	count: UNITS, cpu: 100, 'mem-mb': 10, 'estimate-ms': 50,
};

const manifest = {
	version: 1,
	routes: [{
		name: 'quotes', host: 'desk.example', 'path-prefix': '/quotes/', kind: 'non_idempotent', 'timeout-ms': 3000, 'target-latency-ms': 600, priority: 0, service: 'bench', 'max-attempts': 2, 'slack-factor': 1.6, public: true,
	}],
	services: [{
		name: 'bench', 'health-path': '/healthz', 'max-conns': 64, protocol: 'h1', tls: false, 'admission-check': true, standby: false,
	}],
	limits: {
		'max-header-bytes': 16_384, 'max-body-bytes': 5000, 'header-timeout-ms': 3000, 'idle-timeout-ms': 15_000,
	},
	tenants: [],
};

const idOf = (number: number): string => number.toString(16).padStart(16, '0');

/** Starts keepers, an entry and workers; everything is stopped after the tests around it. */
const startSite = (keepers: string[], entry: string, workerHosts: string[]) => {
	const processes = createProcesses(keepers, entry);
	const workers: Array<Awaited<ReturnType<typeof startWorker>>> = [];
	const figures = (keeper: string, field: string): number[] => [...processes.log(keeper).matchAll(new RegExp(`"${field}":(\\d+)`, 'gu'))].map(([, figure]) => Number(figure));
	const total = (field: string): number => keepers.flatMap(keeper => figures(keeper, field)).reduce((sum, figure) => sum + figure, 0);

	/** Waits until each keeper has logged its calls up to now. */
	const callsLogged = async (): Promise<void> => {
		const before = keepers.map(keeper => figures(keeper, 'ownWorkerCalls').length);
		// A line that was written just now may not have been read yet.
		await until('the calls are logged', async () => keepers.every((keeper, index) => figures(keeper, 'ownWorkerCalls').length >= before[index]! + 2));
	};

	before(async () => {
		for (const keeper of keepers) {
			processes.start(keeper, 'keeper', true);
		}

		processes.start(entry, 'entry', true);
		for (const [index, host] of workerHosts.entries()) {
			workers.push(await startWorker(`w-${index + 1}`, host, {pool: 'bench', runMs: 40, controls: keepers}));
		}

		await until('the manifest is acknowledged', async () => {
			const answer = await processes.control(keepers[0]!, 'POST', '/Config.Replace', manifest);
			return answer.status === 200;
		});
		await until('the entry is ready', async () => await processes.ready() === 200);
	});

	after(async () => {
		for (const worker of workers) {
			worker.stop();
		}

		await processes.stopAll();
	});

	return {
		processes,

		/** The keeper that began to lead last. */
		leader(): string {
			const terms = keepers.flatMap(keeper => [...processes.log(keeper).matchAll(/"Leading\.".*?"term":(\d+)/gu)].map(([, term]) => ({keeper, term: Number(term)})));
			return terms.sort((left, right) => right.term - left.term)[0]!.keeper;
		},

		/** Runs jobs; returns how many calls to workers they cost, and how many of these leaders made themselves. */
		async callsOfJobs(firstId: number): Promise<{all: number; own: number}> {
			await callsLogged();
			const before = {all: total('workerCalls'), own: total('ownWorkerCalls')};
			const startsBefore = workers.flatMap(worker => worker.starts).length;
			await Promise.all(Array.from({length: JOBS}, async (_, index) => until('a job is accepted', async () => {
				const answer = await processes.call('POST', `/quotes/${idOf(firstId + index)}`, {spec: 'x', steps: [step]});
				return answer.status === 200;
			})));
			await until('all work units have started', async () => workers.flatMap(worker => worker.starts).length >= startsBefore + (JOBS * UNITS));
			await callsLogged();
			return {all: total('workerCalls') - before.all, own: total('ownWorkerCalls') - before.own};
		},
	};
};

const assertRelayed = ({all, own}: {all: number; own: number}): void => {
	assert.ok(all >= JOBS * UNITS, `${all} calls are logged`);
	assert.ok(own <= MAX_LEADER_FRACTION * all, `leaders made ${own} of ${all} calls themselves`);
};

describe('calls to workers', {timeout: 60_000}, () => {
	const site = startSite(['127.0.92.1', '127.0.92.2', '127.0.92.3'], '127.0.92.11', ['127.0.92.21', '127.0.92.22', '127.0.92.23', '127.0.92.24']);

	it('should relay most calls through the other keepers, so that they do not starve the leader', async () => {
		assertRelayed(await site.callsOfJobs(0));
	});

	it('should still relay most calls after a change of leader', async () => {
		const former = site.leader();
		site.processes.signal(former, 'SIGSTOP');
		await until('another keeper leads', async () => site.leader() !== former);
		site.processes.signal(former, 'SIGCONT');
		assertRelayed(await site.callsOfJobs(JOBS));
	});
});

describe('calls to workers of a keeper without others', {timeout: 60_000}, () => {
	const site = startSite(['127.0.92.4'], '127.0.92.12', ['127.0.92.25']);

	it('should be made and counted as its own', async () => {
		const {all, own} = await site.callsOfJobs(0);
		assert.ok(all >= JOBS * UNITS, `${all} calls are logged`);
		assert.equal(own, all);
	});
});
