/**
Decides for one pool which request runs where and when.

Pure: events and times go in, effects come out; the same events give the same effects.
*/
import {UnreachableError} from '../utils/errors.js';
import type {FifoSlot} from '../utils/fifo.js';
import {createBackendTable, type Backend} from './backend-table.js';
import {createRunTimes} from './run-times.js';
import {
	refusalReasons, teamOfTicket, ticketOutcomes,
	type Announcement, type DispatchEffect, type RefusalReason, type Ticket, type TicketOutcome, type WaitingRequest,
} from './requests.js';
import {createTeamLedger, type QueuedRequest, type QueueTraits} from './team-ledger.js';

/** An entry that has not reported for this long is taken as gone, in milliseconds. */
export const ENTRY_SILENCE_MS = 3000;
/** Reports after which a ticket that an entry does not hold counts as lost. */
const REPORTS_TO_LOSE_TICKET = 2;
/** Retry-After of refusals for which nothing better is known, in milliseconds. */
const DEFAULT_RETRY_AFTER_MS = 1000;

/** A queue as the dispatcher needs it. */
export type DispatchQueue = QueueTraits & {name: string; maxWaiting: number; maxDeadlineMs: number};

/** The part of the configuration that concerns one pool. */
export type DispatchConfiguration = {
	queues: DispatchQueue[];
	weights: Array<{team: string; weight: number}>;
	maxOut: number;
	/** Instances that planned work or another pool keeps out. */
	excluded: string[];
};

/** What an entry holds for a pool; sent a few times a second and on take-over. */
export type HeldReport = {
	entry: string;
	seq: number;
	/** Highest dispatcher epoch the entry knows; it takes no tickets of lower ones. */
	epoch: number;
	held: Array<{ticketId: string; instance: string}>;
	waiting: string[];
	connections: Array<{instance: string; open: number}>;
};

/** Everything that a dispatcher reacts to. */
export type DispatchEvent =
	| {type: 'configure'; configuration: DispatchConfiguration}
	| {type: 'grants'; grants: Array<{team: string; amount: number}>}
	| {type: 'enqueue'; request: WaitingRequest; reportSeq: number}
	| {type: 'cancel'; requestId: string}
	| {type: 'release'; ticketId: string; outcome: TicketOutcome; ranMs: number}
	| {type: 'announce'; announcement: Announcement}
	| {type: 'report'; report: HeldReport}
	/** No ticket is given from `untilMs` on. */
	| {type: 'lease'; untilMs: number}
	| {type: 'tick'};

/** What a dispatcher emits besides tickets and refusals. */
export type PoolDispatchEffect = DispatchEffect | {type: 'resend'; entry: string; requestIds: string[]};

/** How a dispatcher starts. */
export type PoolDispatcherOptions = {
	pool: string;
	epoch: number;
	/** Entries that may hold tickets of an earlier epoch. */
	entries: string[];
	/** Time by which entries that did not report can start nothing any more. */
	rebuildUntilMs: number;
};

type ActiveTicket = Ticket & {team: string; queue: string | undefined; endsAtMs: number};
type Waiting = {slot: FifoSlot<QueuedRequest>; reportSeq: number};

/** The dispatcher of one pool. */
export type PoolDispatcher = ReturnType<typeof createPoolDispatcher>;

