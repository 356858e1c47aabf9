/** `npm run faults [-- SEED [SECONDS]]`: runs real processes over loopback under load, with random kills, pauses, restarts and planned stops. */
import path from 'node:path';
import process from 'node:process';
import {ServerError} from '@bronzebend/cli';
import {createRandom, type Declaration, type PublishOutcome} from '@bronzebend/core';
import type {ClusterStatus} from '@bronzebend/daemon';
import {Agent, request} from 'undici';
import {createLedger} from './faults/ledger.js';
import {readExample, waitUntil} from './local-cluster.js';
import {
	callersUrl, clientOf, ended, isReady, root, startProcessCluster, type NodeProcess as PlainProcess,
} from './process-cluster.js';
import {startFakeBackend} from './fake-backend.js';

const ENTRIES = 9;
const KEEPERS = 5;
const CALLERS = 24;
const seed = Number(process.argv[2] ?? 20_261_204);
const seconds = Number(process.argv[3] ?? 60);
const random = createRandom(seed);
const startedAtMs = performance.now();

const print = (line: string): void => {
	process.stdout.write(`${((performance.now() - startedAtMs) / 1000).toFixed(1).padStart(6)} s  ${line}\n`);
};

const pause = async (milliseconds: number): Promise<void> => new Promise(resolve => {
	setTimeout(resolve, milliseconds);
});

const pick = <T>(list: readonly T[]): T => list[Math.floor(random() * list.length)]!;

type NodeProcess = PlainProcess & {state: 'up' | 'paused' | 'down' | 'stopping'; isReady: boolean};

print(`seed ${seed}, ${seconds} s, ${ENTRIES} entries, ${KEEPERS} of them keepers`);
const cluster = await startProcessCluster({entries: ENTRIES, keepers: KEEPERS});
print(`logs in ${path.basename(cluster.folder)}`);
const nodes = cluster.nodes.map((node): NodeProcess => Object.assign(node, {state: 'up' as const, isReady: true}));
const upNodes = (): NodeProcess[] => nodes.filter(node => node.state === 'up');

const declarations = readExample(path.join(root, 'examples', 'schaumwerk')).map((item): Declaration => (item.kind === 'limit' ? {...item, running: 12} : item));
const limits = new Map(declarations.flatMap(item => (item.kind === 'limit' ? [[item.team, item.running] as const] : [])));
const ledger = createLedger(limits);
const accepted = new Map<string, number>();
let publication = 0;

const publishOnce = async (): Promise<void> => {
	const node = pick(upNodes());
	publication += 1;
	const publicationId = `fault-${publication}`;
	const changed = declarations.map((item): Declaration => (item.kind === 'queue' && item.name === 'audit' ? {...item, weight: 1 + publication} : item));
	try {
		const client = clientOf(node);
		const {version} = await client.call({type: 'read-set'}) as {version: number};
		const {outcome} = await client.call({
			type: 'publish', publicationId, base: version, author: 'faults', declarations: changed,
		}) as {outcome: PublishOutcome};
		ledger.note(`publication ${outcome.type}`);
		if (outcome.type === 'accepted') {
			accepted.set(publicationId, outcome.version);
		}
	} catch (error) {
		ledger.note(`publication ${error instanceof ServerError ? error.code : 'failed'}`);
	}
};

const versionsSeen = new Map<string, number>();

const checkVersions = async (): Promise<void> => {
	try {
		const status = await clientOf(pick(upNodes())).call({type: 'status'}) as ClusterStatus;
		const seen = versionsSeen.get('leader') ?? 0;
		if (status.version < seen) {
			ledger.recordFault('revertedVersions', `leader ${status.leader} has ${status.version} after ${seen}`);
		}

		versionsSeen.set('leader', Math.max(seen, status.version));
	} catch {
		ledger.note('status unavailable');
	}
};

