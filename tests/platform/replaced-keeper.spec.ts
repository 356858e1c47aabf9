import assert from 'node:assert/strict';
import {
	after, before, describe, it,
} from 'node:test';
import {createProcesses} from '@bronzebend/utils/platform-processes';
import {until} from '@bronzebend/utils/platform-stand-ins';

const keepers = ['127.0.93.1', '127.0.93.2', '127.0.93.3'];
const successor = '127.0.93.4';
const manifest = (version: number) => ({
	version,
	routes: [],
	services: [],
	limits: {
		'max-header-bytes': 16_384, 'max-body-bytes': 5000, 'header-timeout-ms': 3000, 'idle-timeout-ms': 15_000,
	},
	tenants: [],
});

describe('a keeper that is replaced as planned', {timeout: 60_000}, () => {
	const processes = createProcesses(keepers, '127.0.93.11');

	/** Publishes a manifest at one keeper, which redirects to none and answers 503 while no keeper leads. */
	const publish = async (version: number, at: string): Promise<boolean> => {
		const answer = await processes.control(at, 'POST', '/Config.Replace', manifest(version)).catch(() => undefined);
		return answer?.status === 200;
	};

	before(async () => {
		for (const keeper of keepers) {
			processes.start(keeper, 'keeper', true);
		}

		await until('the first manifest is accepted', async () => publish(1, keepers[0]!));
	});

	after(async () => {
		await processes.stopAll();
	});

	// Guards against a keeper that exits on SIGTERM and leaves its vote behind, so that the loss of a disk right after it takes the quorum for good.
	it('should give up its vote before it exits, so that the loss of a disk right after it is survived', async () => {
		processes.start(successor, 'keeper', false);
		await until('the successor is a voter', async () => {
			const logs = keepers.map(keeper => processes.log(keeper)).join('');
			return new RegExp(`"members":"[^"]*${successor}:\\d+(?! \\(learner\\)|\\d)`, 'u').test(logs);
		});
		await processes.end(keepers[2]!, 'SIGTERM');
		assert.equal(processes.exitCode(keepers[2]!), 0);
		await processes.end(keepers[0]!, 'SIGKILL');
		processes.wipe(keepers[0]!);
		processes.start(keepers[0]!, 'keeper', false);
		await until('a manifest is accepted by the keepers that are left', async () => publish(2, successor));
	});
});
