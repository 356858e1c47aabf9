import assert from 'node:assert/strict';
import {type ChildProcess, spawn} from 'node:child_process';
import {once} from 'node:events';
import path from 'node:path';
import process from 'node:process';
import {
	after, beforeEach, describe, it,
} from 'node:test';
import {fileURLToPath} from 'node:url';
import {CALLER_PORT, createProcesses} from '@bronzebend/utils/platform-processes';
import {request, until} from '@bronzebend/utils/platform-stand-ins';
import {residentMbOf} from '@bronzebend/utils/process-memory';

const keeper = '127.0.96.1';
const entry = '127.0.96.11';
/** As in untrusted-clients.spec.ts. */
const machines = {
	entry: {oldSpaceMb: 48, memoryMb: 250 - (96 - 48), semiSpaceMb: 2},
	keeper: {oldSpaceMb: 64, memoryMb: 346 - (192 - 64), semiSpaceMb: 8},
} as const;
const MAX_DESCRIPTORS = 410;
const SAMPLE_MS = 50;
/** Time for which the clients stay, and in which a request has to be answered after them, in milliseconds. */
const CLIENTS_MS = 15_000;
const ANSWER_MS = 20_000;

const clientProgram = path.resolve(path.dirname(fileURLToPath(import.meta.url)), '../fixtures/untrusted-clients.js');

const kinds = [
	{name: 'many-steps', clients: 40, what: 'submit jobs with as many steps as a body holds'},
	{name: 'many-units', clients: 40, what: 'submit small requests for jobs of 20,000 work units'},
	{name: 'many-valid-steps', clients: 40, what: 'submit jobs of 19,000 steps with one work unit each'},
	{name: 'long-strings', clients: 300, what: 'submit jobs with a label that fills the body'},
] as const;

const route = (name: string, isPublic: boolean) => ({
	name, host: 'desk.example', 'path-prefix': `/${name}/`, kind: 'non_idempotent', 'timeout-ms': 3000, 'target-latency-ms': 600, priority: 0, service: 'bench', 'max-attempts': 2, 'slack-factor': 1.6, public: isPublic,
});
const manifest = {
	version: 1,
	routes: [route('quotes', true), route('orders', false)],
	services: [{
		name: 'bench', 'health-path': '/healthz', 'max-conns': 64, protocol: 'h1', tls: false, 'admission-check': true, standby: false,
	}],
	limits: {
		'max-header-bytes': 16_384, 'max-body-bytes': 262_144, 'header-timeout-ms': 3000, 'idle-timeout-ms': 15_000,
	},
	tenants: [{
		name: 'desk', 'api-keys': ['key-desk'], priority: 0, weight: 25, cap: {cpu: 0, 'mem-mb': 0, gpu: 0},
	}],
};

describe('processes whose clients submit jobs of very many work units', {timeout: 118_000}, () => {
	const processes = createProcesses([keeper], entry, {
		tolerated: 0,
		nodeFlags: role => [`--max-old-space-size=${machines[role].oldSpaceMb}`, `--max-semi-space-size=${machines[role].semiSpaceMb}`],
		moreSettings: role => `limits: {memory-mb: ${machines[role].memoryMb}, max-fds: ${MAX_DESCRIPTORS}}`,
	});
	const programs = new Set<ChildProcess>();
	const hosts = [[keeper, 'keeper'], [entry, 'entry']] as const;
	let jobs = 0;
	let isStarted = false;

	const statusOf = async (method: string, at: string, body?: unknown): Promise<number> => {
		const answer = await request(method, entry, CALLER_PORT, {path: at, body, headers: {host: 'desk.example', 'x-api-key': 'key-desk'}});
		return answer.status;
	};

	/** Submits an ordinary job of a workspace, which must be accepted. */
	const submitOrdinary = async (): Promise<number> => {
		jobs += 1;
		return statusOf('POST', `/orders/${jobs.toString(16).padStart(16, '0')}`, {
			spec: 'ordinary', steps: [{
				count: 4, cpu: 500, 'mem-mb': 64, 'estimate-ms': 900,
			}],
		}).catch(() => 0);
	};

	// Each kind of client meets processes that run, whatever the kind before it did to them.
	beforeEach(async () => {
		if (!isStarted || hosts.some(([host]) => !processes.isRunning(host))) {
			for (const [host] of isStarted ? hosts : []) {
				await processes.end(host, 'SIGKILL');
				processes.wipe(host);
			}

			for (const [host, role] of hosts) {
				processes.start(host, role, true);
			}
		}

		isStarted = true;
		await until('the manifest is acknowledged', async () => {
			const answer = await processes.control(keeper, 'POST', '/Config.Replace', manifest);
			return answer.status === 200;
		});
		await until('an ordinary job is accepted', async () => await submitOrdinary() === 200);
	});

	after(async () => {
		for (const program of programs) {
			program.kill('SIGKILL');
		}

		await processes.stopAll();
	});

	for (const {name, clients, what} of kinds) {
		it(`should stay alive, within their memory and able to accept an ordinary job after clients ${what}`, async t => {
			const most = {entry: 0, keeper: 0};
			const sampler = setInterval(() => {
				for (const [host, role] of hosts.filter(([each]) => processes.isRunning(each))) {
					most[role] = Math.max(most[role], residentMbOf(processes.pid(host)!));
				}
			}, SAMPLE_MS);
			const program = spawn(process.execPath, [clientProgram, name, entry, String(CALLER_PORT), '/quotes/', String(clients), String(CLIENTS_MS)], {stdio: ['ignore', 'pipe', 'inherit']});
			programs.add(program);
			await once(program, 'exit');
			let status = 0;
			for (const endMs = Date.now() + ANSWER_MS; status !== 200 && Date.now() < endMs && processes.isRunning(entry);) {
				status = await submitOrdinary();
			}

			clearInterval(sampler);
			t.diagnostic(`${name}: entry alive ${processes.isRunning(entry)}, ${most.entry.toFixed(0)} of ${machines.entry.memoryMb} MB; keeper alive ${processes.isRunning(keeper)}, ${most.keeper.toFixed(0)} of ${machines.keeper.memoryMb} MB; ordinary job ${status}`);
			assert.ok(processes.isRunning(entry), 'the entry has ended');
			assert.ok(processes.isRunning(keeper), 'the keeper has ended');
			for (const [, role] of hosts) {
				assert.ok(most[role] < machines[role].memoryMb, `${most[role]} MB of ${machines[role].memoryMb} MB used by the ${role}`);
			}

			assert.equal(status, 200, 'an ordinary job is accepted');
		});
	}
});