const teams = [
	{team: 'hotel-chain', key: 'schaumwerk-demo-hotel-chain', queues: ['diagnosis', 'parts', 'courier']},
	{team: 'service-desk', key: 'schaumwerk-demo-service-desk', queues: ['diagnosis', 'parts', 'courier']},
	{team: 'cafes', key: 'schaumwerk-demo-cafes', queues: ['diagnosis', 'courier']},
];

let requestNumber = 0;
let isOver = false;
const isRunning = (): boolean => !isOver;

type Call = {method: 'GET' | 'POST'; path: string; key: string; requestId: string; idempotencyKey?: string};

/** Sends one request through an entry; returns whether to resend it with the same idempotency key. */
const send = async (call: Call, node: NodeProcess, agent: Agent): Promise<boolean> => {
	const stateBefore = node.state;
	try {
		const response = await request(callersUrl(node) + call.path, {
			method: call.method,
			headers: {
				authorization: `Bearer ${call.key}`, 'x-request-id': call.requestId, 'bronzebend-deadline-ms': '8000', ...(call.idempotencyKey === undefined ? {} : {'idempotency-key': call.idempotencyKey}),
			},
			body: call.method === 'POST' ? JSON.stringify({order: call.requestId}) : undefined,
			dispatcher: agent,
			signal: AbortSignal.timeout(12_000),
		});
		const text = await response.body.text();
		const value = JSON.parse(text) as {path?: string; requestId?: string; execution?: string; type?: string};
		if (response.statusCode === 200) {
			ledger.note('answered');
			const isOwn = value.path === call.path && (value.requestId === call.requestId || call.idempotencyKey !== undefined);
			if (!isOwn) {
				ledger.recordFault('wrongAnswers', `${call.requestId} received ${text}`);
			}

			return false;
		}

		ledger.note(`refused ${value.type ?? response.statusCode} ${value.execution ?? ''}`);
		if (value.execution === 'not-run') {
			ledger.onNotRun(call.requestId);
		}

		return true;
	} catch (error) {
		const {code} = error as {code?: string};
		ledger.note(`broken ${code ?? (error as Error).name}`);
		// A refused connection never carried a request; a load balancer picks another entry.
		if (stateBefore === 'stopping' && node.state === 'stopping' && code !== 'ECONNREFUSED') {
			ledger.recordFault('cutByPlannedStop', `${call.requestId} through ${node.settings.node}: ${code ?? (error as Error).name}`);
		}

		return true;
	}
};

/** Nodes that a load balancer sends to: those that were ready at its last check, or all if none was. */
const balancedNodes = (): NodeProcess[] => {
	const ready = nodes.filter(node => node.isReady);
	return ready.length > 0 ? ready : nodes;
};

const checkReadiness = async (): Promise<void> => {
	await Promise.all(nodes.map(async node => {
		node.isReady = await isReady(node);
	}));
};

const runCaller = async (): Promise<void> => {
	const agent = new Agent({keepAliveTimeout: 1000, pipelining: 1});
	while (isRunning()) {
		requestNumber += 1;
		const {key, queues} = pick(teams);
		const isOrder = random() < 0.4;
		const number = requestNumber;
		const call: Call = {
			method: isOrder ? 'POST' : 'GET', path: `/${pick(queues)}/job-${number}`, key, requestId: `req-${number}`, ...(isOrder ? {idempotencyKey: `order-${number}`} : {}),
		};
		let again = await send(call, pick(balancedNodes()), agent);
		for (let resend = 1; resend <= 2 && again; resend += 1) {
			await pause(100);
			again = await send({...call, requestId: `req-${number}-${resend}`}, pick(balancedNodes()), agent);
		}
	}

	await agent.close();
};

const restart = async (node: NodeProcess): Promise<void> => {
	node.state = 'down';
	await cluster.restart(node);
	node.state = 'up';
};

/** Whether a fault may be injected into a node: more than five nodes must be up, and at most two of the five keepers may be out at once. */
const canInjectFault = (node: NodeProcess): boolean => {
	const keepersAway = nodes.slice(0, KEEPERS).filter(item => item.state !== 'up').length;
	return node.state === 'up' && upNodes().length > 5 && (!nodes.slice(0, KEEPERS).includes(node) || keepersAway < 2);
};

