/**
Runs a program of a checkout inside a soak: sends its connections to other nodes through the relay of the soak,
and delays its syncs to disk when the soak asks for it.

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

const delaySyncs = async (): Promise<void> => {
	let delayMs = 0;
	process.on('message', (message: ProgramMessage) => {
		delayMs = message.syncDelayMs;
	});
	const folder = await mkdtemp(path.join(os.tmpdir(), 'bronzebend-soak-'));
	const handle = await open(path.join(folder, 'any'), 'w');
	const methods = Object.getPrototypeOf(handle) as Syncing;
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
};

const settings = process.env[PROGRAM_VARIABLE];
if (settings !== undefined) {
	relayConnections(JSON.parse(settings) as ProgramSettings);
	await delaySyncs();
	// The program reads its role where it would stand without this wrapper.
	process.argv.splice(1, 1);
	await import(pathToFileURL(process.argv[1]!).href);
}
