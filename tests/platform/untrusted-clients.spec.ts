import assert from 'node:assert/strict';
import {type ChildProcess, spawn} from 'node:child_process';
import {once} from 'node:events';
import path from 'node:path';
import process from 'node:process';
import {
	after, afterEach, beforeEach, describe, it,
} from 'node:test';
import {fileURLToPath} from 'node:url';
import {CALLER_PORT, createProcesses, READY_PORT} from '@bronzebend/utils/platform-processes';
import {CONTROL_PORT, request, until} from '@bronzebend/utils/platform-stand-ins';
import {descriptorsOf, residentMbOf, unreadMbOf} from '@bronzebend/utils/process-memory';

const keeper = '127.0.97.1';
const entry = '127.0.97.11';

/**
Old space of the test's processes, and the memory that they may use, in MB. An entry machine has 250 MB for an old space of 96 MB, the
smallest keeper machine 346 MB for 192 MB; the tests' processes have a smaller old space, and just as much less memory.
*/
const machines = {
	entry: {oldSpaceMb: 48, memoryMb: 250 - (96 - 48), semiSpaceMb: 2},
	keeper: {oldSpaceMb: 64, memoryMb: 346 - (192 - 64), semiSpaceMb: 8},
} as const;
/** Descriptors that a process may use; a tenth of those of an entry machine, so that few clients are enough. */
const MAX_DESCRIPTORS = 410;
/** Descriptors above those before the clients that may stay open: connections to other nodes. */
const DESCRIPTOR_SLACK = 20;
const SAMPLE_MS = 50;
/** Time that the clients stay at most, and in which a request has to be answered beside them, in milliseconds. */
const CLIENTS_MS = 50_000;
const ANSWER_MS = 20_000;
/** Time between the opening of the last connection and the request, in milliseconds; enough to send everything to a server that reads. */
const LEAD_MS = 2500;
/** Time after the clients in which memory and descriptors are released, in milliseconds. */
const RELEASE_MS = 60_000;

const clientProgram = path.resolve(path.dirname(fileURLToPath(import.meta.url)), '../fixtures/untrusted-clients.js');

const kinds = [
	{programs: {'small-chunks': 40}, what: 'send unfinished bodies in chunks of one byte'},
	{programs: {'requests-ahead': 50, 'bare-requests-ahead': 50}, what: 'send requests ahead and read no answer'},
	{programs: {'large-chunks': 600}, what: 'keep bodies of 262,000 bytes unfinished'},
] as const;

const servers = [
	{
		name: 'callers\' address of an entry', role: 'entry', host: entry, port: CALLER_PORT, path: '/quotes/0000000000000001', ordinary: '/quotes/0000000000000002', status: 410,
	},
	{
		name: 'readiness address of an entry', role: 'entry', host: entry, port: READY_PORT, path: '/readyz', ordinary: '/readyz', status: 200,
	},
	{
		name: 'control address of a keeper', role: 'keeper', host: keeper, port: CONTROL_PORT, path: '/Config.Replace', ordinary: '/Config.Read', status: 200,
	},
] as const;

const manifest = {
	version: 1,
	routes: [{
		name: 'quotes', host: 'desk.example', 'path-prefix': '/quotes/', kind: 'non_idempotent', 'timeout-ms': 3000, 'target-latency-ms': 600, priority: 0, service: 'bench', 'max-attempts': 2, 'slack-factor': 1.6, public: true,
	}],
	services: [{
		name: 'bench', 'health-path': '/healthz', 'max-conns': 64, protocol: 'h1', tls: false, 'admission-check': true, standby: false,
	}],
	limits: {
		'max-header-bytes': 16_384, 'max-body-bytes': 262_144, 'header-timeout-ms': 3000, 'idle-timeout-ms': 15_000,
	},
	tenants: [],
};

const pause = async (milliseconds: number): Promise<void> => new Promise(resolve => {
	setTimeout(resolve, milliseconds);
});

