/** Runs real processes of this project on loopback addresses. */
import {type ChildProcess, spawn} from 'node:child_process';
import {
	mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {
	CONTROL_PORT, REPORT_MS, request, type Answer,
} from './platform-stand-ins.js';

const root = path.resolve(path.dirname(fileURLToPath(import.meta.url)), '../..');
const PEER_PORT = 17_400;
/** Port of the callers' server of an entry. */
export const CALLER_PORT = 17_420;
/** Port of the readiness server of an entry. */
export const READY_PORT = 17_421;

type Role = 'entry' | 'keeper';

/** What differs from the usual start of a process: the node flags, lines for its settings file, and how many machines may fail at once. */
export type ProcessOptions = {nodeFlags?(role: Role): string[]; moreSettings?(role: Role): string; tolerated?: number};

const settingsOf = ({host, folder, role, seeds, isFirst}: {host: string; folder: string; role: Role; seeds: string[]; isFirst: boolean}, {moreSettings, tolerated = 1}: ProcessOptions): string => `
node-name: "${role}-${host}"
ip: "${host}"
zone: "a"
listen:
${role === 'entry' ? `  frontend: "${host}:${CALLER_PORT}"\n  readiness: "${host}:${READY_PORT}"` : `  control-plane: "${host}:${CONTROL_PORT}"`}
internal-ports: [${PEER_PORT}, ${PEER_PORT + 9}]
seeds: [${seeds.map(seed => `"${seed}:${CONTROL_PORT}"`).join(', ')}]
bootstrap: ${isFirst}
data-dir: ${role === 'keeper' ? `"${folder}"` : 'null'}
heartbeat-ms: ${REPORT_MS}
fault-tolerance: {machines: ${tolerated}}
bounds: {hold-max-ms: 5000, lease-ms: 300, grace-s: 4}
a-field-of-tomorrow: 1
${moreSettings?.(role) ?? ''}
`;

/** Runs real processes on loopback addresses. */
export const createProcesses = (keepers: string[], entry: string, options: ProcessOptions = {}) => {
	const folder = mkdtempSync(path.join(tmpdir(), 'bronzebend-platform-'));
	const children = new Map<string, ChildProcess>();

	const killAll = (): void => {
		for (const child of children.values()) {
			child.kill('SIGKILL');
		}
	};

	/** Ends the children with this process: the test runner ends a file that takes too long, and then waits for all that write to its output. */
	const onEnded = (): void => {
		killAll();
		process.kill(process.pid, 'SIGTERM');
	};

	process.once('SIGTERM', onEnded);

	const start = (host: string, role: Role, isFirst: boolean): void => {
		const data = path.join(folder, `data-${host}`);
		mkdirSync(data, {recursive: true});
		const file = path.join(folder, `${host}.yaml`);
		writeFileSync(file, settingsOf({
			host, folder: data, role, seeds: keepers, isFirst,
		}, options));
		const child = spawn(process.execPath, [...(options.nodeFlags?.(role) ?? []), path.join(root, 'platform/lib/main.js'), role], {
			stdio: ['ignore', 'pipe', 'inherit'],
			env: {...process.env, BRONZEBEND_CONFIG: file, BRONZEBEND_SECRET: 'a secret of this test'},
		});
		child.stdout.on('data', (chunk: Uint8Array) => {
			writeFileSync(path.join(folder, `${host}.log`), chunk, {flag: 'a'});
		});
		children.set(host, child);
	};

	const exited = async (host: string): Promise<void> => {
		const child = children.get(host)!;
		if (child.exitCode === null && child.signalCode === null) {
			await new Promise(resolve => {
				child.once('exit', resolve);
			});
		}
	};

	const callAt = async (host: string, method: string, at: string, body?: unknown, key?: string): Promise<Answer> => request(method, host, CALLER_PORT, {path: at, body, headers: {host: 'desk.example', ...(key === undefined ? {} : {'x-api-key': key})}});

	return {
		start,
		callAt,
		/** Sends a signal to a process and does not wait for an effect. */
		signal(host: string, signal: 'SIGSTOP' | 'SIGCONT'): void {
			children.get(host)!.kill(signal);
		},
		pid: (host: string): number | undefined => children.get(host)!.pid,
		/** Whether a process runs, that is, was started and has not ended. */
		isRunning(host: string): boolean {
			const child = children.get(host);
			return child?.exitCode === null && child.signalCode === null;
		},
		exitCode: (host: string): number | null => children.get(host)!.exitCode,
		/** Sends a signal to a process and waits until it has exited. */
		async end(host: string, signal: 'SIGKILL' | 'SIGTERM'): Promise<void> {
			children.get(host)!.kill(signal);
			await exited(host);
		},
		/** Empties the data folder of a process that has exited. */
		wipe(host: string): void {
			rmSync(path.join(folder, `data-${host}`), {recursive: true, force: true});
		},
		log: (host: string): string => readFileSync(path.join(folder, `${host}.log`), 'utf8'),
		async stopAll(): Promise<void> {
			process.off('SIGTERM', onEnded);
			killAll();
			await Promise.all([...children.keys()].map(async host => exited(host)));
			rmSync(folder, {recursive: true, force: true});
		},
		control: async (host: string, method: string, at: string, body?: unknown): Promise<Answer> => request(method, host, CONTROL_PORT, {path: at, body}),
		call: async (method: string, at: string, body?: unknown, key?: string): Promise<Answer> => callAt(entry, method, at, body, key),
		async ready(): Promise<number> {
			const answer = await request('GET', entry, READY_PORT, {path: '/readyz'});
			return answer.status;
		},
	};
};
