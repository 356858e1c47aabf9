/** Simulates loads with the real scheduling code on a virtual clock, and compares the results that callers get from each strategy. */
import {
	existsSync, mkdirSync, readFileSync, writeFileSync,
} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {groupBy, type JobRank} from '@bronzebend/core';
import {drawJobs} from './experiment/draw-jobs.js';
import {loads, type Load} from './experiment/load.js';
import {
	simulate, type SimulationResult, type Strategy,
} from './experiment/model.js';
import {percentile} from './measure/table.js';
import {root} from './process-cluster.js';

const SEED = 11;
const RECORD_FILE = path.join(root, 'docs/measurements/experiment.json');

const firstCome = (left: JobRank, right: JobRank): number => left.job.acceptedAtMs - right.job.acceptedAtMs;

/** The strategies that are compared. */
const strategies: Strategy[] = [
	{name: 'ours', capacity: 'balancer', refuses: true},
	{name: 'no moves', capacity: 'fixed', refuses: true},
	{name: 'always on', capacity: 'always-on', refuses: true},
	{name: 'oracle', capacity: 'oracle', refuses: true},
	{
		name: 'first come, first served', capacity: 'balancer', refuses: true, compare: firstCome,
	},
	{
		name: 'first come, no moves', capacity: 'fixed', refuses: false, compare: firstCome,
	},
];

type Row = {load: string; way: string; net: number; earned: number; inObjective: number; late: number; pastUse: number; refused: number; unfinished: number; worstTeam: number; waitP95Ms: number; machineSeconds: number; moves: number};

const outcomeShare = (result: SimulationResult, outcome: string): number => {
	const completable = result.played.filter(played => !played.job.isPoison && played.job.queue.worth > 0);
	return completable.filter(played => played.outcome === outcome).length / completable.length;
};

/** Worth of the jobs that met their objective, as a share of the worth of all jobs that can be completed. */
const earnedOf = (played: SimulationResult['played']): number => {
	const completable = played.filter(each => !each.job.isPoison);
	const worth = (list: SimulationResult['played']): number => list.reduce((sum, each) => sum + each.job.queue.worth, 0);
	return worth(completable.filter(each => each.outcome === 'in-objective')) / worth(completable);
};

const rowOf = (load: Load, strategy: Strategy): Row => {
	const result = simulate(load, drawJobs(load, SEED), strategy);
	const teams = [...groupBy(result.played, played => played.job.order.workspace ?? '').values()];
	return {
		load: load.name,
		way: strategy.name,
		net: earnedOf(result.played) - (result.machineSeconds * load.prices.machineSecond) - (result.moves * load.prices.move),
		earned: earnedOf(result.played),
		inObjective: outcomeShare(result, 'in-objective'),
		late: outcomeShare(result, 'late'),
		pastUse: outcomeShare(result, 'past-use'),
		refused: outcomeShare(result, 'refused'),
		unfinished: outcomeShare(result, 'unfinished'),
		worstTeam: Math.min(...teams.map(team => earnedOf(team))),
		waitP95Ms: percentile(result.played.map(played => played.waitMs), 0.95),
		machineSeconds: result.machineSeconds,
		moves: result.moves,
	};
};

const formatFraction = (value: number): string => value.toFixed(3);

const render = (rows: readonly Row[], earlier: readonly Row[]): string => {
	const lines = rows.map(row => {
		const before = earlier.find(other => other.load === row.load && other.way === row.way);
		const parts = [row.net, row.earned, row.inObjective, row.late, row.pastUse ?? 0, row.refused, row.unfinished, row.worstTeam].map(value => formatFraction(value));
		return `| ${row.load} | ${row.way} | ${parts.join(' | ')} | ${row.waitP95Ms.toFixed(0)} | ${row.machineSeconds.toFixed(0)} | ${row.moves} | ${before?.net === undefined ? '–' : formatFraction(before.net)} |`;
	});
	return [
		'| load | way | net of prices | worth earned | in objective | late | past use | refused | unfinished | worst team | wait p95 ms | machine-seconds in pools | moves | net, last record |',
		'| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |',
		...lines,
	].join('\n');
};

const main = (): void => {
	const args = process.argv.slice(2);
	const names = args.filter(word => !word.startsWith('--'));
	const selected = names.length === 0 ? loads : loads.filter(load => names.includes(load.name));
	if (selected.length === 0) {
		process.stderr.write(`Unknown load. Available loads: ${loads.map(load => load.name).join(', ')}\n`);
		process.exit(2);
	}

	const earlier = existsSync(RECORD_FILE) ? JSON.parse(readFileSync(RECORD_FILE, 'utf8')) as Row[] : [];
	const rows = selected.flatMap(load => strategies.map(way => rowOf(load, way)));
	process.stdout.write(`${render(rows, earlier)}\n`);
	if (args.includes('--record')) {
		mkdirSync(path.dirname(RECORD_FILE), {recursive: true});
		writeFileSync(RECORD_FILE, `${JSON.stringify(rows, undefined, '\t')}\n`);
	}
};

main();
