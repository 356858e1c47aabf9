/** Builds the planner's evidence from the dispatchers' reports. */
import type {ControlState, PoolEvidence} from '@bronzebend/core';
import type {NodeDirectory} from './node-directory.js';

/** Age of a leadership below which instances missing from the reports do not yet count as out, in milliseconds. */
const MIN_LEADERSHIP_AGE_MS = 10_000;

/** Input of `readEvidence`. */
export type EvidenceSource = {
	state: ControlState;
	directory: NodeDirectory;
	/** Age of the leadership, in milliseconds. */
	ageMs: number;
	/** The leader's monotonic and wall time, in milliseconds. */
	nowMs: number;
	wallMs: number;
};

/** Returns evidence for each pool whose current dispatcher reports. It is empty while the leadership is too young. */
export const readEvidence = ({state, directory, ageMs, nowMs, wallMs}: EvidenceSource): Map<string, PoolEvidence> => {
	const evidence = new Map<string, PoolEvidence>();
	if (ageMs < MIN_LEADERSHIP_AGE_MS) {
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
		// Instances of a spare pool announce nothing, since the pool takes no requests.
		const isSpare = state.publications.catalogue().find('pool', assignment.pool)?.spare === true;
		const unreported = isSpare ? [] : placements.filter(placement => placement.pool === assignment.pool && !known.has(placement.instance)).map(placement => placement.instance);
		evidence.set(assignment.pool, {
			atMs: wallMs - (nowMs - node.lastHeartbeatAtMs),
			out: new Set([...report.out, ...unreported]),
			drained: new Set(report.drained),
			ready: new Set(report.ready),
			demand: report.demands.reduce((sum, demand) => sum + demand.running + demand.waiting, 0),
		});
	}

	return evidence;
};
