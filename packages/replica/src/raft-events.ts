/** The events that Raft handles and the outputs that it returns for its caller to carry out. */
import type {
	LogEntry, LogPayload, RaftMessage, Snapshot,
} from '@bronzebend/wire';
import type {HardState} from './durable-state.js';

/** A replica and the node at which it is reached. */
export type Peer = {replica: string; node: string};

/** An event that a replica handles. */
export type RaftEvent =
	| {type: 'tick'}
	| {type: 'receive'; from: Peer; message: RaftMessage}
	| {type: 'propose'; payloads: LogPayload[]}
	/** All entries up to a position are durable; `tookMs` is the duration of the write, in milliseconds. */
	| {type: 'synced'; index: number; term: number; tookMs?: number}
	| {type: 'compacted'; index: number}
	| {type: 'transfer'; to: string};

/**
A message with its receiver. An answer goes to the sender of the message, whether or not that is a member by this replica's log: the log
may be old, and only the answer tells a leader that joined after its end from where on entries are missing.
*/
export type Outgoing = {to: Peer; message: RaftMessage};

/** Result of an event, to be carried out by the caller. */
export type RaftOutput = {
	hardState?: HardState;
	append: LogEntry[];
	/** A received snapshot that replaces the state machine's state and the log. */
	snapshot?: Snapshot;
	/** Messages to send at once; they do not depend on what is durable. */
	beforeSync: Outgoing[];
	/** Messages to send once the rest of the output is durable. */
	afterSync: Outgoing[];
	committed: LogEntry[];
	/** Log index of the first proposed payload; undefined if this replica cannot accept proposals. */
	firstProposedIndex?: number;
};
