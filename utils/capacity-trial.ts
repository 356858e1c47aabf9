/** `node utils/lib/capacity-trial.js LOAD,… WAY,… [SEED,…]`: plays loads with decisions of the balancer switched on and off, and prints the results of each queue. */
import process from 'node:process';
import {groupBy} from '@bronzebend/core';
import {drawJobs} from './experiment/draw-jobs.js';
import {loads, type Load} from './experiment/load.js';
import {simulate, type JobResult, type Strategy} from './experiment/model.js';
import {percentile} from './measure/table.js';

const ours: Strategy = {name: 'all', capacity: 'balancer', refuses: true};
const ways: Strategy[] = [
	{
		...ours, name: 'base', without: ['drains', 'lends', 'forecasts'], movesPerStep: 8,
	},
	{...ours, name: 'drains', without: ['lends', 'forecasts']},
	{...ours, name: 'lends', without: ['drains', 'forecasts']},
	{...ours, name: 'both', without: ['forecasts']},
	{...ours, name: 'turns', without: ['drains', 'lends']},
	ours,
	{...ours, name: 'oracle', capacity: 'oracle'},
];

const shareOf = (jobs: readonly JobResult[], outcome: JobResult['outcome'] = 'in-objective'): string => (jobs.filter(job => job.outcome === outcome).length / jobs.length).toFixed(3);

const lineOf = (load: Load, way: Strategy, seed: number): string => {
	const result = simulate(load, drawJobs(load, seed), way);
	const jobs = result.played.filter(each => !each.job.isPoison && each.job.queue.worth > 0);
	const queues = [...groupBy(jobs, each => each.job.queue.name)].map(([queue, list]) => `${queue} ${shareOf(list)}/${percentile(list.map(each => each.waitMs), 0.95).toFixed(0)}`);
	const teams = [...groupBy(jobs, each => each.job.order.workspace ?? '').values()].map(list => Number(shareOf(list)));
	const outcomes = (['in-objective', 'late', 'past-use', 'refused', 'unfinished'] as const).map(outcome => `${outcome} ${shareOf(jobs, outcome)}`);
	const promptShare = jobs.filter(each => each.waitMs <= 500).length / jobs.length;
	const meanWaitMs = jobs.reduce((sum, each) => sum + each.waitMs, 0) / jobs.length;
	return `${load.name} ${way.name} ${seed}: ${outcomes.join(' ')} within-500 ${promptShare.toFixed(3)} mean-wait-ms ${meanWaitMs.toFixed(0)} machine-seconds ${result.machineSeconds.toFixed(0)} moves ${result.moves} worst-team ${Math.min(...teams)} | ${queues.join(' ')}\n`;
};

const [loadNames = '', wayNames = 'base,all', seeds = '1,2,3'] = process.argv.slice(2);
for (const load of loads.filter(({name}) => loadNames.split(',').includes(name))) {
	for (const way of ways.filter(({name}) => wayNames.split(',').includes(name))) {
		for (const seed of seeds.split(',')) {
			process.stdout.write(lineOf(load, way, Number(seed)));
		}
	}
}
