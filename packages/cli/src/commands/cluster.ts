/** Commands for clusters: status, keys, backup, restore, keepers. */
import {randomBytes, randomUUID} from 'node:crypto';
import {readFileSync, writeFileSync} from 'node:fs';
import os from 'node:os';
import process from 'node:process';
import {
	sha256Hex, type ControlSnapshot, type Declaration, type PublishOutcome,
} from '@bronzebend/core';
import type {ClusterStatus} from '@bronzebend/daemon';
import {
	createFileDisk, decodeBytes, encodeBytes, readFolder as readDataFolder,
} from '@bronzebend/replica';
import {defineCommand} from 'citty';
import {clientOf, jsonArgument, serverArguments} from '../arguments.js';
import {
	exitCodes, formatTable, print, printJson,
} from '../output.js';
import {runCommand} from '../run-command.js';
import {publishSet} from './declarations.js';

const SECRET_BYTES = 24;
const MS_PER_MINUTE = 60_000;

const printStatus = (status: ClusterStatus): void => {
	print(`Version ${status.version} in force, led by ${status.leader} in term ${status.term}.\n`);
	print(formatTable([
		['POOL', 'DISPATCHER', 'LIVE', 'WANTED', 'SLOTS', 'RUNNING', 'WAITING', 'OUT/BUDGET'],
		...status.pools.map(pool => [
			pool.pool, pool.dispatcher ?? '-', ...[pool.live, pool.wanted, pool.slots, pool.running, pool.waiting].map(String), `${pool.out.length}/${pool.maxOut}`,
		]),
	]));
	print('');
	print(formatTable([
		['TEAM', 'RUNNING', 'WAITING', 'GRANTED', 'LIMIT'],
		...status.teams.map(team => [team.team, String(team.running), String(team.waiting), String(team.granted), team.limit === undefined ? '-' : String(team.limit)]),
	]));
	print('');
	print(formatTable([
		['NODE', 'DATA CENTRE', 'VERSION', 'LAST HEARD'],
		...status.nodes.map(node => [node.node, node.dataCentre, `${node.version}${node.lags ? ' (lags)' : ''}`, `${node.silentMs} ms ago`]),
	]));
	if (status.evacuations !== undefined && status.evacuations.length > 0) {
		print('');
		print(formatTable([
			['EVACUATED', 'SINCE', 'STILL RUNNING'],
			...status.evacuations.map(({dataCentre, sinceMs, running, unreported}) => [
				dataCentre, new Date(sinceMs).toISOString(), `${running}${unreported.length === 0 ? '' : ` (no report yet of ${unreported.join(', ')})`}`,
			]),
		]));
	}

	if (status.waves.length > 0) {
		print('');
		print(formatTable([
			['WAVE', 'DONE', 'IN WORK', 'ESTIMATE'],
			...status.waves.map(wave => [wave.wave, `${wave.done}/${wave.total}`, String(wave.running), wave.estimateMs === undefined ? '-' : `${Math.ceil(wave.estimateMs / MS_PER_MINUTE)} min`]),
		]));
		for (const wait of status.waits) {
			print(`${wait.instance ?? wait.pool}: ${wait.what} waits: ${wait.reason}`);
		}
	}

	if (status.work.length > 0) {
		print('');
		print(formatTable([['INSTANCE', 'POOL', 'WORK', 'STEP'], ...status.work.map(work => [work.instance, work.pool, work.what, work.step])]));
	}
};

export const statusCommand = defineCommand({
	meta: {name: 'status', description: 'Show the version in force on each node, pools, queues and teams'},
	args: serverArguments,
	run: runCommand(async ({args}) => {
		const status = await clientOf(args).call({type: 'status'}) as ClusterStatus;
		if (args.json) {
			printJson(status);
		} else {
			printStatus(status);
		}
	}),
});

const issueCommand = defineCommand({
	meta: {name: 'issue', description: 'Create a secret and the declaration of its key'},
	args: {
		name: {type: 'positional', description: 'Name of the key', required: true},
		team: {type: 'string', description: 'Team of a submit key'},
		service: {type: 'string', description: 'Service of an announce key'},
		...jsonArgument,
	},
	run: runCommand(async ({args}) => {
		if ((args.team === undefined) === (args.service === undefined)) {
			print('Specify either --team or --service.');
			process.exitCode = exitCodes.badUsage;
			return;
		}

		const secret = randomBytes(SECRET_BYTES).toString('base64url');
		const holder = args.team === undefined ? {purpose: 'announce', service: args.service} : {purpose: 'submit', team: args.team};
		const declaration = {
			kind: 'key', name: args.name, sha256: sha256Hex(secret), ...holder,
		};
		if (args.json) {
			printJson({secret, declaration});
			return;
		}

		print(`Secret (shown once): ${secret}\nPublish this declaration to activate the key:`);
		printJson(declaration);
	}),
});

