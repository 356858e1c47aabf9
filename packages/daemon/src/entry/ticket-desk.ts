/** An entry's side of dispatch: requests that wait for a ticket and tickets that it holds. */
import {
	refusalReasons, type RefusalReason, type Ticket, type TicketOutcome,
} from '@bronzebend/core';
import type {
	DispatchAnswer, DispatchRequest, PeerMessage,
} from '@bronzebend/wire';
import type {View} from '../node/view.js';

/** Pause between two reports to a dispatcher, in milliseconds. */
export const REPORT_MS = 500;
/** Reports after which a late ticket is no longer good; the dispatcher takes it back then. */
const REPORTS_TO_LOSE_TICKET = 2;

/** What a request needs to get a ticket. */
export type TicketWish = {
	requestId: string;
	pool: string;
	team: string;
	queue: string;
	/** Latest time to start, on the monotonic clock. */
	startByMs: number;
	tried: string[];
};

/** A ticket, or why there is none; nothing ran in that case. */
export type TicketAnswer =
	| {type: 'ticket'; ticket: Ticket}
	| {type: 'refused'; reason: RefusalReason; retryAfterMs: number}
	| {type: 'cancelled'};

type Waiter = {wish: TicketWish; resolve(answer: TicketAnswer): void; timer: NodeJS.Timeout};
type PoolState = {pool: string; epoch: number; node: string; seq: number; waiting: Map<string, Waiter>; held: Map<string, string>; owesReport: boolean};

/** What a desk is made of. */
export type TicketDeskOptions = {
	node: string;
	view: View;
	nowMs(): number;
	send(to: string, message: PeerMessage): void;
	/** Connections open to the backend servers of a pool. */
	openConnections(pool: string): Array<{instance: string; open: number}>;
};

/** An entry's side of dispatch. */
export type TicketDesk = ReturnType<typeof createTicketDesk>;

/** Creates a desk without requests. */
export const createTicketDesk = ({node, view, nowMs, send, openConnections}: TicketDeskOptions) => {
	const pools = new Map<string, PoolState>();

	const stateOf = (pool: string): PoolState => {
		const existing = pools.get(pool);
		if (existing) {
			return existing;
		}

		const assignment = view.assignmentOf(pool);
		const created: PoolState = {
			pool, epoch: assignment?.epoch ?? 0, node: assignment?.node ?? '', seq: 1, waiting: new Map(), held: new Map(), owesReport: assignment !== undefined,
		};
		pools.set(pool, created);
		return created;
	};

	const ask = (state: PoolState, request: DispatchRequest): void => {
		if (state.epoch > 0) {
			send(state.node, {
				type: 'dispatch', pool: state.pool, epoch: state.epoch, request,
			});
		}
	};

	const enqueue = (state: PoolState, {wish}: Waiter): void => {
		ask(state, {
			type: 'enqueue',
			reportSeq: state.seq,
			request: {
				requestId: wish.requestId,
				entry: node,
				team: wish.team,
				queue: wish.queue,
				deadlineMs: Math.max(0, wish.startByMs - nowMs()),
				tried: wish.tried,
			},
		});
	};

	const report = (state: PoolState): void => {
		state.seq += 1;
		ask(state, {
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

	const settle = (state: PoolState, requestId: string, answer: TicketAnswer): void => {
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
		ask(state, {
			type: 'release', ticketId, outcome, ranMs,
		});
	};

	const takeTicket = (state: PoolState, ticket: Ticket): void => {
		// A ticket that the dispatcher may have taken back must not be used; neither one that was read
		// after a pause of this process, in which another dispatcher may have taken over.
		const isLate = !view.isFresh(nowMs()) || ticket.epoch < state.epoch || ticket.reportSeq <= state.seq - REPORTS_TO_LOSE_TICKET;
		if (isLate || !state.waiting.has(ticket.requestId)) {
			release(state.pool, ticket.ticketId, 'unused', 0);
			return;
		}

		state.held.set(ticket.ticketId, ticket.instance);
		settle(state, ticket.requestId, {type: 'ticket', ticket});
	};

	const timer = setInterval(() => {
		for (const state of pools.values()) {
			const isBusy = state.waiting.size > 0 || state.held.size > 0 || openConnections(state.pool).length > 0;
			if (isBusy || state.owesReport) {
				state.owesReport = isBusy;
				report(state);
			}
		}
	}, REPORT_MS);

	return {
		release,

		/** Waits for a ticket. The signal ends the wait at once, here and at the dispatcher. */
		async acquire(wish: TicketWish, signal: AbortSignal): Promise<TicketAnswer> {
			const state = stateOf(wish.pool);
			return new Promise(resolve => {
				const giveUp = (answer: TicketAnswer): void => {
					settle(state, wish.requestId, answer);
					ask(state, {type: 'cancel', requestId: wish.requestId});
				};

				const waiter: Waiter = {
					wish,
					resolve(answer) {
						signal.removeEventListener('abort', onAbort);
						resolve(answer);
					},
					timer: setTimeout(() => {
						const reason = state.epoch === 0 ? refusalReasons.noDispatcher : refusalReasons.deadlinePassed;
						giveUp({type: 'refused', reason, retryAfterMs: 1000});
					}, Math.max(0, wish.startByMs - nowMs())),
				};
				const onAbort = (): void => {
					giveUp({type: 'cancelled'});
				};

				if (signal.aborted) {
					clearTimeout(waiter.timer);
					resolve({type: 'cancelled'});
					return;
				}

				signal.addEventListener('abort', onAbort, {once: true});
				state.waiting.set(wish.requestId, waiter);
				enqueue(state, waiter);
			});
		},

		/** Takes a dispatcher's answer. */
		receive(pool: string, epoch: number, answer: DispatchAnswer): void {
			const state = stateOf(pool);
			switch (answer.type) {
				case 'ticket': {
					takeTicket(state, answer.ticket);
					return;
				}

				case 'refusal': {
					// The next view names the new dispatcher, and the request goes there.
					if (answer.reason !== refusalReasons.dispatcherMoved) {
						settle(state, answer.requestId, {type: 'refused', reason: answer.reason, retryAfterMs: answer.retryAfterMs});
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

		/** Sends what waits to new dispatchers, with what is held from earlier ones. */
		onViewChange(): void {
			for (const {name} of view.catalogue().list('pool')) {
				const assignment = view.assignmentOf(name);
				const state = stateOf(name);
				if (!assignment || assignment.epoch <= state.epoch) {
					continue;
				}

				state.epoch = assignment.epoch;
				state.node = assignment.node;
				state.owesReport = true;
				report(state);
				for (const waiter of state.waiting.values()) {
					enqueue(state, waiter);
				}
			}
		},

		/** Sends a backend server's announcement to the dispatcher of its pool; false where there is none. */
		announce(pool: string, request: DispatchRequest): boolean {
			const state = stateOf(pool);
			ask(state, request);
			return state.epoch > 0;
		},

		held: (): number => [...pools.values()].reduce((sum, state) => sum + state.held.size, 0),
		waiting: (): number => [...pools.values()].reduce((sum, state) => sum + state.waiting.size, 0),

		stop(): void {
			clearInterval(timer);
			for (const state of pools.values()) {
				for (const requestId of state.waiting.keys()) {
					settle(state, requestId, {type: 'cancelled'});
				}
			}
		},
	};
};
