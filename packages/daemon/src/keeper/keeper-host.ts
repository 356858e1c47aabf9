/** A keeper: one replica of the shared state, and the leader's work while it leads. */
import {
	createControlState,
	type Clock, type ControlCommand, type ControlOutcome, type ControlSnapshot, type ControlState,
} from '@bronzebend/core';
import {
	createFileDisk, createReplica, decodeBytes, encodeBytes, lockFolder, NotLeaderError, openStorage, type Replica,
} from '@bronzebend/replica';
import type {
	Heartbeat, LeaderCall, Member, PeerMessage,
} from '@bronzebend/wire';
import {createLeaderDesk, type LeaderDesk} from '../leader/leader-desk.js';
import type {Platform} from '../leader/platform-client.js';
import {
	createWorkRunner, PLAN_MS, type WorkRunner,
} from '../leader/work-runner.js';
import type {Log} from '../utils/log.js';
import {decideForming} from './bootstrap.js';
import {createGroupMessages} from './group-messages.js';
import {createMemberChanges} from './member-changes.js';
import {createLeaderCalls} from './leader-calls.js';

/** Pause between two ticks of the replica, in milliseconds. */
const REPLICA_TICK_MS = 25;
/** Pause between two ticks of the leader's desk, in milliseconds. */
const DESK_TICK_MS = 100;
/** Pause between two probes while no group is formed, in milliseconds. */
const PROBE_MS = 250;

/** What a keeper is made of. */
export type KeeperHostOptions = {
	node: string;
	folder: string;
	keepers: readonly string[];
	clock: Clock;
	random: () => number;
	log: Log;
	platform: Platform;
	send(to: string, message: PeerMessage): void;
	onFatal(error: unknown): void;
};

/** A running keeper. */
export type KeeperHost = Awaited<ReturnType<typeof createKeeperHost>>;

