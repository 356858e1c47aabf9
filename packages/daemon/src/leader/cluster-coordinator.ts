/**
Coordinates the cluster's nodes while this keeper leads: grants leases, assigns dispatchers to pools
and divides the teams' limits among pools.

Performs no I/O: it receives heartbeats and times, and returns replies and commands. A command takes
effect only once the caller has committed it.
*/
import {
	planTeamGrants, UNLIMITED_RUNNING,
	type Assignment, type ControlCommand, type ControlState, type GrantChange, type Placement, type PoolDemand,
} from '@bronzebend/core';
import type {
	ClusterState, DispatchOrder, DispatchReport, Heartbeat, HeartbeatReply,
} from '@bronzebend/wire';
import {createDispatchLeases} from './dispatch-leases.js';
import {createNodeDirectory} from './node-directory.js';
import {
	DISPATCH_LEASE_MS, GRANTS_INTERVAL_MS, LEADER_SETTLE_MS, LEASE_MARGIN_MS, VIEW_LEASE_MS,
} from './timings.js';

/** Entry name that stands for nodes from which a new leader has not received a heartbeat yet. */
export const UNKNOWN_NODES = '*';

/** Options of the coordinator. */
export type ClusterCoordinatorOptions = {
	state: ControlState;
	/** ID of this leadership; prefix of its version strings. */
	leadership: string;
	startedAtMs: number;
};

/** Coordinates the nodes for one leadership. */
export type ClusterCoordinator = ReturnType<typeof createClusterCoordinator>;

