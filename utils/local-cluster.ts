/** Cluster of nodes inside one process, connected over loopback, for demos, tests and measurements. */
import {mkdirSync, mkdtempSync, writeFileSync} from 'node:fs';
import {createServer} from 'node:net';
import os from 'node:os';
import path from 'node:path';
import {createClient, readFolder} from '@bronzebend/cli';
import {checkDeclarations, type Declaration, type PublishOutcome} from '@bronzebend/core';
import {
	parseSettings, serve, silentLogs, type LogFactory, type RunningNode, type Settings,
} from '@bronzebend/daemon';

/** Options of a local cluster. */
export type LocalClusterOptions = {
	entries: number;
	keepers: number;
	logs?: LogFactory;
	/** Additional settings for every node. */
	extra?: Partial<Settings>;
};

/** Finds a free loopback port. */
export const freePort = async (): Promise<number> => new Promise((resolve, reject) => {
	const server = createServer();
	server.once('error', reject);
	server.listen(0, '127.0.0.1', () => {
		const address = server.address();
		const port = typeof address === 'object' && address ? address.port : 0;
		server.close(() => {
			resolve(port);
		});
	});
});

/**
Polls a condition every 10 ms until it holds.

@throws {Error} if it does not hold within `timeoutMs`.
*/
export const waitUntil = async (what: string, isTrue: () => boolean | Promise<boolean>, timeoutMs = 15_000): Promise<void> => {
	const endsAtMs = performance.now() + timeoutMs;
	// The checks are sequential.

	while (!(await isTrue())) {
		if (performance.now() > endsAtMs) {
			throw new Error(`Timed out after ${timeoutMs} ms waiting until ${what}.`);
		}

		await new Promise(resolve => {
			setTimeout(resolve, 10);
		});
	}
};

/** Creates the settings of each node of a cluster, and writes the secrets into a folder. */
export const writeLocalSettings = async ({entries, keepers, extra}: LocalClusterOptions, folder: string): Promise<Settings[]> => {
	mkdirSync(folder, {recursive: true});
	const clusterSecretFile = path.join(folder, 'cluster.secret');
	const operatorKeyFile = path.join(folder, 'operator.key');
	writeFileSync(clusterSecretFile, 'local-cluster-secret-for-loopback\n', {mode: 0o600});
	writeFileSync(operatorKeyFile, 'local-operator-key-for-loopback\n', {mode: 0o600});
	const ports = await Promise.all(Array.from({length: entries * 3}, async () => freePort()));
	const names = Array.from({length: entries}, (_, index) => `n${index + 1}`);
	const keeperList = names.slice(0, keepers).map((node, index) => ({node, host: '127.0.0.1', port: ports[index]!}));
	return names.map((node, index) => parseSettings({
		node,
		dataCentre: `dc-${'abcd'[index % 4]}`,
		roles: index < keepers ? ['entry', 'keeper'] : ['entry'],
		...(index < keepers ? {dataFolder: path.join(folder, node)} : {}),
		callers: {port: ports[entries + index]},
		peers: {port: ports[index]},
		operators: {port: ports[(2 * entries) + index]},
		keepers: keeperList,
		clusterSecretFile,
		operatorKeyFile,
		...extra,
	}, node));
};

/**
Reads the declarations in a folder under examples/.

@throws {Error} with the faults as JSON if the declarations are faulty.
*/
export const readExample = (folder: string): Declaration[] => {
	const result = checkDeclarations(readFolder(folder).raw);
	if (result.type === 'faulty') {
		throw new Error(JSON.stringify(result.faults, undefined, 2));
	}

	return [...result.catalogue.objects.values()];
};

/** A running local cluster. */
export type LocalCluster = Awaited<ReturnType<typeof startLocalCluster>>;

/** Starts the nodes and waits until every node has a leader. */
export const startLocalCluster = async (options: LocalClusterOptions) => {
	const folder = mkdtempSync(path.join(os.tmpdir(), 'bronzebend-'));
	const settings = await writeLocalSettings(options, folder);
	const nodes: RunningNode[] = await Promise.all(settings.map(async item => serve(item, {logs: options.logs ?? silentLogs})));
	await waitUntil('every node has a leader', () => nodes.every(node => node.isReady()));
	const client = createClient({server: `http://127.0.0.1:${nodes[0]!.operatorsPort()}`, keyFile: settings[0]!.operatorKeyFile});
	let publication = 0;

	return {
		folder,
		settings,
		nodes,
		client,
		entryUrls: (): string[] => nodes.map(node => `http://127.0.0.1:${node.callersPort()}`),
		leader: (): RunningNode => nodes.find(node => node.keeper()?.isLeading()) ?? nodes[0]!,

		/** Publishes a set of declarations on top of the version in force, waits until it is in force on every node, and returns its version. */
		async publish(declarations: Declaration[]): Promise<number> {
			publication += 1;
			const {version} = await client.call({type: 'read-set'}) as {version: number};
			const {outcome} = await client.call({
				type: 'publish', publicationId: `local-${publication}`, base: version, author: 'local', declarations,
			}) as {outcome: PublishOutcome};
			if (outcome.type !== 'accepted') {
				throw new Error(JSON.stringify(outcome));
			}

			await waitUntil('the version is in force everywhere', () => nodes.every(node => node.agent.view.version() >= outcome.version));
			return outcome.version;
		},

		/** Starts a node again with its settings. */
		async restart(index: number): Promise<void> {
			nodes[index] = await serve(settings[index]!, {logs: options.logs ?? silentLogs});
		},

		async stop(): Promise<void> {
			await Promise.all(nodes.map(async node => node.stopNow()));
		},
	};
};
