import assert from 'node:assert/strict';
import {spawn} from 'node:child_process';
import path from 'node:path';
import process from 'node:process';
import {
	after, before, describe, it,
} from 'node:test';
import {fileURLToPath} from 'node:url';
import type {EvacuationPreview} from '@bronzebend/core';
import type {ClusterStatus} from '@bronzebend/daemon';
import {startLocalCluster, type LocalCluster} from '@bronzebend/utils/local-cluster';
import {twoDataCentres} from '../fixtures/two-data-centres.js';

const MAIN = path.resolve(path.dirname(fileURLToPath(import.meta.url)), '../../../packages/cli/lib/main.js');

describe('command line of evacuations', () => {
	let cluster: LocalCluster;

	/** Runs the command line against the cluster, with its standard output and error in one text. */
	const run = async (...words: string[]): Promise<{code: number | null; output: string}> => new Promise(resolve => {
		const child = spawn(process.execPath, [
			MAIN, ...words, '--server', `http://127.0.0.1:${cluster.nodes[0]!.operatorsPort()}`, '--key-file', cluster.settings[0]!.operatorKeyFile,
		]);
		let output = '';
		const collect = (chunk: unknown): void => {
			output += String(chunk);
		};

		child.stdout.on('data', collect);
		child.stderr.on('data', collect);
		child.on('close', code => {
			resolve({code, output});
		});
	});

	const evacuated = async (): Promise<string[]> => {
		const {evacuations} = await cluster.client.call({type: 'status'}) as ClusterStatus;
		return evacuations!.map(({dataCentre}) => dataCentre);
	};

	before(async () => {
		cluster = await startLocalCluster({entries: 1, keepers: 1});
		await cluster.publish(twoDataCentres());
	});

	after(async () => {
		await cluster.stop();
	});

	it('should predict what is left without changing anything', async () => {
		const json = await run('plan', '--evacuate', 'east', '--json');
		assert.equal(json.code, 0, json.output);
		const preview = JSON.parse(json.output) as EvacuationPreview;
		assert.deepEqual(preview.pools.find(item => item.pool === 'parts'), {
			pool: 'parts', instances: 2, slots: 8, instancesLeft: 1, slotsLeft: 4, wanted: 2, maxOut: 1, exceedsBudget: false,
		});
		const text = await run('plan', '--evacuate', 'east');
		assert.match(text.output, /An evacuation of east would leave:\n\nPOOL +INSTANCES +LEFT/);
		assert.deepEqual(await evacuated(), []);
	});

	it('should end with 1 and the code of the error for what is refused, with 2 for bad usage, and change nothing', async () => {
		const refused = [['evacuate', 'nowhere'], ['evacuate', 'nowhere', '--end'], ['plan', '--evacuate', 'nowhere']];
		for (const words of refused) {
			const {code, output} = await run(...words);
			assert.equal(code, 1, output);
			assert.match(output, /Known: east, west\. \[unknown-data-centre]/);
		}

		for (const words of [['evacuate'], ['plan', '--evacuate', 'east', '--dry-run', '.']]) {
			const {code, output} = await run(...words);
			assert.equal(code, 2, output);
		}

		assert.deepEqual(await evacuated(), []);
	});

	it('should evacuate, acknowledge a repetition, refuse the last one that is left, and withdraw', async () => {
		const first = await run('evacuate', 'east', '--json');
		assert.deepEqual([first.code, JSON.parse(first.output)], [0, {dataCentre: 'east', changed: true}]);
		assert.deepEqual(await run('evacuate', 'east'), {code: 0, output: 'east is evacuated already; nothing changed.\n'});
		const last = await run('evacuate', 'west', '--json');
		assert.deepEqual([last.code, (JSON.parse(last.output) as {code: string}).code], [1, 'last-data-centre']);
		assert.deepEqual(await evacuated(), ['east']);
		const status = await run('status');
		assert.match(status.output, /EVACUATED +SINCE +STILL RUNNING\neast +\d{4}-\d\d-\d\dT[\d:.]+Z +0/);
		assert.deepEqual(await run('evacuate', 'east', '--end'), {code: 0, output: 'The evacuation of east is withdrawn; its backend servers get requests again.\n'});
		assert.deepEqual(await run('evacuate', 'east', '--end'), {code: 0, output: 'No evacuation of east was in force; nothing changed.\n'});
		assert.deepEqual(await evacuated(), []);
	});
});
