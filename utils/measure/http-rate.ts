/**
Requests per second of the HTTP server of an entry, and its processor time for each: `http-rate.js MAIN... [--runs N]`.

Each MAIN is a built `platform/lib/main.js`; the runs of all of them alternate. The requests are GET of the readiness address, and POST of a
1 KB body that the callers' server rejects after it has read it, each on 32 connections for 3 seconds.
*/
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {mkdtempSync, readFileSync, writeFileSync} from 'node:fs';
import net from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {parseArgs} from 'node:util';

const HOST = '127.0.98.1';
const READY_PORT = 17_441;
const CALLER_PORT = 17_442;
const CONNECTIONS = 32;
const WARM_UP_MS = 1000;
const RUN_MS = 3000;
const TICKS_PER_SECOND = 100;
const SECOND_MS = 1000;

const requests = [
	{name: 'GET', port: READY_PORT, text: 'GET /readyz HTTP/1.1\r\nhost: desk\r\n\r\n'},
	{name: 'POST', port: CALLER_PORT, text: `POST /quotes/0000000000000001 HTTP/1.1\r\nhost: desk\r\ncontent-length: 1024\r\n\r\n${'x'.repeat(1024)}`},
];

const pause = async (milliseconds: number): Promise<void> => new Promise(resolve => {
	setTimeout(resolve, milliseconds);
});

const settings = `
node-name: "measured"
ip: "${HOST}"
zone: "a"
listen: {frontend: "${HOST}:${CALLER_PORT}", readiness: "${HOST}:${READY_PORT}"}
internal-ports: [17443, 17452]
seeds: ["${HOST}:17450"]
`;

const processorSeconds = (pid: number): number => {
	const stat = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]!.split(' ');
	return (Number(stat[11]) + Number(stat[12])) / TICKS_PER_SECOND;
};

const accepts = async (port: number): Promise<boolean> => new Promise(resolve => {
	const socket = net.connect({host: HOST, port});
	socket.on('connect', () => {
		socket.destroy();
		resolve(true);
	});
	socket.on('error', () => {
		resolve(false);
	});
});

/** Sends requests one after another on each connection and counts the answers until `stop`. */
const startLoad = ({port, text}: typeof requests[number]) => {
	let answers = 0;
	const sockets = Array.from({length: CONNECTIONS}, () => {
		const socket = net.connect({host: HOST, port, noDelay: true});
		socket.on('data', () => {
			answers += 1;
			socket.write(text);
		});
		socket.write(text);
		return socket;
	});
	return {
		answers: () => answers,
		stop(): void {
			for (const socket of sockets) {
				socket.destroy();
			}
		},
	};
};

const measure = async (main: string): Promise<string> => {
	const file = path.join(mkdtempSync(path.join(tmpdir(), 'bronzebend-http-rate-')), 'settings.yaml');
	writeFileSync(file, settings);
	const child = spawn(process.execPath, ['--max-old-space-size=96', '--max-semi-space-size=2', main, 'entry'], {
		stdio: ['ignore', 'ignore', 'inherit'],
		env: {
			...process.env, BRONZEBEND_CONFIG: file, BRONZEBEND_SECRET: 'a secret of this measurement', BRONZEBEND_LOG_LEVEL: 'error',
		},
	});
	while (!await accepts(CALLER_PORT) || !await accepts(READY_PORT)) {
		await pause(100);
	}

	const results: string[] = [];
	for (const request of requests) {
		const load = startLoad(request);
		// The measurements run one after another.
		await pause(WARM_UP_MS);
		const before = {answers: load.answers(), seconds: processorSeconds(child.pid!)};
		await pause(RUN_MS);
		const answers = load.answers() - before.answers;
		const seconds = processorSeconds(child.pid!) - before.seconds;
		load.stop();
		results.push(`${request.name} ${Math.round(answers * SECOND_MS / RUN_MS)}/s, ${(seconds * 1e6 / answers).toFixed(1)} us each`);
	}

	const exit = once(child, 'exit');
	child.kill('SIGKILL');
	await exit;
	return results.join('; ');
};

const {positionals, values} = parseArgs({allowPositionals: true, options: {runs: {type: 'string', default: '5'}}});
for (let run = 0; run < Number(values.runs); run += 1) {
	for (const main of positionals) {
		console.log(`${run + 1} ${main}: ${await measure(path.resolve(main))}`);
	}
}
