import assert from 'node:assert/strict';
import http from 'node:http';
import net from 'node:net';
import {
	after, before, describe, it,
} from 'node:test';
import {sha256Hex, type Declaration, type PublishOutcome} from '@bronzebend/core';
import {
	readExample, startLocalCluster, waitUntil, type LocalCluster,
} from '@bronzebend/utils/local-cluster';
import {startFakeBackend, type FakeBackend} from '@bronzebend/utils/fake-backend';

const CAFES_KEY = 'schaumwerk-demo-cafes';
/** Deadline of a request whose work takes longer, in milliseconds. */
const DEADLINE_MS = 150;
/** Such requests that may be refused as not dispatched in time. */
const MAX_REFUSED = 10;
const SERVICE_DESK_KEY = 'schaumwerk-demo-service-desk';

type Answer = {status: number; text: string; headers: http.IncomingHttpHeaders; broken: boolean};

const sendRequest = async (url: string, {method = 'GET', headers = {}, body}: {method?: string; headers?: Record<string, string>; body?: string} = {}): Promise<Answer> => new Promise((resolve, reject) => {
	const req = http.request(url, {method, headers, agent: false}, res => {
		let text = '';
		res.on('data', chunk => {
			text += String(chunk);
		});
		const finish = (broken: boolean): void => {
			resolve({
				status: res.statusCode ?? 0, text, headers: res.headers, broken,
			});
		};

		res.on('end', () => {
			finish(!res.complete);
		});
		res.on('error', () => {
			finish(true);
		});
	});
	req.on('error', reject);
	req.end(body);
});

const problemOf = (answer: Answer): {type: string; execution: string} => JSON.parse(answer.text) as {type: string; execution: string};

/** Sends raw bytes and returns everything received until the connection closes. */
const sendRaw = async (url: string, bytes: string): Promise<string> => new Promise(resolve => {
	const {hostname, port} = new URL(url);
	const socket = net.connect(Number(port), hostname, () => {
		socket.write(bytes);
	});
	let text = '';
	socket.on('data', chunk => {
		text += String(chunk);
	});
	socket.on('close', () => {
		resolve(text);
	});
	socket.on('error', () => {
		resolve(text);
	});
});

