/**
Drives one replica: agreement, disk, state machine and messages, one event after another.

The disk is written beside the events: what promises durable state waits for its sync, while
heartbeats, and commits that other replicas have made durable, do not wait for a slow disk here.
*/
import type {BronzebendError, Clock, ControlCommand} from '@bronzebend/core';
import type {
	LogEntry, LogPayload, Member, RaftMessage, Snapshot,
} from '@bronzebend/wire';
import {createLogWriter} from './log-writer.js';
import {
	createRaft, type Outgoing, type Raft, type RaftEvent, type RaftOutput, type RaftTimings,
} from './raft.js';
import {NotLeaderError, OutcomeUnknownError} from './replica-errors.js';
import {DiskFullError, type Storage} from './storage.js';

/** Applied entries after which the log is cut by a snapshot. */
export const SNAPSHOT_INTERVAL = 1000;

/** The state that the log drives. */
export type StateMachine<Outcome, Command = ControlCommand> = {
	apply(command: Command, index: number): Outcome;
	snapshot(): Uint8Array<ArrayBuffer>;
	restore(data: Uint8Array): void;
};

/** What a replica is made of. */
export type ReplicaOptions<Outcome, Command = ControlCommand> = {
	storage: Storage;
	stateMachine: StateMachine<Outcome, Command>;
	clock: Clock;
	random: () => number;
	timings?: RaftTimings;
	snapshotInterval?: number;
	send(to: Member, message: RaftMessage): void;
	/** Waits; a fake in tests. */
	sleep(milliseconds: number): Promise<void>;
	/** Called after each batch of events. */
	onProgress?(): void;
	/** The disk failed for good; the process must stop. */
	onFatal(error: unknown): void;
};

type Pending<Outcome> = {term: number; resolve(outcome: Outcome): void; reject(error: BronzebendError): void};
type Proposal<Outcome> = {payload: LogPayload; resolve(outcome: Outcome): void; reject(error: BronzebendError): void};

/** A running replica. */
export type Replica<Outcome, Command = ControlCommand> = ReturnType<typeof createReplica<Outcome, Command>>;

