/** Maintenance waves: which instance reboots next. */
import type {Wave} from '../declarations/kinds.js';
import {isInAny} from './daily-window.js';
import {idleMembers, type Member, type Step} from './planner-step.js';
import type {WaveProgress} from './planner-types.js';

const waveIsOpen = (wave: Wave, wallMs: number): boolean => !wave.paused && wallMs >= Date.parse(wave.start) && (wave.windows.length === 0 || isInAny(wave.windows, wallMs));

/** Instances of a pool that a wave still has to do, those of a failure domain in work already first. */
const waveQueue = (step: Step, pool: string, wave: Wave): Member[] => {
	const working = new Map<string, number>();
	for (const {instance, placement} of step.members.get(pool) ?? []) {
		if (placement.work !== undefined || step.memory.isOut(instance.name)) {
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
	const {input, output, memory} = step;
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
		memory.noteReboot(`reboot-${instance.name}-${wave.name}`, input.wallMs);
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
		wave: wave.name, done, total: members.length, running, estimateMs: running > 0 ? Math.ceil(left / running) * step.memory.rebootMs() : undefined,
	};
};

/** Starts what the open waves may start now, and tells their progress. */
export const runWaves = (step: Step): void => {
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