describe('cluster over loopback', () => {
	let cluster: LocalCluster;
	let backends: FakeBackend[];
	const runs = new Map<string, number>();
	/** Paths of the requests that reached a backend server. */
	const arrived = new Set<string>();
	const declarations = readExample(new URL('../../../examples/schaumwerk', import.meta.url).pathname).map((item): Declaration => (item.kind === 'queue' && item.name === 'courier' ? {...item, maxBodyBytes: 100_000} : item));

	const url = (node: number, path: string): string => `${cluster.entryUrls()[node]}${path}`;
	const auth = (secret: string): Record<string, string> => ({authorization: `Bearer ${secret}`});

	before(async () => {
		cluster = await startLocalCluster({entries: 4, keepers: 3});
		await cluster.publish(declarations);
		backends = await Promise.all(['diagnosis', 'courier'].map(async service => startFakeBackend({
			service,
			instance: `${service}-1`,
			slots: 8,
			announceKey: `schaumwerk-announce-${service}`,
			entries: cluster.entryUrls(),
			onRun(_, req) {
				const key = String(req.headers['idempotency-key'] ?? '');
				runs.set(key, (runs.get(key) ?? 0) + 1);
				arrived.add(req.url ?? '');
			},
		})));
		await waitUntil('the servers are announced', async () => {
			const statuses = await Promise.all(backends.map(async backend => backend.announce()));
			return statuses.every(status => status === 200);
		});
	});

	after(async () => {
		await Promise.all(backends.map(async backend => backend.stop()));
		await cluster.stop();
	});

	it('should answer through every entry and echo the request ID', async () => {
		for (const node of cluster.nodes.keys()) {
			const answer = await sendRequest(url(node, '/diagnosis/frother?x=1'), {headers: {...auth(CAFES_KEY), 'x-request-id': `id-${node}`}});
			assert.equal(answer.status, 200);
			assert.equal((JSON.parse(answer.text) as {path: string}).path, '/diagnosis/frother?x=1');
			assert.equal(answer.headers['x-request-id'], `id-${node}`);
		}
	});

	it('should refuse unknown paths, missing and wrong keys and other teams, as not run', async () => {
		const cases: Array<[string, Record<string, string>, number, string]> = [
			['/nowhere', {}, 404, 'unknown-queue'],
			['/diagnosis/x', {}, 401, 'missing-key'],
			['/diagnosis/x', auth('nobody'), 401, 'wrong-key'],
			['/parts/x', auth(CAFES_KEY), 403, 'wrong-team'],
			['/diagnosis/x', {...auth(CAFES_KEY), 'bronzebend-deadline-ms': 'soon'}, 400, 'bad-header'],
		];
		for (const [path, headers, status, type] of cases) {
			const answer = await sendRequest(url(0, path), {headers});
			assert.equal(answer.status, status);
			assert.equal(problemOf(answer).type, `urn:bronzebend:problem:${type}`);
			assert.equal(problemOf(answer).execution, 'not-run');
		}
	});

	it('should run a non-idempotent request once, even if it is sent again through another entry', async () => {
		const headers = {...auth(SERVICE_DESK_KEY), 'idempotency-key': 'order-1', 'content-type': 'application/json'};
		const first = await sendRequest(url(0, '/courier/order'), {method: 'POST', headers, body: '{}'});
		assert.equal(first.status, 200);
		await waitUntil('the outcome is recorded', async () => {
			const resend = await sendRequest(url(2, '/courier/order'), {method: 'POST', headers, body: '{}'});
			return resend.status === 200;
		});
		const second = await sendRequest(url(3, '/courier/order'), {method: 'POST', headers, body: '{}'});
		assert.equal(second.text, first.text);
		assert.equal(second.headers['bronzebend-replayed'], 'yes');
		assert.equal(runs.get('order-1'), 1);
	});

	it('should refuse an idempotency key that was used for another request', async () => {
		const headers = {...auth(SERVICE_DESK_KEY), 'idempotency-key': 'order-2'};
		await sendRequest(url(0, '/courier/a'), {method: 'POST', headers});
		const answer = await sendRequest(url(1, '/courier/b'), {method: 'POST', headers});
		assert.equal(problemOf(answer).type, 'urn:bronzebend:problem:idempotency-key-reused');
	});

	it('should pass a cut answer on as broken, never as a truncated one that looks complete', async () => {
		for (const chunked of [false, true]) {
			Object.assign(backends[0]!.behaviour, {cutAnswers: true, chunked});
			const answer = await sendRequest(url(1, '/diagnosis/cut'), {headers: auth(CAFES_KEY)});
			Object.assign(backends[0]!.behaviour, {cutAnswers: false, chunked: false});
			assert.equal(answer.status, 200);
			assert.equal(answer.broken, true);
		}
	});

	it('should refuse ambiguous framing, oversized heads and bodies', async () => {
		const smuggled = await sendRaw(url(0, ''), 'POST /courier/x HTTP/1.1\r\nhost: x\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n');
		assert.match(smuggled, /^HTTP\/1\.1 400 /);
		assert.match(smuggled, /"execution":"not-run"/);
		const head = await sendRaw(url(0, ''), `GET /courier/x HTTP/1.1\r\nhost: x\r\nx-long: ${'x'.repeat(40_000)}\r\n\r\n`);
		assert.match(head, /^HTTP\/1\.1 431 /);
		const body = await sendRequest(url(0, '/courier/x'), {method: 'POST', headers: {...auth(SERVICE_DESK_KEY), 'content-length': '200000'}, body: 'x'.repeat(200_000)});
		assert.equal(body.status, 413);
	});

	it('should report "unknown" after the deadline, and never give the late answer to the next request', async () => {
		const refused: string[] = [];
		/** Repeats a request that was not dispatched before its deadline, as on a machine that is held up; each try has a path of its own. */
		const sendUntilDispatched = async (): Promise<{path: string; answer: Answer}> => {
			const path = `/diagnosis/late-${refused.length}`;
			const sentMs = performance.now();
			const answer = await sendRequest(url(0, path), {headers: {...auth(CAFES_KEY), 'bronzebend-deadline-ms': String(DEADLINE_MS)}});
			if (answer.status !== 503 || refused.length === MAX_REFUSED) {
				return {path, answer};
			}

			assert.equal(problemOf(answer).execution, 'not-run');
			assert.ok(performance.now() - sentMs >= DEADLINE_MS, 'refused before its deadline');
			refused.push(path);
			return sendUntilDispatched();
		};

		backends[0]!.behaviour.workMs = 400;
		const late = await sendUntilDispatched();
		backends[0]!.behaviour.workMs = 5;
		assert.equal(late.answer.status, 504);
		assert.equal(problemOf(late.answer).execution, 'unknown');
		const next = await sendRequest(url(0, '/diagnosis/next'), {headers: auth(CAFES_KEY)});
		assert.equal((JSON.parse(next.text) as {path: string}).path, '/diagnosis/next');
		assert.deepEqual([late.path, ...refused].filter(path => arrived.has(path)), [late.path]);
	});

	it('should accept one of two concurrent publications and report to the other what differs', async () => {
		const {version} = await cluster.client.call({type: 'read-set'}) as {version: number};
		const publish = async (publicationId: string, weight: number): Promise<PublishOutcome> => {
			const changed = declarations.map((item): Declaration => (item.kind === 'queue' && item.name === 'audit' ? {...item, weight} : item));
			const {outcome} = await cluster.client.call({
				type: 'publish', publicationId, base: version, author: publicationId, declarations: changed,
			}) as {outcome: PublishOutcome};
			return outcome;
		};

		const outcomes = await Promise.all([publish('race-a', 2), publish('race-b', 3)]);
		const winner = outcomes.findIndex(outcome => outcome.type === 'accepted');
		const loser = outcomes[1 - winner]!;
		assert.ok(loser.type === 'conflict');
		assert.equal(loser.winner, ['race-a', 'race-b'][winner]);
		assert.deepEqual(loser.differs, ['queue/audit']);
		assert.deepEqual(await publish(['race-a', 'race-b'][winner]!, 2 + winner), outcomes[winner], 'a resend gets the recorded answer');
		const reused = await publish(['race-a', 'race-b'][winner]!, 9);
		assert.equal(reused.type, 'publication-id-reused');
	});

	it('should report every fault of a set of declarations and publish nothing', async () => {
		await assert.rejects(
			cluster.client.call({
				type: 'publish', publicationId: 'bad', base: 0, author: 'x', declarations: declarations.filter(item => item.kind !== 'team'),
			}),
			(error: Error & {code: string; details: {faults: unknown[]}}) => error.code === 'faulty-set' && error.details.faults.length > 5,
		);
	});

	it('should refuse a withdrawn key at every entry', async () => {
		const sha256 = sha256Hex('schaumwerk-demo-hotel-chain');
		const before = await sendRequest(url(0, '/diagnosis/x'), {headers: auth('schaumwerk-demo-hotel-chain')});
		assert.equal(before.status, 200);
		await cluster.client.call({
			type: 'command', command: {
				type: 'withdraw-key', publicationId: 'withdraw-1', sha256, author: 'x', atMs: 0,
			},
		});
		await waitUntil('no entry takes the key', async () => {
			const answers = await Promise.all([...cluster.nodes.keys()].map(async node => sendRequest(url(node, '/diagnosis/x'), {headers: auth('schaumwerk-demo-hotel-chain')})));
			return answers.every(answer => answer.status === 401);
		});
	});

	it('should refuse announcements with a wrong key, service, instance or pool', async () => {
		const announce = async (secret: string, change: Record<string, unknown>): Promise<number> => {
			const answer = await sendRequest(url(0, '/bronzebend/v1/announce'), {
				method: 'POST', headers: auth(secret), body: JSON.stringify({
					service: 'courier', instance: 'courier-2', address: 'http://127.0.0.1:9', slots: 1, connections: 1, healthy: false, ...change,
				}),
			});
			return answer.status;
		};

		assert.equal(await announce('nobody', {}), 401);
		assert.equal(await announce('schaumwerk-announce-parts', {}), 403);
		assert.equal(await announce('schaumwerk-announce-courier', {instance: 'unheard-of'}), 404);
		assert.equal(await announce('schaumwerk-announce-courier', {pool: 'parts'}), 409);
		assert.equal(await announce('schaumwerk-announce-courier', {slots: 0}), 400);
		assert.equal(await announce('schaumwerk-announce-courier', {}), 200);
	});

	it('should keep serving a pool after its dispatcher fails', async () => {
		const status = await cluster.client.call({type: 'status'}) as {pools: Array<{pool: string; dispatcher: string}>};
		const {dispatcher} = (status.pools.find(pool => pool.pool === 'courier')!);
		const index = cluster.nodes.findIndex(node => node.node === dispatcher);
		const other = (index + 1) % cluster.nodes.length;
		await cluster.nodes[index]!.stopNow();
		const answer = await sendRequest(url(other, '/courier/after'), {headers: auth(SERVICE_DESK_KEY)});
		assert.equal(answer.status, 200);
		await cluster.restart(index);
		await waitUntil('the node is back', () => cluster.nodes[index]!.isReady());
	});

	it('should refuse requests that need a key, as not run, while the quorum is unreachable', async () => {
		await Promise.all(cluster.nodes.slice(0, 2).map(async node => node.stopNow()));
		await waitUntil('the leases have run out', () => !cluster.nodes[3]!.isReady());
		const answer = await sendRequest(url(3, '/diagnosis/x'), {headers: auth(CAFES_KEY)});
		assert.equal(problemOf(answer).type, 'urn:bronzebend:problem:stale-view');
		assert.equal(problemOf(answer).execution, 'not-run');
		const version = cluster.nodes[3]!.agent.view.version();
		await cluster.restart(0);
		await cluster.restart(1);
		await waitUntil('all are back', () => cluster.nodes.every(node => node.isReady()));
		assert.ok(cluster.nodes.every(node => node.agent.view.version() === version), 'nothing reverted');
	});
});
