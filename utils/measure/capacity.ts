/** Roll-out time, moves, buffer and budgets of the planner, compared with two simple planners. */
import process from 'node:process';
import {
	createCatalogue, createPlanner, type Catalogue, type Declaration, type PlacementCommand, type PlannerInput, type PlannerOutput, type Pool,
} from '@bronzebend/core';
import {readExample} from '../local-cluster.js';
import {runFleet, type FleetOptions, type FleetResult} from './fleet.js';
import type {Figure} from './table.js';

const SEED = 20_261_204;
const START = Date.parse('2026-12-07T00:00:00Z');
const MS_PER_HOUR = 3_600_000;
const LARGE_FLEET = {
	workers: 3800, pools: 69, dataCentres: 27, regions: 7,
};

const emptyOutput = (): PlannerOutput => ({
	commands: [], orders: [], starts: [], waits: [], waves: [], buffer: 0,
});

/** Advances each work to its next step as soon as the platform or the evidence allows it. */
const continueWork = (input: PlannerInput, output: PlannerOutput, waitsForDrain: boolean): void => {
	for (const {instance, pool, work} of input.placements) {
		if (!work) {
			continue;
		}

		const evidence = input.evidence.get(pool)!;
		const advance = (): void => {
			output.commands.push({
				type: 'advance-work', instance, workId: work.id, from: work.step, atMs: input.wallMs,
			});
		};

		if (work.step === 'draining' && (!waitsForDrain || evidence.drained.has(instance))) {
			if (!waitsForDrain) {
				output.orders.push({workId: work.id, instance, action: {type: 'reboot'}});
			}

			advance();
		} else if (work.step === 'empty' && input.platform.get(work.id) === 'done') {
			advance();
		} else if (work.step === 'empty') {
			output.orders.push({workId: work.id, instance, action: {type: 'reboot'}});
		} else if (work.step === 'joining' && evidence.ready.has(instance)) {
			advance();
		}
	}
};

const startWork = (input: PlannerInput, output: PlannerOutput, widthOf: (pool: Pool, size: number) => number): void => {
	for (const wave of input.catalogue.list('wave')) {
		for (const name of wave.pools) {
			const pool = input.catalogue.find('pool', name)!;
			const members = input.placements.filter(placement => placement.pool === name);
			const busy = members.filter(placement => placement.work !== undefined).length;
			const open = members.filter(placement => placement.work === undefined && !placement.doneWaves.includes(wave.name));
			output.commands.push(...open.slice(0, Math.max(0, widthOf(pool, members.length) - busy)).map((placement): PlacementCommand => ({
				type: 'start-work', instance: placement.instance, workId: `${wave.name}-${placement.instance}`, plan: {type: 'reboot', wave: wave.name}, atMs: input.wallMs,
			})));
		}
	}
};

const oneAtATime = (input: PlannerInput): PlannerOutput => {
	const output = emptyOutput();
	continueWork(input, output, true);
	startWork(input, output, () => 1);
	return output;
};

const fixedFraction = (input: PlannerInput): PlannerOutput => {
	const output = emptyOutput();
	continueWork(input, output, false);
	startWork(input, output, (_, size) => Math.max(1, Math.ceil(size / 10)));
	return output;
};

const withWave = (declarations: readonly Declaration[]): Catalogue => createCatalogue([
	...declarations,
	{
		kind: 'wave', name: 'week', pools: declarations.filter(item => item.kind === 'pool' && !item.spare).map(item => item.name), start: new Date(START).toISOString(), paused: false, windows: [],
	},
]);

/** Declarations of a fleet of the full size that the users state. */
export const largeFleet = (): Declaration[] => {
	const declarations: Declaration[] = [];
	const perPool = Math.floor(LARGE_FLEET.workers / LARGE_FLEET.pools);
	for (let index = 0; index < LARGE_FLEET.pools; index += 1) {
		const isSpare = index === 0;
		const size = isSpare ? LARGE_FLEET.workers - (perPool * (LARGE_FLEET.pools - 1)) : perPool;
		declarations.push({
			kind: 'pool', name: isSpare ? 'spare' : `pool-${index}`, service: isSpare ? 'spare' : `service-${index}`, capacity: {instances: size, slotsPerInstance: 8}, availability: {maxOut: isSpare ? size - 1 : Math.ceil(size / 20), maxOutPerDataCentre: isSpare ? undefined : 2}, spare: isSpare, ...(isSpare ? {} : {sparePool: 'spare'}),
		});
		for (let member = 0; member < size; member += 1) {
			const place = (index + member) % LARGE_FLEET.dataCentres;
			declarations.push({
				kind: 'instance', name: `p${index}-${member}`, region: `region-${place % LARGE_FLEET.regions}`, dataCentre: `dc-${place}`, rack: `rack-${place}-${member % 5}`, pool: isSpare ? 'spare' : `pool-${index}`,
			});
		}
	}

	return declarations;
};