/** Creates a replica on opened storage that belongs to a group. */
export const createReplica = <Outcome, Command = ControlCommand>(options: ReplicaOptions<Outcome, Command>) => {
	const {storage, stateMachine, clock, onProgress} = options;
	const snapshotInterval = options.snapshotInterval ?? SNAPSHOT_INTERVAL;
	const raft: Raft = createRaft({
		replica: storage.replica,
		restored: storage.restored(),
		timings: options.timings,
		random: options.random,
		readSnapshot: () => storage.snapshot(),
		startedAtMs: clock.monotonicMs(),
	});
	const initial = storage.snapshot();
	if (initial && initial.data.length > 0) {
		stateMachine.restore(initial.data);
	}

	let appliedIndex = initial?.index ?? 0;
	let events: RaftEvent[] = [];
	let proposals: Array<Proposal<Outcome>> = [];
	const pending = new Map<number, Pending<Outcome>>();
	let busy = false;
	let stopped = false;
	const isStopped = (): boolean => stopped;

	const deliver = (messages: readonly Outgoing[]): void => {
		for (const {to, message} of messages) {
			const member = raft.members().find(other => other.replica === to);
			if (member) {
				options.send(member, message);
			}
		}
	};

	const applyEntry = (entry: LogEntry): void => {
		appliedIndex = entry.index;
		const waiter = pending.get(entry.index);
		pending.delete(entry.index);
		const outcome = entry.payload.type === 'command' ? stateMachine.apply(entry.payload.command as Command, entry.index) : undefined;
		if (waiter?.term === entry.term) {
			waiter.resolve(outcome as Outcome);
		} else {
			waiter?.reject(new OutcomeUnknownError());
		}
	};

	const rejectPending = (): void => {
		for (const waiter of pending.values()) {
			waiter.reject(new OutcomeUnknownError());
		}

		pending.clear();
	};

	const collect = (output: RaftOutput): void => {
		writer.add(output);
		deliver(output.now);
		for (const entry of output.committed) {
			applyEntry(entry);
		}
	};

	const refuseProposals = (): void => {
		const refused = proposals;
		proposals = [];
		for (const proposal of refused) {
			proposal.reject(new DiskFullError());
		}
	};

	const installSnapshot = async (snapshot: Snapshot): Promise<void> => {
		rejectPending();
		stateMachine.restore(snapshot.data);
		appliedIndex = snapshot.index;
		await storage.saveSnapshot(snapshot, []);
	};

	const takeProposals = (): void => {
		const batch = proposals;
		proposals = [];
		const first = batch[0];
		if (!first) {
			return;
		}

		if (raft.role() !== 'leader') {
			const leader = raft.members().find(member => member.replica === raft.leader())?.node;
			for (const proposal of batch) {
				proposal.reject(new NotLeaderError(leader));
			}

			return;
		}

		events.push({type: 'propose', payloads: batch.map(proposal => proposal.payload)});
		proposedBatch = batch;
	};

	let proposedBatch: Array<Proposal<Outcome>> = [];

	const registerProposals = (proposedAt: number | undefined): void => {
		const batch = proposedBatch;
		proposedBatch = [];
		for (const [offset, proposal] of batch.entries()) {
			if (proposedAt === undefined) {
				proposal.reject(new NotLeaderError(undefined));
			} else {
				pending.set(proposedAt + offset, {term: raft.term(), resolve: proposal.resolve, reject: proposal.reject});
			}
		}
	};

	const handleEvent = async (event: RaftEvent): Promise<void> => {
		if (event.type === 'receive' && event.message.type === 'install') {
			writer.start();
			await writer.drained();
		}

		let output: RaftOutput;
		try {
			output = raft.handle(event, clock.monotonicMs());
		} catch (error) {
			if (event.type !== 'propose') {
				throw error;
			}

			const batch = proposedBatch;
			proposedBatch = [];
			for (const proposal of batch) {
				proposal.reject(error as BronzebendError);
			}

			return;
		}

		if (event.type === 'propose') {
			registerProposals(output.proposedAt);
		}

		if (output.snapshot) {
			await installSnapshot(output.snapshot);
		}

		collect(output);
	};

	const takeSnapshot = async (): Promise<void> => {
		const covered = storage.snapshot()?.index ?? 0;
		if (appliedIndex - covered < snapshotInterval) {
			return;
		}

		await writer.drained();
		if (isStopped()) {
			return;
		}

		const snapshot: Snapshot = {
			index: appliedIndex,
			term: raft.termAt(appliedIndex)!,
			members: raft.membersAt(appliedIndex),
			data: stateMachine.snapshot(),
		};
		try {
			await storage.saveSnapshot(snapshot, raft.entriesAfter(appliedIndex));
			raft.handle({type: 'compacted', index: appliedIndex}, clock.monotonicMs());
		} catch (error) {
			if (!(error instanceof DiskFullError)) {
				throw error;
			}
		}
	};

	const runBatch = async (): Promise<void> => {
		// Proposals gather while the disk is busy, so that one entry's message and sync serve many; a slow disk holds them up to a tick.
		if (!writer.isBusy() || events.some(event => event.type === 'tick')) {
			takeProposals();
		}

		const batch = events;
		events = [];
		for (const event of batch) {
			// Events are handled in order; only a received snapshot makes one wait.
			// eslint-disable-next-line no-await-in-loop
			await handleEvent(event);
		}

		writer.start();
		if (writer.isCongested()) {
			await writer.drained();
		}

		if (raft.role() !== 'leader' && pending.size > 0) {
			rejectPending();
		}

		await takeSnapshot();
		onProgress?.();
	};

	const pump = async (): Promise<void> => {
		if (busy || stopped) {
			return;
		}

		busy = true;
		try {
			while (!isStopped() && (events.length > 0 || (proposals.length > 0 && !writer.isBusy()))) {
				// eslint-disable-next-line no-await-in-loop
				await runBatch();
			}
		} catch (error) {
			stopped = true;
			options.onFatal(error);
		} finally {
			busy = false;
		}
	};

	const writer = createLogWriter({
		storage,
		position() {
			const index = raft.lastIndex();
			return {index, term: raft.termAt(index)!};
		},
		onSynced({index, term}) {
			collect(raft.handle({type: 'synced', index, term}, clock.monotonicMs()));
		},
		deliver,
		onDiskFull: refuseProposals,
		onProgress: () => onProgress?.(),
		onIdle() {
			void pump();
		},
		onFatal(error) {
			stopped = true;
			options.onFatal(error);
		},
		sleep: options.sleep,
	});

	const push = (event: RaftEvent): void => {
		events.push(event);
		void pump();
	};

	const proposePayload = async (payload: LogPayload): Promise<Outcome> => new Promise<Outcome>((resolve, reject) => {
		if (writer.isDiskFull()) {
			reject(new DiskFullError());
			return;
		}

		proposals.push({payload, resolve, reject});
		void pump();
	});

	return {
		replica: storage.replica,
		raft,
		isDiskFull: writer.isDiskFull,
		appliedIndex: () => appliedIndex,

		tick(): void {
			push({type: 'tick'});
		},

		receive(from: string, message: RaftMessage): void {
			push({type: 'receive', from, message});
		},

		/**
		Proposes a command and waits until it is committed and applied.

		@throws {NotLeaderError} This replica does not lead.
		@throws {OutcomeUnknownError} Leadership ended first.
		@throws {DiskFullError} There is no room for it.
		*/
		propose: async (command: Command): Promise<Outcome> => proposePayload({type: 'command', command}),

		/** Proposes new members; see {@link propose} for errors. */
		async changeMembers(members: Member[]): Promise<void> {
			await proposePayload({type: 'members', members});
		},

		/** Offers leadership to another voter. */
		transfer(to: string): void {
			push({type: 'transfer', to});
		},

		/** True while what is applied here is the latest accepted state. */
		hasLease: (): boolean => raft.hasLease(clock.monotonicMs()) && appliedIndex >= raft.commitIndex(),

		stop(): void {
			stopped = true;
			writer.stop();
			rejectPending();
			refuseProposals();
		},
	};
};
