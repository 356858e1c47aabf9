/** Command that runs the daemon. */
import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {readSettings, serve} from '@bronzebend/daemon';
import {defineCommand} from 'citty';
import {runCommand} from '../run-command.js';

const YOUNG_GENERATION_FLAG = '--max-semi-space-size=2';

export const serveCommand = defineCommand({
	meta: {name: 'serve', description: 'Run one process with the roles listed in its settings'},
	args: {
		settings: {
			type: 'string', description: 'Settings file', required: true, valueHint: 'FILE',
		},
	},
	run: runCommand(async ({args}) => {
		// Keeps the young generation small: the control memory of a node is bounded, and its garbage is short-lived.
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
				process.stderr.write(`Shutdown failed: ${String(error)}\n`);
				process.exit(1);
			});
		};

		process.on('SIGTERM', onSignal);
		process.on('SIGINT', onSignal);
	}),
});
