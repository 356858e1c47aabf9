/** The links between the processes of a soak; the relay runs in a thread of its own, so that the soak's other work delays no byte. */
import {fileURLToPath} from 'node:url';
import {
	isMainThread, parentPort, Worker, workerData,
} from 'node:worker_threads';
import {startRelay, type LinkEffect} from './relay.js';

type RelayAddress = {host: string; port: number; peerPort: number};
type Command = {type: 'begin'; id: number; effect: LinkEffect} | {type: 'end'; id: number} | {type: 'reset'; hosts: readonly string[]} | {type: 'silence'; host: string; other: string};

export type Links = Awaited<ReturnType<typeof startLinks>>;

/** Starts the thread of the relay. */
export const startLinks = async (address: RelayAddress) => {
	const thread = new Worker(fileURLToPath(import.meta.url), {workerData: address});
	await new Promise<void>((resolve, reject) => {
		thread.once('message', () => {
			resolve();
		});
		thread.once('error', reject);
	});
	let lastId = 0;
	const post = (command: Command): void => {
		thread.postMessage(command);
	};

	return {
		/** Begins an effect; returns a function that ends it. */
		begin(effect: LinkEffect): () => void {
			lastId += 1;
			const id = lastId;
			post({type: 'begin', id, effect});
			return () => {
				post({type: 'end', id});
			};
		},
		reset(hosts: readonly string[]): void {
			post({type: 'reset', hosts});
		},
		/** Makes the open connections between two hosts lose all that is sent from now on. */
		silence(host: string, other: string): void {
			post({type: 'silence', host, other});
		},
		async close(): Promise<void> {
			await thread.terminate();
		},
	};
};

if (!isMainThread && parentPort) {
	const relay = await startRelay(workerData as RelayAddress);
	parentPort.on('message', (command: Command) => {
		switch (command.type) {
			case 'begin': {
				relay.begin(command.id, command.effect);
				break;
			}

			case 'end': {
				relay.end(command.id);
				break;
			}

			case 'reset': {
				relay.reset(command.hosts);
				break;
			}

			case 'silence': {
				relay.silence(command.host, command.other);
				break;
			}
		}
	});
	parentPort.postMessage('listening');
}
