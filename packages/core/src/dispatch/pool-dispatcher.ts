/**
Decides which request of a pool runs when, and on which backend server.

Deterministic and free of I/O: takes events with their times and returns effects.
*/
import {UnreachableError} from '../utils/errors.js';
import {createBackendTable, type Backend} from './backend-table.js';
import type {DispatchEvent, HeldReport, PoolDispatchEffect} from './dispatch-events.js';
import {createDispatchSettings} from './dispatch-settings.js';
import {createEntryReports} from './entry-reports.js';
import {createPoolStatus} from './pool-status.js';
import {createRequestAdmission} from './request-admission.js';
import {
	refusalReasons, ticketOutcomes,
	type Announcement, type RefusalReason, type TicketOutcome, type WaitingRequest,
} from './requests.js';
import {createRunTimes} from './run-times.js';
import {createTakeOver} from './take-over.js';
import {createTeamScheduler, type QueuedRequest} from './team-scheduler.js';
import {createTicketStore} from './ticket-store.js';
import {createWaitingRequests} from './waiting-requests.js';

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
	const settings = createDispatchSettings({scheduler, table});
	const waiting = createWaitingRequests(scheduler);
	const admission = createRequestAdmission({scheduler, runTimes});
	const reports = createEntryReports();
	const takeOver = createTakeOver({
		entries, rebuildUntilMs, leaseEnds, table,
	});
	const status = createPoolStatus({table, settings, takeOver});
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
			reportSeq: reports.lastSeqOf(request.entry),
			endsAtMs: nowMs + (settings.queueOf(request.queue)?.maxDeadlineMs ?? settings.longestDeadlineMs()),
		});
		waiting.started(request.requestId);
		return {type: 'ticket', ticket};
	};

	const schedule = (nowMs: number): PoolDispatchEffect[] => {
		const effects: PoolDispatchEffect[] = [];
		if (takeOver.isRebuilding() || nowMs >= leaseUntilMs) {
			return effects;
		}

		updateCapacity(nowMs);
		for (;;) {
			const request = scheduler.next(nowMs);
			if (!request) {
				return effects;
			}

			if (request.arrivedAtMs + request.deadlineMs <= nowMs) {
				waiting.cancel(request.requestId);
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

	const isKnown = (requestId: string): boolean => waiting.has(requestId) || tickets.hasRequest(requestId);

	const enqueue = (request: WaitingRequest, reportSeq: number, nowMs: number): PoolDispatchEffect[] => {
		const queue = settings.queueOf(request.queue);
		if (!queue) {
			return [refuse(request, refusalReasons.unknownQueue)];
		}

		if (isKnown(request.requestId)) {
			return [];
		}

		const refusal = admission.refusalOf(request, queue);
		if (refusal) {
			return [refuse(request, refusal.reason, refusal.retryAfterMs)];
		}

		reports.recordRequest(request.entry, reportSeq, nowMs);
		waiting.add({...request, arrivedAtMs: nowMs}, queue, reportSeq);
		return schedule(nowMs);
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
		for (const {entry, open} of reports.connectionsTo(backend.instance)) {
			table.setConnections(backend.instance, entry, open);
		}
	};

	const announce = (announcement: Announcement, nowMs: number): void => {
		const known = table.find(announcement.instance);
		tickets.releaseRemovedOrphans(known, () => {
			table.announce(announcement, nowMs, {excluded: settings.isExcluded(announcement.instance), confirmed: !takeOver.isRebuilding()});
		});
		const backend = table.find(announcement.instance)!;
		if (!known) {
			applyEarlierReports(backend);
		}

		tickets.adoptInFlight(backend, nowMs + settings.longestDeadlineMs());
	};

	const report = (heldReport: HeldReport, nowMs: number): PoolDispatchEffect[] => {
		const {entry, seq, held, connections} = heldReport;
		if (!reports.recordReport(heldReport, nowMs)) {
			return [];
		}

		tickets.reconcile(entry, seq, held, nowMs + settings.longestDeadlineMs());
		waiting.cancelUnlisted(entry, seq, new Set(heldReport.waiting));

		const open = new Map(connections.map(connection => [connection.instance, connection.open]));
		reports.setConnections(entry, open);
		for (const {instance} of table.list()) {
			table.setConnections(instance, entry, open.get(instance) ?? 0);
		}

		if (heldReport.epoch >= epoch) {
			takeOver.recordReport(entry);
		}

		const missing = heldReport.waiting.filter(requestId => !isKnown(requestId));
		return missing.length > 0 ? [{type: 'resend', entry, requestIds: missing}] : [];
	};

	const dropSilentEntries = (nowMs: number): void => {
		for (const entry of reports.removeSilent(nowMs)) {
			waiting.cancelAllOf(entry);
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

	const handle = (event: DispatchEvent, nowMs: number): PoolDispatchEffect[] => {
		scheduler.updateLags(nowMs);
		switch (event.type) {
			case 'configure': {
				settings.apply(event.configuration);
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
				waiting.cancel(event.requestId);
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
				takeOver.tick(nowMs);
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
		isRebuilding: takeOver.isRebuilding,
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
		isDrained: status.isDrained,
		/** Whether a backend server announces itself as healthy, regardless of planned work. */
		isReady: status.isReady,
		/** Health summary: counts of live and ejected backend servers, the instances known and out, and the usable slots. */
		health: status.health,
	};
};
