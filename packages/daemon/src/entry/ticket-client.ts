/** The entry's client of the dispatchers: tracks requests that wait for a ticket and tickets in use. */
import {
	refusalReasons, type RefusalReason, type Ticket, type TicketOutcome,
} from '@bronzebend/core';
import type {
	DispatchAnswer, DispatchRequest, PeerMessage,
} from '@bronzebend/wire';
import type {View} from '../node/view.js';

/** Interval between reports to a dispatcher, in milliseconds. */
export const REPORT_INTERVAL_MS = 500;
/** Number of reports without a ticket after which the dispatcher reclaims it, so that it must not be used any more. */
const LOST_AFTER_REPORTS = 2;

/** A request for a ticket. */
export type TicketRequest = {
	requestId: string;
	pool: string;
	team: string;
	queue: string;
	/** Latest time to start, on the monotonic clock. */
	startByMs: number;
	/** Instances at which the request was tried before. */
	tried: string[];
};

/** A ticket, or the reason why none was issued. Without a ticket, this attempt runs nothing. */
export type TicketAnswer =
	| {type: 'ticket'; ticket: Ticket}
	| {type: 'refused'; reason: RefusalReason; retryAfterMs: number}
	| {type: 'cancelled'};

type Waiter = {request: TicketRequest; resolve(answer: TicketAnswer): void; timer: NodeJS.Timeout};
type PoolState = {pool: string; epoch: number; node: string; seq: number; waiting: Map<string, Waiter>; held: Map<string, string>; isReportDue: boolean};

/** Options of the ticket client. */
export type TicketClientOptions = {
	node: string;
	view: View;
	nowMs(): number;
	send(to: string, message: PeerMessage): void;
	/** Returns the number of open connections to each backend server of a pool. */
	openConnections(pool: string): Array<{instance: string; open: number}>;
};

/** The entry's client of the dispatchers. */
export type TicketClient = ReturnType<typeof createTicketClient>;

