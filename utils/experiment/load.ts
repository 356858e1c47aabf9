/** Loads of the experiment: queues whose demand rises in turn, bursts, and jobs that can never be completed. */
import type {JobOrder} from '@bronzebend/core';
import type {LeaderCosts} from './leader-thread.js';

/** One queue of a load. */
export type QueueLoad = {
	name: string;
	/** Mean jobs a second. */
	perSecond: number;
	steps: number;
	width: number;
	/** Mean duration of a work unit, in milliseconds. */
	runMs: number;
	cpu: number;
	memoryMb: number;
	worth: number;
};

/** A load to simulate. */
export type Load = {
	name: string;
	lengthMs: number;
	/** Length of one queue's turn, the period of its high demand, in milliseconds. */
	turnMs: number;
	/** Time in which the rate rises to its peak at the start of a turn, and in which it falls at the end, in milliseconds; half of it overlaps the neighbouring turn. */
	rampMs: number;
	/** Jobs with lasting work units in each queue, present from the start. */
	lasting: number;
	/** Cost of a machine-second in a pool and of a move, as shares of the worth of all jobs. */
	prices: {machineSecond: number; move: number};
	/** Factor of the mean rate during a queue's turn, and between its turns. */
	highFactor: number;
	lowFactor: number;
	queues: QueueLoad[];
	machines: {inPool: number; spare: number; cpu: number; memoryMb: number};
	/** Share of jobs that fail on every worker. */
	poisonShare: number;
	/** Number of machines that crash halfway through the load and do not come back. */
	crashedMachines: number;
	workspaces: number;
	/** Interval of the scheduling passes, in milliseconds; one in each step of the clock if undefined. */
	passMs?: number;
	/** A wave of maintenance: when it begins, how many of the machines may be out at once, and how long each is out, in milliseconds. */
	upkeep?: {fromMs: number; share: number; downMs: number};
	/** What the leader's work costs; nothing if undefined. */
	leader?: LeaderCosts;
	/** Deviations from the regular load; absent in the loads that have none. */
	irregular?: IrregularLoad;
};

/** A time span with more calls than usual, of one queue or of one workspace. */
export type Surge = {fromMs: number; forMs: number; factor: number} & ({queue: string} | {workspace: number});

/** What makes a load irregular. */
export type IrregularLoad = {
	/** Largest relative error of an estimated duration. */
	estimateError: number;
	/** Share of the runs that take longer by a factor. */
	longRuns: {share: number; factor: number};
	surges: Surge[];
	/** Time spans without a leader: nothing is accepted, noted, started or moved, and callers repeat their calls. */
	outages: Array<{fromMs: number; forMs: number}>;
};

/** A job with the data that only the simulation knows, such as its actual run times. */
export type SimulatedJob = {
	atMs: number;
	order: JobOrder;
	queue: QueueLoad;
	runMs: Map<string, number>;
	isPoison: boolean;
	/** Objective by the actual durations, in milliseconds; by the estimated ones if undefined. */
	objectiveMs?: number;
};

const schaumwerkQueues: QueueLoad[] = [
	{
		name: 'intake-check', perSecond: 6.36, steps: 1.6, width: 6, runMs: 640, cpu: 3500, memoryMb: 5100, worth: 0.483,
	},
	{
		name: 'pump-diag', perSecond: 0.96, steps: 2, width: 8, runMs: 1300, cpu: 7700, memoryMb: 14_000, worth: 3.6,
	},
	{
		name: 'courier-quote', perSecond: 7.94, steps: 1.6, width: 6, runMs: 640, cpu: 3500, memoryMb: 5100, worth: 0.483,
	},
	{
		name: 'steam-diag', perSecond: 1.17, steps: 2, width: 8, runMs: 1300, cpu: 7700, memoryMb: 14_000, worth: 3.6,
	},
];

