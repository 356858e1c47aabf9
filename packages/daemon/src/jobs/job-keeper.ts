/** A keeper of the replicated job state: runs its replica, joins the group, and does the leader's work while it leads. */
import {
	createJobStore, type GroupView, type JobAnswer, type JobStoreSnapshot, type JobCall, type JobCommand, type JobOutcome,
} from '@bronzebend/core';
import {
	createFileDisk, createReplica, decodeBytes, DiskFullError, encodeBytes, openStorage,
} from '@bronzebend/replica';
import type {NotLeading, PeerMessage} from '@bronzebend/wire';
import {decideGroupFormation} from '../keeper/bootstrap.js';
import {createGroupMessages} from '../keeper/group-messages.js';
import type {Log} from '../utils/log.js';
import {createCallRelay} from './call-relay.js';
import {createFormerMemberNotices} from './former-members.js';
import {createGroupRequests, type ResignationResult} from './group-requests.js';
import {createGroupWatch} from './group-watch.js';
import type {JobKeeperOptions, JobReplica, LeaderWork} from './job-keeper-options.js';
import {createLogWrites} from './log-writes.js';
import {createMachineOrderTimes} from './machine-order-times.js';
import {createMemberLag} from './member-lag.js';
import {createMembershipController, describeMembers} from './membership-controller.js';

/** Interval of the replica's ticks, in milliseconds. */
const REPLICA_TICK_INTERVAL_MS = 25;
/** Interval of the checks of the group's membership, in milliseconds. */
const GROUP_CHECK_INTERVAL_MS = 200;
/** Silence of a keeper after which the leader sends it no calls to relay, in milliseconds; three heartbeats. */
const LIVE_KEEPER_MS = 500;
/** Log entries between two snapshots; a snapshot takes about as long as a few hundred entries. */
const SNAPSHOT_ENTRIES = 4000;

/** A running keeper. */
export type JobKeeper = Awaited<ReturnType<typeof createJobKeeper>>;

