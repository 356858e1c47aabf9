/** Schemas of all messages between processes; validators and types are derived from them. */
import {z} from 'zod';
import {
	refusalReasons, ticketOutcomes,
	type CallBatch, type RelayedResult, type ControlCommand, type ControlOutcome, type Declaration, type GroupView, type JobAnswer, type JobCall, type Placement, type ViewUpdate, type ReceivedAnnouncement,
} from '@bronzebend/core';
import {encodeEntry} from './entry-codec.js';
import {memberSchema} from './log-entry.js';
import {raftMessageSchema} from './raft-messages.js';

const count = z.number().int().min(0);
const name = z.string().max(200);

/** Address at which other nodes reach a node. */
export const nodeAddressSchema = z.strictObject({
	node: name, host: z.string(), port: count, dataCentre: name, region: name,
});
/** Address at which other nodes reach a node. */
export type NodeAddress = z.infer<typeof nodeAddressSchema>;

const promise = z.strictObject({epoch: count, number: count});

/** A dispatcher's report to the leader about one pool. */
export const dispatchReportSchema = z.strictObject({
	pool: name,
	epoch: count,
	/** True once the node issues no more tickets in this epoch. */
	released: z.boolean(),
	demands: z.array(z.strictObject({team: name, running: count, waiting: count})),
	/** Reduced amounts that the dispatcher does not exceed from now on. */
	promises: z.array(z.strictObject({team: name, amount: count, number: count})),
	/** Instances on which no work of this pool can be running. */
	drained: z.array(name),
	/** Instances that are out of service without planned work: silent, ejected or unhealthy. */
	out: z.array(name),
	/** Backend servers known to the dispatcher. */
	known: z.array(name),
	/** Instances under planned work that announce themselves as healthy. */
	ready: z.array(name),
	slots: count,
	live: count,
	/** Version of the grants that the dispatcher has. */
	grantsVersion: z.string(),
	/** Requests that still run in each data centre that the node's view lists as evacuated; absent if there is none. */
	evacuated: z.array(z.strictObject({dataCentre: name, running: count})).optional(),
});
/** A dispatcher's report to the leader about one pool. */
export type DispatchReport = z.infer<typeof dispatchReportSchema>;

const heartbeat = z.strictObject({
	type: z.literal('heartbeat'),
	seq: count,
	/** Sender's monotonic time, in milliseconds. */
	sentAtMs: z.number(),
	/** ID of the process, new at each start. */
	run: z.string(),
	address: nodeAddressSchema,
	isEntry: z.boolean(),
	/** True while the node shuts down: it takes no more pools and asks to be relieved of those it has. */
	draining: z.boolean(),
	viewVersion: count,
	clusterVersion: z.string(),
	dispatch: z.array(dispatchReportSchema),
});
/** A node's heartbeat to the leader. */
export type Heartbeat = z.infer<typeof heartbeat>;

const assignment = z.strictObject({pool: name, node: name, epoch: count});

/** Soft state that all nodes share. */
export const clusterStateSchema = z.strictObject({
	version: z.string(),
	assignments: z.array(assignment),
	nodes: z.array(nodeAddressSchema),
	placements: z.array(z.custom<Placement>()),
	/** Absent if no data centre is evacuated, so that nodes of earlier versions accept the message. */
	evacuations: z.array(z.strictObject({dataCentre: name, sinceMs: z.number()})).optional(),
});
/** Soft state that all nodes share. */
export type ClusterState = z.infer<typeof clusterStateSchema>;

/** The leader's instructions to the dispatcher of a pool. */
export const dispatchOrderSchema = z.strictObject({
	pool: name,
	epoch: count,
	/** Duration of the lease, counted from the sending of the heartbeat, in milliseconds. */
	leaseMs: count,
	grantsVersion: z.string(),
	/** Absent if the dispatcher already has this version. */
	grants: z.array(z.strictObject({team: name, amount: count, promise: promise.optional()})).optional(),
	shrinks: z.array(z.strictObject({team: name, target: count})),
	/** Nodes that may hold tickets of an earlier epoch. */
	entries: z.array(name),
	/** Time after which entries that do not report can no longer start any work, in milliseconds. */
	rebuildMs: count,
	/** The same time for individual entries, based on the leader's last contact with them. */
	leaseEnds: z.array(z.strictObject({entry: name, leftMs: count})),
});
/** The leader's instructions to the dispatcher of a pool. */
export type DispatchOrder = z.infer<typeof dispatchOrderSchema>;