const kill = async (node: NodeProcess): Promise<void> => {
	print(`kill ${node.settings.node}`);
	node.state = 'down';
	node.child.kill('SIGKILL');
	await ended(node.child);
	await pause(500 + (random() * 2000));
	await restart(node);
	print(`${node.settings.node} is up again`);
};

const pauseProcess = async (node: NodeProcess): Promise<void> => {
	const lengthMs = 1000 + (random() * 7000);
	print(`pause ${node.settings.node} for ${Math.round(lengthMs)} ms`);
	node.state = 'paused';
	node.child.kill('SIGSTOP');
	await pause(lengthMs);
	node.child.kill('SIGCONT');
	await waitUntil(`${node.settings.node} is ready`, async () => isReady(node), 30_000);
	node.state = 'up';
};

const stopGracefully = async (node: NodeProcess): Promise<void> => {
	print(`planned stop of ${node.settings.node}`);
	node.state = 'stopping';
	node.child.kill('SIGTERM');
	await ended(node.child);
	await restart(node);
	print(`${node.settings.node} is up again`);
};

const injectFaults = async (): Promise<void> => {
	const works: Array<Promise<void>> = [];
	while (isRunning()) {
		await pause(700 + (random() * 1500));
		const node = pick(nodes);
		const fault = pick([kill, pauseProcess, stopGracefully, stopGracefully]);
		if (canInjectFault(node)) {
			works.push(fault(node).catch((error: unknown) => {
				print(`Recovery from an injected fault failed: ${String(error)}`);
				ledger.note('fault unfinished');
			}));
		}
	}

	await Promise.all(works);
};

const repeat = async (everyMs: number, work: () => Promise<void>): Promise<void> => {
	while (isRunning()) {
		await work();
		await pause(everyMs);
	}
};

try {
	const first = await clientOf(nodes[0]!).call({
		type: 'publish', publicationId: 'first', base: 0, author: 'faults', declarations,
	}) as {outcome: PublishOutcome};
	print(`published: ${JSON.stringify(first.outcome)}`);
	const backends = await Promise.all(['diagnosis', 'parts', 'courier'].flatMap(service => [1, 2, 3, 4].map(async number => startFakeBackend({
		service, instance: `${service}-${number}`, rack: `rack-${number}`, slots: 4, announceKey: `schaumwerk-announce-${service}`, entries: nodes.map(node => callersUrl(node)), behaviour: {workMs: 40}, onRun: ledger.onRun, onEnd: ledger.onEnd,
	}))));
	await pause(3000);
	print('starting the load');
	const callers = Array.from({length: CALLERS}, async () => runCaller());
	const side = [repeat(300, publishOnce), repeat(500, checkVersions), repeat(150, checkReadiness), injectFaults()];
	await pause(seconds * 1000);
	isOver = true;
	await Promise.all([...callers, ...side]);
	await waitUntil('all nodes are ready again', cluster.allReady, 30_000);
	const history = await clientOf(nodes[0]!).call({type: 'history'}) as Array<{publicationId: string; version: number}>;
	for (const [publicationId, version] of accepted) {
		if (!history.some(line => line.publicationId === publicationId && line.version === version)) {
			ledger.recordFault('lostPublications', publicationId);
		}
	}

	await Promise.all(backends.map(async backend => backend.stop()));
} finally {
	cluster.kill();
}

for (const [what, count] of [...ledger.tally].sort(([left], [right]) => (left < right ? -1 : 1))) {
	print(`${String(count).padStart(7)}  ${what}`);
}

print('Not covered: links cut in one direction, lost disks, clock jumps, failure of a whole data centre.');
for (const detail of ledger.details) {
	print(detail);
}

const total = Object.values(ledger.counts).reduce((sum, count) => sum + count, 0);
print(JSON.stringify(ledger.counts));
process.exit(total === 0 ? 0 : 1);
