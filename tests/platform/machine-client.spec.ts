import assert from 'node:assert/strict';
import http from 'node:http';
import {describe, it} from 'node:test';
import {silentLogs} from '@bronzebend/daemon';
import {connectMachines} from '@bronzebend/platform/machine-client';

/** More machines than the client has connections. */
const MACHINES = Array.from({length: 20}, (_, index) => `m${index}`);

describe('machine client', () => {
	it('should not send orders that waited for a connection once their holder may no longer send them', async context => {
		const arrived: string[] = [];
		const held: http.ServerResponse[] = [];
		const sent: string[] = [];
		let leads = true;
		const server = http.createServer((req, res) => {
			let text = '';
			req.on('data', (chunk: Uint8Array) => {
				text += new TextDecoder().decode(chunk);
			});
			req.on('end', () => {
				arrived.push((JSON.parse(text) as {'host-machine': string})['host-machine']);
				if (leads) {
					held.push(res);
				} else {
					res.end();
				}
			});
		});
		context.after(() => {
			server.closeAllConnections();
			server.close();
		});
		await new Promise<void>(resolve => {
			server.listen(0, '127.0.0.1', resolve);
		});
		const {port} = server.address() as {port: number};
		const machines = connectMachines(`127.0.0.1:${port}`, silentLogs('test'));
		const orders = MACHINES.map(async machine => machines.move(machine, 'bench', {
			holder: 'one', fence: 1, maySend() {
				if (leads) {
					sent.push(machine);
				}

				return leads;
			},
		}));
		const allowed = machines.upkeep('always', 1, {holder: 'one', fence: 1, maySend: () => true});
		while (held.length === 0) {
			await new Promise(resolve => {
				setTimeout(resolve, 5);
			});
		}

		leads = false;
		for (const res of held) {
			res.end();
		}

		const results = await Promise.all(orders);
		assert.deepEqual(await allowed, {type: 'done'});
		assert.deepEqual(new Set(arrived), new Set([...sent, 'always']));
		assert.deepEqual(results.map(result => result.type), MACHINES.map(machine => (sent.includes(machine) ? 'done' : 'withheld')));
		assert.ok(sent.length < MACHINES.length);
	});

	// One odd entry made every list useless, so waves and moves stopped.
	it('should leave odd entries out of a list of machines and keep the others', async context => {
		const good = {
			'host-machine': 'm-1', pool: 'bench', state: 'up', zone: 'a', labels: ['a', 'r1'], capacity: {cpu: 4000, 'mem-mb': 1, gpu: 0}, id: 'i-1',
		};
		const deep = JSON.parse('['.repeat(50) + ']'.repeat(50)) as unknown;
		const odd = [null, 7, {}, {...good, state: 'resting'}, {...good, 'host-machine': 5}, {...good, capacity: {cpu: -1}}, {...good, labels: deep}];
		let isTooDeep = false;
		const server = http.createServer((_req, res) => {
			const list = JSON.stringify({machines: [...odd.slice(0, 3), good, ...odd.slice(3)], 'next-token': ''});
			res.end(isTooDeep ? list.replace('null', '['.repeat(100_000) + ']'.repeat(100_000)) : list);
		});
		context.after(() => {
			server.closeAllConnections();
			server.close();
		});
		await new Promise<void>(resolve => {
			server.listen(0, '127.0.0.1', resolve);
		});
		const {port} = server.address() as {port: number};
		const machines = connectMachines(`127.0.0.1:${port}`, silentLogs('test'));
		const list = await machines.list();
		assert.deepEqual([new Set(list?.unreadable), list?.machines.map(({name, workerId}) => [name, workerId])], [new Set(['m-1', undefined]), [['m-1', 'i-1']]]);
		isTooDeep = true;
		assert.equal(await machines.list(), undefined);
	});
});