/** Creates the coordinator of one leadership. */
export const createClusterCoordinator = ({state, leadership, startedAtMs}: ClusterCoordinatorOptions) => {
	const directory = createNodeDirectory();
	const leases = createDispatchLeases(startedAtMs);
	const shrinks = new Map<string, Array<{team: string; target: number}>>();
	const grantsCounters = new Map<string, number>();
	const assigning = new Set<string>();
	const openedAtMs = new Map<string, number>();
	let grantsInFlight = false;
	let grantsPlannedMs = -Infinity;
	let teamPools: {version: number; pools: ReadonlyMap<string, ReadonlySet<string>>} | undefined;
	const nodesToPoke = new Set<string>();
	let clusterCounter = 0;
	let cluster: ClusterState | undefined;

	const grantsVersion = (pool: string): string => `${leadership}:${grantsCounters.get(pool) ?? 0}`;

	const deviatesFromDeclaration = (placement: Placement): boolean => {
		const declared = state.publications.catalogue().find('instance', placement.instance)?.pool;
		return placement.work !== undefined || placement.pool !== declared;
	};

	const clusterState = (): ClusterState => {
		cluster ??= {
			version: `${leadership}:${clusterCounter}`,
			assignments: state.assignments.list(),
			nodes: directory.list().map(node => node.address),
			placements: state.placements.list().filter(placement => deviatesFromDeclaration(placement)),
			...(state.evacuations.names().size > 0 && {evacuations: state.evacuations.list()}),
		};
		return cluster;
	};

	const invalidateClusterState = (): void => {
		clusterCounter += 1;
		cluster = undefined;
	};

	/**
	Time left until each node's view from before the assignment expires. A node that has sent a
	heartbeat since then knows the assignment and accepts no ticket of an earlier epoch.
	*/
	const leaseEnds = (openedMs: number, nowMs: number): DispatchOrder['leaseEnds'] => directory.list().map(({address, lastHeartbeatAtMs}) => ({
		entry: address.node,
		leftMs: Math.max(0, Math.ceil(Math.min(lastHeartbeatAtMs, openedMs) + VIEW_LEASE_MS + LEASE_MARGIN_MS - nowMs)),
	}));

	const orderFor = (assignment: Assignment, report: DispatchReport | undefined, nowMs: number): DispatchOrder => {
		const {pool, epoch} = assignment;
		const version = grantsVersion(pool);
		const mayMissNodes = nowMs - startedAtMs < LEADER_SETTLE_MS;
		const openedMs = openedAtMs.get(pool) ?? startedAtMs;
		return {
			pool,
			epoch,
			leaseMs: DISPATCH_LEASE_MS,
			grantsVersion: version,
			grants: report?.grantsVersion === version
				? undefined
				: state.grants.ofPool(pool).map(({team, amount, promise}) => ({
					team, amount, promise: promise?.epoch === epoch ? promise : undefined,
				})),
			shrinks: shrinks.get(pool) ?? [],
			// Before the first dispatcher of a pool, no tickets exist that it would have to account for.
			entries: report?.epoch === epoch || epoch === 1 ? [] : [...directory.names(), ...(mayMissNodes ? [UNKNOWN_NODES] : [])],
			rebuildMs: Math.max(0, Math.round(Math.max(openedMs, startedAtMs) + VIEW_LEASE_MS - nowMs)),
			leaseEnds: report?.epoch === epoch ? [] : leaseEnds(openedMs, nowMs),
		};
	};

	/** Returns grant reductions that dispatchers have promised and that are not committed yet. */
	const promisedShrinks = (heartbeat: Heartbeat): GrantChange[] => heartbeat.dispatch.flatMap(({pool, epoch, promises}) => {
		if (state.assignments.find(pool)?.epoch !== epoch) {
			return [];
		}

		const committedPromises = new Map(state.grants.ofPool(pool).map(grant => [grant.team, grant.promise?.epoch === epoch ? grant.promise.number : 0]));
		return promises
			.filter(({team, number}) => number > (committedPromises.get(team) ?? 0))
			.map(({team, amount, number}) => ({
				pool, team, amount, promise: {epoch, number},
			}));
	});

	const choosePoolNode = (nowMs: number): string | undefined => {
		const load = new Map<string, number>();
		for (const {node} of state.assignments.list()) {
			load.set(node, (load.get(node) ?? 0) + 1);
		}

		for (const pool of assigning) {
			const node = assigningTo.get(pool);
			if (node !== undefined) {
				load.set(node, (load.get(node) ?? 0) + 1);
			}
		}

		const candidates = directory.list().filter(({address, isEntry, draining}) => isEntry && !draining && directory.isLive(address.node, nowMs));
		candidates.sort((left, right) => (load.get(left.address.node) ?? 0) - (load.get(right.address.node) ?? 0) || (left.address.node < right.address.node ? -1 : 1));
		return candidates[0]?.address.node;
	};

	const assigningTo = new Map<string, string>();

	const planAssignments = (nowMs: number): ControlCommand[] => state.publications.catalogue().list('pool').flatMap(({name: pool}) => {
		const assignment = state.assignments.find(pool);
		if (assigning.has(pool) || (assignment && !leases.isOver(assignment, nowMs))) {
			return [];
		}

		const node = choosePoolNode(nowMs);
		if (node === undefined) {
			return [];
		}

		assigning.add(pool);
		assigningTo.set(pool, node);
		return [{
			type: 'assign' as const, pool, node, epoch: (assignment?.epoch ?? 0) + 1,
		}];
	});

	const currentDemands = (): PoolDemand[] => directory.list().flatMap(node => [...node.dispatch.values()]
		.filter(report => state.assignments.find(report.pool)?.epoch === report.epoch && !report.released)
		.flatMap(report => report.demands.map(demand => ({pool: report.pool, ...demand}))));

	/** Pools that each team can use, derived from the access rules of the queues. */
	const poolsOfTeams = (): ReadonlyMap<string, ReadonlySet<string>> => {
		if (teamPools?.version === state.publications.version()) {
			return teamPools.pools;
		}

		const pools = new Map<string, Set<string>>();
		for (const queue of state.publications.catalogue().list('queue')) {
			const teams = queue.access.type === 'open' ? [queue.access.team] : queue.access.teams;
			for (const team of teams) {
				pools.set(team, (pools.get(team) ?? new Set()).add(queue.pool));
			}
		}

		teamPools = {version: state.publications.version(), pools};
		return pools;
	};

	/** Schedules a poke for the pool's dispatcher, so that it fetches its orders with an immediate heartbeat. */
	const schedulePoke = (pool: string): void => {
		const node = state.assignments.find(pool)?.node;
		if (node !== undefined) {
			nodesToPoke.add(node);
		}
	};

	const planGrants = (nowMs: number): ControlCommand[] => {
		if (grantsInFlight || nowMs - grantsPlannedMs < GRANTS_INTERVAL_MS) {
			return [];
		}

		grantsPlannedMs = nowMs;
		shrinks.clear();
		const demandsByTeam = new Map<string, PoolDemand[]>();
		for (const demand of currentDemands()) {
			const list = demandsByTeam.get(demand.team);
			if (list) {
				list.push(demand);
			} else {
				demandsByTeam.set(demand.team, [demand]);
			}
		}

		const changes: GrantChange[] = [];
		for (const [team, pools] of poolsOfTeams()) {
			const plan = planTeamGrants({team, limit: state.limitOf(team), byPool: state.grants.ofTeam(team)}, demandsByTeam.get(team) ?? [], [...pools]);
			changes.push(...plan.growth);
			for (const {pool, target} of plan.shrinks) {
				shrinks.set(pool, [...shrinks.get(pool) ?? [], {team, target}]);
				schedulePoke(pool);
			}
		}

		if (changes.length === 0) {
			return [];
		}

		grantsInFlight = true;
		return [{type: 'grants', changes}];
	};

	return {
		directory,
		clusterState,

		/** Handles a heartbeat. The caller must propose the returned `commands`. */
		heartbeat(heartbeat: Heartbeat, nowMs: number): {reply: HeartbeatReply; commands: ControlCommand[]} {
			if (directory.recordHeartbeat(heartbeat, nowMs)) {
				invalidateClusterState();
			}

			const {node} = heartbeat.address;
			const reports = new Map(heartbeat.dispatch.map(report => [report.pool, report]));
			const dispatch = state.assignments.list().filter(assignment => assignment.node === node).flatMap(assignment => {
				const report = reports.get(assignment.pool);
				const isDispatching = report?.epoch === assignment.epoch;
				if (isDispatching && report.released) {
					leases.release(assignment);
				}

				const renewed = leases.renew(assignment, heartbeat.run, isDispatching, nowMs);
				return renewed ? [orderFor(assignment, report, nowMs)] : [];
			});
			const changes = promisedShrinks(heartbeat);
			const currentCluster = clusterState();
			return {
				reply: {
					type: 'heartbeat-reply',
					seq: heartbeat.seq,
					sentAtMs: heartbeat.sentAtMs,
					leaseMs: VIEW_LEASE_MS,
					viewVersion: state.publications.version(),
					view: state.publications.updateSince(heartbeat.viewVersion),
					cluster: currentCluster.version === heartbeat.clusterVersion ? undefined : currentCluster,
					dispatch,
				},
				commands: changes.length > 0 ? [{type: 'grants', changes}] : [],
			};
		},

		/** Makes the decisions that depend on time. The caller must propose the returned commands. */
		tick(nowMs: number): ControlCommand[] {
			if (directory.removeSilent(nowMs)) {
				invalidateClusterState();
			}

			return [...planAssignments(nowMs), ...planGrants(nowMs)];
		},

		/** Returns and clears the list of nodes that should send a heartbeat at once. */
		takePokes(): string[] {
			const nodes = [...nodesToPoke];
			nodesToPoke.clear();
			return nodes;
		},

		/** Must be called once a command returned by this coordinator has been committed or has failed. */
		onProposalEnded(command: ControlCommand, nowMs: number): void {
			if (command.type === 'assign') {
				assigning.delete(command.pool);
				assigningTo.delete(command.pool);
				const assignment = state.assignments.find(command.pool);
				if (assignment?.epoch === command.epoch && assignment.node === command.node) {
					leases.open(assignment, nowMs);
					openedAtMs.set(command.pool, nowMs);
				}
			}

			if (command.type === 'grants' && command.changes.some(change => change.promise === undefined)) {
				grantsInFlight = false;
			}
		},

		/** Must be called after the state has applied a command, whoever proposed it. */
		onApplied(command: ControlCommand): void {
			switch (command.type) {
				case 'grants': {
					for (const {pool} of command.changes) {
						grantsCounters.set(pool, (grantsCounters.get(pool) ?? 0) + 1);
						schedulePoke(pool);
					}

					// Plan again at the next tick, since the capacity freed by a shrink can be granted.
					if (command.changes.some(change => change.promise !== undefined)) {
						grantsPlannedMs = -Infinity;
					}

					return;
				}

				case 'claim':
				case 'settle': {
					return;
				}

				case 'publish':
				case 'withdraw-key':
				case 'assign':
				case 'place':
				case 'remove':
				case 'start-work':
				case 'advance-work':
				case 'cancel-work':
				case 'evacuate':
				case 'end-evacuation': {
					invalidateClusterState();
				}
			}
		},

		/** Limits and grants by team, for `status`. */
		teamGrants: () => state.publications.catalogue().list('team').map(({name}) => ({
			team: name,
			limit: state.limitOf(name) === UNLIMITED_RUNNING ? undefined : state.limitOf(name),
			granted: state.grants.totalOf(name),
			running: currentDemands().filter(demand => demand.team === name).reduce((sum, demand) => sum + demand.running, 0),
			waiting: currentDemands().filter(demand => demand.team === name).reduce((sum, demand) => sum + demand.waiting, 0),
		})),
	};
};
