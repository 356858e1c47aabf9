import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {createMemberModel, type MemberEvent} from '../fixtures/member-model.js';

const event: fc.Arbitrary<MemberEvent> = fc.record({
	what: fc.constantFrom<Array<MemberEvent['what']>>('cut', 'restart', 'wipe', 'replace', 'replace-planned'),
	machine: fc.nat(11),
	forMs: fc.integer({min: 1, max: 80}).map(tenths => tenths * 100),
	gapMs: fc.integer({min: 0, max: 60}).map(tenths => tenths * 100),
});

describe('the members of a replica group', () => {
	// Guards against votes that stay with machines that are gone, and live machines without one, whatever the order of events was.
	it('should keep a quorum under all losses that the deployment tolerates, and be the machines that are up in the end', () => {
		fc.assert(fc.property(fc.array(event, {minLength: 1, maxLength: 14}), events => {
			const model = createMemberModel();
			for (const each of events) {
				model.play(each);
			}

			model.settle();
			assert.deepEqual(model.voters(), model.running());
			assert.equal(model.members(), model.running().length);
		}), {seed: 51, numRuns: 3000});
	});
});