/** Opens the data folder and starts the keeper. */
export const createJobKeeper = async (options: JobKeeperOptions) => {
	const {node, clock} = options;
	const log: Log = options.logs('keeper');
	const storage = await openStorage(await createFileDisk(options.folder));
	if (storage.tornBytes > 0) {
		log.warn('Removed an incomplete record from the end of the log.', {bytes: storage.tornBytes});
	}

	let store = createJobStore();
	let replica: JobReplica | undefined;
	let work: LeaderWork | undefined;
	let workTerm = -1;
	let stopped = false;
	let forming = false;
	const group = createGroupMessages({self: storage.replica, replica: () => replica, send: options.send});
	let orderTimes = createMachineOrderTimes(options.steadyClock, 0);
	const logWrites = createLogWrites({clock, log, metrics: options.metrics});

	const isLeading = (): boolean => replica?.hasLease() === true;
	const leaderNode = (): string | undefined => replica?.raft.leaderNode();

	const callRelay = createCallRelay({
		clock, log, connect: options.connect, mayStart: life => !store.isLifeEvacuated(life), term: () => replica?.raft.term() ?? 0, send: options.send,
	});

	const view = (): GroupView => ({
		leader: isLeading() ? node : leaderNode(),
		members: replica?.raft.members().map(member => member.node) ?? [],
		leading: isLeading() && work !== undefined,
		maxBodyBytes: store.manifest()?.manifest.maxBodyBytes,
	});

	const liveKeepers = (): string[] => {
		const {raft} = replica!;
		return raft.members().filter(member => member.replica !== storage.replica && clock.monotonicMs() - raft.lastContactMs(member.replica) < LIVE_KEEPER_MS).map(member => member.node);
	};

	const updateWork = (): void => {
		const leads = replica?.raft.role() === 'leader';
		if (work && (!leads || replica!.raft.term() !== workTerm)) {
			log.info('No longer leading.', {term: workTerm, leader: leaderNode()});
			work.stop();
			work = undefined;
		}

		if (!leads || work !== undefined || !isLeading() || stopped) {
			return;
		}

		const current = replica!;
		workTerm = current.raft.term();
		log.info('Leading.', {
			term: workTerm, version: store.manifest()?.manifest.version, openJobs: store.openCount(), members: describeMembers(current.raft.members()),
		});
		work = options.lead({
			term: workTerm, store, isLeading, liveKeepers, propose: async command => current.propose(command), orderAppliedMs: machine => orderTimes.of(machine),
		});
	};

	const startReplica = (): void => {
		const {base, entries} = storage.restored();
		orderTimes = createMachineOrderTimes(options.steadyClock, base.index + entries.length);
		log.info('Opened the log.', {startIndex: base.index, lastIndex: base.index + entries.length, term: storage.restored().hardState.term});
		replica = createReplica<JobOutcome, JobCommand>({
			storage,
			clock,
			timings: options.timings,
			random: options.random,
			snapshotInterval: SNAPSHOT_ENTRIES,
			stateMachine: {
				apply(command, index) {
					if (command.type === 'machine-order') {
						orderTimes.applied(command.machine, index);
					}

					return store.apply(command);
				},
				snapshot: () => encodeBytes(store.snapshot()),
				restore(data) {
					store = createJobStore(decodeBytes(data) as JobStoreSnapshot);
					orderTimes.clear();
				},
			},
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
			onProgress: updateWork,
			onSynced: logWrites.wrote,
			onFatal: options.onFatal,
		});
	};

	const membership = createMembershipController({
		clock, log, groupSize: options.groupSize, replica: () => replica, store: () => store,
	});

	const watch = createGroupWatch({
		clock, log, replica: () => replica, seeds: options.seeds, slowestWriteMs: logWrites.slowestMs,
	});

	const lag = createMemberLag({
		clock, log, metrics: options.metrics, answeredAtMs: membership.answeredAtMs, heardAtMs: watch.heardAtMs,
	});

	const requests = createGroupRequests({
		self: storage.replica,
		node,
		groupSize: options.groupSize,
		clock,
		replica: () => replica,
		seeds: options.seeds,
		handOver: () => group.transferLeadership(membership.isResigning),
		send: options.send,
	});

	const notices = createFormerMemberNotices({
		clock, store: () => store, seeds: options.seeds, send: options.send,
	});

	const keeperNodes = (): string[] => (options.mayForm && options.seeds().includes(node) ? options.seeds() : options.seeds().filter(seed => seed !== node));

	const tryFormGroup = async (): Promise<void> => {
		const decision = decideGroupFormation({node, replica: storage.replica}, keeperNodes(), group.probeReplies);
		if (replica !== undefined || decision.type === 'wait') {
			return;
		}

		try {
			await storage.form(decision.members, new Uint8Array());
		} catch (error) {
			if (!(error instanceof DiskFullError)) {
				throw error;
			}

			log.warn('Could not join the group yet.', {cause: error.message});
			return;
		}

		log.info('Joined the group.', {members: decision.members.length, isMember: decision.members.some(member => member.replica === storage.replica)});
		startReplica();
	};

	const maintainGroup = (): void => {
		if (stopped) {
			return;
		}

		updateWork();
		watch.check();
		if (!replica) {
			// A leader that another keeper has named may be the only one in the group that this keeper can reach.
			for (const other of new Set([...keeperNodes().filter(seed => seed !== node), ...requests.namedLeaders()])) {
				options.send(other, {type: 'probe'});
			}

			if (!forming) {
				forming = true;
				tryFormGroup().catch(options.onFatal).finally(() => {
					forming = false;
				});
			}

			return;
		}

		if (isLeading()) {
			membership.step();
			lag.check(replica);
			notices.notify(view());
		} else {
			lag.reset();
			requests.joinIfNeeded();
		}

		requests.announceLeader(view());
	};

	if (storage.snapshot()) {
		startReplica();
	}

	const timers = [setInterval(() => replica?.tick(), REPLICA_TICK_INTERVAL_MS), setInterval(maintainGroup, GROUP_CHECK_INTERVAL_MS)];
	maintainGroup();

	const answer = async (call: JobCall): Promise<JobAnswer | NotLeading> => {
		updateWork();
		if (!work || !isLeading()) {
			const leader = leaderNode();
			return {type: 'not-leading', leader: leader === node ? undefined : leader};
		}

		return work.answer(call);
	};

	return {
		isLeading,
		view,
		store: () => store,
		replica: () => replica,

		/** Handles a message; returns false if it is not for a keeper. */
		receive(from: string, message: PeerMessage): boolean {
			watch.heard(from);
			if (group.receive(from, message)) {
				return true;
			}

			switch (message.type) {
				case 'join': {
					membership.asked(from, message.replica);
					return true;
				}

				case 'resign': {
					const outcome = membership.resign(from, message.replica, isLeading());
					if (outcome !== 'pending') {
						options.send(from, {type: 'resign-reply', replica: message.replica, outcome});
					}

					return true;
				}

				case 'resign-reply': {
					requests.resignAnswered(message.replica, message.outcome);
					return true;
				}

				case 'view-query': {
					options.send(from, {type: 'view', view: view()});
					return true;
				}

				case 'view': {
					requests.viewHeard(from, message.view);
					// The group client of this process needs it as well.
					return false;
				}

				case 'job-call': {
					answer(message.call).then(result => {
						options.send(from, {type: 'job-answer', id: message.id, answer: result});
					}).catch((error: unknown) => {
						log.error('Answering a job call failed.', {call: message.call.type, cause: String(error)});
					});
					return true;
				}

				case 'worker-calls': {
					callRelay.receive(from, message);
					return true;
				}

				case 'worker-results': {
					if (message.term === workTerm) {
						work?.receiveResults(from, message.results, message.reading);
					}

					return true;
				}

				default: {
					return false;
				}
			}
		},

		/** Stops relaying calls, and hands leadership to the most up-to-date voter; returns true if leadership is being handed over. */
		transferLeadership(): boolean {
			callRelay.drain();
			const successor = group.transferLeadership(membership.isResigning);
			if (successor) {
				log.info('Handing leadership over.', {to: successor.node, term: replica?.raft.term()});
			}

			return successor !== undefined;
		},

		/** Gives up this keeper's vote if the group does not need it; waits for the leader's answer for at most `limitMs`. */
		async resign(limitMs: number): Promise<ResignationResult> {
			const result = await requests.resign(limitMs);
			log.info('Asked to leave the group.', {result});
			return result;
		},

		async stop(): Promise<void> {
			stopped = true;
			for (const timer of timers) {
				clearInterval(timer);
			}

			work?.stop();
			callRelay.close();
			replica?.stop();
			await storage.close();
		},
	};
};
