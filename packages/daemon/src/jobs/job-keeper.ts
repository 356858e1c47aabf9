/** One keeper of the job record: its replica, its place in the group, and the leader's work while it leads. */
import {
	createJobBook,
	type CarriedResult, type Clock, type GroupView, type JobAnswer, type JobBook, type JobBookSnapshot, type JobCall, type JobCommand, type JobOutcome,
} from '@bronzebend/core';
import {
	createFileDisk, createReplica, decodeBytes, encodeBytes, openStorage, type RaftTimings, type Replica,
} from '@bronzebend/replica';
import type {Member, NotLeading, PeerMessage} from '@bronzebend/wire';
import {decideForming} from '../keeper/bootstrap.js';
import {createGroupMessages} from '../keeper/group-messages.js';
import type {Log, LogFactory} from '../utils/log.js';
import {createCallCarrier} from './call-carrier.js';
import {createMemberKeeper} from './member-keeper.js';
import type {WorkerConnector} from './ports.js';

/** Pause between two ticks of the replica, in milliseconds. */
const REPLICA_TICK_MS = 25;
/** Pause between two looks at the group, in milliseconds. */
const GROUP_MS = 200;
/** Silence of a keeper after which it makes no calls for the leader, in milliseconds; three heartbeats. */
const LIVE_KEEPER_MS = 500;
/** Log entries between two snapshots; a snapshot takes about as long as a few hundred of them. */
const SNAPSHOT_ENTRIES = 4000;

/** A replica of the job record. */
export type JobReplica = Replica<JobOutcome, JobCommand>;

/** The leader's work during one term. */
export type LeaderWork = {
	answer(call: JobCall): Promise<JobAnswer>;
	/** Takes what became of calls that another keeper made. */
	carried(results: readonly CarriedResult[]): void;
	stop(): void;
};

/** What a leader's work is given. */
export type LeaderContext = {
	term: number;
	book: JobBook;
	propose(command: JobCommand): Promise<JobOutcome>;
	isLeading(): boolean;
	/** Nodes of the other keepers that answered lately. */
	liveKeepers(): string[];
	/** When this process applied the last order to a machine, on its own steady clock; undefined where a snapshot had it. */
	orderAppliedMs(machine: string): number | undefined;
};

/** What a keeper is made of. */
export type JobKeeperOptions = {
	node: string;
	folder: string;
	/** Nodes that the settings name. */
	seeds(): string[];
	/** May form a group where nobody has one. */
	mayForm: boolean;
	/** Voters that the group should have. */
	groupSize: number;
	clock: Clock;
	/** Never runs ahead, not even after a suspension; spans that must have passed are counted on it. */
	steadyClock: Clock;
	timings?: RaftTimings;
	random: () => number;
	logs: LogFactory;
	send(to: string, message: PeerMessage): void;
	/** Opens calls to workers, which this process makes while another keeper leads. */
	connect: WorkerConnector;
	lead(context: LeaderContext): LeaderWork;
	onFatal(error: unknown): void;
};

/** A running keeper. */
export type JobKeeper = Awaited<ReturnType<typeof createJobKeeper>>;