/** Creates a ticket client without waiting requests. */
export const createTicketClient = ({node, view, nowMs, send, openConnections}: TicketClientOptions) => {
	const pools = new Map<string, PoolState>();

	const stateOf = (pool: string): PoolState => {
		const existing = pools.get(pool);
		if (existing) {
			return existing;
		}

		const assignment = view.assignmentOf(pool);
		const created: PoolState = {
			pool, epoch: assignment?.epoch ?? 0, node: assignment?.node ?? '', seq: 1, waiting: new Map(), held: new Map(), isReportDue: assignment !== undefined,
		};
		pools.set(pool, created);
		return created;
	};

	const sendToDispatcher = (state: PoolState, request: DispatchRequest): void => {
		if (state.epoch > 0) {
			send(state.node, {
				type: 'dispatch', pool: state.pool, epoch: state.epoch, request,
			});
		}
	};

	const enqueue = (state: PoolState, {request}: Waiter): void => {
		sendToDispatcher(state, {
			type: 'enqueue',
			reportSeq: state.seq,
			request: {
				requestId: request.requestId,
				entry: node,
				team: request.team,
				queue: request.queue,
				deadlineMs: Math.max(0, request.startByMs - nowMs()),
				tried: request.tried,
			},
		});
	};

	const report = (state: PoolState): void => {
		state.seq += 1;
		sendToDispatcher(state, {
			type: 'report',
			report: {
				entry: node,
				seq: state.seq,
				epoch: state.epoch,
				held: [...state.held].map(([ticketId, instance]) => ({ticketId, instance})),
				waiting: [...state.waiting.keys()],
				connections: openConnections(state.pool),
			},
		});
	};

	const resolveWaiter = (state: PoolState, requestId: string, answer: TicketAnswer): void => {
		const waiter = state.waiting.get(requestId);
		if (waiter) {
			clearTimeout(waiter.timer);
			state.waiting.delete(requestId);
			waiter.resolve(answer);
		}
	};

	const release = (pool: string, ticketId: string, outcome: TicketOutcome, ranMs: number): void => {
		const state = stateOf(pool);
		state.held.delete(ticketId);
		sendToDispatcher(state, {
			type: 'release', ticketId, outcome, ranMs,
		});
	};

	const onTicket = (state: PoolState, ticket: Ticket): void => {
		// The dispatcher may have reclaimed the ticket, or another dispatcher may have taken over while
		// this process was paused. Such a ticket must not be used.
		const isLate = !view.isFresh(nowMs()) || ticket.epoch < state.epoch || ticket.reportSeq <= state.seq - LOST_AFTER_REPORTS;
		if (isLate || !state.waiting.has(ticket.requestId)) {
			release(state.pool, ticket.ticketId, 'unused', 0);
			return;
		}

		state.held.set(ticket.ticketId, ticket.instance);
		resolveWaiter(state, ticket.requestId, {type: 'ticket', ticket});
	};

	const timer = setInterval(() => {
		for (const state of pools.values()) {
			const isBusy = state.waiting.size > 0 || state.held.size > 0 || openConnections(state.pool).length > 0;
			if (isBusy || state.isReportDue) {
				state.isReportDue = isBusy;
				report(state);
			}
		}
	}, REPORT_INTERVAL_MS);

	return {
		release,

		/** Waits for a ticket. Aborting the signal ends the wait at once and cancels it at the dispatcher. */
		async acquire(request: TicketRequest, signal: AbortSignal): Promise<TicketAnswer> {
			const state = stateOf(request.pool);
			return new Promise(resolve => {
				const endWait = (answer: TicketAnswer): void => {
					resolveWaiter(state, request.requestId, answer);
					sendToDispatcher(state, {type: 'cancel', requestId: request.requestId});
				};

				const waiter: Waiter = {
					request,
					resolve(answer) {
						signal.removeEventListener('abort', onAbort);
						resolve(answer);
					},
					timer: setTimeout(() => {
						const reason = state.epoch === 0 ? refusalReasons.noDispatcher : refusalReasons.deadlinePassed;
						endWait({type: 'refused', reason, retryAfterMs: 1000});
					}, Math.max(0, request.startByMs - nowMs())),
				};
				const onAbort = (): void => {
					endWait({type: 'cancelled'});
				};

				if (signal.aborted) {
					clearTimeout(waiter.timer);
					resolve({type: 'cancelled'});
					return;
				}

				signal.addEventListener('abort', onAbort, {once: true});
				state.waiting.set(request.requestId, waiter);
				enqueue(state, waiter);
			});
		},

		/** Handles a dispatcher's answer. */
		receive(pool: string, epoch: number, answer: DispatchAnswer): void {
			const state = stateOf(pool);
			switch (answer.type) {
				case 'ticket': {
					onTicket(state, answer.ticket);
					return;
				}

				case 'refusal': {
					// The request keeps waiting; it is sent to the new dispatcher once the view names it.
					if (answer.reason !== refusalReasons.dispatcherMoved) {
						resolveWaiter(state, answer.requestId, {type: 'refused', reason: answer.reason, retryAfterMs: answer.retryAfterMs});
					}

					return;
				}

				case 'resend': {
					if (epoch !== state.epoch) {
						return;
					}

					for (const requestId of answer.requestIds) {
						const waiter = state.waiting.get(requestId);
						if (waiter) {
							enqueue(state, waiter);
						}
					}
				}
			}
		},

		/** Sends waiting requests to new dispatchers, and reports to them the tickets held from earlier ones. */
		onViewChange(): void {
			for (const {name} of view.catalogue().list('pool')) {
				const assignment = view.assignmentOf(name);
				const state = stateOf(name);
				if (!assignment || assignment.epoch <= state.epoch) {
					continue;
				}

				state.epoch = assignment.epoch;
				state.node = assignment.node;
				state.isReportDue = true;
				report(state);
				for (const waiter of state.waiting.values()) {
					enqueue(state, waiter);
				}
			}
		},

		/** Sends a backend server's announcement to the dispatcher of its pool. Returns false if the pool has no dispatcher. */
		announce(pool: string, request: DispatchRequest): boolean {
			const state = stateOf(pool);
			sendToDispatcher(state, request);
			return state.epoch > 0;
		},

		held: (): number => [...pools.values()].reduce((sum, state) => sum + state.held.size, 0),
		waiting: (): number => [...pools.values()].reduce((sum, state) => sum + state.waiting.size, 0),

		stop(): void {
			clearInterval(timer);
			for (const state of pools.values()) {
				for (const requestId of state.waiting.keys()) {
					resolveWaiter(state, requestId, {type: 'cancelled'});
				}
			}
		},
	};
};