const udrtinaQueues: QueueLoad[] = [
	{
		name: 'quote-hail', perSecond: 3.23, steps: 1.6, width: 6, runMs: 1000, cpu: 1100, memoryMb: 4200, worth: 0.499,
	},
	{
		name: 'route-plan', perSecond: 0.739, steps: 2, width: 8, runMs: 1300, cpu: 2500, memoryMb: 8800, worth: 2.46,
	},
	{
		name: 'quote-parking', perSecond: 4.04, steps: 1.6, width: 6, runMs: 1000, cpu: 1100, memoryMb: 4200, worth: 0.499,
	},
	{
		name: 'lot-sweep', perSecond: 0.904, steps: 2, width: 8, runMs: 1300, cpu: 2500, memoryMb: 8800, worth: 2.46,
	},
];

const commonFields = {
	lengthMs: 36_000, turnMs: 9000, rampMs: 3000, highFactor: 3.8, lowFactor: 0.07, lasting: 1, prices: {machineSecond: 0.000_19, move: 0.000_22}, poisonShare: 0, crashedMachines: 0, workspaces: 6,
};
const schaumwerk: Load = {
	...commonFields, name: 'schaumwerk', queues: schaumwerkQueues, machines: {
		inPool: 8, spare: 8, cpu: 64_000, memoryMb: 131_072,
	},
};
const udrtina: Load = {
	...commonFields, name: 'udrtina', queues: udrtinaQueues, machines: {
		inPool: 8, spare: 8, cpu: 16_000, memoryMb: 65_536,
	},
};

const withDoubledRate = (load: Load): Load => ({...load, name: `${load.name}-twice`, queues: load.queues.map(queue => ({...queue, perSecond: queue.perSecond * 2}))});

/** The load of a fleet that has grown by a factor, with as many machines and jobs a second more. */
const scaled = (load: Load, workers: number): Load => {
	const {inPool, spare, ...machine} = load.machines;
	const factor = workers / ((load.queues.length * inPool) + spare);
	return {
		...load,
		name: `${load.name}-${workers}`,
		// Prices are shares of the worth of all jobs, which grows with the load.
		prices: {machineSecond: load.prices.machineSecond / factor, move: load.prices.move / factor},
		queues: load.queues.map(queue => ({...queue, perSecond: queue.perSecond * factor})),
		machines: {inPool: Math.round(inPool * factor), spare: Math.round(spare * factor), ...machine},
	};
};

const andamanQueues: QueueLoad[] = [
	{
		name: 'swell-brief', perSecond: 12.6, steps: 1.6, width: 8, runMs: 800, cpu: 6200, memoryMb: 13_000, worth: 0.4,
	},
	{
		name: 'storm-surge', perSecond: 2.53, steps: 2, width: 8, runMs: 1700, cpu: 13_000, memoryMb: 38_000, worth: 2.23,
	},
	{
		name: 'wave-snap', perSecond: 15.7, steps: 1.6, width: 8, runMs: 800, cpu: 6200, memoryMb: 13_000, worth: 0.4,
	},
	{
		name: 'squall-check', perSecond: 3.1, steps: 2, width: 8, runMs: 1700, cpu: 13_000, memoryMb: 38_000, worth: 2.23,
	},
];

const yushanQueues: QueueLoad[] = [
	{
		name: 'bed-check', perSecond: 15.7, steps: 1.6, width: 8, runMs: 540, cpu: 6200, memoryMb: 6500, worth: 0.396,
	},
	{
		name: 'route-quote', perSecond: 3.32, steps: 2, width: 8, runMs: 1100, cpu: 13_000, memoryMb: 14_000, worth: 2.11,
	},
	{
		name: 'permit-check', perSecond: 19.6, steps: 1.6, width: 8, runMs: 540, cpu: 6200, memoryMb: 6500, worth: 0.396,
	},
	{
		name: 'club-quote', perSecond: 4.05, steps: 2, width: 8, runMs: 1100, cpu: 13_000, memoryMb: 14_000, worth: 2.11,
	},
];

