/** Command that shows planned moves and reboots, their reasons, and what is waiting; or what an evacuation would leave. */
import process from 'node:process';
import type {EvacuationPreview, PlannerOutput} from '@bronzebend/core';
import {defineCommand} from 'citty';
import {clientOf, serverArguments} from '../arguments.js';
import {
	exitCodes, formatTable, print, printJson,
} from '../output.js';
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

const printPreview = ({dataCentre, inForce, pools}: EvacuationPreview): void => {
	print(inForce ? `${dataCentre} is evacuated already. Left:\n` : `An evacuation of ${dataCentre} would leave:\n`);
	print(formatTable([
		['POOL', 'INSTANCES', 'LEFT', 'SLOTS', 'LEFT', 'WANTED', 'BUDGET', ''],
		...pools.map(pool => [
			pool.pool, ...[pool.instances, pool.instancesLeft, pool.slots, pool.slotsLeft, pool.wanted, pool.maxOut].map(String), pool.exceedsBudget ? 'beyond the budget' : '',
		]),
	]));
};

export const planCommand = defineCommand({
	meta: {name: 'plan', description: 'Show moves and reboots: what starts, why, what waits; or what an evacuation would leave'},
	args: {
		'dry-run': {type: 'string', description: 'Folder of declarations to plan for without publishing', valueHint: 'DIR'},
		evacuate: {type: 'string', description: 'Data centre whose evacuation to predict, without changing anything', valueHint: 'DATACENTRE'},
		...serverArguments,
	},
	run: runCommand(async ({args}) => {
		if (args.evacuate !== undefined && args['dry-run'] !== undefined) {
			print('Specify either --dry-run or --evacuate.');
			process.exitCode = exitCodes.badUsage;
			return;
		}

		if (args.evacuate !== undefined) {
			const preview = await clientOf(args).call({type: 'preview-evacuation', dataCentre: args.evacuate}) as EvacuationPreview;
			if (args.json) {
				printJson(preview);
			} else {
				printPreview(preview);
			}

			return;
		}

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