const compare = (section: string, options: Omit<FleetOptions, 'plan'>, label: string): Figure[] => {
	const ours = runFleet({...options, plan: createPlanner().plan});
	const others = new Map<string, FleetResult>([
		['one at a time per pool', runFleet({...options, plan: oneAtATime})],
		['fixed tenth, failures ignored', runFleet({...options, plan: fixedFraction})],
	]);
	const figure = (name: string, unit: string, read: (result: FleetResult) => number, target?: {target: string; met: boolean}): Figure => ({
		section, name: `${label}: ${name}`, unit, ours: read(ours), baselines: Object.fromEntries([...others].map(([other, result]) => [other, read(result)])), ...target,
	});
	return [
		figure('roll-out time of a wave', 'h', result => result.rollOutMs / MS_PER_HOUR),
		figure('instances done', '', result => result.waveDone),
		figure('starts beyond a budget', '', result => result.budgetViolations, {target: '0', met: ours.budgetViolations === 0}),
		figure('reboots before the drain', '', result => result.undrainedReboots, {target: '0', met: ours.undrainedReboots === 0}),
		figure('moves', '', result => result.moves),
		figure('spare instances, mean', '', result => result.spareMean),
	];
};

/** Measures the planner on both example deployments and on the large fleet. */
export const measureCapacity = async (): Promise<Figure[]> => {
	const section = 'capacity';
	const brief = {
		seed: SEED, startMs: START, days: 7, failuresPerDay: 1, restartsPerDay: 10, rackFailsAtMs: 20 * 60_000, untilWave: 'week',
	};
	const schaumwerk = withWave(readExample('examples/schaumwerk'));
	const udrtina = withWave(readExample('examples/udrtina'));
	const letter = withWave(largeFleet());
	const letterOptions = {
		catalogue: letter, seed: SEED, startMs: START, days: 3, failuresPerDay: 22, restartsPerDay: 1100, rackFailsAtMs: 30 * 60_000, untilWave: 'week',
	};
	globalThis.gc?.();
	const heapBefore = process.memoryUsage().heapUsed;
	const atLetter = runFleet({...letterOptions, plan: createPlanner().plan});
	globalThis.gc?.();
	const heapMb = Math.max(0, process.memoryUsage().heapUsed - heapBefore) / 1_048_576;
	return [
		...compare(section, {...brief, catalogue: schaumwerk}, 'Schaumwerk'),
		...compare(section, {...brief, catalogue: udrtina}, 'Udrtina'),
		{
			section, name: `letter's size: roll-out over ${letter.list('instance').length} instances`, unit: 'h', ours: atLetter.rollOutMs / MS_PER_HOUR, target: 'once in 7 weeks (1,176 h)', met: atLetter.rollOutMs / MS_PER_HOUR < 1176,
		},
		{
			section, name: 'letter\'s size: instances done', unit: '', ours: atLetter.waveDone,
		},
		{
			section, name: 'letter\'s size: starts beyond a budget', unit: '', ours: atLetter.budgetViolations, target: '0', met: atLetter.budgetViolations === 0,
		},
		{
			section, name: 'letter\'s size: planning step, mean', unit: 'ms', ours: atLetter.stepMsMean,
		},
		{
			section, name: 'letter\'s size: planning step, worst', unit: 'ms', ours: atLetter.stepMsWorst, target: 'under 200 ms', met: atLetter.stepMsWorst < 200,
		},
		{
			section, name: 'letter\'s size: heap grown by catalogue, placements and planner', unit: 'MB', ours: heapMb, target: 'within 64 MB', met: heapMb < 64,
		},
		{
			section, name: 'letter\'s size: moves', unit: '', ours: atLetter.moves,
		},
	];
};
