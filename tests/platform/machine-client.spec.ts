import assert from 'node:assert/strict';
import http from 'node:http';
import {describe, it} from 'node:test';
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
		const machines = connectMachines(`127.0.0.1:${port}`);
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
});
