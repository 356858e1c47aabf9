/** Turns the dispatchers' reports into the planner's evidence. */
import type {ControlState, PoolEvidence} from '@bronzebend/core';
import type {NodeDirectory} from './node-directory.js';

/** Age of a leadership below which members that nobody mentions are not yet taken as out, in milliseconds. */
const LEARNING_MS = 10_000;

/** What evidence is made from. */
export type EvidenceSource = {
	state: ControlState;
	directory: NodeDirectory;
	/** Age of the leadership, in milliseconds. */
	ageMs: number;
	/** The leader's monotonic and wall time, in milliseconds. */
	nowMs: number;
	wallMs: number;
};

/** Evidence of every pool whose dispatcher reports. */
export const readEvidence = ({state, directory, ageMs, nowMs, wallMs}: EvidenceSource): Map<string, PoolEvidence> => {
	const evidence = new Map<string, PoolEvidence>();
	if (ageMs < LEARNING_MS) {
		return evidence;
	}

	const placements = state.placements.list();
	for (const assignment of state.assignments.list()) {
		const node = directory.find(assignment.node);
		const report = node?.dispatch.get(assignment.pool);
		if (!node || report?.epoch !== assignment.epoch) {
			continue;
		}

		const known = new Set(report.known);
		const silent = placements.filter(placement => placement.pool === assignment.pool && !known.has(placement.instance)).map(placement => placement.instance);
		evidence.set(assignment.pool, {
			atMs: wallMs - (nowMs - node.heardAtMs),
			out: new Set([...report.out, ...silent]),
			drained: new Set(report.drained),
			ready: new Set(report.ready),
			demand: report.demands.reduce((sum, demand) => sum + demand.running + demand.waiting, 0),
		});
	}

	return evidence;
};
