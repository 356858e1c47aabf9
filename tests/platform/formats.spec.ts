import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {ManifestError} from '@bronzebend/core';
import {decodeAnnouncement, decodeLeave} from '@bronzebend/platform/announcement-format';
import {MessageError} from '@bronzebend/platform/decoding';
import {replyTo} from '@bronzebend/platform/http-server';
import {decodeJob} from '@bronzebend/platform/job-format';
import {decodeManifest} from '@bronzebend/platform/manifest-format';
import {parseSettings, PlatformSettingsError} from '@bronzebend/platform/settings';

const route = {
	name: 'quotes', host: 'desk.example', 'path-prefix': '/quotes/', 'timeout-ms': 3000, service: 'bench',
};
const manifest = {
	version: 3, routes: [route], services: [{name: 'bench'}], limits: {'max-body-bytes': 100}, tenants: [{name: 'north', 'api-keys': ['k1'], weight: 2}],
};
/** Time at which reports are received, in Unix milliseconds. */
const WALL_MS = 1_800_000_000_000;
const manifestText = (changes: Record<string, unknown>): string => JSON.stringify({...manifest, ...changes});

describe('manifest format', () => {
	it('should decode a manifest and fill in default values', () => {
		const decoded = decodeManifest(manifestText({}));
		assert.deepEqual(decoded.queues[0], {
			name: 'quotes', host: 'desk.example', pathPrefix: '/quotes/', pool: 'bench', priority: 0, maxAttempts: 1, objectiveFactor: 1, objectiveMs: 0, timeoutMs: 3000, open: false, recommendation: undefined,
		});
		assert.equal(decoded.document, manifestText({}));
	});

	const invalid: Array<[string, string]> = [
		['is truncated', manifestText({}).slice(0, -5)],
		['names an unknown service', manifestText({services: []})],
		['has two routes with the same host and path prefix', manifestText({routes: [route, {...route, name: 'other'}]})],
		['has a route without a timeout', manifestText({routes: [{...route, 'timeout-ms': 0}]})],
		['shares a key between tenants', manifestText({tenants: [...manifest.tenants, {name: 'south', 'api-keys': ['k1'], weight: 1}]})],
		['has a tenant without a weight', manifestText({tenants: [{name: 'north', 'api-keys': ['k1']}]})],
		['has no version', manifestText({version: undefined})],
	];
	for (const [what, text] of invalid) {
		it(`should reject a manifest that ${what}`, () => {
			assert.throws(() => decodeManifest(text), error => error instanceof MessageError || error instanceof ManifestError);
		});
	}
});

describe('liveness report format', () => {
	const report = {
		service: 'bench', addr: '10.0.0.9:8080', zone: 'a', state: 'ready', capacity: {cpu: 4000, 'mem-mb': 100, gpu: 0}, labels: ['a'], 'clock-ms': 5000, seq: 4, born: 1_700_000_000_000,
	};
	const decodeChanged = (changes: Record<string, unknown>) => decodeAnnouncement('i-1', JSON.stringify({...report, ...changes}), WALL_MS);

	it('should decode the largest and smallest ports', () => {
		assert.deepEqual([1, 65_535].map(port => decodeChanged({addr: `10.0.0.9:${port}`}).address), ['10.0.0.9:1', '10.0.0.9:65535']);
	});

	// An odd entry of another writer took over a worker's ID, or drew work to an address that no connection can be made to.
	const odd: Array<[string, Record<string, unknown>]> = [
		...['10.0.0.9:0', '10.0.0.9:65536', '10.0.0.9:99999999999999999999', '10.0.0.9:-1', '10.0.0.9', '10.0.0.256:80', '999.0.0.1:80', '10.0.0.9:80:80', '10.0.0.9:8e1', ''].map((addr): [string, Record<string, unknown>] => [`the address "${addr}"`, {addr}]),
		['a life from the future', {born: WALL_MS + (2 * 3600 * 1000)}],
		['a life that is the largest integer', {born: Number.MAX_SAFE_INTEGER}],
		['a life before 1970', {born: -1}],
		['a clock that is too large', {'clock-ms': 1e300}],
		['a capacity that is too large', {capacity: {cpu: 1e300, 'mem-mb': 1, gpu: 0}}],
		['a sequence number that is too large', {seq: 1e30}],
		['a remaining time that is too large', {'remaining-ms': 1e300}],
	];
	for (const [what, changes] of odd) {
		it(`should reject a report with ${what}`, () => {
			assert.throws(() => decodeChanged(changes), MessageError);
		});
	}
});

