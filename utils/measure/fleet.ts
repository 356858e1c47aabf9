/** Simulated fleet with failures, restarts, drains and reboots on a generated schedule, to measure planners with. */
import {
	createPlacements, createRandom, type Catalogue, type Placement, type PlacementCommand, type PlannerInput, type PlannerOutput, type PlatformWorkState, type PoolEvidence,
} from '@bronzebend/core';

const STEP_MS = 10_000;
const DRAIN_MS = 30_000;
const REBOOT_MS = 300_000;
const JOIN_MS = 20_000;
const DAY_MS = 86_400_000;

/** Options of a simulation. */
export type FleetOptions = {
	catalogue: Catalogue;
	seed: number;
	startMs: number;
	days: number;
	failuresPerDay: number;
	restartsPerDay: number;
	/** Time after the start at which the largest rack fails for two hours. */
	rackFailsAtMs?: number;
	plan(input: PlannerInput): PlannerOutput;
	/** Stops once this wave is done. */
	untilWave?: string;
};

/** Result of a planner. */
export type FleetResult = {
	rollOutMs: number;
	waveDone: number;
	moves: number;
	reboots: number;
	/** Starts of planned work that exceeded the budget of a pool. */
	budgetViolations: number;
	/** Reboots ordered before the drain was complete, when requests could be in flight. */
	undrainedReboots: number;
	/** Mean number of instances in the spare pool. */
	spareMean: number;
	stepMsMean: number;
	stepMsWorst: number;
};

type Schedule = Map<string, Array<{fromMs: number; toMs: number}>>;

/** Generates the times at which each instance is down for reasons other than planned work. */
const recordFailures = ({catalogue, seed, days, failuresPerDay, restartsPerDay, rackFailsAtMs}: FleetOptions): Schedule => {
	const random = createRandom(seed);
	const instances = catalogue.list('instance');
	const schedule: Schedule = new Map();
	const add = (name: string, fromMs: number, lengthMs: number): void => {
		schedule.set(name, [...schedule.get(name) ?? [], {fromMs, toMs: fromMs + lengthMs}]);
	};

	const pick = (): string => instances[Math.floor(random() * instances.length)]!.name;
	for (let count = 0; count < failuresPerDay * days; count += 1) {
		add(pick(), random() * days * DAY_MS, (2 + (6 * random())) * 3_600_000);
	}

	for (let count = 0; count < restartsPerDay * days; count += 1) {
		add(pick(), random() * days * DAY_MS, 60_000 + (60_000 * random()));
	}

	if (rackFailsAtMs !== undefined) {
		const {dataCentre, rack} = instances[0]!;
		for (const instance of instances.filter(item => item.dataCentre === dataCentre && item.rack === rack)) {
			add(instance.name, rackFailsAtMs, 7_200_000);
		}
	}

	return schedule;
};

