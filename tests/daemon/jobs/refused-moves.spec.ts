import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createMovableMachines, type StartMachine} from '../../fixtures/movable-machines.js';

const machinesOf = (pool: string, kind: string, count: number, changes: Partial<StartMachine> = {}): StartMachine[] => Array.from({length: count}, (_, index) => ({
	name: `${pool}-${kind}${index}${changes.listedUntilMs === undefined ? '' : '-gone'}`, pool, kind, ...changes,
}));

/** Machines that run in the pool `bench` after a time in milliseconds. */
const benchAfter = async (milliseconds: number, options: Parameters<typeof createMovableMachines>[0]): Promise<{count: number; moves: Array<{machine: string; to: string}>}> => {
	const machines = createMovableMachines(options);
	await machines.pass(milliseconds);
	machines.stop();
	return {count: machines.countIn('bench'), moves: machines.moves};
};

describe('a pool that lacks workers', () => {
	it('should get machines of a kind of which another machine does not exist any more', async () => {
		const {count} = await benchAfter(5000, {
			needed: 5, machines: [...machinesOf('spare', 'a', 2, {listedUntilMs: 2000}), ...machinesOf('spare', 'a', 6)],
		});
		assert.equal(count, 5);
	});

	it('should get machines although the first ones in the list answer that they are busy', async () => {
		const {count} = await benchAfter(5000, {
			needed: 5, machines: machinesOf('spare', 'a', 9), answer: ({name}) => (['spare-a0', 'spare-a1', 'spare-a2'].includes(name) ? 'busy' : 'done'),
		});
		assert.equal(count, 5);
	});

	it('should get other machines while moves are not answered', async () => {
		const {count} = await benchAfter(6000, {
			needed: 5, machines: machinesOf('spare', 'a', 12), answer: (_machine, _pool, nowMs) => (nowMs < 2500 ? 'silent' : 'done'),
		});
		assert.equal(count, 5);
	});

	it('should not be sent machines of a kind that it does not take again and again', async () => {
		const {count, moves} = await benchAfter(60_000, {
			needed: 5, machines: [...machinesOf('spare', 'b', 20), ...machinesOf('spare', 'a', 4)], answer: ({kind}, pool) => (kind === 'b' && pool === 'bench' ? 'impossible' : 'done'),
		});
		assert.equal(count, 4);
		const refused = moves.filter(({machine, to}) => machine.startsWith('spare-b') && to === 'bench').length;
		assert.ok(refused <= 12, `${refused} refused moves`);
	});
});
