/** A keeper: a replica of the shared state, which also coordinates the cluster while it leads. */
import {
	createControlState,
	type Clock, type ControlCommand, type ControlOutcome, type ControlSnapshot, type ControlState,
} from '@bronzebend/core';
import {
	createFileDisk, createReplica, decodeBytes, encodeBytes, lockFolder, NotLeaderError, openStorage, type Replica,
} from '@bronzebend/replica';
import type {
	Heartbeat, LeaderCall, PeerMessage,
} from '@bronzebend/wire';
import {createClusterCoordinator, type ClusterCoordinator} from '../leader/cluster-coordinator.js';
import type {Platform} from '../leader/platform-client.js';
import {
	createWorkRunner, PLAN_INTERVAL_MS, type WorkRunner,
} from '../leader/work-runner.js';
import type {Log} from '../utils/log.js';
import {decideGroupFormation} from './bootstrap.js';
import {createGroupMessages} from './group-messages.js';
import {createMemberChanges} from './member-changes.js';
import {createLeaderCalls} from './leader-calls.js';

/** Interval between ticks of the replica, in milliseconds. */
const REPLICA_TICK_MS = 25;
/** Interval between ticks of the leader's coordinator, in milliseconds. */
const COORDINATOR_TICK_MS = 100;
/** Interval between probes while no group is formed, in milliseconds. */
const PROBE_INTERVAL_MS = 250;

/** Options of a keeper. */
export type KeeperHostOptions = {
	node: string;
	folder: string;
	keepers: readonly string[];
	clock: Clock;
	random: () => number;
	log: Log;
	platform: Platform;
	send(to: string, message: PeerMessage): void;
	/** Returns the address of a node; undefined while unknown. */
	locate(node: string): {host: string; port: number} | undefined;
	onFatal(error: unknown): void;
};

/** A running keeper. */
export type KeeperHost = Awaited<ReturnType<typeof createKeeperHost>>;

