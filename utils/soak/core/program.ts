/**
Runs a program of a checkout inside a soak: sends its connections to other nodes through the relay of the soak,
and delays its syncs to disk, or refuses its writes, when the soak asks for it.

	node program.js MAIN ROLE
*/
import {mkdtemp, open, rm} from 'node:fs/promises';
import net from 'node:net';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {pathToFileURL} from 'node:url';
import {PROGRAM_VARIABLE, type ProgramMessage, type ProgramSettings} from './program-settings.js';

type Syncing = {sync(): Promise<void>; datasync(): Promise<void>};
type Writing = {appendFile(data: Uint8Array): Promise<void>; writeFile(data: Uint8Array): Promise<void>};

const relayConnections = ({self, peerPort, relay}: ProgramSettings): void => {
	const connect = net.connect.bind(net) as (options: net.TcpNetConnectOpts) => net.Socket;
	const connectToNode = (options: net.TcpNetConnectOpts): net.Socket => {
		if (options.port !== peerPort) {
			return connect(options);
		}

		const socket = connect(relay);
		socket.write(`${self} ${options.host}\n`);
		return socket;
	};

	net.connect = connectToNode as typeof net.connect;
};

const disturbDisk = async ({syncDelayMs}: ProgramSettings): Promise<void> => {
	let delayMs = syncDelayMs;
	let isFull = false;
	process.on('message', (message: ProgramMessage) => {
		if ('syncDelayMs' in message) {
			delayMs = message.syncDelayMs;
		} else {
			isFull = message.isDiskFull;
		}
	});
	const folder = await mkdtemp(path.join(os.tmpdir(), 'bronzebend-soak-'));
	const handle = await open(path.join(folder, 'any'), 'w');
	const methods = Object.getPrototypeOf(handle) as Syncing & Writing;
	await handle.close();
	await rm(folder, {recursive: true});

	const delayed = (undelayed: () => Promise<void>) => async function (this: Syncing) {
		if (delayMs > 0) {
			await new Promise(resolve => {
				setTimeout(resolve, delayMs);
			});
		}

		await undelayed.call(this);
	};

	methods.sync = delayed(methods.sync);
	methods.datasync = delayed(methods.datasync);

	const limited = (unlimited: (data: Uint8Array) => Promise<void>) => async function (this: Writing, data: Uint8Array) {
		if (isFull) {
			throw Object.assign(new Error('ENOSPC: no space left on device, write'), {code: 'ENOSPC'});
		}

		await unlimited.call(this, data);
	};

	methods.appendFile = limited(methods.appendFile);
	methods.writeFile = limited(methods.writeFile);
};

const settings = process.env[PROGRAM_VARIABLE];
if (settings !== undefined) {
	const parsed = JSON.parse(settings) as ProgramSettings;
	relayConnections(parsed);
	await disturbDisk(parsed);
	// The program reads its role where it would stand without this wrapper.
	process.argv.splice(1, 1);
	await import(pathToFileURL(process.argv[1]!).href);
}
