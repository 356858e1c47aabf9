/**
Runs one replica: handles events one after another with Raft, disk, state machine and messages.

The disk is written in the background, snapshots included: messages that depend on durable state wait for their
sync, while heartbeats, and commits that other replicas have made durable, do not wait for a slow local disk.
*/
import type {BronzebendError, Clock, ControlCommand} from '@bronzebend/core';
import type {
	LogEntry, LogPayload, Member, RaftMessage, Snapshot,
} from '@bronzebend/wire';
import {createLogWriter} from './log-writer.js';
import type {
	Outgoing, Peer, RaftEvent, RaftOutput,
} from './raft-events.js';
import {
	createUnattended, splitProposals, type Pending, type Proposal,
} from './proposals.js';
import type {RaftTimings} from './raft-timings.js';
import {createRaft, type Raft} from './raft.js';
import {NotLeaderError, OutcomeUnknownError} from './replica-errors.js';
import {isSnapshotDue, SNAPSHOT_INTERVAL_ENTRIES} from './snapshot-policy.js';
import {createSnapshotSaver} from './snapshot-saver.js';
import {DiskFullError, type Storage} from './storage.js';

/** State machine to which committed commands are applied. */
export type StateMachine<Outcome, Command = ControlCommand> = {
	apply(command: Command, index: number): Outcome;
	snapshot(): Uint8Array<ArrayBuffer>;
	restore(data: Uint8Array): void;
};

/** Options of {@link createReplica}. */
export type ReplicaOptions<Outcome, Command = ControlCommand> = {
	storage: Storage;
	stateMachine: StateMachine<Outcome, Command>;
	clock: Clock;
	random: () => number;
	timings?: RaftTimings;
	snapshotInterval?: number;
	send(to: Peer, message: RaftMessage): void;
	/** Waits for a time; replaced by a fake in tests. */
	sleep(milliseconds: number): Promise<void>;
	/** Called after each batch of events. */
	onProgress?(): void;
	/** Called after each write to the log, with its duration in milliseconds. */
	onSynced?(tookMs: number): void;
	/** Called on an unrecoverable error, such as a failed disk; the process must stop. */
	onFatal(error: unknown): void;
};

/** A running replica. */
export type Replica<Outcome, Command = ControlCommand> = ReturnType<typeof createReplica<Outcome, Command>>;

