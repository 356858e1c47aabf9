/**
Decides for one pool which request runs where and when.

Pure: events and times go in, effects come out; the same events give the same effects.
*/
import {UnreachableError} from '../utils/errors.js';
import type {FifoSlot} from '../utils/fifo.js';
import {createBackendTable, type Backend} from './backend-table.js';
import type {
	DispatchQueue, DispatchConfiguration, HeldReport, DispatchEvent, PoolDispatchEffect,
} from './dispatch-events.js';
import {createRunTimes} from './run-times.js';
import {
	refusalReasons, ticketOutcomes,
	type Announcement, type RefusalReason, type TicketOutcome, type WaitingRequest,
} from './requests.js';
import {createTicketBook, REPORTS_TO_LOSE_TICKET} from './ticket-book.js';
import {createTeamLedger, type QueuedRequest} from './team-ledger.js';

/** An entry that has not reported for this long is taken as gone, in milliseconds. */
export const ENTRY_SILENCE_MS = 3000;
/** Retry-After of refusals for which nothing better is known, in milliseconds. */
const DEFAULT_RETRY_AFTER_MS = 1000;

/** How a dispatcher starts. */
export type PoolDispatcherOptions = {
	pool: string;
	epoch: number;
	/** Entries that may hold tickets of an earlier epoch. */
	entries: string[];
	/** Time by which entries that did not report can start nothing any more. */
	rebuildUntilMs: number;
	/** The same time for single entries, where it is earlier. */
	leaseEnds?: Array<{entry: string; untilMs: number}>;
};

type Waiting = {slot: FifoSlot<QueuedRequest>; reportSeq: number};

/** The dispatcher of one pool. */
export type PoolDispatcher = ReturnType<typeof createPoolDispatcher>;

/** Creates the dispatcher of one pool for one epoch. */
export const createPoolDispatcher = ({pool, epoch, entries, rebuildUntilMs, leaseEnds = []}: PoolDispatcherOptions) => {
	const ledger = createTeamLedger();
	const table = createBackendTable({maxEjected: 1});
	const book = createTicketBook({
		pool, epoch, ledger, table,
	});
	const runTimes = createRunTimes();
	const queues = new Map<string, DispatchQueue>();
	const waiting = new Map<string, Waiting>();
	const reports = new Map<string, {seq: number; atMs: number}>();
	const openByEntry = new Map<string, ReadonlyMap<string, number>>();
	const unreported = new Set(entries);
	const leaseEndOf = new Map(leaseEnds.map(({entry, untilMs}) => [entry, untilMs]));
	let excluded = new Set<string>();
	let rebuilding = entries.length > 0;
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
		const ticket = book.give(request, backend, {
			reportSeq: reports.get(request.entry)?.seq ?? 0,
			endsAtMs: nowMs + (queues.get(request.queue)?.maxDeadlineMs ?? longestDeadlineMs),
		});
		waiting.delete(request.requestId);
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

		if (waiting.has(request.requestId) || book.hasRequest(request.requestId)) {
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
		const slot = ledger.enqueue({...request, arrivedAtMs: nowMs}, queue);
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

	const release = (ticketId: string, outcome: TicketOutcome, ranMs: number, nowMs: number): void => {
		const ticket = book.find(ticketId);
		if (!ticket) {
			return;
		}

		const backend = table.find(ticket.instance);
		if (backend) {
			table.learn(backend, outcome, nowMs);
		}

		if (outcome === ticketOutcomes.unknown) {
			book.orphan(ticket);
			return;
		}

		if (outcome === ticketOutcomes.ok && ticket.queue !== undefined) {
			runTimes.observe(ticket.queue, ranMs);
		}

		book.close(ticket);
	};

	/** Entries may have reported work and connections before the server announced itself here. */
	const takeEarlierReports = (backend: Backend): void => {
		book.placeOn(backend);
		for (const [entry, open] of openByEntry) {
			table.setConnections(backend.instance, entry, open.get(backend.instance) ?? 0);
		}
	};

	const announce = (announcement: Announcement, nowMs: number): void => {
		const known = table.find(announcement.instance);
		book.countEndedOrphans(known, () => {
			table.announce(announcement, nowMs, {excluded: excluded.has(announcement.instance), confirmed: !rebuilding});
		});
		const backend = table.find(announcement.instance)!;
		if (!known) {
			takeEarlierReports(backend);
		}

		book.adoptInFlight(backend, nowMs + longestDeadlineMs);
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
		const waitingIds = new Set(held.waiting);
		book.reconcile(held.entry, held.seq, held.held, nowMs + longestDeadlineMs);
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

		const missing = held.waiting.filter(requestId => !waiting.has(requestId) && !book.hasRequest(requestId));
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

			book.orphanAllOf(entry);

			for (const backend of table.list()) {
				backend.connections.delete(entry);
			}
		}
	};

	const endOrphans = (nowMs: number): void => {
		for (const backend of table.list()) {
			book.countEndedOrphans(backend, () => {
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
				if (rebuilding && [...unreported].every(entry => nowMs >= (leaseEndOf.get(entry) ?? rebuildUntilMs))) {
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
