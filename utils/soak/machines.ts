/** Stand-in for the platform's list of machines, with moves and upkeep. */
import http from 'node:http';
import type {SoakWorker} from './worker.js';

type MachineState = {state: 'up' | 'moving' | 'upkeep' | 'down'; fence: number; wave?: number; pool: string};

/** Times of an upkeep and a move, in milliseconds. */
const UPKEEP_MS = 2000;
const MOVE_MS = 1500;

export type Machines = Awaited<ReturnType<typeof startMachines>>;

/** Starts the service; `standby` is the pool whose machines are off. */
export const startMachines = async ({host, port, workers, standby, describe, nextId, waves, record}: {
	host: string; port: number; workers: readonly SoakWorker[]; standby: string;
	describe(worker: SoakWorker): Record<string, unknown>;
	nextId(worker: SoakWorker): string;
	/** Machines of each wave. */
	waves: ReadonlyMap<number, readonly string[]>;
	record(who: string, what: string, detail: Record<string, unknown>): void;
}) => {
	const byName = new Map(workers.map(worker => [worker.machine, worker]));
	const states = new Map<string, MachineState>(workers.map(worker => [worker.machine, {state: 'up', fence: 0, pool: worker.pool()}]));

	const list = () => workers.map(worker => {
		const {state, pool} = states.get(worker.machine)!;
		return {
			'host-machine': worker.machine, pool, state, id: state === 'up' && pool !== standby ? worker.id() : '', ...describe(worker),
		};
	});

	const reject = (reason: string) => ({status: 409, body: {reason}});

	const away = (worker: SoakWorker, known: MachineState, state: 'moving' | 'upkeep', forMs: number): void => {
		known.state = state;
		worker.crash();
		setTimeout(() => {
			known.state = 'up';
			if (known.pool !== standby) {
				worker.boot(nextId(worker), known.pool);
			}
		}, forMs);
	};

	const order = (call: string, body: Record<string, unknown>, fence: number): {status: number; body: unknown} => {
		const name = String(body['host-machine']);
		const worker = byName.get(name);
		const known = states.get(name);
		if (!worker || !known) {
			return {status: 400, body: {}};
		}

		if (fence < known.fence) {
			return reject('fence');
		}

		known.fence = fence;
		switch (call) {
			case '/machine-move': {
				if (known.pool === body.pool) {
					return {status: 200, body: {}};
				}

				if (known.state !== 'up') {
					return reject('busy');
				}

				known.pool = String(body.pool);
				away(worker, known, 'moving', MOVE_MS);
				return {status: 200, body: {}};
			}

			case '/machine-upkeep': {
				const wave = Number(body['rollout-wave']);
				if (known.wave === wave) {
					return {status: 200, body: {}};
				}

				if (!waves.get(wave)?.includes(name)) {
					return reject('wave');
				}

				if (known.state !== 'up') {
					return reject('busy');
				}

				known.wave = wave;
				away(worker, known, 'upkeep', UPKEEP_MS);
				return {status: 200, body: {}};
			}

			default: {
				return {status: 404, body: {}};
			}
		}
	};

	const server = http.createServer((req, res) => {
		let text = '';
		req.setEncoding('utf8');
		req.on('data', (chunk: string) => {
			text += chunk;
		});
		req.on('end', () => {
			const url = req.url ?? '';
			const isList = req.method === 'GET' && url.startsWith('/machines');
			const body = isList ? {} : JSON.parse(text) as Record<string, unknown>;
			const answer = isList ? {status: 200, body: {machines: list(), 'next-token': ''}} : order(url, body, Number(req.headers['x-fencing-token'] ?? 0));
			if (!isList) {
				record('platform', 'order', {
					call: url, body, holder: req.headers['x-duty-holder'], status: answer.status, answer: answer.body,
				});
			}

			res.writeHead(answer.status, {'content-type': 'application/json'}).end(JSON.stringify(answer.body));
		});
	});
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, host, resolve);
	});

	return {
		/** Marks a machine as lost for good. */
		lost(worker: SoakWorker): void {
			states.get(worker.machine)!.state = 'down';
		},
		/** Whether a fault may end or begin a life on the machine now. */
		isUp: (worker: SoakWorker): boolean => worker.isUp() && states.get(worker.machine)!.state === 'up',
		close(): void {
			server.closeAllConnections();
			server.close();
		},
	};
};