/** Locks and opens the data folder, and starts the keeper. */
export const createKeeperHost = async (options: KeeperHostOptions) => {
	const {node, clock, log, keepers} = options;
	const lock = await lockFolder(options.folder);
	const disk = await createFileDisk(options.folder);
	const storage = await openStorage(disk);
	if (storage.tornBytes > 0) {
		log.warn('Removed an incomplete record from the end of the log.', {bytes: storage.tornBytes});
	}

	let state: ControlState = createControlState();
	let replica: Replica<ControlOutcome> | undefined;
	let coordinator: ClusterCoordinator | undefined;
	let runner: WorkRunner | undefined;
	let leadingSinceMs = 0;
	let coordinatorTerm = -1;
	let stopped = false;
	const group = createGroupMessages({self: storage.replica, replica: () => replica, send: options.send});
	const timers: NodeJS.Timeout[] = [];

	const pokeNodes = (): void => {
		for (const name of coordinator?.directory.names() ?? []) {
			options.send(name, {type: 'poke'});
		}
	};

	const sendPokes = (): void => {
		for (const name of coordinator?.takePokes() ?? []) {
			options.send(name, {type: 'poke'});
		}
	};

	const affectsNodes = (command: ControlCommand): boolean => command.type !== 'claim' && command.type !== 'settle' && command.type !== 'grants';

	const logEvacuation = (command: ControlCommand): void => {
		if (command.type === 'evacuate') {
			log.info('Evacuation of a data centre accepted.', {dataCentre: command.dataCentre});
		} else if (command.type === 'end-evacuation') {
			log.info('Evacuation of a data centre withdrawn.', {dataCentre: command.dataCentre});
		}
	};

	const stateMachine = {
		apply(command: ControlCommand): ControlOutcome {
			const outcome = state.apply(command);
			coordinator?.onApplied(command);
			if (coordinator && outcome.type === 'evacuation' && outcome.outcome.type === 'accepted' && outcome.outcome.changed) {
				logEvacuation(command);
			}

			if (coordinator && affectsNodes(command)) {
				setImmediate(pokeNodes);
			} else if (coordinator) {
				setImmediate(sendPokes);
			}

			return outcome;
		},
		snapshot: () => encodeBytes(state.snapshot()),
		restore(data: Uint8Array): void {
			state = createControlState(decodeBytes(data) as ControlSnapshot);
		},
	};

	const updateLeadership = (): void => {
		if (replica?.raft.role() !== 'leader') {
			if (coordinator) {
				log.info('No longer leading.', {term: coordinatorTerm});
			}

			coordinator = undefined;
			runner = undefined;
			return;
		}

		if (replica.hasLease() && (!coordinator || coordinatorTerm !== replica.raft.term())) {
			coordinatorTerm = replica.raft.term();
			leadingSinceMs = clock.monotonicMs();
			coordinator = createClusterCoordinator({state, leadership: `${storage.replica.slice(0, 8)}.${coordinatorTerm}`, startedAtMs: leadingSinceMs});
			runner = createWorkRunner({
				state, directory: coordinator.directory, platform: options.platform, clock, log, startedAtMs: leadingSinceMs, propose: proposeAll,
			});
			log.info('Leading.', {term: coordinatorTerm, version: state.publications.version()});
		}
	};

	const startReplica = (): void => {
		replica = createReplica<ControlOutcome>({
			storage,
			stateMachine,
			clock,
			random: options.random,
			send(to, message) {
				options.send(to.node, {
					type: 'raft', from: storage.replica, to: to.replica, message,
				});
			},
			async sleep(milliseconds) {
				return new Promise(resolve => {
					setTimeout(resolve, milliseconds);
				});
			},
			onProgress: updateLeadership,
			onFatal: options.onFatal,
		});
	};

	const proposeOne = async (command: ControlCommand): Promise<void> => {
		const proposingCoordinator = coordinator;
		try {
			await replica?.propose(command);
		} catch (error) {
			log.debug('A command of the leader was not committed.', {reason: String(error)});
		}

		proposingCoordinator?.onProposalEnded(command, clock.monotonicMs());
	};

	const proposeAll = (commands: readonly ControlCommand[]): void => {
		for (const command of commands) {
			void proposeOne(command);
		}
	};

	const leaderNode = (): string | undefined => replica?.raft.leaderNode();

	const memberChanges = createMemberChanges({
		replica: () => replica,
		probe(name) {
			options.send(name, {type: 'probe'});
		},
		replicaOf: name => group.probeReplies.get(name)?.replica,
	});

	const handleCall = createLeaderCalls({
		node,
		clock,
		memberChanges,
		leading() {
			if (replica?.hasLease() === true && coordinator && runner) {
				return {
					replica, coordinator, runner, state, sinceMs: leadingSinceMs,
				};
			}

			throw new NotLeaderError(leaderNode());
		},
	});

	const onCall = async (from: string, id: number, call: LeaderCall): Promise<void> => {
		const result = await handleCall(call);
		options.send(from, {type: 'call-reply', id, result});
	};

	const onHeartbeat = (from: string, heartbeat: Heartbeat): void => {
		updateLeadership();
		if (replica?.hasLease() !== true || coordinator === undefined) {
			const leader = leaderNode();
			const address = leader === undefined || leader === node || keepers.includes(leader) ? undefined : options.locate(leader);
			if (address) {
				// The sender's settings may be as old as ours, and only the leader would send it a view that names the address.
				options.send(from, {
					type: 'node-address', node: leader!, host: address.host, port: address.port,
				});
			}

			options.send(from, {type: 'not-leader', seq: heartbeat.seq, leader: leader === node ? undefined : leader});
			return;
		}

		const {reply, commands} = coordinator.heartbeat(heartbeat, clock.monotonicMs());
		options.send(from, reply);
		proposeAll(commands);
	};

	const formGroup = async (): Promise<void> => {
		const decision = decideGroupFormation({node, replica: storage.replica}, keepers, group.probeReplies);
		if (replica !== undefined || decision.type === 'wait') {
			return;
		}

		await storage.form(decision.members, new Uint8Array());
		const isMember = decision.members.some(member => member.replica === storage.replica);
		log.info(isMember ? 'Joined the group of keepers.' : 'Waiting to be added to the group of keepers.', {members: decision.members.length});
		startReplica();
	};

	let forming = false;
	const probe = (): void => {
		if (replica !== undefined || forming || stopped) {
			return;
		}

		for (const name of keepers.filter(keeper => keeper !== node)) {
			options.send(name, {type: 'probe'});
		}

		forming = true;
		formGroup().catch(options.onFatal).finally(() => {
			forming = false;
		});
	};

	if (storage.snapshot()) {
		startReplica();
	}

	timers.push(
		setInterval(() => replica?.tick(), REPLICA_TICK_MS),
		setInterval(() => {
			updateLeadership();
			if (coordinator && replica?.hasLease()) {
				proposeAll(coordinator.tick(clock.monotonicMs()));
				sendPokes();
			}
		}, COORDINATOR_TICK_MS),
		setInterval(() => {
			if (replica?.hasLease()) {
				runner?.step();
			}
		}, PLAN_INTERVAL_MS),
		setInterval(probe, PROBE_INTERVAL_MS),
	);
	probe();

	return {
		isLeading: () => coordinator !== undefined && replica?.hasLease() === true,
		replica: () => replica,
		state: () => state,

		/** Handles a message. Returns false if it is not for a keeper. */
		receive(from: string, message: PeerMessage): boolean {
			if (group.receive(from, message)) {
				return true;
			}

			switch (message.type) {
				case 'heartbeat': {
					onHeartbeat(from, message);
					return true;
				}

				case 'call': {
					void onCall(from, message.id, message.call);
					return true;
				}

				default: {
					return false;
				}
			}
		},

		/** Transfers leadership to the voter with the longest matching log. */
		transferLeadership(): void {
			group.transferLeadership();
		},

		async stop(): Promise<void> {
			stopped = true;
			for (const timer of timers) {
				clearInterval(timer);
			}

			replica?.stop();
			await storage.close();
			await lock.release();
		},
	};
};
