/** The daemon. */
import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {readSettings, serve} from '@bronzebend/daemon';
import {defineCommand} from 'citty';
import {runCommand} from '../run-command.js';

const YOUNG_GENERATION_FLAG = '--max-semi-space-size=2';

export const serveCommand = defineCommand({
	meta: {name: 'serve', description: 'Run one process with the roles that its settings name'},
	args: {
		settings: {
			type: 'string', description: 'Settings file', required: true, valueHint: 'FILE',
		},
	},
	run: runCommand(async ({args}) => {
		// Small young generation: a node's control memory is bounded, and its garbage is short-lived.
		setFlagsFromString(YOUNG_GENERATION_FLAG);
		const node = await serve(readSettings(args.settings));
		let isStopping = false;
		const stop = async (): Promise<void> => {
			if (isStopping) {
				return;
			}

			isStopping = true;
			await node.stop();
			process.exit();
		};

		const onSignal = (): void => {
			stop().catch((error: unknown) => {
				process.stderr.write(`Cannot stop in order: ${String(error)}\n`);
				process.exit(1);
			});
		};

		process.on('SIGTERM', onSignal);
		process.on('SIGINT', onSignal);
	}),
});