/** Simulates the fleet under a planner. */
export const runFleet = (options: FleetOptions): FleetResult => {
	const {catalogue, startMs, days, plan, untilWave} = options;
	const schedule = recordFailures(options);
	const placements = createPlacements(catalogue.list('instance').map(({name, pool}) => ({instance: name, pool, doneWaves: []})));
	const works = new Map<string, PlatformWorkState>();
	const orderedAt = new Map<string, number>();
	const result: FleetResult = {
		rollOutMs: 0, waveDone: 0, moves: 0, reboots: 0, budgetViolations: 0, undrainedReboots: 0, spareMean: 0, stepMsMean: 0, stepMsWorst: 0,
	};
	const spares = new Set(catalogue.list('pool').filter(pool => pool.spare).map(pool => pool.name));
	let steps = 0;

	const isDown = (instance: string, atMs: number): boolean => (schedule.get(instance) ?? []).some(({fromMs, toMs}) => fromMs <= atMs && atMs < toMs);
	const hasDrained = ({work}: Placement, wallMs: number): boolean => work !== undefined && wallMs - work.sinceMs >= DRAIN_MS;

	const readEvidence = (wallMs: number, list: readonly Placement[]): Map<string, PoolEvidence> => {
		const evidence = new Map<string, {atMs: number; out: Set<string>; drained: Set<string>; ready: Set<string>; demand: number}>();
		for (const pool of catalogue.list('pool')) {
			evidence.set(pool.name, {
				atMs: wallMs, out: new Set(), drained: new Set(), ready: new Set(), demand: Math.round(0.6 * pool.capacity.instances * pool.capacity.slotsPerInstance * ((Math.floor(wallMs / 20_000) % 2) === 0 ? 1.6 : 0.1)),
			});
		}

		for (const placement of list) {
			const item = evidence.get(placement.pool)!;
			const down = isDown(placement.instance, wallMs - startMs);
			if (down) {
				item.out.add(placement.instance);
			}

			if (placement.work && hasDrained(placement, wallMs)) {
				item.drained.add(placement.instance);
			}

			if (placement.work?.step === 'joining' && !down && wallMs - placement.work.sinceMs >= JOIN_MS) {
				item.ready.add(placement.instance);
			}
		}

		return evidence;
	};

	const exceedsBudget = (pool: string, evidence: ReadonlyMap<string, PoolEvidence>): boolean => {
		const declared = catalogue.find('pool', pool)!;
		const members = placements.list().filter(placement => placement.pool === pool && !(placement.work?.plan.type === 'move' && placement.work.step === 'joining'));
		const out = members.filter(placement => placement.work !== undefined || evidence.get(pool)!.out.has(placement.instance)).length;
		return Math.min(out, Math.max(0, declared.capacity.instances - (members.length - out))) > declared.availability.maxOut;
	};

	const apply = (command: PlacementCommand, evidence: ReadonlyMap<string, PoolEvidence>): void => {
		if (!placements.apply(command) || command.type !== 'start-work') {
			return;
		}

		result[command.plan.type === 'move' ? 'moves' : 'reboots'] += 1;
		const {pool} = placements.find(command.instance)!;
		if (exceedsBudget(pool, evidence)) {
			result.budgetViolations += 1;
		}
	};

	const runPlatform = (output: PlannerOutput, wallMs: number): void => {
		for (const order of output.orders) {
			const orderMs = orderedAt.get(order.workId) ?? wallMs;
			if (!orderedAt.has(order.workId)) {
				const placement = placements.find(order.instance);
				result.undrainedReboots += placement && placement.work?.step === 'draining' && !hasDrained(placement, wallMs) ? 1 : 0;
			}

			orderedAt.set(order.workId, orderMs);
			const length = order.action.type === 'reboot' ? REBOOT_MS : STEP_MS;
			works.set(order.workId, wallMs - orderMs >= length ? 'done' : 'accepted');
		}
	};

	for (let atMs = 0; atMs < days * DAY_MS; atMs += STEP_MS) {
		const wallMs = startMs + atMs;
		const list = placements.list();
		const evidence = readEvidence(wallMs, list);
		const before = performance.now();
		const output = plan({
			catalogue, placements: list, evidence, platform: works, wallMs,
		});
		const spentMs = performance.now() - before;
		result.stepMsMean += spentMs;
		// The first 20 steps run code that the JIT compiler has not compiled yet.
		result.stepMsWorst = steps < 20 ? 0 : Math.max(result.stepMsWorst, spentMs);
		steps += 1;
		for (const command of output.commands) {
			apply(command, evidence);
		}

		runPlatform(output, wallMs);
		result.spareMean += list.filter(placement => spares.has(placement.pool)).length;
		if (untilWave !== undefined) {
			result.waveDone = list.filter(placement => placement.doneWaves.includes(untilWave)).length;
			const wave = catalogue.find('wave', untilWave)!;
			const total = list.filter(placement => wave.pools.includes(placement.pool)).length;
			result.rollOutMs = atMs;
			if (result.waveDone >= total) {
				break;
			}
		}
	}

	result.stepMsMean /= steps;
	result.spareMean /= steps;
	return result;
};