const heartbeatReply = z.strictObject({
	type: z.literal('heartbeat-reply'),
	seq: count,
	sentAtMs: z.number(),
	/** Duration of the view's lease, counted from the sending of the heartbeat, in milliseconds. */
	leaseMs: count,
	viewVersion: count,
	view: z.custom<ViewUpdate>().optional(),
	cluster: clusterStateSchema.optional(),
	dispatch: z.array(dispatchOrderSchema),
});
/** The leader's answer to a heartbeat. */
export type HeartbeatReply = z.infer<typeof heartbeatReply>;

const waitingRequest = z.strictObject({
	requestId: z.string(),
	entry: name,
	team: name,
	queue: name,
	deadlineMs: z.number(),
	tried: z.array(name),
});

const announcement = z.strictObject({
	instance: name,
	service: name,
	address: z.string(),
	dataCentre: name,
	rack: name,
	slots: count,
	connections: count,
	healthy: z.boolean(),
	leaving: z.boolean(),
	inFlight: z.array(z.string()).max(10_000),
});

const entryReport = z.strictObject({
	entry: name,
	seq: count,
	epoch: count,
	held: z.array(z.strictObject({ticketId: z.string(), instance: name})),
	waiting: z.array(z.string()),
	connections: z.array(z.strictObject({instance: name, open: count})),
});

/** A message from an entry to a dispatcher. */
export const dispatchRequestSchema = z.discriminatedUnion('type', [
	z.strictObject({type: z.literal('enqueue'), request: waitingRequest, reportSeq: count}),
	z.strictObject({type: z.literal('cancel'), requestId: z.string()}),
	z.strictObject({
		type: z.literal('release'), ticketId: z.string(), outcome: z.enum(ticketOutcomes), ranMs: z.number(),
	}),
	z.strictObject({type: z.literal('announce'), announcement}),
	z.strictObject({type: z.literal('report'), report: entryReport}),
]);
/** A message from an entry to a dispatcher. */
export type DispatchRequest = z.infer<typeof dispatchRequestSchema>;

/** A message from a dispatcher to an entry. */
export const dispatchAnswerSchema = z.discriminatedUnion('type', [
	z.strictObject({
		type: z.literal('ticket'),
		ticket: z.strictObject({
			ticketId: z.string(), requestId: z.string(), entry: name, instance: name, address: z.string(), epoch: count, reportSeq: count,
		}),
	}),
	z.strictObject({
		type: z.literal('refusal'), entry: name, requestId: z.string(), reason: z.enum(refusalReasons), retryAfterMs: count,
	}),
	z.strictObject({type: z.literal('resend'), entry: name, requestIds: z.array(z.string())}),
]);
/** A message from a dispatcher to an entry. */
export type DispatchAnswer = z.infer<typeof dispatchAnswerSchema>;

/** A call to the leader. */
export const leaderCallSchema = z.discriminatedUnion('type', [
	z.strictObject({type: z.literal('command'), command: z.custom<ControlCommand>()}),
	z.strictObject({
		type: z.literal('publish'),
		publicationId: z.string().min(1).max(200),
		base: count,
		author: z.string().max(200),
		declarations: z.array(z.custom<Declaration>()),
	}),
	z.strictObject({type: z.literal('status')}),
	z.strictObject({type: z.literal('history')}),
	z.strictObject({type: z.literal('read-set')}),
	z.strictObject({type: z.literal('backup')}),
	z.strictObject({type: z.literal('plan'), declarations: z.array(z.custom<Declaration>()).optional()}),
	z.strictObject({type: z.literal('evacuate'), dataCentre: name}),
	z.strictObject({type: z.literal('end-evacuation'), dataCentre: name}),
	z.strictObject({type: z.literal('preview-evacuation'), dataCentre: name}),
	z.strictObject({type: z.literal('members')}),
	z.strictObject({type: z.literal('add-keeper'), node: name}),
	z.strictObject({type: z.literal('remove-keeper'), node: name}),
]);
/** A call to the leader. */
export type LeaderCall = z.infer<typeof leaderCallSchema>;

