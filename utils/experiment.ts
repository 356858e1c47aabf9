/** Plays loads against the real decisions on a virtual clock, and tells what callers get from each way. */
import {
	existsSync, mkdirSync, readFileSync, writeFileSync,
} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {groupBy, type JobRank} from '@bronzebend/core';
import {drawJobs, loads, type Load} from './experiment/load.js';
import {
	play, type PlayResult, type Way,
} from './experiment/model.js';
import {percentile} from './measure/table.js';
import {root} from './process-cluster.js';

const SEED = 11;
const RECORD = path.join(root, 'docs/measurements/experiment.json');

const firstCome = (left: JobRank, right: JobRank): number => left.job.acceptedAtMs - right.job.acceptedAtMs;

/** The ways that are compared. */
const ways: Way[] = [
	{name: 'ours', moves: true, refuses: true},
	{name: 'no moves', moves: false, refuses: true},
	{
		name: 'first come, first served', moves: true, refuses: true, compare: firstCome,
	},
	{
		name: 'first come, no moves', moves: false, refuses: false, compare: firstCome,
	},
];

type Row = {load: string; way: string; net: number; earned: number; inObjective: number; late: number; refused: number; unfinished: number; worstTeam: number; waitP95Ms: number; machineSeconds: number; moves: number};

const share = (result: PlayResult, outcome: string): number => {
	const owed = result.played.filter(played => !played.job.isPoison && played.job.queue.worth > 0);
	return owed.filter(played => played.outcome === outcome).length / owed.length;
};

/** Worth of the jobs in their objective against the worth of all. */
const earnedOf = (played: PlayResult['played']): number => {
	const owed = played.filter(each => !each.job.isPoison);
	const worth = (list: PlayResult['played']): number => list.reduce((sum, each) => sum + each.job.queue.worth, 0);
	return worth(owed.filter(each => each.outcome === 'in-objective')) / worth(owed);
};

const rowOf = (load: Load, way: Way): Row => {
	const result = play(load, drawJobs(load, SEED), way);
	const teams = [...groupBy(result.played, played => played.job.order.workspace ?? '').values()];
	return {
		load: load.name,
		way: way.name,
		net: earnedOf(result.played) - (result.machineSeconds * load.prices.machineSecond) - (result.moves * load.prices.move),
		earned: earnedOf(result.played),
		inObjective: share(result, 'in-objective'),
		late: share(result, 'late'),
		refused: share(result, 'refused'),
		unfinished: share(result, 'unfinished'),
		worstTeam: Math.min(...teams.map(team => earnedOf(team))),
		waitP95Ms: percentile(result.played.map(played => played.waitMs), 0.95),
		machineSeconds: result.machineSeconds,
		moves: result.moves,
	};
};

const asPart = (value: number): string => value.toFixed(3);

const render = (rows: readonly Row[], earlier: readonly Row[]): string => {
	const lines = rows.map(row => {
		const before = earlier.find(other => other.load === row.load && other.way === row.way);
		const parts = [row.net, row.earned, row.inObjective, row.late, row.refused, row.unfinished, row.worstTeam].map(value => asPart(value));
		return `| ${row.load} | ${row.way} | ${parts.join(' | ')} | ${row.waitP95Ms.toFixed(0)} | ${row.machineSeconds.toFixed(0)} | ${row.moves} | ${before?.net === undefined ? '–' : asPart(before.net)} |`;
	});
	return [
		'| load | way | net of prices | worth earned | in objective | late | refused | unfinished | worst team | wait p95 ms | machine-seconds in pools | moves | net, last record |',
		'| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |',
		...lines,
	].join('\n');
};

const main = (): void => {
	const words = process.argv.slice(2);
	const names = words.filter(word => !word.startsWith('--'));
	const chosen = names.length === 0 ? loads : loads.filter(load => names.includes(load.name));
	if (chosen.length === 0) {
		process.stderr.write(`No such load. Loads: ${loads.map(load => load.name).join(', ')}\n`);
		process.exit(2);
	}

	const earlier = existsSync(RECORD) ? JSON.parse(readFileSync(RECORD, 'utf8')) as Row[] : [];
	const rows = chosen.flatMap(load => ways.map(way => rowOf(load, way)));
	process.stdout.write(`${render(rows, earlier)}\n`);
	if (words.includes('--record')) {
		mkdirSync(path.dirname(RECORD), {recursive: true});
		writeFileSync(RECORD, `${JSON.stringify(rows, undefined, '\t')}\n`);
	}
};

main();
