/** The status of the cluster, for the `status` call and the status page. */
import {
	objectId, type ControlOutcome, type ControlState, type Placement, type PlannedWait, type PlannerOutput, type WaveProgress,
} from '@bronzebend/core';
import type {Replica} from '@bronzebend/replica';
import type {DispatchReport} from '@bronzebend/wire';
import type {ClusterCoordinator} from '../leader/cluster-coordinator.js';
import {describeEvacuations, type EvacuationStatus} from '../leader/evacuation-report.js';

/** Status of a pool. */
export type PoolStatus = {
	pool: string;
	dispatcher: string | undefined;
	epoch: number;
	wanted: number;
	members: number;
	live: number;
	slots: number;
	/** Instances that are out for any reason: planned work, failure, no announcement, or an evacuated data centre. */
	out: string[];
	isSpare: boolean;
	maxOut: number;
	running: number;
	waiting: number;
};

/** Status of the cluster, as known to the leader. */
export type ClusterStatus = {
	leader: string;
	term: number;
	version: number;
	keepers: Array<{node: string; replica: string; voter: boolean; matched: number}>;
	nodes: Array<{node: string; dataCentre: string; version: number; lags: boolean; silentMs: number; draining: boolean}>;
	pools: PoolStatus[];
	queues: Array<{queue: string; pool: string; prefix: string}>;
	teams: Array<{team: string; limit: number | undefined; granted: number; running: number; waiting: number}>;
	work: Array<{instance: string; pool: string; step: string; what: string}>;
	/** Progress of maintenance waves. */
	waves: WaveProgress[];
	/** Planned work that waits, with the reason. */
	waits: PlannedWait[];
	/** Evacuated data centres; absent in answers of leaders of earlier versions. */
	evacuations?: EvacuationStatus[];
};

/** Input of `describeStatus`. */
export type StatusSource = {state: ControlState; replica: Replica<ControlOutcome>; coordinator: ClusterCoordinator; plan: PlannerOutput | undefined; node: string; nowMs: number};

/** Instances of a spare pool announce nothing, since the pool takes no requests, so only planned work counts there. */
const isOut = ({instance, work}: Placement, isSpare: boolean, report: DispatchReport | undefined): boolean => work !== undefined
	|| (!isSpare && (report === undefined || report.out.includes(instance) || !report.known.includes(instance)));

/** Builds the status of the cluster. */
export const describeStatus = ({state, replica, coordinator, plan, node, nowMs}: StatusSource): ClusterStatus => {
	const catalogue = state.publications.catalogue();
	const version = state.publications.version();
	const placements = state.placements.list();
	const isEvacuated = (instance: string): boolean => state.evacuations.has(catalogue.find('instance', instance)?.dataCentre ?? '');
	return {
		leader: node,
		term: replica.raft.term(),
		version,
		keepers: replica.raft.members().map(member => ({...member, matched: replica.raft.matchIndexOf(member.replica)})),
		nodes: coordinator.directory.list().map(known => ({
			node: known.address.node,
			dataCentre: known.address.dataCentre,
			version: known.viewVersion,
			lags: known.viewVersion < version,
			silentMs: Math.round(nowMs - known.lastHeartbeatAtMs),
			draining: known.draining,
		})),
		pools: catalogue.list('pool').map(pool => {
			const assignment = state.assignments.find(pool.name);
			const report = assignment && coordinator.directory.find(assignment.node)?.dispatch.get(pool.name);
			return {
				pool: pool.name,
				dispatcher: assignment?.node,
				epoch: assignment?.epoch ?? 0,
				wanted: pool.capacity.instances,
				members: placements.filter(placement => placement.pool === pool.name).length,
				live: report?.live ?? 0,
				slots: report?.slots ?? 0,
				out: placements.filter(placement => placement.pool === pool.name && (isEvacuated(placement.instance) || isOut(placement, pool.spare, report))).map(placement => placement.instance),
				isSpare: pool.spare,
				maxOut: pool.availability.maxOut,
				running: report?.demands.reduce((sum, demand) => sum + demand.running, 0) ?? 0,
				waiting: report?.demands.reduce((sum, demand) => sum + demand.waiting, 0) ?? 0,
			};
		}),
		queues: catalogue.list('queue').map(queue => ({queue: objectId(queue), pool: queue.pool, prefix: queue.prefix})),
		teams: coordinator.teamGrants(),
		work: placements.filter(placement => placement.work).map(placement => ({
			instance: placement.instance,
			pool: placement.pool,
			step: placement.work!.step,
			what: placement.work!.plan.type === 'move' ? `move to ${placement.work!.plan.target}` : `reboot for ${placement.work!.plan.wave}`,
		})),
		waves: plan?.waves ?? [],
		waits: plan?.waits ?? [],
		evacuations: describeEvacuations(state, coordinator.directory),
	};
};
