/**
Decides moves, drains and reboots of instances so that every pool's availability budget holds.

Pure apart from what it remembers of the past: how long instances are out, and demand.
*/
import {
	workSteps, type Placement, type PlacementCommand, type WorkStep,
} from '../control/placements.js';
import type {Catalogue} from '../declarations/catalogue.js';
import type {
	Instance, Policy, Pool, Wave,
} from '../declarations/kinds.js';
import {largestRackLoss} from './buffer.js';
import {isInAny} from './daily-window.js';
import {EVIDENCE_LEASE_MS, type PlatformWork, type PoolEvidence} from './evidence.js';
import {createForecast} from './forecast.js';
import {createPoolBudget, type PoolBudget} from './pool-budget.js';

/** Time an instance must be out before another takes its place; restarts are shorter. */
export const REPLACE_AFTER_MS = 5 * 60 * 1000;
/** Time a pool must want more or fewer instances before one moves for it. */
export const SETTLE_MS = 2 * 60 * 1000;
/** Part of a pool's slots above which more are wanted. */
const LEND_ABOVE = 0.95;
/** Part of a pool's slots, without the lent instance, below which it goes back. */
const RETURN_BELOW = 0.7;

/** Length of a reboot before any was seen, in milliseconds. */
const FIRST_REBOOT_MS = 10 * 60 * 1000;
/** Weight of the newest reboot in the learnt length. */
const DURATION_GAIN = 0.2;

const DEFAULT_OBJECTIVE: Policy['objective'] = {
	bufferCost: 1, rollOutTime: 1, moves: 1, closenessToShare: 1,
};

/** What a planning step looks at. */
export type PlannerInput = {
	catalogue: Catalogue;
	placements: readonly Placement[];
	evidence: ReadonlyMap<string, PoolEvidence>;
	/** What the platform says of works, by work ID. */
	platform: ReadonlyMap<string, PlatformWork>;
	wallMs: number;
};

/** An order to the platform; repeated until it says "done". */
export type PlatformOrder = {workId: string; instance: string; action: {type: 'reboot'} | {type: 'reassign'; pool: string}};

/** A move or reboot that starts now, and why. */
export type PlannedStart = {instance: string; pool: string; what: string; why: string; costOfNotMoving: string};

/** Something that waits, and why. */
export type PlannedWait = {pool: string; instance?: string; what: string; reason: string};

/** Progress of one wave. */
export type WaveProgress = {wave: string; done: number; total: number; running: number; estimateMs: number | undefined};

/** What a step decided. */
export type PlannerOutput = {
	commands: PlacementCommand[];
	orders: PlatformOrder[];
	starts: PlannedStart[];
	waits: PlannedWait[];
	waves: WaveProgress[];
	/** Spare instances that stand for the loss of the largest rack, by spare pool. */
	buffer: number;
};

type Member = {instance: Instance; placement: Placement};

type Step = {
	input: PlannerInput;
	members: Map<string, Member[]>;
	budgets: Map<string, PoolBudget>;
	/** Instances on their way into each pool. */
	coming: Map<string, number>;
	isQuiet: boolean;
	objective: Policy['objective'];
	buffer: number;
	output: PlannerOutput;
	/** Instances that this step has decided about. */
	busy: Set<string>;
};

/** The planner of one leadership. */
export type Planner = ReturnType<typeof createPlanner>;