describe('processes whose clients keep to no rules', {timeout: 118_000}, () => {
	const processes = createProcesses([keeper], entry, {
		tolerated: 0,
		nodeFlags: role => [`--max-old-space-size=${machines[role].oldSpaceMb}`, `--max-semi-space-size=${machines[role].semiSpaceMb}`],
		moreSettings: role => `limits: {memory-mb: ${machines[role].memoryMb}, max-fds: ${MAX_DESCRIPTORS}}`,
	});
	const programs = new Set<ChildProcess>();
	let wasStarted = false;

	const ordinaryStatus = async ({host, port, ordinary}: typeof servers[number]): Promise<number> => {
		const answer = await request('GET', host, port, {path: ordinary, headers: {host: 'desk.example'}});
		return answer.status;
	};

	const startClients = (server: typeof servers[number], kind: typeof kinds[number]): ChildProcess[] => Object.entries(kind.programs).map(([name, count]) => {
		const program = spawn(process.execPath, [clientProgram, name, server.host, String(server.port), server.path, String(count), String(CLIENTS_MS)], {stdio: ['ignore', 'pipe', 'inherit']});
		programs.add(program);
		return program;
	});

	beforeEach(async () => {
		for (const [host, role] of [[keeper, 'keeper'], [entry, 'entry']] as const) {
			if (!processes.isRunning(host)) {
				processes.start(host, role, !wasStarted);
			}
		}

		wasStarted = true;
		await until('the manifest is acknowledged', async () => {
			const answer = await processes.control(keeper, 'POST', '/Config.Replace', manifest);
			return answer.status === 200;
		});
		for (const server of servers) {
			await until(`the ${server.name} answers`, async () => await ordinaryStatus(server) === server.status);
		}
	});

	// A process that hangs must not fail the tests after it too.
	afterEach(async () => {
		for (const server of servers) {
			if (processes.isRunning(server.host) && await ordinaryStatus(server).catch(() => 0) === 0) {
				await processes.end(server.host, 'SIGKILL');
			}
		}
	});

	after(async () => {
		for (const program of programs) {
			program.kill('SIGKILL');
		}

		await processes.stopAll();
	});

	for (const server of servers) {
		for (const kind of kinds) {
			it(`should stay alive, within their memory and able to answer while clients ${kind.what}: ${server.name}`, async t => {
				const pid = processes.pid(server.host)!;
				const {memoryMb} = machines[server.role];
				const before = {memoryMb: residentMbOf(pid), descriptors: descriptorsOf(pid)};
				const most = {memoryMb: 0, descriptors: 0};
				const sample = (): void => {
					if (processes.isRunning(server.host)) {
						most.memoryMb = Math.max(most.memoryMb, residentMbOf(pid) + unreadMbOf(server.host));
						most.descriptors = Math.max(most.descriptors, descriptorsOf(pid));
					}
				};

				const sampler = setInterval(sample, SAMPLE_MS);
				const started = startClients(server, kind);
				let isAnswered = false;
				try {
					await Promise.all(started.map(async program => once(program.stdout!, 'data', {signal: AbortSignal.timeout(ANSWER_MS)}).catch(() => undefined)));
					await pause(LEAD_MS);
					const endMs = Date.now() + ANSWER_MS;
					while (!isAnswered && processes.isRunning(server.host) && Date.now() < endMs) {
						isAnswered = await ordinaryStatus(server).catch(() => 0) === server.status;
					}

					await pause(500);
				} finally {
					clearInterval(sampler);
					for (const program of started) {
						program.kill('SIGKILL');
					}
				}

				t.diagnostic(`${Object.keys(kind.programs).join(', ')}, ${server.name}: alive ${processes.isRunning(server.host)}, answered ${isAnswered}, memory ${before.memoryMb.toFixed(0)} to ${most.memoryMb.toFixed(0)} of ${memoryMb} MB, descriptors ${before.descriptors} to ${most.descriptors} of ${MAX_DESCRIPTORS}`);
				assert.ok(processes.isRunning(server.host), 'the process has ended');
				assert.ok(isAnswered, 'an ordinary request is not answered');
				assert.ok(most.memoryMb < memoryMb, `${most.memoryMb} MB of ${memoryMb} MB used`);
				assert.ok(most.descriptors < MAX_DESCRIPTORS, `${most.descriptors} of ${MAX_DESCRIPTORS} descriptors used`);

				const releaseEndMs = Date.now() + RELEASE_MS;
				const isReleased = (): boolean => descriptorsOf(pid) <= before.descriptors + DESCRIPTOR_SLACK && residentMbOf(pid) + unreadMbOf(server.host) < (before.memoryMb + memoryMb) / 2;
				while (!isReleased() && Date.now() < releaseEndMs) {
					await ordinaryStatus(server).catch(() => 0);
					await pause(SAMPLE_MS);
				}

				assert.ok(isReleased(), `${residentMbOf(pid)} MB and ${descriptorsOf(pid)} descriptors are still in use, before the clients ${before.memoryMb} MB and ${before.descriptors}`);
			});
		}
	}
});
