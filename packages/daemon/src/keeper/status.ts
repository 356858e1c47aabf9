/** What `status` shows: versions in force, pools, teams, keepers. */
import {
	objectId, type ControlOutcome, type ControlState, type Placement, type PlannedWait, type PlannerOutput, type WaveProgress,
} from '@bronzebend/core';
import type {Replica} from '@bronzebend/replica';
import type {DispatchReport} from '@bronzebend/wire';
import type {LeaderDesk} from '../leader/leader-desk.js';

/** State of one pool. */
export type PoolStatus = {
	pool: string;
	dispatcher: string | undefined;
	epoch: number;
	wanted: number;
	members: number;
	live: number;
	slots: number;
	/** Members that are out for whatever reason: planned work, failed, silent. */
	out: string[];
	isSpare: boolean;
	maxOut: number;
	running: number;
	waiting: number;
};

/** The whole status, as the leader sees it. */
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
	/** What planned work waits for. */
	waits: PlannedWait[];
};

/** What the status is made from. */
export type StatusSource = {state: ControlState; replica: Replica<ControlOutcome>; desk: LeaderDesk; plan: PlannerOutput | undefined; node: string; nowMs: number};

/** Nobody calls a spare pool, so its members announce nothing there. */
const isOut = ({instance, work}: Placement, isSpare: boolean, report: DispatchReport | undefined): boolean => work !== undefined
	|| (!isSpare && (report === undefined || report.out.includes(instance) || !report.known.includes(instance)));

/** Describes the cluster. */
export const describeStatus = ({state, replica, desk, plan, node, nowMs}: StatusSource): ClusterStatus => {
	const catalogue = state.publications.catalogue();
	const version = state.publications.version();
	const placements = state.placements.list();
	return {
		leader: node,
		term: replica.raft.term(),
		version,
		keepers: replica.raft.members().map(member => ({...member, matched: replica.raft.matchOf(member.replica)})),
		nodes: desk.directory.list().map(known => ({
			node: known.address.node,
			dataCentre: known.address.dataCentre,
			version: known.viewVersion,
			lags: known.viewVersion < version,
			silentMs: Math.round(nowMs - known.heardAtMs),
			draining: known.draining,
		})),
		pools: catalogue.list('pool').map(pool => {
			const assignment = state.assignments.find(pool.name);
			const report = assignment && desk.directory.find(assignment.node)?.dispatch.get(pool.name);
			return {
				pool: pool.name,
				dispatcher: assignment?.node,
				epoch: assignment?.epoch ?? 0,
				wanted: pool.capacity.instances,
				members: placements.filter(placement => placement.pool === pool.name).length,
				live: report?.live ?? 0,
				slots: report?.slots ?? 0,
				out: placements.filter(placement => placement.pool === pool.name && isOut(placement, pool.spare, report)).map(placement => placement.instance),
				isSpare: pool.spare,
				maxOut: pool.availability.maxOut,
				running: report?.demands.reduce((sum, demand) => sum + demand.running, 0) ?? 0,
				waiting: report?.demands.reduce((sum, demand) => sum + demand.waiting, 0) ?? 0,
			};
		}),
		queues: catalogue.list('queue').map(queue => ({queue: objectId(queue), pool: queue.pool, prefix: queue.prefix})),
		teams: desk.teamGrants(),
		work: placements.filter(placement => placement.work).map(placement => ({
			instance: placement.instance,
			pool: placement.pool,
			step: placement.work!.step,
			what: placement.work!.plan.type === 'move' ? `move to ${placement.work!.plan.target}` : `reboot for ${placement.work!.plan.wave}`,
		})),
		waves: plan?.waves ?? [],
		waits: plan?.waits ?? [],
	};
};