/**
Creates a planner that remembers nothing yet.

@param options.isSettled Takes every wish as standing for long enough, for previews.
*/
export const createPlanner = ({isSettled = false}: {isSettled?: boolean} = {}) => {
	const forecast = createForecast();
	const outSince = new Map<string, number>();
	const wantsSince = new Map<string, number>();
	const drainsSince = new Map<string, number>();
	let rebootMs = FIRST_REBOOT_MS;

	/** Learns how long reboots take from drain to return. */
	const learnDuration = ({work}: Placement, wallMs: number): void => {
		const since = work && drainsSince.get(work.id);
		if (work?.plan.type === 'reboot' && since !== undefined) {
			drainsSince.delete(work.id);
			rebootMs += (wallMs - since - rebootMs) * DURATION_GAIN;
		}
	};

	/** Evidence counts for a pool without members too, so that a first instance can join. */
	const isFresh = (evidence: PoolEvidence | undefined, wallMs: number): boolean => evidence !== undefined && wallMs - evidence.atMs <= EVIDENCE_LEASE_MS;

	const groupMembers = ({catalogue, placements}: PlannerInput): Map<string, Member[]> => {
		const members = new Map<string, Member[]>();
		for (const placement of placements) {
			const instance = catalogue.find('instance', placement.instance);
			if (instance) {
				const list = members.get(placement.pool);
				if (list) {
					list.push({instance, placement});
				} else {
					members.set(placement.pool, [{instance, placement}]);
				}
			}
		}

		return members;
	};

	const budgetOf = (pool: Pool, members: readonly Member[], {evidence, wallMs}: PlannerInput): PoolBudget => {
		const known = evidence.get(pool.name);
		// An instance that joins from another pool was no part of this one's capacity yet.
		const counted = members.filter(({placement: {work}}) => !(work?.plan.type === 'move' && work.step === workSteps.joining));
		const out = new Set(counted.filter(({placement}) => placement.work !== undefined || known?.out.has(placement.instance)).map(({placement}) => placement.instance));
		// Nobody calls a spare pool, so nothing announces itself there and only planned work counts.
		const fresh = pool.spare || isFresh(known, wallMs);
		return createPoolBudget({
			pool, members: counted.map(member => member.instance), out, isFresh: fresh,
		});
	};

	/** Remembers since when each instance is out without a plan. */
	const trackOut = (step: Step): void => {
		const {input} = step;
		for (const [pool, members] of step.members) {
			const known = input.evidence.get(pool);
			for (const {placement} of members) {
				if (known?.out.has(placement.instance) && placement.work === undefined) {
					outSince.set(placement.instance, outSince.get(placement.instance) ?? input.wallMs);
				} else {
					outSince.delete(placement.instance);
				}
			}
		}
	};

	const isLost = (instance: string, wallMs: number): boolean => wallMs - (outSince.get(instance) ?? Infinity) >= REPLACE_AFTER_MS;

	/** Whether a wish has stood for long enough; forgets it where it does not hold. */
	const hasSettled = (wish: string, holds: boolean, wallMs: number): boolean => {
		if (!holds) {
			wantsSince.delete(wish);
			return false;
		}

		const since = wantsSince.get(wish) ?? wallMs;
		wantsSince.set(wish, since);
		return isSettled || wallMs - since >= SETTLE_MS;
	};

	const advance = (step: Step, placement: Placement, from: WorkStep): void => {
		step.output.commands.push({
			type: 'advance-work', instance: placement.instance, workId: placement.work!.id, from, atMs: step.input.wallMs,
		});
	};

	const poolGone = (step: Step, placement: Placement): boolean => {
		const {plan} = placement.work!;
		return plan.type === 'move' && !step.input.catalogue.has('pool', plan.target);
	};

	const continueDrain = (step: Step, placement: Placement): void => {
		const {input, output} = step;
		const work = placement.work!;
		const evidence = input.evidence.get(placement.pool);
		const isOverspent = step.budgets.get(placement.pool)?.isOverspent() === true;
		if (poolGone(step, placement) || isOverspent) {
			output.commands.push({type: 'cancel-work', instance: placement.instance, workId: work.id});
			output.waits.push({
				pool: placement.pool, instance: placement.instance, what: work.plan.type, reason: isOverspent ? 'failures used up the budget; the drain is called off' : 'the target pool is gone',
			});
			return;
		}

		const spare = input.catalogue.find('pool', placement.pool)?.spare === true;
		if (spare || (isFresh(evidence, input.wallMs) && evidence!.drained.has(placement.instance))) {
			advance(step, placement, workSteps.draining);
			return;
		}

		output.waits.push({
			pool: placement.pool, instance: placement.instance, what: work.plan.type, reason: 'requests are still in flight, or an entry has not acknowledged the drain',
		});
	};

	const orderOf = (placement: Placement): PlatformOrder => {
		const {id, plan} = placement.work!;
		return {workId: id, instance: placement.instance, action: plan.type === 'reboot' ? {type: 'reboot'} : {type: 'reassign', pool: plan.target}};
	};

	const continueEmpty = (step: Step, placement: Placement): void => {
		const {input, output} = step;
		const work = placement.work!;
		if (input.platform.get(work.id) === 'done') {
			advance(step, placement, workSteps.empty);
			return;
		}

		output.orders.push(orderOf(placement));
		output.waits.push({
			pool: placement.pool, instance: placement.instance, what: work.plan.type, reason: 'the platform has not finished',
		});
	};

	const continueJoin = (step: Step, placement: Placement): void => {
		const {input, output} = step;
		const evidence = input.evidence.get(placement.pool);
		const isSpare = input.catalogue.find('pool', placement.pool)?.spare ?? true;
		if (isSpare || (isFresh(evidence, input.wallMs) && evidence!.ready.has(placement.instance))) {
			advance(step, placement, workSteps.joining);
			learnDuration(placement, input.wallMs);
			return;
		}

		output.waits.push({
			pool: placement.pool, instance: placement.instance, what: placement.work!.plan.type, reason: 'the backend server has not announced itself as healthy yet',
		});
	};

	const continueWork = (step: Step): void => {
		for (const placement of step.input.placements) {
			switch (placement.work?.step) {
				case undefined: {
					break;
				}

				case workSteps.draining: {
					continueDrain(step, placement);
					break;
				}

				case workSteps.empty: {
					continueEmpty(step, placement);
					break;
				}

				case workSteps.joining: {
					continueJoin(step, placement);
					break;
				}
			}
		}
	};

	const startMove = (step: Step, member: Member, target: string, reason: {why: string; costOfNotMoving: string}): void => {
		const {name} = member.instance;
		step.busy.add(name);
		step.budgets.get(member.placement.pool)?.take(member.instance);
		step.output.commands.push({
			type: 'start-work', instance: name, workId: `move-${name}-${step.input.wallMs}`, plan: {type: 'move', target}, atMs: step.input.wallMs,
		});
		step.output.starts.push({
			instance: name, pool: member.placement.pool, what: `move to ${target}`, ...reason,
		});
	};

	const idleMembers = (step: Step, pool: string): Member[] => (step.members.get(pool) ?? []).filter(({placement, instance}) => placement.work === undefined && !step.busy.has(instance.name));

	/** Instances that a pool has or is about to have, and that work. */
	const supplyOf = (step: Step, pool: string): number => {
		const staying = (step.members.get(pool) ?? []).filter(({placement}) => {
			const leaves = placement.work?.plan.type === 'move' && placement.work.plan.target !== pool;
			return !leaves && !isLost(placement.instance, step.input.wallMs);
		}).length;
		return staying + (step.coming.get(pool) ?? 0);
	};

	/** A spare instance for a pool: in the data centre where the pool has the fewest, so that failures stay apart. */
	const chooseSpare = (step: Step, pool: Pool, sparePool: string): Member | undefined => {
		const counts = new Map<string, number>();
		for (const {instance} of step.members.get(pool.name) ?? []) {
			counts.set(instance.dataCentre, (counts.get(instance.dataCentre) ?? 0) + 1);
		}

		const budget = step.budgets.get(sparePool);
		const candidates = idleMembers(step, sparePool).filter(({instance}) => budget?.refusal(instance) === undefined);
		candidates.sort((left, right) => (counts.get(left.instance.dataCentre) ?? 0) - (counts.get(right.instance.dataCentre) ?? 0) || (left.instance.name < right.instance.name ? -1 : 1));
		return candidates[0];
	};

	const slotsOf = (pool: Pool, instances: number): number => instances * pool.capacity.slotsPerInstance;

	const fillPool = (step: Step, pool: Pool): void => {
		const {input, output, objective} = step;
		if (pool.sparePool === undefined) {
			return;
		}

		const supply = supplyOf(step, pool.name);
		const missing = pool.capacity.instances - supply;
		const expected = (forecast.slotsOf(pool.name) ?? 0) / Math.max(1, slotsOf(pool, supply));
		const isShort = hasSettled(`fill ${pool.name}`, missing > 0, input.wallMs);
		const gain = objective.closenessToShare * Math.max(0, expected - LEND_ABOVE) * supply;
		const wantsLoan = hasSettled(`loan ${pool.name}`, missing <= 0 && gain > objective.moves, input.wallMs);
		const spares = idleMembers(step, pool.sparePool).length;
		const mayLend = spares > step.buffer;
		if (!isShort && !(wantsLoan && mayLend)) {
			return;
		}

		if (step.isQuiet) {
			output.waits.push({pool: pool.name, what: 'move', reason: 'quiet window'});
			return;
		}

		const count = isShort ? missing : 1;
		for (let index = 0; index < count; index += 1) {
			const spare = chooseSpare(step, pool, pool.sparePool);
			if (!spare) {
				output.waits.push({pool: pool.name, what: 'move', reason: `pool "${pool.sparePool}" has no instance to give`});
				return;
			}

			startMove(step, spare, pool.name, isShort
				? {why: `the pool has ${supply} of ${pool.capacity.instances} instances that work`, costOfNotMoving: `${slotsOf(pool, missing)} slots missing`}
				: {
					why: `demand of ${Math.round(expected * 100)} % of its slots is expected to stay`,
					costOfNotMoving: `about ${Math.round(gain * 10) / 10} weighted shares late, against ${objective.moves} for a move`,
				});
		}
	};

	/** A lent or surplus instance goes back once the pool does well without it, or the buffer needs it. */
	const drainSurplus = (step: Step, pool: Pool): void => {
		const {input, output} = step;
		if (pool.sparePool === undefined || !input.catalogue.has('pool', pool.sparePool)) {
			return;
		}

		const supply = supplyOf(step, pool.name);
		const surplus = supply - pool.capacity.instances;
		const without = (forecast.slotsOf(pool.name) ?? Infinity) / Math.max(1, slotsOf(pool, supply - 1));
		const bufferIsShort = supplyOf(step, pool.sparePool) < Math.min(step.buffer, input.catalogue.find('pool', pool.sparePool)!.capacity.instances);
		const returns = hasSettled(`return ${pool.name}`, surplus > 0 && (without < RETURN_BELOW || bufferIsShort), input.wallMs);
		if (!returns) {
			return;
		}

		if (step.isQuiet) {
			output.waits.push({pool: pool.name, what: 'move', reason: 'quiet window'});
			return;
		}

		const budget = step.budgets.get(pool.name)!;
		const leaver = idleMembers(step, pool.name).filter(({instance}) => !outSince.has(instance.name)).find(({instance}) => budget.refusal(instance) === undefined);
		if (!leaver) {
			output.waits.push({pool: pool.name, what: 'move', reason: 'the availability budget is used up'});
			return;
		}

		startMove(step, leaver, pool.sparePool, {why: bufferIsShort ? 'the buffer for the loss of a rack is short' : 'the pool does well without it', costOfNotMoving: 'one spare instance fewer'});
	};

	/** An instance whose declared pool changed by a publication goes there. */
	const followDeclaration = (step: Step): void => {
		const {input} = step;
		for (const [pool, members] of step.members) {
			if (input.catalogue.has('pool', pool)) {
				continue;
			}

			for (const member of members.filter(({placement}) => placement.work === undefined)) {
				startMove(step, member, member.instance.pool, {why: `pool "${pool}" is no longer declared`, costOfNotMoving: 'the instance serves nobody'});
			}
		}
	};

	const waveIsOpen = (wave: Wave, wallMs: number): boolean => !wave.paused && wallMs >= Date.parse(wave.start) && (wave.windows.length === 0 || isInAny(wave.windows, wallMs));

	/** Instances of a pool that a wave still has to do, those of a failure domain in work already first. */
	const waveQueue = (step: Step, pool: string, wave: Wave): Member[] => {
		const working = new Map<string, number>();
		for (const {instance, placement} of step.members.get(pool) ?? []) {
			if (placement.work !== undefined || outSince.has(instance.name)) {
				const domain = `${instance.dataCentre}/${instance.rack}`;
				working.set(domain, (working.get(domain) ?? 0) + 1);
			}
		}

		const open = idleMembers(step, pool).filter(({placement}) => !placement.doneWaves.includes(wave.name));
		const ranked = open.map(member => {
			const domain = `${member.instance.dataCentre}/${member.instance.rack}`;
			return {member, rank: working.get(domain) ?? 0, order: `${domain}/${member.instance.name}`};
		});
		ranked.sort((left, right) => right.rank - left.rank || (left.order < right.order ? -1 : 1));
		return ranked.map(({member}) => member);
	};

	const startReboots = (step: Step, wave: Wave, pool: string): void => {
		const {input, output} = step;
		const budget = step.budgets.get(pool);
		if (!budget) {
			return;
		}

		for (const {instance} of waveQueue(step, pool, wave)) {
			const refusal = budget.refusal(instance);
			if (refusal !== undefined) {
				output.waits.push({
					pool, instance: instance.name, what: `reboot for ${wave.name}`, reason: refusal,
				});
				if (refusal === 'budget-used-up' || refusal === 'stale-evidence') {
					return;
				}

				continue;
			}

			budget.take(instance);
			step.busy.add(instance.name);
			drainsSince.set(`reboot-${instance.name}-${wave.name}`, input.wallMs);
			output.commands.push({
				type: 'start-work', instance: instance.name, workId: `reboot-${instance.name}-${wave.name}`, plan: {type: 'reboot', wave: wave.name}, atMs: input.wallMs,
			});
			output.starts.push({
				instance: instance.name, pool, what: `reboot for ${wave.name}`, why: 'next in the wave', costOfNotMoving: 'the wave takes longer',
			});
		}
	};

	const progressOf = (step: Step, wave: Wave): WaveProgress => {
		const members = wave.pools.flatMap(pool => step.members.get(pool) ?? []);
		const done = members.filter(({placement}) => placement.doneWaves.includes(wave.name)).length;
		const running = members.filter(({placement}) => placement.work?.plan.type === 'reboot' && placement.work.plan.wave === wave.name).length;
		const left = members.length - done;
		return {
			wave: wave.name, done, total: members.length, running, estimateMs: running > 0 ? Math.ceil(left / running) * rebootMs : undefined,
		};
	};

	const runWaves = (step: Step): void => {
		const {input, output} = step;
		for (const wave of input.catalogue.list('wave')) {
			output.waves.push(progressOf(step, wave));
			if (!waveIsOpen(wave, input.wallMs) || step.isQuiet) {
				output.waits.push({pool: wave.pools.join(','), what: wave.name, reason: wave.paused ? 'paused' : (step.isQuiet ? 'quiet window' : 'outside its window')});
				continue;
			}

			for (const pool of wave.pools) {
				startReboots(step, wave, pool);
			}
		}
	};

	const countComing = ({placements}: PlannerInput): Map<string, number> => {
		const coming = new Map<string, number>();
		for (const {pool, work} of placements) {
			if (work?.plan.type === 'move' && work.plan.target !== pool) {
				coming.set(work.plan.target, (coming.get(work.plan.target) ?? 0) + 1);
			}
		}

		return coming;
	};

	const prepare = (input: PlannerInput): Step => {
		const members = groupMembers(input);
		const pools = input.catalogue.list('pool');
		const policy = input.catalogue.list('policy')[0];
		const spares = new Set(pools.filter(pool => pool.spare).map(pool => pool.name));
		const instances = new Map([...members].map(([pool, list]) => [pool, list.map(member => member.instance)]));
		const buffer = largestRackLoss(instances, spares);
		return {
			input,
			members,
			budgets: new Map(pools.map(pool => [pool.name, budgetOf(pool, members.get(pool.name) ?? [], input)])),
			coming: countComing(input),
			isQuiet: isInAny(policy?.quietWindows ?? [], input.wallMs),
			objective: policy?.objective ?? DEFAULT_OBJECTIVE,
			buffer,
			output: {
				commands: [], orders: [], starts: [], waits: [], waves: [], buffer,
			},
			busy: new Set(),
		};
	};

	return {
		/** Decides one step. Commands count only once they are committed. */
		plan(input: PlannerInput): PlannerOutput {
			const step = prepare(input);
			for (const [pool, {demand}] of input.evidence) {
				forecast.observe(pool, demand, input.wallMs);
			}

			trackOut(step);
			continueWork(step);
			followDeclaration(step);
			for (const pool of input.catalogue.list('pool')) {
				fillPool(step, pool);
				drainSurplus(step, pool);
			}

			runWaves(step);
			return step.output;
		},
	};
};
