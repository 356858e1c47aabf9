import assert from 'node:assert/strict';
import {spawnSync} from 'node:child_process';
import process from 'node:process';
import {describe, it} from 'node:test';
import {
	BronzebendError, chainMs, checkOrder, JobOrderError,
} from '@bronzebend/core';
import {decodeAnnouncement, decodeLeave} from '@bronzebend/platform/announcement-format';
import {MessageError} from '@bronzebend/platform/decoding';
import {decodeJob} from '@bronzebend/platform/job-format';
import {decodeManifest} from '@bronzebend/platform/manifest-format';
import fc from 'fast-check';
import {orderOf, stepOf} from '../fixtures/job-fixtures.js';

/** Longest text of an error, in characters; it goes to a log line and to the sender. */
const MAX_ERROR_LENGTH = 1000;

const decoders: Record<string, (text: string) => unknown> = {
	job: decodeJob, manifest: decodeManifest, report: text => decodeAnnouncement('i-1', text, Date.now()), leave: decodeLeave,
};

const repeated = (before: string, item: string, after: string, bytes: number): string => `${before}${Array.from({length: Math.floor(bytes / (item.length + 1))}, () => item).join(',')}${after}`;

/** Bodies as long as the servers accept, which hold as many faults as fit. */
const hostile: Array<[string, string, string]> = [
	['job', 'steps that are numbers', repeated('{"steps":[', '0', ']}', 262_000)],
	['job', 'steps without fields', repeated('{"steps":[', '{}', ']}', 262_000)],
	['job', 'dependencies that are texts', repeated('{"steps":[{"count":1,"depends-on":[', '""', ']}]}', 262_000)],
	['manifest', 'routes that are numbers', repeated('{"version":1,"services":[],"limits":{"max-body-bytes":1},"routes":[', '0', ']}', 4_000_000)],
	['manifest', 'keys that are numbers', repeated('{"version":1,"services":[],"limits":{"max-body-bytes":1},"routes":[],"tenants":[{"name":"a","weight":1,"api-keys":[', '0', ']}]}', 4_000_000)],
	['report', 'labels that are numbers', repeated('{"labels":[', '0', ']}', 4_000_000)],
];

describe('a malformed message', () => {
	for (const [kind, what, text] of hostile) {
		it(`should be rejected with a short error: a ${kind} with ${what}`, () => {
			assert.throws(() => decoders[kind]!(text), error => error instanceof MessageError && error.message.length <= MAX_ERROR_LENGTH);
		});
	}

	for (const [kind, decodeText] of Object.entries(decoders)) {
		it(`should be rejected if it is nested very deeply: a ${kind}`, () => {
			for (const text of ['['.repeat(4_000_000), `${'{"a":['.repeat(500_000)}${']}'.repeat(500_000)}`, `{"labels":${'['.repeat(100)}${']'.repeat(100)}}`]) {
				assert.throws(() => decodeText(text), error => error instanceof MessageError && error.message.includes('levels deep'));
			}
		});
	}

	it('should not count brackets in texts as nesting', () => {
		const spec = `\\"${'[{'.repeat(200)}`;
		assert.equal(decodeJob(JSON.stringify({spec, steps: [{count: 1}]})).spec, spec);
	});

	it('should not end a process with the heap of an entry or a keeper', () => {
		const script = `
			import {decodeManifest} from '@bronzebend/platform/manifest-format';
			import {decodeJob} from '@bronzebend/platform/job-format';
			import {decodeAnnouncement} from '@bronzebend/platform/announcement-format';
			const rejected = text => { try { decodeManifest(text); } catch (error) { if (error.name !== 'MessageError') { throw error; } } };
			const rejectedJob = text => { try { decodeJob(text); } catch (error) { if (error.name !== 'MessageError') { throw error; } } };
			const zeros = count => Array.from({length: count}, () => '0').join(',');
			const rejectedReport = text => { try { decodeAnnouncement('i-1', text, Date.now()); } catch (error) { if (error.name !== 'MessageError') { throw error; } } };
			for (let turn = 0; turn < 3; turn += 1) {
				rejectedReport('['.repeat(2000000) + ']'.repeat(2000000));
				rejected('{"routes":[' + zeros(2000000) + ']}');
				rejectedJob('{"steps":[' + zeros(130000) + ']}');
			}`;
		const result = spawnSync(process.execPath, ['--max-old-space-size=96', '--max-semi-space-size=2', '--input-type=module', '--eval', script], {encoding: 'utf8'});
		assert.equal(result.status, 0, result.stderr.slice(0, MAX_ERROR_LENGTH));
	});

	it('should cause no error without a type, whatever it holds', () => {
		const names = ['spec', 'steps', 'count', 'depends-on', 'times', 'routes', 'services', 'limits', 'tenants', 'api-keys', 'version', 'capacity', 'labels', 'born', 'seq', '__proto__', 'constructor'];
		const value = fc.letrec<{node: unknown}>(tie => ({
			node: fc.oneof({maxDepth: 4}, fc.constantFrom(null, true, 0, -1, 1e308, '', 'a'), fc.array(tie('node'), {maxLength: 4}), fc.dictionary(fc.constantFrom(...names), tie('node'), {maxKeys: 6})),
		})).node;
		fc.assert(fc.property(fc.oneof(value.map(each => JSON.stringify(each)), fc.string({unit: 'binary'})), text => {
			for (const decodeText of Object.values(decoders)) {
				try {
					decodeText(text);
				} catch (error) {
					assert.ok(error instanceof BronzebendError, String(error));
				}
			}
		}), {seed: 28, numRuns: 3000});
	});
});

describe('a job whose step lists dependencies many times', () => {
	const text = repeated('{"steps":[{"count":1},{"count":1,"depends-on":[', '0', ']}]}', 260_000);

	it('should be taken as if each was listed once', () => {
		const job = decodeJob(text);
		assert.deepEqual(job.steps[1]!.dependsOn, [0]);
	});

	it('should be rejected by the job check, and not stop the planning of others', () => {
		const order = orderOf('a', [stepOf(), stepOf({dependsOn: Array.from({length: 130_000}, () => 0)})]);
		assert.throws(() => {
			checkOrder(order);
		}, JobOrderError);
		assert.equal(chainMs(order), 2000);
	});
});