describe('job format', () => {
	it('should decode omitted fields as zero or false', () => {
		const job = decodeJob('{"spec":"x","steps":[{"count":2,"cpu":500,"estimate-ms":9},{"count":1,"depends-on":[0],"fill-count":true,"long-running":true,"anti-affinity":1,"miss-allowed":1}]}');
		assert.equal(job.times, 1);
		assert.deepEqual(job.steps[0]!.resources, {cpu: 500, memoryMb: 0, gpu: 0});
		const {fillsSpare, lasting, perWorker, mayMiss, dependsOn} = job.steps[1]!;
		assert.deepEqual({
			fillsSpare, lasting, perWorker, mayMiss, dependsOn,
		}, {
			fillsSpare: true, lasting: true, perWorker: 1, mayMiss: 1, dependsOn: [0],
		});
	});

	it('should decode the number of occurrences, start time and interval', () => {
		const job = decodeJob('{"spec":"x","steps":[{"count":1}],"times":3,"start-at-ms":1000,"interval-ms":50}');
		assert.deepEqual([job.times, job.startAtMs, job.intervalMs], [3, 1000, 50]);
	});

	it('should reject an invalid job with a MessageError', () => {
		for (const text of ['', '{', '[]', '{"steps":[]}', '{"steps":[{"count":0}]}', '{"steps":[{"count":1,"cpu":-1}]}', `{"spec":"${'x'.repeat(4001)}","steps":[{"count":1}]}`]) {
			assert.throws(() => decodeJob(text), MessageError);
		}
	});
});

describe('liveness report format', () => {
	const report = {
		service: 'bench', addr: '10.0.0.1:80', zone: 'a', state: 'ready', capacity: {cpu: 1, 'mem-mb': 2, gpu: 0}, labels: ['a'], seq: 4, born: 77, 'host-machine': 'm-1', 'clock-ms': 5,
	};

	it('should decode a report', () => {
		const {bornMs, machine, clockMs, draining} = decodeAnnouncement('w', JSON.stringify(report), WALL_MS);
		assert.deepEqual({
			bornMs, machine, clockMs, draining,
		}, {
			bornMs: 77, machine: 'm-1', clockMs: 5, draining: false,
		});
	});

	it('should reject a message that is not a liveness report', () => {
		for (const changes of [{born: undefined}, {state: 'odd'}, {seq: 'four'}, {addr: 7}, {capacity: []}, {labels: 'a'}]) {
			assert.throws(() => decodeAnnouncement('w', JSON.stringify({...report, ...changes}), WALL_MS), MessageError);
		}

		assert.throws(() => decodeAnnouncement('w', '\u0000\u0001', WALL_MS), MessageError);
	});

	it('should decode which life leaves, if the notice states it', () => {
		assert.equal(decodeLeave('{"born":77}'), 77);
		assert.equal(decodeLeave(''), undefined);
	});
});

describe('HTTP response to an answer', () => {
	it('should use status 503 only if the call certainly did not run', () => {
		assert.equal(replyTo({
			type: 'unavailable', reason: 'no-leader', mayHaveRun: false, retryAfterMs: 1,
		}).status, 503);
		assert.equal(replyTo({
			type: 'unavailable', reason: 'outcome-unknown', mayHaveRun: true, retryAfterMs: 1,
		}).status, 504);
	});
});

describe('platform settings', () => {
	const text = 'node-name: n\nip: 10.0.0.1\nzone: a\nlisten: {control-plane: "10.0.0.1:80"}\ninternal-ports: [7000, 7015]\nseeds: ["10.0.0.1:80"]\nnew-field: 1\n';

	it('should ignore unknown fields', () => {
		assert.equal(parseSettings(text, 'f').peerPort, 7000);
	});

	// Guards against an evacuation that is refused because the settings' data centres are not known.
	it('should name the data centres of the deployment, none if they are left out', () => {
		assert.deepEqual(parseSettings(`${text}zones: {a: north, b: south}\n`, 'f').dataCentres, ['a', 'b']);
		assert.deepEqual([text, `${text}zones:\n`].map(each => parseSettings(each, 'f').dataCentres), [[], []]);
	});

	it('should reject invalid settings with a PlatformSettingsError', () => {
		assert.throws(() => parseSettings(text.replace('seeds', 'sods'), 'f'), PlatformSettingsError);
		assert.throws(() => parseSettings('a: [', 'f'), PlatformSettingsError);
	});

	// Guards against limits that do not follow the machine, and against a section that replaces more than the limits it names.
	it('should derive the limits of clients from the machine, except those that are set', () => {
		const limitsOf = (more: string) => parseSettings(`${text}\n${more}`, 'f').clientLimits;
		assert.deepEqual(limitsOf(''), {
			bodyBytes: 32_768_000, requests: 2000, connections: 2922, steps: 25_000, heldWork: 100_000,
		});
		assert.deepEqual(limitsOf('limits: {memory-mb: 346, max-fds: 1000}'), {
			bodyBytes: 45_350_912, requests: 2768, connections: 600, steps: 34_600, heldWork: 138_400,
		});
		assert.deepEqual(limitsOf('limits: {max-fds: 1000}\nclient-limits: {requests: 7}'), {
			bodyBytes: 32_768_000, requests: 7, connections: 600, steps: 25_000, heldWork: 100_000,
		});
		assert.throws(() => limitsOf('client-limits: {connections: 0}'), PlatformSettingsError);
	});
});
