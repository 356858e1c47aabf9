/** Latency and throughput of the request path, compared with direct calls to the same fake backend servers. */
import {performance} from 'node:perf_hooks';
import {Agent, request} from 'undici';
import {readExample, waitUntil} from '../local-cluster.js';
import {
	callersUrl, clientOf, root, startProcessCluster,
} from '../process-cluster.js';
import {startFakeBackend} from '../fake-backend.js';
import {percentile, type Figure} from './table.js';

const section = 'path';
const REQUESTS = 2000;
const KEY = 'schaumwerk-demo-service-desk';

type Load = {times: number[]; perSecond: number};

/** Sends requests over a few keep-alive connections, round-robin over the targets. */
const runLoad = async (urls: readonly string[], concurrency: number): Promise<Load> => {
	const agent = new Agent({connections: concurrency});
	const times: number[] = [];
	let next = 0;
	const worker = async (): Promise<void> => {
		while (next < REQUESTS) {
			next += 1;
			const startedAtMs = performance.now();
			const response = await request(urls[next % urls.length]!, {headers: {authorization: `Bearer ${KEY}`}, dispatcher: agent});
			await response.body.text();
			if (response.statusCode === 200) {
				times.push(performance.now() - startedAtMs);
			}
		}
	};

	const startedAtMs = performance.now();
	await Promise.all(Array.from({length: concurrency}, async () => worker()));
	const perSecond = times.length / ((performance.now() - startedAtMs) / 1000);
	await agent.close();
	return {times, perSecond};
};

const measureWith = async (entries: number): Promise<Figure[]> => {
	const cluster = await startProcessCluster({entries, keepers: 1});
	const entryUrls = cluster.nodes.map(node => callersUrl(node));
	try {
		await clientOf(cluster.nodes[0]!).call({
			type: 'publish', publicationId: 'path', base: 0, author: 'measure', declarations: readExample(`${root}/examples/schaumwerk`),
		});
		const backends = await Promise.all([1, 2, 3, 4].map(async number => startFakeBackend({
			service: 'parts', instance: `parts-${number}`, slots: 16, announceKey: 'schaumwerk-announce-parts', entries: entryUrls, behaviour: {workMs: 1},
		})));
		await waitUntil('the servers are announced', async () => {
			const statuses = await Promise.all(backends.map(async backend => backend.announce()));
			return statuses.every(status => status === 200);
		});
		const direct = backends.map(backend => `${backend.url}/parts/x`);
		const through = entryUrls.map(url => `${url}/parts/x`);
		await runLoad(direct, 4);
		await runLoad(through, 4);
		const directOne = await runLoad(direct, 1);
		const oursOne = await runLoad(through, 1);
		const directMany = await runLoad(direct, 32);
		const oursMany = await runLoad(through, 32);
		await Promise.all(backends.map(async backend => backend.stop()));
		const label = `${entries} ${entries === 1 ? 'entry' : 'entries'}`;
		return [
			{
				section, name: `${label}: latency of one caller, p50`, unit: 'ms', ours: percentile(oursOne.times, 0.5), baselines: {direct: percentile(directOne.times, 0.5)},
			},
			{
				section, name: `${label}: latency of one caller, p99`, unit: 'ms', ours: percentile(oursOne.times, 0.99), baselines: {direct: percentile(directOne.times, 0.99)},
			},
			{
				section, name: `${label}: throughput of 32 callers`, unit: '/s', ours: oursMany.perSecond, baselines: {direct: directMany.perSecond},
			},
			{
				section, name: `${label}: latency of 32 callers, p99`, unit: 'ms', ours: percentile(oursMany.times, 0.99), baselines: {direct: percentile(directMany.times, 0.99)},
			},
		];
	} finally {
		cluster.kill();
	}
};

/** Measures the request path with one and with three entries. */
export const measurePath = async (): Promise<Figure[]> => [...await measureWith(1), ...await measureWith(3)];
