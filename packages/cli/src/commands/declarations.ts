/** Commands on a folder of declarations: check, diff, publish, show, history. */
import process from 'node:process';
import {randomUUID} from 'node:crypto';
import os from 'node:os';
import {
	checkDeclarations, createCatalogue, diffCatalogues, objectId, type Catalogue, type Declaration, type PublishOutcome,
} from '@bronzebend/core';
import {defineCommand} from 'citty';
import {clientOf, jsonArgument, serverArguments} from '../arguments.js';
import type {Client} from '../client.js';
import {readFolder} from '../declaration-folder.js';
import {
	exitCodes, formatTable, print, printFaults, printJson,
} from '../output.js';
import {runCommand} from '../run-command.js';

const folderArgument = {dir: {type: 'positional', description: 'Folder of declarations', required: true}} as const;

type PublishedSet = {version: number; declarations: Declaration[]};

/** Reads and checks a folder of declarations. If there are faults, prints them, sets the exit code and returns undefined. */
export const readCheckedFolder = (dir: string, asJson: boolean): Catalogue | undefined => {
	const {raw, faults} = readFolder(dir);
	const result = checkDeclarations(raw);
	const all = [...faults, ...(result.type === 'faulty' ? result.faults : [])];
	if (all.length > 0 || result.type === 'faulty') {
		printFaults(all, asJson);
		process.exitCode = exitCodes.refused;
		return undefined;
	}

	return result.catalogue;
};

const readPublished = async (client: Client): Promise<PublishedSet> => await client.call({type: 'read-set'}) as PublishedSet;

export const checkCommand = defineCommand({
	meta: {name: 'check', description: 'Check a folder of declarations offline'},
	args: {...folderArgument, ...jsonArgument},
	run: runCommand(async ({args}) => {
		const catalogue = readCheckedFolder(args.dir, args.json);
		if (!catalogue) {
			return;
		}

		const count = catalogue.objects.size;
		if (args.json) {
			printJson({faults: [], objects: count, digest: catalogue.digest()});
		} else {
			print(`${count} object(s), no faults.`);
		}
	}),
});

export const diffCommand = defineCommand({
	meta: {name: 'diff', description: 'Show what publishing a folder would change'},
	args: {...folderArgument, ...serverArguments},
	run: runCommand(async ({args}) => {
		const catalogue = readCheckedFolder(args.dir, args.json);
		if (!catalogue) {
			return;
		}

		const published = await readPublished(clientOf(args));
		const before = createCatalogue(published.declarations);
		const delta = diffCatalogues(before, catalogue);
		if (args.json) {
			printJson({base: published.version, ...delta});
			return;
		}

		print(`Against version ${published.version}:`);
		for (const declaration of delta.upserts) {
			const id = objectId(declaration);
			print(`${before.objects.has(id) ? '~' : '+'} ${id}`);
		}

		for (const id of delta.removals) {
			print(`- ${id}`);
		}

		print(`${delta.upserts.length + delta.removals.length} object(s) differ.`);
	}),
});

const printConflict = (outcome: PublishOutcome & {type: 'conflict'}): void => {
	print(`Refused: version ${outcome.current} is in force, published as "${outcome.winner}" by ${outcome.winnerAuthor}. It changed:`);
	for (const id of outcome.differs) {
		print(`  ${id}`);
	}

	print('Merge these changes into the folder, then publish again with the new base version.');
};

const printOutcome = (outcome: PublishOutcome, asJson: boolean): void => {
	if (outcome.type !== 'accepted') {
		process.exitCode = exitCodes.refused;
	}

	if (asJson) {
		printJson(outcome);
		return;
	}

	switch (outcome.type) {
		case 'accepted': {
			print(`Accepted as version ${outcome.version}.`);
			return;
		}

		case 'conflict': {
			printConflict(outcome);
			return;
		}

		case 'publication-id-reused': {
			print(`Refused: this publication ID was already used with other content, as version ${outcome.version}. Use a new ID.`);
		}
	}
};

export const publishCommand = defineCommand({
	meta: {name: 'publish', description: 'Publish a folder of declarations as a whole; safe to repeat with the same ID'},
	args: {
		...folderArgument,
		...serverArguments,
		base: {type: 'string', description: 'Version on which the folder is based; the version in force by default', valueHint: 'VERSION'},
		id: {type: 'string', description: 'Publication ID; a new one by default', valueHint: 'ID'},
		author: {type: 'string', description: 'Name of the publisher', default: os.userInfo().username},
	},
	run: runCommand(async ({args}) => {
		const catalogue = readCheckedFolder(args.dir, args.json);
		if (!catalogue) {
			return;
		}

		const base = args.base === undefined ? undefined : Number(args.base);
		if (base !== undefined && !Number.isInteger(base)) {
			print('Invalid value of --base: use a whole number.');
			process.exitCode = exitCodes.badUsage;
			return;
		}

		const client = clientOf(args);
		const published = await readPublished(client);
		const publicationId = args.id ?? randomUUID();
		if (!args.json) {
			print(`Publishing as "${publicationId}".`);
		}

		const outcome = await client.call({
			type: 'publish',
			publicationId,
			base: base ?? published.version,
			author: args.author,
			declarations: [...catalogue.objects.values()],
		}) as {outcome: PublishOutcome};
		printOutcome(outcome.outcome, args.json);
	}),
});

type HistoryLine = {version: number; publicationId: string; author: string; atMs: number; changed: number; removed: number; withdrawn: number};

export const historyCommand = defineCommand({
	meta: {name: 'history', description: 'List accepted versions'},
	args: serverArguments,
	run: runCommand(async ({args}) => {
		const lines = await clientOf(args).call({type: 'history'}) as HistoryLine[];
		if (args.json) {
			printJson(lines);
			return;
		}

		print(formatTable([
			['VERSION', 'AT', 'AUTHOR', 'CHANGED', 'REMOVED', 'KEYS WITHDRAWN', 'PUBLICATION'],
			...lines.map(line => [String(line.version), new Date(line.atMs).toISOString(), line.author, String(line.changed), String(line.removed), String(line.withdrawn), line.publicationId]),
		]));
	}),
});

export const showCommand = defineCommand({
	meta: {name: 'show', description: 'Show one published object'},
	args: {
		kind: {type: 'positional', description: 'Kind of the object', required: true},
		name: {type: 'positional', description: 'Name of the object', required: true},
		...serverArguments,
	},
	run: runCommand(async ({args}) => {
		const published = await readPublished(clientOf(args));
		const found = published.declarations.find(declaration => declaration.kind === args.kind && declaration.name === args.name);
		if (!found) {
			print(`No ${args.kind} is published as "${args.name}".`);
			process.exitCode = exitCodes.refused;
			return;
		}

		printJson(found);
	}),
});

/** Publishes the declarations of a backup as a new version, because version numbers never decrease. */
export const publishSet = async (client: Client, declarations: Declaration[], publicationId: string, asJson: boolean): Promise<void> => {
	const published = await readPublished(client);
	const outcome = await client.call({
		type: 'publish', publicationId, base: published.version, author: os.userInfo().username, declarations,
	}) as {outcome: PublishOutcome};
	printOutcome(outcome.outcome, asJson);
};