/** Creates a replica on open storage that already belongs to a group. */
export const createReplica = <Outcome, Command = ControlCommand>(options: ReplicaOptions<Outcome, Command>) => {
	const {storage, stateMachine, clock, onProgress} = options;
	const snapshotInterval = options.snapshotInterval ?? SNAPSHOT_INTERVAL_ENTRIES;
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
	const events: RaftEvent[] = [];
	const proposals: Array<Proposal<Outcome>> = [];
	const pending = new Map<number, Pending<Outcome>>();
	let busy = false;
	let stopped = false;
	const isStopped = (): boolean => stopped;
	const saver = createSnapshotSaver({
		storage, clock, sleep: options.sleep, isStopped,
	});

	const deliver = (messages: readonly Outgoing[]): void => {
		for (const {to, message} of messages) {
			if (to.replica === storage.replica) {
				events.push({type: 'receive', from: to, message});
			} else {
				options.send(to, message);
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

	const applyOutput = (output: RaftOutput): void => {
		writer.add(output);
		deliver(output.beforeSync);
		for (const entry of output.committed) {
			applyEntry(entry);
		}
	};

	/** Rejects the proposals that are not in the log and never will be. */
	const rejectProposals = (createError: () => BronzebendError): void => {
		for (const proposal of proposals.splice(0)) {
			proposal.reject(createError());
		}
	};

	const restoreSnapshot = (snapshot: Snapshot): void => {
		rejectPending();
		stateMachine.restore(snapshot.data);
		appliedIndex = snapshot.index;
	};

	const submitProposals = (): void => {
		const batch = proposals.splice(0);
		const first = batch[0];
		if (!first) {
			return;
		}

		if (raft.role() !== 'leader') {
			for (const proposal of batch) {
				proposal.reject(new NotLeaderError(raft.leaderNode()));
			}

			return;
		}

		proposedBatches = splitProposals(batch);
		events.push(...proposedBatches.map((list): RaftEvent => ({type: 'propose', payloads: list.map(({payload}) => payload)})));
	};

	/** The proposals of each event that is to be handled, the next first. */
	let proposedBatches: Array<Array<Proposal<Outcome>>> = [];

	const registerProposals = (batch: ReadonlyArray<Proposal<Outcome>>, firstProposedIndex: number | undefined): void => {
		for (const [offset, proposal] of batch.entries()) {
			if (firstProposedIndex === undefined) {
				proposal.reject(new NotLeaderError(undefined));
			} else {
				pending.set(firstProposedIndex + offset, {term: raft.term(), resolve: proposal.resolve, reject: proposal.reject});
			}
		}
	};

	const handleEvent = (event: RaftEvent): void => {
		const proposed = event.type === 'propose' ? proposedBatches.shift()! : [];
		let output: RaftOutput;
		try {
			output = raft.handle(event, clock.monotonicMs());
		} catch (error) {
			if (event.type !== 'propose') {
				throw error;
			}

			for (const proposal of proposed) {
				proposal.reject(error as BronzebendError);
			}

			return;
		}

		if (event.type === 'propose') {
			registerProposals(proposed, output.firstProposedIndex);
		}

		if (output.snapshot) {
			restoreSnapshot(output.snapshot);
		}

		applyOutput(output);
	};

	const mayTakeSnapshot = (): boolean => {
		const last = storage.snapshot();
		const growth = {entries: appliedIndex - (last?.index ?? 0), bytes: storage.grownBytes(), snapshotBytes: last?.data.length ?? 0};
		return isSnapshotDue(growth, snapshotInterval) && saver.mayTake();
	};

	/** Takes a snapshot of the state now, and returns a function that saves it while further events are handled. */
	const takeSnapshot = (): () => Promise<void> => {
		const index = appliedIndex;
		const snapshot: Snapshot = {
			index, term: raft.termAt(index)!, members: raft.membersAt(index), data: stateMachine.snapshot(),
		};
		const entriesAfter = raft.entriesAfter(index);
		return async () => {
			if (await saver.take(snapshot, entriesAfter) && !isStopped()) {
				raft.handle({type: 'compacted', index}, clock.monotonicMs());
			}
		};
	};

	const runBatch = async (): Promise<void> => {
		// Proposals are collected while the disk is busy, so that many share one append message and one sync; a slow disk delays them by at most a tick.
		if (!writer.isBusy() || events.some(event => event.type === 'tick')) {
			submitProposals();
		}

		const batch = events.splice(0);
		for (const event of batch) {
			handleEvent(event);
		}

		writer.start();
		if (writer.isCongested()) {
			await writer.drained();
		}

		if (raft.role() !== 'leader' && pending.size > 0) {
			rejectPending();
		}

		onProgress?.();
	};

	const processEvents = async (): Promise<void> => {
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
		saver,
		clock,
		isSnapshotDue: mayTakeSnapshot,
		takeSnapshot,
		lastPosition() {
			const index = raft.lastIndex();
			return {index, term: raft.termAt(index)!};
		},
		onSynced(position, tookMs) {
			options.onSynced?.(tookMs);
			applyOutput(raft.handle({type: 'synced', ...position, tookMs}, clock.monotonicMs()));
		},
		deliver,
		onDiskFull() {
			rejectProposals(() => new DiskFullError());
		},
		onProgress: () => onProgress?.(),
		onIdle() {
			void processEvents();
		},
		onFatal(error) {
			stopped = true;
			options.onFatal(error);
		},
		sleep: options.sleep,
	});

	const enqueueEvent = (event: RaftEvent): void => {
		events.push(event);
		void processEvents();
	};

	const proposePayload = async (payload: LogPayload): Promise<Outcome> => new Promise<Outcome>((resolve, reject) => {
		if (writer.isDiskFull()) {
			reject(new DiskFullError());
			return;
		}

		proposals.push({payload, resolve, reject});
		void processEvents();
	});

	return {
		replica: storage.replica,
		raft,
		isDiskFull: () => writer.isDiskFull() || saver.isWaitingForRoom(),
		appliedIndex: () => appliedIndex,

		tick(): void {
			enqueueEvent({type: 'tick'});
		},

		receive(from: Peer, message: RaftMessage): void {
			enqueueEvent({type: 'receive', from, message});
		},

		/**
		Proposes a command and waits until it is committed and applied.

		@throws {NotLeaderError} This replica does not lead.
		@throws {OutcomeUnknownError} Leadership ended before the command was confirmed.
		@throws {DiskFullError} The disk is full.
		*/
		propose: async (command: Command): Promise<Outcome> => proposePayload({type: 'command', command}),

		/**
		Proposes new members, and a command that precedes them in the log. Both are written with one sync, as a second one would delay the
		change where disks are slow. See {@link propose} for errors. Also throws MembershipError if the change is not allowed now.
		*/
		async changeMembers(members: Member[], before?: Command): Promise<void> {
			if (before !== undefined) {
				proposals.push(createUnattended({type: 'command', command: before}));
			}

			await proposePayload({type: 'members', members});
		},

		/** Offers leadership to another voter, given by its replica ID. */
		transfer(to: string): void {
			enqueueEvent({type: 'transfer', to});
		},

		/** True while the state applied here is certain to be the latest committed state. */
		hasLease: (): boolean => raft.hasLease(clock.monotonicMs()) && appliedIndex >= raft.commitIndex(),

		stop(): void {
			stopped = true;
			writer.stop();
			rejectPending();
			rejectProposals(() => new NotLeaderError(undefined));
		},
	};
};
