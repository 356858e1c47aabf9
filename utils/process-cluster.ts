/** Cluster of nodes in separate processes, connected over loopback. */
import {spawn, type ChildProcess} from 'node:child_process';
import {
	mkdtempSync, openSync, readFileSync, writeFileSync,
} from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {createClient, type Client} from '@bronzebend/cli';
import type {Settings} from '@bronzebend/daemon';
import {waitUntil, writeLocalSettings} from './local-cluster.js';

/** Root of the repository. */
export const root = path.resolve(path.dirname(fileURLToPath(import.meta.url)), '../..');

const TICKS_PER_SECOND = 100;
const PAGE_BYTES = 4096;

/** One node and its process. */
export type NodeProcess = {settings: Settings; file: string; child: ChildProcess};

/** Processor time and memory of a process. */
export type ProcessUsage = {cpuSeconds: number; residentMb: number};

/** URL of a node's callers' port. */
export const callersUrl = (node: NodeProcess): string => `http://127.0.0.1:${node.settings.callers!.port}`;

/** Creates a client for a node's operators' port. */
export const clientOf = (node: NodeProcess): Client => createClient({server: `http://127.0.0.1:${node.settings.operators!.port}`, keyFile: node.settings.operatorKeyFile});

/** Whether the readiness check of a node succeeds within 500 ms. */
export const isReady = async (node: NodeProcess): Promise<boolean> => {
	try {
		const response = await fetch(`http://127.0.0.1:${node.settings.operators!.port}/readyz`, {signal: AbortSignal.timeout(500)});
		await response.arrayBuffer();
		return response.ok;
	} catch {
		return false;
	}
};

/** Waits until a process has ended. */
export const ended = async (child: ChildProcess): Promise<void> => new Promise(resolve => {
	if (child.exitCode !== null || child.signalCode !== null) {
		resolve();
		return;
	}

	child.once('exit', () => {
		resolve();
	});
});

/** Reads the processor time used so far and the resident memory of a running process from `/proc`. */
export const usageOf = (node: NodeProcess): ProcessUsage => {
	const stat = readFileSync(`/proc/${node.child.pid}/stat`, 'utf8').split(') ')[1]!.split(' ');
	const [, resident] = readFileSync(`/proc/${node.child.pid}/statm`, 'utf8').split(' ').map(Number) as [number, number];
	return {cpuSeconds: (Number(stat[11]) + Number(stat[12])) / TICKS_PER_SECOND, residentMb: resident * PAGE_BYTES / 1_048_576};
};

/** Bytes of control traffic between processes that a node has sent and received. */
export const controlBytesOf = async (node: NodeProcess): Promise<number> => {
	const key = readFileSync(node.settings.operatorKeyFile, 'utf8').trim();
	const response = await fetch(`http://127.0.0.1:${node.settings.operators!.port}/metrics`, {headers: {authorization: `Bearer ${key}`}});
	const text = await response.text();
	const lines = text.split('\n').filter(line => line.startsWith('bronzebend_control_bytes{'));
	return lines.reduce((sum, line) => sum + Number(line.split(' ')[1]), 0);
};

/** A cluster of processes. */
export type ProcessCluster = Awaited<ReturnType<typeof startProcessCluster>>;

/** Starts the processes and waits until all are ready. */
export const startProcessCluster = async ({entries, keepers}: {entries: number; keepers: number}) => {
	const folder = mkdtempSync(path.join(os.tmpdir(), 'bronzebend-processes-'));
	const allSettings = await writeLocalSettings({entries, keepers, extra: {log: {level: 'info', format: 'text'}}}, folder);

	const start = (settings: Settings, file: string): ChildProcess => {
		const logFile = openSync(path.join(folder, `${settings.node}.log`), 'a');
		return spawn(process.execPath, [path.join(root, 'packages/cli/lib/main.js'), 'serve', '--settings', file], {stdio: ['ignore', logFile, logFile]});
	};

	const nodes = allSettings.map((settings): NodeProcess => {
		const file = path.join(folder, `${settings.node}.json`);
		writeFileSync(file, JSON.stringify(settings));
		return {settings, file, child: start(settings, file)};
	});

	const allReady = async (): Promise<boolean> => {
		const ready = await Promise.all(nodes.map(async node => isReady(node)));
		return ready.every(Boolean);
	};

	await waitUntil('all nodes are ready', allReady, 30_000);

	return {
		folder,
		nodes,
		allReady,

		/** Starts a node's process again and waits until it is ready. */
		async restart(node: NodeProcess): Promise<void> {
			node.child = start(node.settings, node.file);
			await waitUntil(`${node.settings.node} is ready`, async () => isReady(node), 30_000);
		},

		/** Kills all processes, including paused ones. */
		kill(): void {
			for (const node of nodes) {
				node.child.kill('SIGCONT');
				node.child.kill('SIGKILL');
			}
		},
	};
};
