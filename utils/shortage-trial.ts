/** Plays strategies that differ in one switch on several loads and seeds, and prints what callers get. */
import process from 'node:process';
import {groupBy} from '@bronzebend/core';
import {drawJobs} from './experiment/draw-jobs.js';
import {loads} from './experiment/load.js';
import {
	simulate, type Capacity, type JobResult, type Strategy,
} from './experiment/model.js';
import {percentile} from './measure/table.js';

const variants: Record<string, Partial<Strategy>> = {
	before: {order: 'tiers'},
	order: {order: 'delay-cost'},
	timely: {order: 'delay-cost', admission: 'timely'},
};

const shareOf = (played: readonly JobResult[], isCounted: (result: JobResult) => boolean): number => played.filter(each => isCounted(each)).length / Math.max(1, played.length);
const isServed = ({outcome}: JobResult): boolean => outcome === 'in-objective' || outcome === 'late';
const workOf = ({job}: JobResult): number => job.order.steps.reduce((sum, step) => sum + (step.count * step.resources.cpu * step.estimateMs), 0);

/** Lowest ratio, over the queues, of the served share of the largest jobs between two quantiles to that of all jobs. */
const largeServed = (played: readonly JobResult[], from: number, to: number): number => Math.min(...[...groupBy(played, each => each.job.order.queue).values()].map(list => {
	const sorted = list.toSorted((left, right) => workOf(left) - workOf(right));
	return shareOf(sorted.slice(Math.floor(from * list.length), Math.floor(to * list.length)), isServed) / Math.max(0.001, shareOf(list, isServed));
}));

const worstBy = (played: readonly JobResult[], keyOf: (result: JobResult) => string, valueOf: (list: readonly JobResult[]) => number): number => Math.min(...[...groupBy(played, keyOf).values()].filter(list => list.length >= 10).map(list => valueOf(list)));

const figuresOf = (played: readonly JobResult[], surging: ReadonlySet<string | undefined>): number[] => {
	const outcome = (...names: string[]): number => shareOf(played, each => names.includes(each.outcome));
	return [
		outcome('in-objective'),
		outcome('late'),
		outcome('refused'),
		outcome('past-use', 'unfinished', 'failed'),
		worstBy(played, each => each.job.order.queue, list => shareOf(list, each => each.outcome === 'in-objective')),
		worstBy(played, each => each.job.order.workspace ?? '', list => shareOf(list, each => each.outcome === 'in-objective')),
		worstBy(played.filter(({job}) => !surging.has(job.order.workspace)), each => each.job.order.workspace ?? '', list => shareOf(list, each => each.outcome === 'in-objective')),
		1 - worstBy(played, each => each.job.order.queue, list => shareOf(list, isServed)),
		1 - worstBy(played, each => each.job.order.workspace ?? '', list => shareOf(list, isServed)),
		largeServed(played, 0.9, 1),
		largeServed(played, 0.7, 0.9),
		percentile(played.map(each => each.waitMs), 0.95) / 1000,
		played.reduce((sum, {refusals}) => sum + refusals, 0) / played.length,
	];
};

const main = (): void => {
	const [loadNames, variantNames, capacities, seeds] = process.argv.slice(2).map(word => word.split(','));
	process.stdout.write('| load | machines | variant | in objective | late | refused | past use or unfinished | worst queue | worst workspace | worst without surge | never served, worst queue | worst workspace | largest 10 % | next 20 % | wait p95 s | refused calls per job |\n');
	for (const load of loads.filter(each => loadNames!.includes(each.name))) {
		const surging = new Set((load.irregular?.surges ?? []).flatMap(surge => ('workspace' in surge ? [`team-${load.workspaces - 1 - surge.workspace}`] : [])));
		for (const capacity of capacities!) {
			for (const variant of variantNames!) {
				const rows = seeds!.map(seed => {
					const {played} = simulate(load, drawJobs(load, Number(seed)), {
						name: variant, capacity: capacity as Capacity, refuses: true, repeats: true, ...variants[variant],
					});
					return figuresOf(played.filter(({job}) => !job.isPoison && job.queue.worth > 0), surging);
				});
				const means = rows[0]!.map((_, index) => rows.reduce((sum, row) => sum + row[index]!, 0) / rows.length);
				process.stdout.write(`| ${load.name} | ${capacity} | ${variant} | ${means.map(value => value.toFixed(3)).join(' | ')} |\n`);
			}
		}
	}
};

main();