const grownFields = {
	...commonFields, turnMs: 4500, rampMs: 400, lowFactor: 0.05, highFactor: 3.85, workspaces: 20, prices: {machineSecond: 0.000_016, move: 0.000_017}, lasting: 3,
};
/** Callers compete: one workspace sends a multiple of its usual, two queues surge, and the leader is lost once. */
const andaman: Load = {
	...grownFields,
	name: 'andaman',
	queues: andamanQueues,
	machines: {
		inPool: 50, spare: 30, cpu: 64_000, memoryMb: 262_144,
	},
	irregular: {
		estimateError: 0.9,
		longRuns: {share: 0, factor: 1},
		surges: [
			{
				queue: 'squall-check', fromMs: 2900, forMs: 6200, factor: 2.2,
			},
			{
				queue: 'swell-brief', fromMs: 13_000, forMs: 3100, factor: 1.8,
			},
			{
				workspace: 0, fromMs: 7800, forMs: 6600, factor: 6.6,
			},
		],
		outages: [{fromMs: 2500, forMs: 800}],
	},
};
/** Durations are uneven: 3 % of the runs take seven times as long as the others. */
const yushan: Load = {
	...grownFields,
	name: 'yushan',
	queues: yushanQueues,
	machines: {
		inPool: 50, spare: 30, cpu: 64_000, memoryMb: 131_072,
	},
	irregular: {
		estimateError: 0.9,
		longRuns: {share: 0.03, factor: 7},
		surges: [
			{
				queue: 'club-quote', fromMs: 2900, forMs: 6200, factor: 2.2,
			},
			{
				queue: 'permit-check', fromMs: 13_000, forMs: 3100, factor: 1.8,
			},
		],
		outages: [],
	},
};

/** A load whose leader is lost in the first turn, for the time that all keepers take to come back. */
const withLongOutage = (load: Load): Load => ({...load, name: `${load.name}-outage`, irregular: {...load.irregular!, outages: [{fromMs: 1500, forMs: 4500}]}});

/** A load as on an observed day: planning limits the passes, and maintenance takes up to 17 % of the machines, each for 4 s. */
const withUpkeep = (load: Load): Load => ({
	...load, name: `${load.name}-upkeep`, passMs: 40, upkeep: {fromMs: 4000, share: 0.17, downMs: 4000},
});

/**
The overload of docs/incidents/inc-0064-short.md: a queue of short work units has the second turn and asks five times its mean.

It makes as many calls as that play, 1,736. A start costs what was measured with real processes, 0.41 ms. A pass takes 43 ms with the
11,500 open work units of which the play's largest backlog, 5,763 ready ones, is part. The share for ends is what 1,400 starts a
second leave at 0.97 of a thread with 0.945 cores: 0.65 ms a start, of which passes take 0.13 ms.
*/
const andamanOverload: Load = {
	...andaman,
	name: 'andaman-overload',
	turnMs: 8500,
	highFactor: 5,
	queues: [0, 2, 3, 1].map(index => andamanQueues[index]!).map(queue => ({...queue, perSecond: queue.perSecond * (queue.name === 'wave-snap' ? 1.85 : 1)})),
	machines: {...andaman.machines, spare: 46},
};
const leader: LeaderCosts = {
	startCostMs: 0.41, endShare: 0.25, passUnitCostMs: 0.0037, passMinCostMs: 0.5,
};

/** All loads by name. */
export const loads: Load[] = [
	schaumwerk,
	udrtina,
	withDoubledRate(schaumwerk),
	withDoubledRate(udrtina),
	{...schaumwerk, name: 'schaumwerk-poison', poisonShare: 0.1},
	{...schaumwerk, name: 'schaumwerk-crashes', crashedMachines: 6},
	scaled(schaumwerk, 250),
	scaled(schaumwerk, 400),
	andaman,
	withLongOutage(andaman),
	yushan,
	withLongOutage(yushan),
	withUpkeep(andaman),
	withUpkeep(yushan),
	andamanOverload,
	{...andamanOverload, name: 'andaman-leader', leader},
];
