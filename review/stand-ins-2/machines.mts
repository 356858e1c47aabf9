/* eslint-disable @typescript-eslint/no-unsafe-call, @typescript-eslint/no-unsafe-assignment, @typescript-eslint/no-unsafe-argument, @typescript-eslint/no-unsafe-return -- plain script without types */

/** A sound stand-in of the platform's machine service: lists machines, and carries out moves and upkeep. */

import {listen, pause} from './http.mjs';

const UPKEEP_MS = 2000;
const MOVE_MS = 1500;

/**
@param options.machines Machines with `name`, `pool` and `capacity`; `boot` starts a new life and returns its worker, `worker` is the present one.
@param options.alterList Changes the entries of a list before it is sent.
@param options.delayMs Returns how long the service takes over an order before it carries it out.
*/
export const startMachines = async ({address, machines, standby = [], waves, onEvent = () => undefined, alterList = entries => entries, delayMs = () => 0}) => {
	const states = new Map(machines.map(machine => [machine.name, {state: 'up', done: new Set()}]));

	const list = () => machines.map(machine => {
		const {state} = states.get(machine.name);
		return {
			'host-machine': machine.name, pool: machine.pool, state, zone: 'bern-a', labels: ['a', machine.rack], capacity: machine.capacity, id: state === 'up' && machine.worker ? machine.worker.id : '',
		};
	});

	const away = async (machine, state, forMs) => {
		const known = states.get(machine.name);
		known.state = state;
		await machine.worker?.end();
		machine.worker = undefined;
		await pause(forMs);
		known.state = 'up';
		onEvent({what: `${state} over`, machine: machine.name});
		if (!standby.includes(machine.pool)) {
			machine.worker = await machine.boot();
		}
	};

	const reject = reason => ({status: 409, body: {reason}});

	const order = (path, body) => {
		const machine = machines.find(each => each.name === body['host-machine']);
		if (!machine) {
			return {status: 400};
		}

		const known = states.get(machine.name);
		if (path === '/machine-move') {
			if (machine.pool === body.pool) {
				return {status: 200};
			}

			if (known.state !== 'up') {
				return reject('busy');
			}

			machine.pool = body.pool;
			onEvent({what: 'moving', machine: machine.name, pool: body.pool});
			void away(machine, 'moving', MOVE_MS);
			return {status: 200};
		}

		const wave = body['rollout-wave'];
		if (known.done.has(wave)) {
			return {status: 200};
		}

		if (!waves.get(wave)?.includes(machine.name)) {
			return reject('wave');
		}

		if (known.state !== 'up') {
			return reject('busy');
		}

		known.done.add(wave);
		onEvent({what: 'upkeep', machine: machine.name, wave});
		void away(machine, 'upkeep', UPKEEP_MS);
		return {status: 200};
	};

	const server = await listen(address, async ({method, path, headers, body}) => {
		if (method === 'GET') {
			return {status: 200, body: {machines: alterList(list()), 'next-token': ''}};
		}

		onEvent({
			what: 'order', path, body, holder: headers['x-duty-holder'], fence: headers['x-fencing-token'],
		});
		await pause(delayMs(path, body));
		const answer = order(path, body);
		return answer;
	});

	return {
		stateOf: name => states.get(name).state,
		hasBegun: (name, wave) => states.get(name).done.has(wave),
		close: server.close,
	};
};
