/** Maintenance waves: chooses the instances to reboot next. */
import type {Wave} from '../declarations/kinds.js';
import {isInAny} from './daily-window.js';
import {
	idleMembers, isEvacuated, type Member, type PlanStep,
} from './planner-step.js';
import type {WaveProgress} from './planner-types.js';

const isWaveOpen = (wave: Wave, wallMs: number): boolean => !wave.paused && wallMs >= Date.parse(wave.start) && (wave.windows.length === 0 || isInAny(wave.windows, wallMs));

/** Instances of a pool that a wave has not rebooted yet: those in evacuated data centres first, since they need no budget, then ordered by how many of their failure domain are already out, most first. */
const waveQueue = (step: PlanStep, pool: string, wave: Wave): Member[] => {
	const outByDomain = new Map<string, number>();
	for (const {instance, placement} of step.members.get(pool) ?? []) {
		if (placement.work !== undefined || step.history.isOut(instance.name)) {
			const domain = `${instance.dataCentre}/${instance.rack}`;
			outByDomain.set(domain, (outByDomain.get(domain) ?? 0) + 1);
		}
	}

	const pending = idleMembers(step, pool).filter(({placement}) => !placement.doneWaves.includes(wave.name));
	const ranked = pending.map(member => {
		const domain = `${member.instance.dataCentre}/${member.instance.rack}`;
		return {member, rank: isEvacuated(step, member.instance) ? Infinity : outByDomain.get(domain) ?? 0, order: `${domain}/${member.instance.name}`};
	});
	ranked.sort((left, right) => (left.rank === right.rank ? 0 : right.rank - left.rank) || (left.order < right.order ? -1 : 1));
	return ranked.map(({member}) => member);
};

const startReboots = (step: PlanStep, wave: Wave, pool: string): void => {
	const {input, output, history} = step;
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
		history.recordRebootStart(`reboot-${instance.name}-${wave.name}`, input.wallMs);
		output.commands.push({
			type: 'start-work', instance: instance.name, workId: `reboot-${instance.name}-${wave.name}`, plan: {type: 'reboot', wave: wave.name}, atMs: input.wallMs,
		});
		output.starts.push({
			instance: instance.name, pool, what: `reboot for ${wave.name}`, why: 'next in the wave', costOfNotMoving: 'the wave takes longer',
		});
	}
};

const progressOf = (step: PlanStep, wave: Wave): WaveProgress => {
	const members = wave.pools.flatMap(pool => step.members.get(pool) ?? []);
	const done = members.filter(({placement}) => placement.doneWaves.includes(wave.name)).length;
	const running = members.filter(({placement}) => placement.work?.plan.type === 'reboot' && placement.work.plan.wave === wave.name).length;
	const remaining = members.length - done;
	return {
		wave: wave.name, done, total: members.length, running, estimateMs: running > 0 ? Math.ceil(remaining / running) * step.history.rebootMs() : undefined,
	};
};

/** Starts the reboots that the open waves may start now, and reports their progress. */
export const runWaves = (step: PlanStep): void => {
	const {input, output} = step;
	for (const wave of input.catalogue.list('wave')) {
		output.waves.push(progressOf(step, wave));
		if (!isWaveOpen(wave, input.wallMs) || step.isQuiet) {
			output.waits.push({pool: wave.pools.join(','), what: wave.name, reason: wave.paused ? 'paused' : (step.isQuiet ? 'quiet window' : 'outside its window')});
			continue;
		}

		for (const pool of wave.pools) {
			startReboots(step, wave, pool);
		}
	}
};