/** Creates the dispatcher of one pool for one epoch. */
export const createPoolDispatcher = ({pool, epoch, entries, rebuildUntilMs}: PoolDispatcherOptions) => {
	const ledger = createTeamLedger();
	const table = createBackendTable({maxEjected: 1});
	const runTimes = createRunTimes();
	const queues = new Map<string, DispatchQueue>();
	const waiting = new Map<string, Waiting>();
	const tickets = new Map<string, ActiveTicket>();
	const ticketOfRequest = new Map<string, string>();
	const reports = new Map<string, {seq: number; atMs: number}>();
	const openByEntry = new Map<string, ReadonlyMap<string, number>>();
	const unreported = new Set(entries);
	let excluded = new Set<string>();
	let rebuilding = entries.length > 0;
	let ticketNumber = 0;
	let longestDeadlineMs = 60_000;
	let leaseUntilMs = -Infinity;

	const refuse = (request: {entry: string; requestId: string}, reason: RefusalReason, retryAfterMs = DEFAULT_RETRY_AFTER_MS): PoolDispatchEffect => ({
		type: 'refusal', entry: request.entry, requestId: request.requestId, reason, retryAfterMs: Math.ceil(retryAfterMs),
	});

	const updateCapacity = (nowMs: number): void => {
		const slots = table.list().map(backend => Math.max(0, table.usableSlots(backend, nowMs) - backend.orphans.size));
		ledger.setCapacity(slots.reduce((sum, count) => sum + count, 0));
	};

	const giveTicket = (request: QueuedRequest, backend: Backend, nowMs: number): PoolDispatchEffect => {
		ticketNumber += 1;
		const ticket: Ticket = {
			ticketId: `${pool}:${request.team}:${epoch}:${ticketNumber}`,
			requestId: request.requestId,
			entry: request.entry,
			instance: backend.instance,
			address: backend.announced.address,
			epoch,
			reportSeq: reports.get(request.entry)?.seq ?? 0,
		};
		const endsAtMs = nowMs + (queues.get(request.queue)?.maxDeadlineMs ?? longestDeadlineMs);
		tickets.set(ticket.ticketId, {
			...ticket, team: request.team, queue: request.queue, endsAtMs,
		});
		ticketOfRequest.set(request.requestId, ticket.ticketId);
		table.occupy(backend, ticket.ticketId, request.team, request.entry);
		waiting.delete(request.requestId);
		ledger.start(request);
		return {type: 'ticket', ticket};
	};

	const schedule = (nowMs: number): PoolDispatchEffect[] => {
		const effects: PoolDispatchEffect[] = [];
		if (rebuilding || nowMs >= leaseUntilMs) {
			return effects;
		}

		updateCapacity(nowMs);
		for (;;) {
			const request = ledger.next(nowMs);
			if (!request) {
				return effects;
			}

			if (request.arrivedAtMs + request.deadlineMs <= nowMs) {
				ledger.cancel(waiting.get(request.requestId)!.slot);
				waiting.delete(request.requestId);
				effects.push(refuse(request, refusalReasons.deadlinePassed));
				continue;
			}

			const backend = table.pick(request, nowMs);
			if (!backend) {
				return effects;
			}

			effects.push(giveTicket(request, backend, nowMs));
		}
	};

	/** Expected wait of a new request of a team, from its share and what was observed. */
	const expectedWaitMs = (request: WaitingRequest): number => {
		const share = ledger.shareOf(request.team);
		const runMs = runTimes.meanMs(request.queue);
		if (share <= 0 || runMs === undefined || ledger.runningOf(request.team) < share) {
			return 0;
		}

		return (ledger.waitingOf(request.team) + 1) * runMs / share;
	};

	const enqueue = (request: WaitingRequest, reportSeq: number, nowMs: number): PoolDispatchEffect[] => {
		const queue = queues.get(request.queue);
		if (!queue) {
			return [refuse(request, refusalReasons.unknownQueue)];
		}

		if (waiting.has(request.requestId) || ticketOfRequest.has(request.requestId)) {
			return [];
		}

		if (ledger.waitingOf(request.team) >= queue.maxWaiting) {
			return [refuse(request, refusalReasons.queueFull, runTimes.meanMs(request.queue))];
		}

		const waitMs = expectedWaitMs(request);
		if (waitMs > request.deadlineMs) {
			return [refuse(request, refusalReasons.wouldMissDeadline, waitMs - request.deadlineMs)];
		}

		const lastSeq = reports.get(request.entry)?.seq ?? 0;
		reports.set(request.entry, {seq: Math.max(lastSeq, reportSeq), atMs: nowMs});
		const slot = ledger.enqueue({...request, arrivedAtMs: nowMs, attempt: request.tried.length}, queue);
		waiting.set(request.requestId, {slot, reportSeq});
		return schedule(nowMs);
	};

	const cancelWaiting = (requestId: string): void => {
		const item = waiting.get(requestId);
		if (item) {
			ledger.cancel(item.slot);
			waiting.delete(requestId);
		}
	};

	const forget = (ticket: ActiveTicket): void => {
		tickets.delete(ticket.ticketId);
		ticketOfRequest.delete(ticket.requestId);
	};

	/** Work whose entry no longer answers for it runs until the backend server's reports or its deadline say otherwise. */
	const orphan = (ticket: ActiveTicket): void => {
		const backend = table.find(ticket.instance);
		forget(ticket);
		if (!backend) {
			ledger.finish(ticket.team, ticket.queue);
			return;
		}

		backend.running.delete(ticket.ticketId);
		backend.orphans.set(ticket.ticketId, {team: ticket.team, endsAtMs: ticket.endsAtMs, seenReport: false});
	};

	const release = (ticketId: string, outcome: TicketOutcome, ranMs: number, nowMs: number): void => {
		const ticket = tickets.get(ticketId);
		if (!ticket) {
			return;
		}

		const backend = table.find(ticket.instance);
		if (backend) {
			table.learn(backend, outcome, nowMs);
		}

		if (outcome === ticketOutcomes.unknown) {
			orphan(ticket);
			return;
		}

		if (outcome === ticketOutcomes.ok && ticket.queue !== undefined) {
			runTimes.observe(ticket.queue, ranMs);
		}

		backend?.running.delete(ticketId);
		forget(ticket);
		ledger.finish(ticket.team, ticket.queue);
	};

	/** Counts in the ledger the orphans that an announcement or a deadline ended. */
	const withOrphanCount = (backend: Backend | undefined, change: () => void): void => {
		const before = backend ? [...backend.orphans] : [];
		change();
		for (const [ticketId, {team}] of before) {
			if (!backend!.orphans.has(ticketId) && !tickets.has(ticketId)) {
				ledger.finish(team, undefined);
			}
		}
	};

	/** Entries may have reported work and connections before the server announced itself here. */
	const takeEarlierReports = (backend: Backend): void => {
		for (const ticket of tickets.values()) {
			if (ticket.instance === backend.instance) {
				backend.running.set(ticket.ticketId, {team: ticket.team, entry: ticket.entry});
			}
		}

		for (const [entry, open] of openByEntry) {
			table.setConnections(backend.instance, entry, open.get(backend.instance) ?? 0);
		}
	};

	const announce = (announcement: Announcement, nowMs: number): void => {
		const known = table.find(announcement.instance);
		withOrphanCount(known, () => {
			table.announce(announcement, nowMs, {excluded: excluded.has(announcement.instance), confirmed: !rebuilding});
		});
		const backend = table.find(announcement.instance)!;
		if (!known) {
			takeEarlierReports(backend);
		}

		for (const ticketId of announcement.inFlight) {
			const [ticketPool, team, ticketEpoch] = ticketId.split(':');
			// Tickets of this epoch are all known here; a report of one may only be late.
			const isEarlier = ticketPool === pool && Number(ticketEpoch) < epoch;
			if (isEarlier && team !== undefined && !tickets.has(ticketId) && !backend.orphans.has(ticketId)) {
				backend.orphans.set(ticketId, {team, endsAtMs: nowMs + longestDeadlineMs, seenReport: true});
				ledger.adopt(team);
			}
		}
	};

	const adoptTicket = (entry: string, ticketId: string, instance: string, nowMs: number): void => {
		const team = teamOfTicket(ticketId);
		if (team === undefined || !ticketId.startsWith(`${pool}:`)) {
			return;
		}

		const backend = table.find(instance);
		if (backend?.orphans.delete(ticketId) !== true) {
			ledger.adopt(team);
		}

		backend?.running.set(ticketId, {team, entry});
		tickets.set(ticketId, {
			ticketId, requestId: '', entry, instance, address: '', epoch, reportSeq: Infinity, team, queue: undefined, endsAtMs: nowMs + longestDeadlineMs,
		});
	};

	const finishRebuild = (): void => {
		rebuilding = false;
		// Entries that stayed silent may have work running that only the next announcement can show.
		for (const backend of table.list()) {
			backend.confirmed = unreported.size === 0;
		}
	};

	const report = (held: HeldReport, nowMs: number): PoolDispatchEffect[] => {
		const previous = reports.get(held.entry);
		if (previous && held.seq <= previous.seq) {
			return [];
		}

		reports.set(held.entry, {seq: held.seq, atMs: nowMs});
		const heldIds = new Set(held.held.map(item => item.ticketId));
		const waitingIds = new Set(held.waiting);
		for (const {ticketId, instance} of held.held) {
			const known = tickets.get(ticketId);
			if (!known) {
				adoptTicket(held.entry, ticketId, instance, nowMs);
			}
		}

		for (const ticket of tickets.values()) {
			const isLost = ticket.entry === held.entry && !heldIds.has(ticket.ticketId)
				&& (ticket.reportSeq === Infinity || ticket.reportSeq <= held.seq - REPORTS_TO_LOSE_TICKET);
			if (isLost) {
				orphan(ticket);
			}
		}

		for (const [requestId, {slot, reportSeq}] of waiting) {
			if (slot.value.entry === held.entry && !waitingIds.has(requestId) && reportSeq <= held.seq - REPORTS_TO_LOSE_TICKET) {
				cancelWaiting(requestId);
			}
		}

		const open = new Map(held.connections.map(connection => [connection.instance, connection.open]));
		openByEntry.set(held.entry, open);
		for (const {instance} of table.list()) {
			table.setConnections(instance, held.entry, open.get(instance) ?? 0);
		}

		if (held.epoch >= epoch) {
			unreported.delete(held.entry);
			if (rebuilding && unreported.size === 0) {
				finishRebuild();
			}
		}

		const missing = held.waiting.filter(requestId => !waiting.has(requestId) && !ticketOfRequest.has(requestId));
		return missing.length > 0 ? [{type: 'resend', entry: held.entry, requestIds: missing}] : [];
	};

	const dropSilentEntries = (nowMs: number): void => {
		for (const [entry, {atMs}] of reports) {
			if (nowMs - atMs < ENTRY_SILENCE_MS) {
				continue;
			}

			reports.delete(entry);
			openByEntry.delete(entry);
			for (const [requestId, {slot}] of waiting) {
				if (slot.value.entry === entry) {
					cancelWaiting(requestId);
				}
			}

			for (const ticket of tickets.values()) {
				if (ticket.entry === entry) {
					orphan(ticket);
				}
			}

			for (const backend of table.list()) {
				backend.connections.delete(entry);
			}
		}
	};

	const endOrphans = (nowMs: number): void => {
		for (const backend of table.list()) {
			withOrphanCount(backend, () => {
				for (const [ticketId, {endsAtMs}] of backend.orphans) {
					if (endsAtMs <= nowMs) {
						backend.orphans.delete(ticketId);
					}
				}
			});
			if (backend.expiresAtMs <= nowMs && table.usedSlots(backend) === 0) {
				table.remove(backend.instance);
			}
		}
	};

	const configure = (configuration: DispatchConfiguration): void => {
		queues.clear();
		for (const queue of configuration.queues) {
			queues.set(queue.name, queue);
		}

		longestDeadlineMs = configuration.queues.reduce((longest, queue) => Math.max(longest, queue.maxDeadlineMs), 60_000);
		ledger.configure(new Map(configuration.weights.map(({team, weight}) => [team, weight])), queues);
		for (const {team, weight} of configuration.weights) {
			ledger.setWeight(team, weight);
		}

		table.setMaxEjected(configuration.maxOut);
		excluded = new Set(configuration.excluded);
		for (const backend of table.list()) {
			backend.excluded = excluded.has(backend.instance);
		}
	};

	const handle = (event: DispatchEvent, nowMs: number): PoolDispatchEffect[] => {
		ledger.advance(nowMs);
		switch (event.type) {
			case 'configure': {
				configure(event.configuration);
				return schedule(nowMs);
			}

			case 'grants': {
				for (const {team, amount} of event.grants) {
					ledger.setCap(team, amount);
				}

				return schedule(nowMs);
			}

			case 'enqueue': {
				return enqueue(event.request, event.reportSeq, nowMs);
			}

			case 'cancel': {
				cancelWaiting(event.requestId);
				return [];
			}

			case 'release': {
				release(event.ticketId, event.outcome, event.ranMs, nowMs);
				return schedule(nowMs);
			}

			case 'announce': {
				announce(event.announcement, nowMs);
				return schedule(nowMs);
			}

			case 'report': {
				return [...report(event.report, nowMs), ...schedule(nowMs)];
			}

			case 'lease': {
				leaseUntilMs = event.untilMs;
				return schedule(nowMs);
			}

			case 'tick': {
				if (rebuilding && nowMs >= rebuildUntilMs) {
					finishRebuild();
				}

				dropSilentEntries(nowMs);
				endOrphans(nowMs);
				return schedule(nowMs);
			}

			default: {
				throw new UnreachableError(event);
			}
		}
	};

	return {
		pool,
		epoch,
		handle,
		isRebuilding: () => rebuilding,
		usage: () => ledger.usage(),
		backends: () => table.list(),

		/** Ends the holds of teams that need not shrink any more. */
		endHolds(shrinking: ReadonlySet<string>): void {
			for (const team of ledger.heldTeams().filter(name => !shrinking.has(name))) {
				ledger.setHold(team, Infinity);
			}
		},

		/** Lowers a team's cap towards a target and returns what the pool promises not to exceed. */
		shrink(team: string, target: number): number {
			// Without the hold, work that waits would take each slot that comes free.
			ledger.setHold(team, target);
			const cap = Math.max(target, ledger.runningOf(team));
			ledger.setCap(team, Math.min(cap, ledger.capOf(team)));
			return ledger.capOf(team);
		},

		/** True once nothing that this pool started can be running on the instance. */
		isDrained(instance: string, nowMs: number): boolean {
			const backend = table.find(instance);
			if (rebuilding) {
				return false;
			}

			if (!backend) {
				return excluded.has(instance);
			}

			const reportsIdle = backend.announced.inFlight.length === 0 || backend.expiresAtMs <= nowMs;
			return backend.excluded && backend.confirmed && table.usedSlots(backend) === 0 && reportsIdle;
		},

		/** Whether a backend server announces itself as healthy, planned work apart. */
		isReady(instance: string, nowMs: number): boolean {
			const backend = table.find(instance);
			return backend !== undefined && backend.expiresAtMs > nowMs && backend.announced.healthy && !backend.announced.leaving;
		},

		/** Counts of live, ejected and silent backend servers. */
		health(nowMs: number) {
			const list = table.list();
			return {
				live: list.filter(backend => table.isLive(backend, nowMs) && !table.isEjected(backend, nowMs)).length,
				ejected: list.filter(backend => table.isEjected(backend, nowMs)).length,
				known: list.map(backend => backend.instance),
				out: list.filter(backend => !table.isLive(backend, nowMs) || table.isEjected(backend, nowMs)).map(backend => backend.instance),
				slots: list.map(backend => table.usableSlots(backend, nowMs)).reduce((sum, count) => sum + count, 0),
			};
		},
	};
};