const withdrawCommand = defineCommand({
	meta: {name: 'withdraw', description: 'Withdraw a key immediately and permanently'},
	args: {
		name: {type: 'positional', description: 'Name of the published key', required: true},
		id: {type: 'string', description: 'Publication ID; a new one by default'},
		...serverArguments,
	},
	run: runCommand(async ({args}) => {
		const client = clientOf(args);
		const published = await client.call({type: 'read-set'}) as {declarations: Declaration[]};
		const key = published.declarations.find(declaration => declaration.kind === 'key' && declaration.name === args.name);
		if (key?.kind !== 'key') {
			print(`No key is published as "${args.name}".`);
			process.exitCode = exitCodes.refused;
			return;
		}

		const {outcome} = await client.call({
			type: 'command',
			command: {
				type: 'withdraw-key', publicationId: args.id ?? randomUUID(), sha256: key.sha256, author: os.userInfo().username, atMs: 0,
			},
		}) as {outcome: PublishOutcome};
		if (args.json) {
			printJson(outcome);
		} else {
			print(outcome.type === 'accepted' ? `Withdrawn with version ${outcome.version}; it stops working everywhere within 3 seconds.` : 'Refused.');
		}
	}),
});

export const keysCommand = defineCommand({
	meta: {name: 'keys', description: 'Issue and withdraw keys'},
	subCommands: {issue: issueCommand, withdraw: withdrawCommand},
});

export const backupCommand = defineCommand({
	meta: {name: 'backup', description: 'Write the accepted state to a file while the cluster is running'},
	args: {file: {type: 'positional', description: 'File to write', required: true}, ...serverArguments},
	run: runCommand(async ({args}) => {
		const backup = await clientOf(args).call({type: 'backup'}) as {version: number};
		writeFileSync(args.file, encodeBytes(backup), {mode: 0o600});
		print(`Wrote version ${backup.version} to ${args.file}.`);
	}),
});

export const restoreCommand = defineCommand({
	meta: {name: 'restore', description: 'Publish the declarations of a backup as a new version while the cluster is running; withdrawn keys are withdrawn again'},
	args: {file: {type: 'positional', description: 'Backup file', required: true}, ...serverArguments},
	run: runCommand(async ({args}) => {
		const backup = decodeBytes(readFileSync(args.file)) as {version: number; state: ControlSnapshot};
		const client = clientOf(args);
		const {publications} = backup.state;
		for (const sha256 of publications.withdrawn) {
			// In sequence: each withdrawal creates a version of its own.
			// eslint-disable-next-line no-await-in-loop
			await client.call({
				type: 'command',
				command: {
					type: 'withdraw-key', publicationId: `restore-${sha256}`, sha256, author: 'restore', atMs: 0,
				},
			});
		}

		await publishSet(client, publications.declarations, randomUUID(), args.json);
	}),
});

const inspectCommand = defineCommand({
	meta: {name: 'inspect', description: 'Read a data folder offline'},
	args: {dir: {type: 'positional', description: 'Data folder', required: true}, ...jsonArgument},
	run: runCommand(async ({args}) => {
		const disk = await createFileDisk(args.dir);
		const content = await readDataFolder(disk);
		await disk.close();
		const {restored, snapshot} = content;
		const summary = {
			replica: content.replica,
			term: restored.hardState.term,
			votedFor: restored.hardState.votedFor,
			snapshotIndex: snapshot?.index,
			members: restored.base.members,
			entries: restored.entries.length,
			lastIndex: restored.entries.at(-1)?.index ?? restored.base.index,
			tornBytes: content.tornBytes,
		};
		printJson(summary);
	}),
});

const changeKeeper = (type: 'add-keeper' | 'remove-keeper', name: string, description: string) => defineCommand({
	meta: {name, description},
	args: {node: {type: 'positional', description: 'Name of the keeper\'s node', required: true}, ...serverArguments},
	run: runCommand(async ({args}) => {
		const members = await clientOf(args).call({type, node: args.node}) as Array<{node: string; voter: boolean}>;
		print(`Keepers: ${members.map(member => `${member.node}${member.voter ? '' : ' (learner)'}`).join(', ')}.`);
	}),
});

export const keeperCommand = defineCommand({
	meta: {name: 'keeper', description: 'Inspect data folders and change the group of keepers'},
	subCommands: {
		inspect: inspectCommand,
		add: changeKeeper('add-keeper', 'add', 'Add the empty keeper of a node to the group'),
		remove: changeKeeper('remove-keeper', 'remove', 'Remove the keeper of a node from the group'),
	},
});
