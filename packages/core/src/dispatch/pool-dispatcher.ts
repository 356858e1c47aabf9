/**
Decides which request of a pool runs when, and on which backend server.

Deterministic and free of I/O: takes events with their times and returns effects.
*/
import {UnreachableError} from '../utils/errors.js';
import type {FifoSlot} from '../utils/fifo.js';
import {createBackendTable, type Backend} from './backend-table.js';
import type {
	DispatchQueue, DispatchConfiguration, HeldReport, DispatchEvent, PoolDispatchEffect,
} from './dispatch-events.js';
import {createEvacuatedBackends} from './evacuated-backends.js';
import {createRunTimes} from './run-times.js';
import {
	refusalReasons, ticketOutcomes,
	type Announcement, type RefusalReason, type TicketOutcome, type WaitingRequest,
} from './requests.js';
import {createTicketStore, LOST_AFTER_REPORTS} from './ticket-store.js';
import {createTeamScheduler, type QueuedRequest} from './team-scheduler.js';

/** Time without a report after which an entry is considered gone, in milliseconds. */
export const ENTRY_TIMEOUT_MS = 3000;
/** Retry-After of refusals without a better estimate, in milliseconds. */
const DEFAULT_RETRY_AFTER_MS = 1000;

/** Options of a dispatcher. */
export type PoolDispatcherOptions = {
	pool: string;
	epoch: number;
	/** Entries that may hold tickets of an earlier epoch. */
	entries: string[];
	/** Time after which entries that did not report can no longer start work, in milliseconds. */
	rebuildUntilMs: number;
	/** The same time for individual entries for which it is earlier. */
	leaseEnds?: Array<{entry: string; untilMs: number}>;
};

type Waiting = {slot: FifoSlot<QueuedRequest>; reportSeq: number};

/** The dispatcher of one pool. */
export type PoolDispatcher = ReturnType<typeof createPoolDispatcher>;

