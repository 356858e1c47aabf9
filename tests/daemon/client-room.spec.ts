import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {chooseForRoom, defaultClientLimits} from '@bronzebend/daemon';
import fc from 'fast-check';

type Candidate = {id: number; address: string; isServed: boolean; held: number; stepMs: number};

const held = (candidate: Candidate): number => candidate.held;
const step = (candidate: Candidate): number => candidate.stepMs;
const candidate = (id: number, address: string, amount: number, more: Partial<Candidate> = {}): Candidate => ({
	id, address, isServed: false, held: amount, stepMs: id, ...more,
});

describe('the connection that is closed for room', () => {
	// Guards against ordinary callers that pay for a client with many connections.
	it('should be of the address that holds the most in total', () => {
		const candidates = [candidate(1, 'a', 50), candidate(2, 'b', 30), candidate(3, 'b', 30)];
		assert.equal(chooseForRoom(candidates, held, step)?.id, 2);
	});

	// Guards against closing connections that make progress, where all callers come through one load balancer.
	it('should be the one with the least progress of its address, whatever it holds', () => {
		const candidates = [candidate(1, 'a', 1, {stepMs: 9}), candidate(2, 'a', 80, {stepMs: 8}), candidate(3, 'a', 5, {stepMs: 7})];
		assert.equal(chooseForRoom(candidates, held, step)?.id, 3);
	});

	// Guards against cutting the answer of an accepted job while another connection can be closed.
	it('should not wait for this process if another one of its address does not', () => {
		const candidates = [candidate(1, 'a', 5, {isServed: true, stepMs: 0}), candidate(2, 'a', 5, {stepMs: 9})];
		assert.equal(chooseForRoom(candidates, held, step)?.id, 2);
		assert.equal(chooseForRoom(candidates.slice(0, 1), held, step)?.id, 1);
	});

	// Guards against closing connections to no effect.
	it('should hold something', () => {
		assert.equal(chooseForRoom([candidate(1, 'a', 0), candidate(2, 'b', 0)], held, step), undefined);
		assert.equal(chooseForRoom([candidate(1, 'a', 0), candidate(2, 'a', 1)], held, step)?.id, 2);
	});

	it('should follow the rules among any connections', () => {
		const any = fc.array(fc.record({
			id: fc.nat(), address: fc.constantFrom('a', 'b', 'c'), isServed: fc.boolean(), held: fc.nat(20), stepMs: fc.nat(20),
		}), {maxLength: 12});
		fc.assert(fc.property(any, candidates => {
			const chosen = chooseForRoom(candidates, held, step);
			const total = (address: string): number => candidates.filter(other => other.address === address).reduce((sum, other) => sum + other.held, 0);
			if (!chosen) {
				assert.ok(candidates.every(other => other.held === 0));
				return;
			}

			assert.ok(chosen.held > 0);
			assert.ok(candidates.every(other => total(other.address) <= total(chosen.address)));
			const rivals = candidates.filter(other => other.address === chosen.address && other.held > 0);
			assert.ok(rivals.every(other => chosen.isServed ? other.isServed && other.stepMs >= chosen.stepMs : other.isServed || other.stepMs >= chosen.stepMs));
		}));
	});
});

describe('the limits of clients', () => {
	// Guards against limits that use up the descriptors of the smallest machines, or refuse a client within its own limits.
	it('should leave descriptors for files and other connections, and room for the longest body', () => {
		for (const [memoryMb, maxFds] of [[250, 4100], [346, 4096]] as const) {
			const limits = defaultClientLimits({memoryMb, maxFds});
			assert.ok(limits.connections <= maxFds - 200 - 512);
			assert.ok(limits.bodyBytes >= 16 * 262_144 * 2);
			assert.ok(limits.bodyBytes <= memoryMb * 1_048_576 / 8);
			assert.ok(limits.requests >= 1000);
		}
	});
});