/** Opens the data folder and starts the keeper. */
export const createKeeperHost = async (options: KeeperHostOptions) => {
	const {node, clock, log, keepers} = options;
	const lock = await lockFolder(options.folder);
	const disk = await createFileDisk(options.folder);
	const storage = await openStorage(disk);
	if (storage.tornBytes > 0) {
		log.warn('Cut a torn record off the log.', {bytes: storage.tornBytes});
	}

	let state: ControlState = createControlState();
	let replica: Replica<ControlOutcome> | undefined;
	let desk: LeaderDesk | undefined;
	let runner: WorkRunner | undefined;
	let leadingSinceMs = 0;
	let deskTerm = -1;
	let stopped = false;
	const group = createGroupMessages({self: storage.replica, replica: () => replica, send: options.send});
	const timers: NodeJS.Timeout[] = [];

	const pokeNodes = (): void => {
		for (const name of desk?.directory.names() ?? []) {
			options.send(name, {type: 'poke'});
		}
	};

	const sendPokes = (): void => {
		for (const name of desk?.takePokes() ?? []) {
			options.send(name, {type: 'poke'});
		}
	};

	const isFelt = (command: ControlCommand): boolean => command.type !== 'claim' && command.type !== 'settle' && command.type !== 'grants';

	const stateMachine = {
		apply(command: ControlCommand): ControlOutcome {
			const outcome = state.apply(command);
			desk?.applied(command);
			if (desk && isFelt(command)) {
				setImmediate(pokeNodes);
			} else if (desk) {
				setImmediate(sendPokes);
			}

			return outcome;
		},
		snapshot: () => encodeBytes(state.snapshot()),
		restore(data: Uint8Array): void {
			state = createControlState(decodeBytes(data) as ControlSnapshot);
		},
	};

	const updateDesk = (): void => {
		if (replica?.raft.role() !== 'leader') {
			if (desk) {
				log.info('No longer leading.', {term: deskTerm});
			}

			desk = undefined;
			runner = undefined;
			return;
		}

		if (replica.hasLease() && (!desk || deskTerm !== replica.raft.term())) {
			deskTerm = replica.raft.term();
			leadingSinceMs = clock.monotonicMs();
			desk = createLeaderDesk({state, leadership: `${storage.replica.slice(0, 8)}.${deskTerm}`, startedAtMs: leadingSinceMs});
			runner = createWorkRunner({
				state, directory: desk.directory, platform: options.platform, clock, log, startedAtMs: leadingSinceMs, propose: proposeAll,
			});
			log.info('Leading.', {term: deskTerm, version: state.publications.version()});
		}
	};

	const startReplica = (): void => {
		replica = createReplica<ControlOutcome>({
			storage,
			stateMachine,
			clock,
			random: options.random,
			send(to: Member, message) {
				options.send(to.node, {
					type: 'raft', from: storage.replica, to: to.replica, message,
				});
			},
			async sleep(milliseconds) {
				return new Promise(resolve => {
					setTimeout(resolve, milliseconds);
				});
			},
			onProgress: updateDesk,
			onFatal: options.onFatal,
		});
	};

	const proposeOne = async (command: ControlCommand): Promise<void> => {
		const proposingDesk = desk;
		try {
			await replica?.propose(command);
		} catch (error) {
			log.debug('A decision was not committed.', {reason: String(error)});
		}

		proposingDesk?.settled(command, clock.monotonicMs());
	};

	const proposeAll = (commands: readonly ControlCommand[]): void => {
		for (const command of commands) {
			void proposeOne(command);
		}
	};

	const leaderNode = (): string | undefined => replica?.raft.members().find(member => member.replica === replica?.raft.leader())?.node;

	const memberChanges = createMemberChanges({
		replica: () => replica,
		probe(name) {
			options.send(name, {type: 'probe'});
		},
		replicaOf: name => group.probeReplies.get(name)?.replica,
	});

	const answer = createLeaderCalls({
		node,
		clock,
		memberChanges,
		leading() {
			if (replica?.hasLease() === true && desk && runner) {
				return {
					replica, desk, runner, state, sinceMs: leadingSinceMs,
				};
			}

			throw new NotLeaderError(leaderNode());
		},
	});

	const onCall = async (from: string, id: number, call: LeaderCall): Promise<void> => {
		const result = await answer(call);
		options.send(from, {type: 'call-reply', id, result});
	};

	const onHeartbeat = (from: string, heartbeat: Heartbeat): void => {
		updateDesk();
		if (replica?.hasLease() !== true || desk === undefined) {
			const leader = leaderNode();
			options.send(from, {type: 'not-leader', seq: heartbeat.seq, leader: leader === node ? undefined : leader});
			return;
		}

		const {reply, commands} = desk.heartbeat(heartbeat, clock.monotonicMs());
		options.send(from, reply);
		proposeAll(commands);
	};

	const form = async (): Promise<void> => {
		const decision = decideForming({node, replica: storage.replica}, keepers, group.probeReplies);
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
		form().catch(options.onFatal).finally(() => {
			forming = false;
		});
	};

	if (storage.snapshot()) {
		startReplica();
	}

	timers.push(
		setInterval(() => replica?.tick(), REPLICA_TICK_MS),
		setInterval(() => {
			updateDesk();
			if (desk && replica?.hasLease()) {
				proposeAll(desk.tick(clock.monotonicMs()));
				sendPokes();
			}
		}, DESK_TICK_MS),
		setInterval(() => {
			if (replica?.hasLease()) {
				runner?.step();
			}
		}, PLAN_MS),
		setInterval(probe, PROBE_MS),
	);
	probe();

	return {
		isLeading: () => desk !== undefined && replica?.hasLease() === true,
		replica: () => replica,
		state: () => state,

		/** Takes a message; returns false where it is not for a keeper. */
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

		/** Hands leadership to the voter that is furthest along. */
		handOver(): void {
			group.handOver();
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