/** Answer to a call: a value, or a typed failure. */
export const callResultSchema = z.discriminatedUnion('type', [
	z.strictObject({type: z.literal('value'), value: z.unknown()}),
	z.strictObject({
		type: z.literal('failure'), code: z.string(), message: z.string(), details: z.record(z.string(), z.unknown()),
	}),
]);
/** Answer to a call: a value, or a typed failure. */
export type CallResult = z.infer<typeof callResultSchema>;

/** Answer of a keeper that cannot act as the group's leader now. */
export type NotLeading = {type: 'not-leading'; leader?: string};

/** A reading of a process's own monotonic clock, in milliseconds, with the ID of that process. */
const clockReading = z.strictObject({process: z.string(), clockMs: z.number()});
export type ClockReading = z.infer<typeof clockReading>;

/** One message between two processes. */
export const peerMessageSchema = z.discriminatedUnion('type', [
	z.strictObject({
		type: z.literal('raft'), from: z.string(), to: z.string(), message: raftMessageSchema,
	}),
	z.strictObject({type: z.literal('probe')}),
	z.strictObject({type: z.literal('probe-reply'), replica: z.string(), members: z.array(memberSchema).optional()}),
	heartbeat,
	heartbeatReply,
	z.strictObject({type: z.literal('not-leader'), seq: count, leader: name.optional()}),
	/** Address of a leader whose name the receiver may know from nowhere; sent before `not-leader`. Earlier versions reject it. */
	z.strictObject({
		type: z.literal('node-address'), node: name, host: z.string().min(1).max(253), port: count.max(65_535),
	}),
	z.strictObject({type: z.literal('poke')}),
	z.strictObject({type: z.literal('call'), id: count, call: leaderCallSchema}),
	z.strictObject({type: z.literal('call-reply'), id: count, result: callResultSchema}),
	z.strictObject({type: z.literal('job-call'), id: count, call: z.custom<JobCall>()}),
	z.strictObject({type: z.literal('job-answer'), id: count, answer: z.custom<JobAnswer | NotLeading>()}),
	z.strictObject({type: z.literal('view-query')}),
	z.strictObject({type: z.literal('view'), view: z.custom<GroupView>()}),
	z.strictObject({type: z.literal('join'), replica: z.string()}),
	z.strictObject({type: z.literal('resign'), replica: z.string()}),
	z.strictObject({type: z.literal('resign-reply'), replica: z.string(), outcome: z.enum(['left', 'kept'])}),
	z.strictObject({
		type: z.literal('worker-calls'), term: count, batch: z.custom<CallBatch>(), sendBy: clockReading.optional(),
	}),
	z.strictObject({
		type: z.literal('worker-results'), term: count, results: z.custom<RelayedResult[]>(), reading: clockReading,
	}),
	z.strictObject({type: z.literal('workers-heard'), heard: z.custom<ReceivedAnnouncement[]>(), left: z.array(z.string()).default([])}),
	z.strictObject({
		type: z.literal('dispatch'), pool: name, epoch: count, request: dispatchRequestSchema,
	}),
	z.strictObject({
		type: z.literal('dispatch-answer'), pool: name, epoch: count, answer: dispatchAnswerSchema,
	}),
]);
/** One message between two processes. */
export type PeerMessage = z.infer<typeof peerMessageSchema>;

/** Converts a message to its form on the wire, with log entries as bytes. */
export const toWireMessage = (message: PeerMessage): unknown => (message.type === 'raft' && message.message.type === 'append'
	? {...message, message: {...message.message, entries: message.message.entries.map(entry => encodeEntry(entry))}}
	: message);

/** Result of applying a command, as returned by calls. */
export type CommandResult = ControlOutcome;
