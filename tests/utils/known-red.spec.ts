import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {checkRun, listedTests} from '@bronzebend/utils/known-red';

const list = `- test: tests/a.spec.ts, "should hold"; command: npm test
  seen: once. issue: 1
- test: score on a site, day scale-1; command: fleetbench replay SITE scale-1
  seen: a floor was missed. issue: 2
`;
const failed = (file: string, name: string): string => JSON.stringify({type: 'failed', file, name});
const end = JSON.stringify({type: 'end', passed: 3});
const report = (...lines: string[]): string => lines.map(line => `${line}\n`).join('');

describe('the list of known failures', () => {
	it('should return the listed tests and ignore other entries', () => {
		assert.deepEqual(listedTests(list), [{file: 'tests/a.spec.ts', name: 'should hold'}]);
	});

	it('should pass a run over whose failures are all listed, and print them', () => {
		const verdict = checkRun(list, report(failed('tests/a.spec.ts', 'should hold'), end));
		assert.deepEqual(verdict, {passes: true, lines: ['Known red, failed and passed over: tests/a.spec.ts, "should hold"']});
	});

	it('should print a listed test that did not fail', () => {
		assert.deepEqual(checkRun(list, report(end)), {passes: true, lines: ['Known red, did not fail this time: tests/a.spec.ts, "should hold"']});
	});

	it('should fail a run with a failure that is not listed, also of the same name elsewhere', () => {
		for (const other of [failed('tests/b.spec.ts', 'should hold'), failed('tests/a.spec.ts', 'should hold too')]) {
			assert.equal(checkRun(list, report(other, end)).passes, false);
		}
	});

	it('should fail a run that did not finish, or ran no test', () => {
		assert.equal(checkRun(list, report()).passes, false);
		assert.equal(checkRun(list, report(JSON.stringify({type: 'end', passed: 0}))).passes, false);
	});
});
