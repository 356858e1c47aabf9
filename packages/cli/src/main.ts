#!/usr/bin/env node
/** Entry point of the `bronzebend` command line. */
import process from 'node:process';
import {defineCommand, renderUsage, runCommand} from 'citty';
import {
	backupCommand, keeperCommand, keysCommand, restoreCommand, statusCommand,
} from './commands/cluster.js';
import {
	checkCommand, diffCommand, historyCommand, publishCommand, showCommand,
} from './commands/declarations.js';
import {evacuateCommand} from './commands/evacuate.js';
import {explainCommand} from './commands/explain.js';
import {planCommand} from './commands/plan.js';
import {replayCommand} from './commands/replay.js';
import {serveCommand} from './commands/serve.js';
import {exitCodes} from './output.js';

const subCommands = {
	serve: serveCommand,
	check: checkCommand,
	diff: diffCommand,
	publish: publishCommand,
	history: historyCommand,
	show: showCommand,
	status: statusCommand,
	plan: planCommand,
	evacuate: evacuateCommand,
	replay: replayCommand,
	explain: explainCommand,
	keys: keysCommand,
	backup: backupCommand,
	restore: restoreCommand,
	keeper: keeperCommand,
};

const main = defineCommand({
	meta: {name: 'bronzebend', version: '0.1.0', description: 'Fleet capacity and maintenance manager'},
	subCommands,
});

type AnyCommand = Parameters<typeof renderUsage>[0];

/** Finds the innermost command that the leading words select, with its parent, for the usage text. */
const findCommand = (words: readonly string[]): {command: AnyCommand; parent: AnyCommand | undefined} => {
	let command = main;
	let parent: AnyCommand | undefined;
	for (const word of words) {
		const next = (command.subCommands as Record<string, AnyCommand> | undefined)?.[word];
		if (!next) {
			break;
		}

		parent = command;
		command = next;
	}

	return {command, parent};
};

process.stdout.on('error', (error: NodeJS.ErrnoException) => {
	// A reader such as `head` may close the pipe early.
	if (error.code !== 'EPIPE') {
		throw error;
	}
});

const words = process.argv.slice(2);
const {command, parent} = findCommand(words);
const usage = async (): Promise<string> => renderUsage(command, parent);

if (words.includes('--help') || words.includes('-h')) {
	process.stdout.write(`${await usage()}\n`);
} else if (words.length === 1 && words[0] === '--version') {
	process.stdout.write('0.1.0\n');
} else {
	try {
		await runCommand(main, {rawArgs: words});
	} catch (error) {
		process.stderr.write(`${await usage()}\n\n${(error as Error).message}\n`);
		process.exitCode = exitCodes.badUsage;
	}
}
