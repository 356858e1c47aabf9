/**
Decides which machines of evacuated data centres return to standby.

Handles the machines that an evacuation leaves without work: they are idle and take none, so they are
switched off. They go to no other pool, and none is taken from standby.
*/
import type {MachineMove, MovableMachine} from './fleet-balancer.js';

/** Machines that may move between the active pools. */
export const outsideEvacuation = (machines: readonly MovableMachine[]): MovableMachine[] => machines.filter(machine => !machine.isEvacuated);

/** Moves of idle machines in evacuated data centres to standby, at most `maxMoves`. */
export const moveToStandby = (machines: readonly MovableMachine[], standby: ReadonlySet<string>, maxMoves: number, mayMove: (machine: MovableMachine, to: string) => boolean): MachineMove[] => {
	const [standbyPool] = standby;
	return machines
		.filter(machine => machine.isEvacuated && machine.isIdle && !standby.has(machine.pool) && mayMove(machine, standbyPool!))
		.slice(0, Math.max(0, maxMoves))
		.map(machine => ({machine: machine.name, from: machine.pool, to: standbyPool!}));
};