/** Creates the dispatcher of one pool for one epoch. */
export const createPoolDispatcher = ({pool, epoch, entries, rebuildUntilMs, leaseEnds = []}: PoolDispatcherOptions) => {
	const scheduler = createTeamScheduler();
	const table = createBackendTable({maxEjected: 1});
	const tickets = createTicketStore({
		pool, epoch, scheduler, table,
	});
	const runTimes = createRunTimes();
	const queues = new Map<string, DispatchQueue>();
	const waiting = new Map<string, Waiting>();
	const lastReports = new Map<string, {seq: number; atMs: number}>();
	const connectionsByEntry = new Map<string, ReadonlyMap<string, number>>();
	const unreportedEntries = new Set(entries);
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
		scheduler.setCapacity(slots.reduce((sum, count) => sum + count, 0));
	};

	const issueTicket = (request: QueuedRequest, backend: Backend, nowMs: number): PoolDispatchEffect => {
		const ticket = tickets.issue(request, backend, {
			reportSeq: lastReports.get(request.entry)?.seq ?? 0,
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
			const request = scheduler.next(nowMs);
			if (!request) {
				return effects;
			}

			if (request.arrivedAtMs + request.deadlineMs <= nowMs) {
				scheduler.cancel(waiting.get(request.requestId)!.slot);
				waiting.delete(request.requestId);
				effects.push(refuse(request, refusalReasons.deadlinePassed));
				continue;
			}

			const backend = table.pick(request, nowMs);
			if (!backend) {
				return effects;
			}

			effects.push(issueTicket(request, backend, nowMs));
		}
	};

	/** Expected wait of a new request in milliseconds, from its team's share and the observed run times; 0 if unknown. */
	const expectedWaitMs = (request: WaitingRequest): number => {
		const share = scheduler.shareOf(request.team);
		const runMs = runTimes.meanMs(request.queue);
		if (share <= 0 || runMs === undefined || scheduler.runningOf(request.team) < share) {
			return 0;
		}

		return (scheduler.waitingOf(request.team) + 1) * runMs / share;
	};

	const enqueue = (request: WaitingRequest, reportSeq: number, nowMs: number): PoolDispatchEffect[] => {
		const queue = queues.get(request.queue);
		if (!queue) {
			return [refuse(request, refusalReasons.unknownQueue)];
		}

		if (waiting.has(request.requestId) || tickets.hasRequest(request.requestId)) {
			return [];
		}

		if (scheduler.waitingOf(request.team) >= queue.maxWaiting) {
			return [refuse(request, refusalReasons.queueFull, runTimes.meanMs(request.queue))];
		}

		const waitMs = expectedWaitMs(request);
		if (waitMs > request.deadlineMs) {
			return [refuse(request, refusalReasons.wouldMissDeadline, waitMs - request.deadlineMs)];
		}

		const lastSeq = lastReports.get(request.entry)?.seq ?? 0;
		lastReports.set(request.entry, {seq: Math.max(lastSeq, reportSeq), atMs: nowMs});
		const slot = scheduler.enqueue({...request, arrivedAtMs: nowMs}, queue);
		waiting.set(request.requestId, {slot, reportSeq});
		return schedule(nowMs);
	};

	const cancelWaiting = (requestId: string): void => {
		const item = waiting.get(requestId);
		if (item) {
			scheduler.cancel(item.slot);
			waiting.delete(requestId);
		}
	};

	const release = (ticketId: string, outcome: TicketOutcome, ranMs: number, nowMs: number): void => {
		const ticket = tickets.find(ticketId);
		if (!ticket) {
			return;
		}

		const backend = table.find(ticket.instance);
		if (backend) {
			table.recordOutcome(backend, outcome, nowMs);
		}

		if (outcome === ticketOutcomes.unknown) {
			tickets.orphan(ticket);
			return;
		}

		if (outcome === ticketOutcomes.ok && ticket.queue !== undefined) {
			runTimes.observe(ticket.queue, ranMs);
		}

		tickets.close(ticket);
	};

	/** Applies work and connections that entries reported before the backend server announced itself here. */
	const applyEarlierReports = (backend: Backend): void => {
		tickets.attachTickets(backend);
		for (const [entry, open] of connectionsByEntry) {
			table.setConnections(backend.instance, entry, open.get(backend.instance) ?? 0);
		}
	};

	const announce = (announcement: Announcement, nowMs: number): void => {
		const known = table.find(announcement.instance);
		tickets.releaseRemovedOrphans(known, () => {
			table.announce(announcement, nowMs, {excluded: excluded.has(announcement.instance), confirmed: !rebuilding});
		});
		const backend = table.find(announcement.instance)!;
		if (!known) {
			applyEarlierReports(backend);
		}

		tickets.adoptInFlight(backend, nowMs + longestDeadlineMs);
	};

	const finishRebuild = (): void => {
		rebuilding = false;
		// Entries that did not report may have work running, which only the next announcement reveals.
		for (const backend of table.list()) {
			backend.confirmed = unreportedEntries.size === 0;
		}
	};

	const report = (heldReport: HeldReport, nowMs: number): PoolDispatchEffect[] => {
		const previous = lastReports.get(heldReport.entry);
		if (previous && heldReport.seq <= previous.seq) {
			return [];
		}

		lastReports.set(heldReport.entry, {seq: heldReport.seq, atMs: nowMs});
		const waitingIds = new Set(heldReport.waiting);
		tickets.reconcile(heldReport.entry, heldReport.seq, heldReport.held, nowMs + longestDeadlineMs);
		for (const [requestId, {slot, reportSeq}] of waiting) {
			if (slot.value.entry === heldReport.entry && !waitingIds.has(requestId) && reportSeq <= heldReport.seq - LOST_AFTER_REPORTS) {
				cancelWaiting(requestId);
			}
		}

		const open = new Map(heldReport.connections.map(connection => [connection.instance, connection.open]));
		connectionsByEntry.set(heldReport.entry, open);
		for (const {instance} of table.list()) {
			table.setConnections(instance, heldReport.entry, open.get(instance) ?? 0);
		}

		if (heldReport.epoch >= epoch) {
			unreportedEntries.delete(heldReport.entry);
			if (rebuilding && unreportedEntries.size === 0) {
				finishRebuild();
			}
		}

		const missing = heldReport.waiting.filter(requestId => !waiting.has(requestId) && !tickets.hasRequest(requestId));
		return missing.length > 0 ? [{type: 'resend', entry: heldReport.entry, requestIds: missing}] : [];
	};

	const dropSilentEntries = (nowMs: number): void => {
		for (const [entry, {atMs}] of lastReports) {
			if (nowMs - atMs < ENTRY_TIMEOUT_MS) {
				continue;
			}

			lastReports.delete(entry);
			connectionsByEntry.delete(entry);
			for (const [requestId, {slot}] of waiting) {
				if (slot.value.entry === entry) {
					cancelWaiting(requestId);
				}
			}

			tickets.orphanAllOf(entry);

			for (const backend of table.list()) {
				backend.connections.delete(entry);
			}
		}
	};

	const expireOrphans = (nowMs: number): void => {
		for (const backend of table.list()) {
			tickets.releaseRemovedOrphans(backend, () => {
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
		scheduler.configure(new Map(configuration.weights.map(({team, weight}) => [team, weight])), queues);
		for (const {team, weight} of configuration.weights) {
			scheduler.setWeight(team, weight);
		}

		table.setMaxEjected(configuration.maxOut);
		table.setEvacuated(createEvacuatedBackends(configuration.evacuated));
		excluded = new Set(configuration.excluded);
		for (const backend of table.list()) {
			backend.excluded = excluded.has(backend.instance);
		}
	};

	const handle = (event: DispatchEvent, nowMs: number): PoolDispatchEffect[] => {
		scheduler.updateLags(nowMs);
		switch (event.type) {
			case 'configure': {
				configure(event.configuration);
				return schedule(nowMs);
			}

			case 'grants': {
				for (const {team, amount} of event.grants) {
					scheduler.setCap(team, amount);
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
				if (rebuilding && [...unreportedEntries].every(entry => nowMs >= (leaseEndOf.get(entry) ?? rebuildUntilMs))) {
					finishRebuild();
				}

				dropSilentEntries(nowMs);
				expireOrphans(nowMs);
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
		usage: () => scheduler.usage(),
		backends: () => table.list(),
		evacuatedUsage: () => table.evacuatedUsage(),

		/** Ends the holds of all teams but those whose portions are still being shrunk. */
		endHolds(shrinking: ReadonlySet<string>): void {
			for (const team of scheduler.heldTeams().filter(name => !shrinking.has(name))) {
				scheduler.setHold(team, Infinity);
			}
		},

		/** Lowers a team's cap towards a target and returns the cap that the pool now stays within. */
		shrink(team: string, target: number): number {
			// Without the hold, waiting work would take each slot that becomes free.
			scheduler.setHold(team, target);
			const cap = Math.max(target, scheduler.runningOf(team));
			scheduler.setCap(team, Math.min(cap, scheduler.capOf(team)));
			return scheduler.capOf(team);
		},

		/** Whether no work that this pool started can be running on the instance. */
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

		/** Whether a backend server announces itself as healthy, regardless of planned work. */
		isReady(instance: string, nowMs: number): boolean {
			const backend = table.find(instance);
			return backend !== undefined && backend.expiresAtMs > nowMs && backend.announced.healthy && !backend.announced.leaving;
		},

		/** Health summary: counts of live and ejected backend servers, the instances known and out, and the usable slots. */
		health(nowMs: number) {
			const list = table.list();
			return {
				live: list.filter(backend => table.isLive(backend, nowMs) && !table.isEjected(backend, nowMs) && !table.isEvacuated(backend)).length,
				ejected: list.filter(backend => table.isEjected(backend, nowMs)).length,
				known: list.map(backend => backend.instance),
				out: list.filter(backend => !table.isLive(backend, nowMs) || table.isEjected(backend, nowMs)).map(backend => backend.instance),
				slots: list.map(backend => table.usableSlots(backend, nowMs)).reduce((sum, count) => sum + count, 0),
			};
		},
	};
};
