/** Maintenance of the machines in a simulation: a wave that takes each machine out once, a bounded number at a time. */
import type {Load} from './load.js';

/** A machine that is maintained. */
export type MaintainedMachine = {name: string; pool: string; upAtMs: number; isCrashed: boolean};

/** Creates the maintenance of a load; a machine takes no new work from when it is chosen, and goes down once its work has ended. Lasting work moves. */
export const createUpkeep = <Machine extends MaintainedMachine>({load, machines, sparePool, hasWork, takeOut}: {
	load: Load;
	machines: readonly Machine[];
	sparePool: string;
	hasWork(machine: Machine): boolean;
	takeOut(machine: Machine, nowMs: number, downMs: number): void;
}) => {
	const emptying = new Set<string>();
	const begun = new Set<string>();

	return {
		/** True while a machine takes no new work before its maintenance. */
		isEmptying: (name: string): boolean => emptying.has(name),

		/** Takes out the machines whose work has ended, and chooses the next ones. */
		step(nowMs: number): void {
			if (!load.upkeep || nowMs < load.upkeep.fromMs) {
				return;
			}

			for (const machine of machines.filter(each => emptying.has(each.name) && !hasWork(each))) {
				emptying.delete(machine.name);
				takeOut(machine, nowMs, load.upkeep.downMs);
			}

			const out = machines.filter(machine => begun.has(machine.name) && machine.upAtMs > nowMs).length;
			const most = Math.floor(machines.length * load.upkeep.share) - out - emptying.size;
			for (const {name} of machines.filter(each => !begun.has(each.name) && each.upAtMs <= nowMs && each.pool !== sparePool).slice(0, Math.max(0, most))) {
				begun.add(name);
				emptying.add(name);
			}
		},
	};
};
