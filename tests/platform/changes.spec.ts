import assert from 'node:assert/strict';
import {
	mkdtempSync, rmSync, utimesSync, writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {describe, it} from 'node:test';
import {createJobStore} from '@bronzebend/core';
import {decodeManifest} from '@bronzebend/platform/manifest-format';
import {openSettings, PlatformSettingsError} from '@bronzebend/platform/settings';
import fc from 'fast-check';

/** Routes of the large manifest: some fifty times as many as on the users' largest site. */
const ROUTES = 2500;

const settingsText = (seeds: string[]): string => JSON.stringify({
	'node-name': 'edge-a-1', role: 'entry', ip: '10.1.0.2', zone: 'a', listen: {frontend: '10.1.0.2:80', readiness: '10.1.0.2:81'}, 'internal-ports': [7000, 7015], seeds, bootstrap: false, 'heartbeat-ms': 1500, bounds: {},
});

describe('a settings file that changes under a running process', () => {
	it('should be taken up with or without a signal, and kept as it was while it cannot be read', () => {
		const folder = mkdtempSync(path.join(tmpdir(), 'bronzebend-settings-'));
		const file = path.join(folder, 'boot.yaml');
		let atS = 1000;
		const write = (text: string): void => {
			writeFileSync(file, text);
			atS += 1;
			utimesSync(file, atS, atS);
		};

		try {
			write(settingsText(['10.1.0.9:90']));
			const settings = openSettings({BRONZEBEND_CONFIG: file});
			write(settingsText(['10.1.0.10:90']));
			assert.equal(settings.refresh(), true);
			assert.deepEqual(settings.current().seeds, ['10.1.0.10:90']);
			write(settingsText(['10.1.0.11:90']).slice(0, -20));
			assert.throws(() => settings.refresh(), PlatformSettingsError);
			assert.deepEqual(settings.current().seeds, ['10.1.0.10:90']);
			write(settingsText(['10.1.0.12:90']));
			assert.equal(settings.refresh(), true);
			assert.deepEqual(settings.current().seeds, ['10.1.0.12:90']);
		} finally {
			rmSync(folder, {recursive: true});
		}
	});
});

describe('a manifest that has grown by many routes', () => {
	const routes = Array.from({length: ROUTES}, (_, number) => ({
		name: `r${number}`, host: `h${number % 5}.example`, 'path-prefix': `/q${number}/${number % 3 === 0 ? 'a/' : ''}`, 'timeout-ms': 3000, service: 'bench',
	}));
	const manifest = decodeManifest(JSON.stringify({
		version: 2, routes, services: [{name: 'bench'}], limits: {'max-body-bytes': 100},
	}));
	const store = createJobStore();
	store.apply({type: 'publish-fleet', manifest});

	it('should route each path to the longest prefix of its host, as a search of all routes does', () => {
		const anyPath = fc.tuple(fc.nat(ROUTES + 10), fc.constantFrom('', '/', '/a/', '/a/0123456789abcdef', '/0123456789abcdef'), fc.nat(5));
		fc.assert(fc.property(anyPath, ([number, rest, host]) => {
			const target = `/q${number}${rest}`;
			const expected = manifest.queues.filter(queue => queue.host === `h${host}.example` && target.startsWith(queue.pathPrefix)).toSorted((one, other) => other.pathPrefix.length - one.pathPrefix.length)[0];
			assert.equal(store.manifest()!.route(`h${host}.example`, target)?.name, expected?.name);
		}), {seed: 26, numRuns: 500});
	});

	it('should survive a snapshot, with every route', () => {
		const restored = createJobStore(structuredClone(store.snapshot()));
		assert.equal(restored.manifest()!.manifest.queues.length, ROUTES);
		assert.equal(restored.manifest()!.route('h1.example', '/q1/x')?.name, 'r1');
	});
});
