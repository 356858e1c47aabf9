/** Command that shows planned moves and reboots, their reasons, and what is waiting. */
import type {PlannerOutput} from '@bronzebend/core';
import {defineCommand} from 'citty';
import {clientOf, serverArguments} from '../arguments.js';
import {formatTable, print, printJson} from '../output.js';
import {runCommand} from '../run-command.js';
import {readCheckedFolder} from './declarations.js';

const MS_PER_MINUTE = 60_000;

const printPlan = (plan: Partial<PlannerOutput>): void => {
	print(formatTable([
		['STARTS', 'POOL', 'WHAT', 'WHY', 'COST OF NOT DOING SO'],
		...(plan.starts ?? []).map(start => [start.instance, start.pool, start.what, start.why, start.costOfNotMoving]),
	]));
	print('');
	print(formatTable([
		['WAITS', 'POOL', 'WHAT', 'REASON'],
		...(plan.waits ?? []).map(wait => [wait.instance ?? '-', wait.pool, wait.what, wait.reason]),
	]));
	print('');
	print(formatTable([
		['WAVE', 'DONE', 'RUNNING', 'ESTIMATE'],
		...(plan.waves ?? []).map(wave => [wave.wave, `${wave.done}/${wave.total}`, String(wave.running), wave.estimateMs === undefined ? '-' : `${Math.ceil(wave.estimateMs / MS_PER_MINUTE)} min`]),
	]));
	print(`\n${plan.buffer ?? 0} spare instance(s) are kept to cover the loss of the largest rack.`);
};

export const planCommand = defineCommand({
	meta: {name: 'plan', description: 'Show moves and reboots: what starts, why, what waits'},
	args: {
		'dry-run': {type: 'string', description: 'Folder of declarations to plan for without publishing', valueHint: 'DIR'},
		...serverArguments,
	},
	run: runCommand(async ({args}) => {
		const folder = args['dry-run'];
		const catalogue = folder === undefined ? undefined : readCheckedFolder(folder, args.json);
		if (folder !== undefined && !catalogue) {
			return;
		}

		const plan = await clientOf(args).call({type: 'plan', declarations: catalogue && [...catalogue.objects.values()]}) as Partial<PlannerOutput>;
		if (args.json) {
			printJson(plan);
		} else {
			printPlan(plan);
		}
	}),
});
