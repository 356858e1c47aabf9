import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {createMovableMachines, type MoveAnswer, type StartMachine} from '../../fixtures/movable-machines.js';

const machinesOf = (pool: string, kind: string, count: number, changes: Partial<StartMachine> = {}): StartMachine[] => Array.from({length: count}, (_, index) => ({
	name: `${pool}-${kind}${index}${changes.listedUntilMs === undefined ? '' : '-gone'}`, pool, kind, ...changes,
}));

/** Machines that run in the pool `bench` after a time in milliseconds. */
const benchAfter = async (milliseconds: number, options: Parameters<typeof createMovableMachines>[0]): Promise<{count: number; moves: Array<{machine: string; to: string; atMs: number}>}> => {
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

	// Guards against machines that are switched on where no work may start, and against a pool that counts them as its capacity.
	it('should be sent machines of other data centres while its own is evacuated', async () => {
		const inZone = (zone: string, pool: string, count: number): StartMachine[] => Array.from({length: count}, (_, index) => ({
			name: `${pool}-${zone}${index}`, pool, kind: 'a', zone,
		}));
		const group = createMovableMachines({
			needed: 5, machines: [...inZone('a', 'bench', 6), ...inZone('a', 'spare', 6), ...inZone('a', 'desk', 3), ...inZone('b', 'spare', 6), ...inZone('b', 'desk', 3)],
		});
		try {
			await group.pass(1000);
			const before = group.moves.length;
			group.store.apply({type: 'evacuate', dataCentre: 'a', atMs: 1});
			const room = group.roomOf('bench');
			await group.pass(8000);
			const moves = group.moves.slice(before);
			const ofZone = (zone: string) => moves.filter(({machine}) => machine.includes(`-${zone}`));
			assert.deepEqual([room?.present.cpu, room?.obtainable.cpu], [0, 9 * 4000], 'of the evacuated data centre nothing counts, of the other its machines in standby and its idle ones');
			assert.deepEqual([...new Set(ofZone('a').map(({to}) => to))], ['spare']);
			assert.equal(new Set(ofZone('a').map(({machine}) => machine)).size, 9, 'idle machines there are switched off');
			assert.ok(ofZone('b').filter(({to}) => to === 'bench').length >= 5, JSON.stringify(moves));
			group.store.apply({type: 'end-evacuation', dataCentre: 'a', atMs: 2});
			const withdrawn = group.moves.length;
			group.store.apply({type: 'evacuate', dataCentre: 'b', atMs: 3});
			await group.pass(8000);
			assert.ok(group.moves.slice(withdrawn).some(({machine, to}) => machine.includes('-a') && to === 'bench'), 'used again after the withdrawal');
		} finally {
			group.stop();
		}
	});

	/** Share of the fleet that another pool may keep. */
	const KEPT_SHARE = 0.15;

	type Trouble = {answer: MoveAnswer; fromMs: number; forMs: number; share: number};

	const machine = fc.record({pool: fc.constantFrom('spare', 'spare', 'desk', 'bench'), kind: fc.constantFrom('a', 'a', 'b'), goneForMs: fc.option(fc.integer({min: 500, max: 3000}), {freq: 5})});
	// The platform takes a move for impossible only as long as its lists may be out of date.
	const trouble: fc.Arbitrary<Trouble> = fc.oneof(
		fc.record({
			answer: fc.constant<MoveAnswer>('impossible'), fromMs: fc.integer({min: 0, max: 4000}), forMs: fc.integer({min: 0, max: 3000}), share: fc.double({min: 0, max: 1, noNaN: true}),
		}),
		fc.record({
			answer: fc.constantFrom<MoveAnswer>('busy', 'silent', 'throttled'), fromMs: fc.integer({min: 0, max: 4000}), forMs: fc.integer({min: 0, max: 8000}), share: fc.double({min: 0, max: 1, noNaN: true}),
		}),
	);

	it('should get them within 6 s after the last trouble, whatever was refused or not answered before', async () => {
		await fc.assert(fc.asyncProperty(fc.array(machine, {minLength: 8, maxLength: 30}), fc.array(trouble, {maxLength: 4}), fc.integer({min: 2, max: 12}), fc.boolean(), async (entries, troubles, needed, takesB) => {
			const machines: StartMachine[] = entries.map(({pool, kind, goneForMs}, index) => ({
				name: `m${index}`, pool, kind, listedUntilMs: goneForMs === null ? undefined : 1000 + goneForMs,
			}));
			const answer = ({name, kind}: StartMachine, pool: string, nowMs: number): MoveAnswer => {
				const current = troubles.find(({fromMs, forMs, share}) => nowMs >= 1000 + fromMs && nowMs < 1000 + fromMs + forMs && Number(name.slice(1)) < share * machines.length);
				return current?.answer ?? (kind === 'b' && pool === 'bench' && !takesB ? 'impossible' : 'done');
			};

			const real = machines.filter(({listedUntilMs}) => listedUntilMs === undefined);
			const taken = real.filter(({pool, kind}) => pool !== 'bench' && (kind === 'a' || takesB)).length;
			const least = Math.min(needed, real.filter(({pool}) => pool === 'bench').length + Math.max(0, taken - Math.max(1, Math.round(machines.length * KEPT_SHARE))));
			const overMs = Math.max(3000, ...troubles.map(({fromMs, forMs}) => fromMs + forMs));
			const {count, moves} = await benchAfter(overMs + 6000, {machines, needed, answer});
			assert.ok(count >= least, `${count} of ${least} workers; moves ${moves.map(({machine, to, atMs}) => `${atMs} ${machine} ${to}`).join(', ')}`);
		}), {seed: 45, numRuns: 60});
	});
});
