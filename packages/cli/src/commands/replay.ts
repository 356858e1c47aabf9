/** Command that replays a recorded trace and checks its stated outcomes. */
import {readFileSync} from 'node:fs';
import process from 'node:process';
import {parseTrace, replayTrace} from '@bronzebend/core';
import {defineCommand} from 'citty';
import {jsonArgument} from '../arguments.js';
import {exitCodes, print, printJson} from '../output.js';
import {runCommand} from '../run-command.js';

export const replayCommand = defineCommand({
	meta: {name: 'replay', description: 'Replay a recorded trace and check its stated outcomes'},
	args: {trace: {type: 'positional', description: 'Trace file (JSON Lines)', required: true}, ...jsonArgument},
	run: runCommand(async ({args}) => {
		const result = replayTrace(parseTrace(readFileSync(args.trace, 'utf8')));
		if (result.results.some(item => !item.passed)) {
			process.exitCode = exitCodes.refused;
		}

		if (args.json) {
			printJson(result);
			return;
		}

		for (const {outcome, passed, event, detail} of result.results) {
			print(`${passed ? 'pass' : 'FAIL'}  ${outcome.words} [${outcome.type}]${passed ? '' : ` at event ${event}: ${detail}`}`);
		}

		print(`${result.events} events, decisions ${result.digest.slice(0, 16)}.`);
	}),
});
