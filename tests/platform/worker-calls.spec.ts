import assert from 'node:assert/strict';
import {
	after, before, describe, it,
} from 'node:test';
import {createProcesses, startWorker, until} from '@bronzebend/utils/platform-stand-ins';

const keepers = ['127.0.92.1', '127.0.92.2', '127.0.92.3'];
const JOBS = 30;
const UNITS = 8;
/** Largest fraction of the calls to workers that the leader may make itself while other keepers are available. */
const MAX_LEADER_FRACTION = 0.1;

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

describe('calls to workers', {timeout: 60_000}, () => {
	const processes = createProcesses(keepers, '127.0.92.11');
	const workers: Array<Awaited<ReturnType<typeof startWorker>>> = [];
	const idOf = (number: number): string => number.toString(16).padStart(16, '0');
	const callsBy = (keeper: string): number => [...processes.log(keeper).matchAll(/"workerCalls":(\d+)/gu)].reduce((sum, [, calls]) => sum + Number(calls), 0);

	before(async () => {
		for (const keeper of keepers) {
			processes.start(keeper, 'keeper', true);
		}

		processes.start('127.0.92.11', 'entry', true);
		for (const number of [1, 2, 3, 4]) {
			workers.push(await startWorker(`w-${number}`, `127.0.92.2${number}`, {pool: 'bench', runMs: 40, controls: keepers}));
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

	it('should relay most calls through the other keepers, so that they do not starve the leader', async () => {
		const step = {
			count: UNITS, cpu: 100, 'mem-mb': 10, 'estimate-ms': 50,
		};
		await Promise.all(Array.from({length: JOBS}, async (_, index) => until('a job is accepted', async () => {
			const answer = await processes.call('POST', `/quotes/${idOf(index)}`, {spec: 'x', steps: [step]});
			return answer.status === 200;
		})));
		await until('all work units have started', async () => workers.flatMap(worker => worker.starts).length >= JOBS * UNITS);
		await until('the calls are logged', async () => keepers.reduce((sum, keeper) => sum + callsBy(keeper), 0) > JOBS * UNITS);
		const leader = keepers.find(keeper => processes.log(keeper).includes('"Leading."'))!;
		const all = keepers.reduce((sum, keeper) => sum + callsBy(keeper), 0);
		assert.ok(callsBy(leader) <= MAX_LEADER_FRACTION * all, `the leader made ${callsBy(leader)} of ${all} calls itself`);
	});
});