/** Opens the data folder and starts the keeper. */
export const createJobKeeper = async (options: JobKeeperOptions) => {
	const {node, clock} = options;
	const log: Log = options.logs('keeper');
	const storage = await openStorage(await createFileDisk(options.folder));
	if (storage.tornBytes > 0) {
		log.warn('Cut a torn record off the log.', {bytes: storage.tornBytes});
	}

	let book = createJobBook();
	let replica: JobReplica | undefined;
	let work: LeaderWork | undefined;
	let workTerm = -1;
	let stopped = false;
	let forming = false;
	const group = createGroupMessages({self: storage.replica, replica: () => replica, send: options.send});
	const ordersAppliedMs = new Map<string, number>();

	const isLeading = (): boolean => replica?.hasLease() === true;
	const leaderNode = (): string | undefined => replica?.raft.members().find(member => member.replica === replica?.raft.leader())?.node;

	const carrier = createCallCarrier({
		clock, log, connect: options.connect, term: () => replica?.raft.term() ?? 0, send: options.send,
	});

	const liveKeepers = (): string[] => {
		const {raft} = replica!;
		return raft.members().filter(member => member.replica !== storage.replica && clock.monotonicMs() - raft.heardMs(member.replica) < LIVE_KEEPER_MS).map(member => member.node);
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
		log.info('Leading.', {term: workTerm, version: book.manifest()?.manifest.version, openJobs: book.openCount()});
		work = options.lead({
			term: workTerm, book, isLeading, liveKeepers, propose: async command => current.propose(command), orderAppliedMs: machine => ordersAppliedMs.get(machine),
		});
	};

	const startReplica = (): void => {
		replica = createReplica<JobOutcome, JobCommand>({
			storage,
			clock,
			timings: options.timings,
			random: options.random,
			snapshotInterval: SNAPSHOT_ENTRIES,
			stateMachine: {
				apply(command) {
					if (command.type === 'machine-order') {
						ordersAppliedMs.set(command.machine, options.steadyClock.monotonicMs());
					}

					return book.apply(command);
				},
				snapshot: () => encodeBytes(book.snapshot()),
				restore(data) {
					book = createJobBook(decodeBytes(data) as JobBookSnapshot);
					ordersAppliedMs.clear();
				},
			},
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
			onProgress: updateWork,
			onFatal: options.onFatal,
		});
	};

	const members = createMemberKeeper({
		clock, log, groupSize: options.groupSize, replica: () => replica, book: () => book,
	});

	const keeperNodes = (): string[] => (options.mayForm && options.seeds().includes(node) ? options.seeds() : options.seeds().filter(seed => seed !== node));

	const form = async (): Promise<void> => {
		const decision = decideForming({node, replica: storage.replica}, keeperNodes(), group.probeReplies);
		if (replica !== undefined || decision.type === 'wait') {
			return;
		}

		await storage.form(decision.members, new Uint8Array());
		log.info('Joined the group.', {members: decision.members.length, isMember: decision.members.some(member => member.replica === storage.replica)});
		startReplica();
	};

	const lookAtGroup = (): void => {
		if (stopped) {
			return;
		}

		updateWork();
		if (!replica) {
			for (const seed of keeperNodes().filter(other => other !== node)) {
				options.send(seed, {type: 'probe'});
			}

			if (!forming) {
				forming = true;
				form().catch(options.onFatal).finally(() => {
					forming = false;
				});
			}

			return;
		}

		if (isLeading()) {
			members.step();
		} else if (replica.raft.role() !== 'leader' && !replica.raft.members().some(member => member.replica === storage.replica && member.voter)) {
			// The leader may be one that this replica has not heard of.
			const targets = new Set([...options.seeds(), ...replica.raft.members().map(member => member.node)]);
			targets.delete(node);
			for (const target of targets) {
				options.send(target, {type: 'join', replica: storage.replica});
			}
		}
	};

	if (storage.snapshot()) {
		startReplica();
	}

	const timers = [setInterval(() => replica?.tick(), REPLICA_TICK_MS), setInterval(lookAtGroup, GROUP_MS)];
	lookAtGroup();

	const view = (): GroupView => ({
		leader: isLeading() ? node : leaderNode(),
		members: replica?.raft.members().map(member => member.node) ?? [],
		leading: isLeading() && work !== undefined,
		maxBodyBytes: book.manifest()?.manifest.maxBodyBytes,
	});

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
		book: () => book,
		replica: () => replica,

		/** Takes a message; returns false where it is not for a keeper. */
		receive(from: string, message: PeerMessage): boolean {
			if (group.receive(from, message)) {
				return true;
			}

			switch (message.type) {
				case 'join': {
					members.asked(from, message.replica);
					return true;
				}

				case 'view-query': {
					options.send(from, {type: 'view', view: view()});
					return true;
				}

				case 'job-call': {
					answer(message.call).then(result => {
						options.send(from, {type: 'job-answer', id: message.id, answer: result});
					}).catch((error: unknown) => {
						log.error('A call failed.', {call: message.call.type, cause: String(error)});
					});
					return true;
				}

				case 'worker-calls': {
					carrier.receive(from, message);
					return true;
				}

				case 'worker-results': {
					if (message.term === workTerm) {
						work?.carried(message.results);
					}

					return true;
				}

				default: {
					return false;
				}
			}
		},

		/** Hands leadership to the voter that is furthest along, and calls to workers back; true where there was leadership to hand over. */
		handOver(): boolean {
			carrier.drain();
			const heir = group.handOver();
			if (heir) {
				log.info('Handing leadership over.', {to: heir.node, term: replica?.raft.term()});
			}

			return heir !== undefined;
		},

		async stop(): Promise<void> {
			stopped = true;
			for (const timer of timers) {
				clearInterval(timer);
			}

			work?.stop();
			carrier.close();
			replica?.stop();
			await storage.close();
		},
	};
};
