/** Command that shows the history of a job or request from logs. */
import {readFileSync} from 'node:fs';
import process from 'node:process';
import {defineCommand} from 'citty';
import {jsonArgument} from '../arguments.js';
import {explain, renderLogLine} from '../explain.js';
import {exitCodes, print, printJson} from '../output.js';
import {runCommand} from '../run-command.js';

export const explainCommand = defineCommand({
	meta: {name: 'explain', description: 'Show the history of a job from the logs of several processes'},
	args: {
		id: {type: 'positional', description: 'ID of the job', required: true},
		log: {type: 'positional', description: 'Log files of entries and keepers', required: true},
		...jsonArgument,
	},
	run: runCommand(async ({args}) => {
		const files = args._.slice(1);
		const result = explain(args.id, files.flatMap(file => readFileSync(file, 'utf8').split('\n')));
		if (result.lines.length === 0) {
			process.exitCode = exitCodes.refused;
		}

		if (args.json) {
			printJson(result);
			return;
		}

		const all = [...result.lines, ...result.surroundings].sort((left, right) => left.atMs - right.atMs);
		for (const line of all) {
			print(renderLogLine(line));
		}

		for (const gap of result.gaps) {
			print(`missing: ${gap}`);
		}
	}),
});
