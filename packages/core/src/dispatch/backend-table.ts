/** Table of one pool's backend servers: slots, connections, health. Used by the pool's dispatcher. */
import {createEvacuatedBackends, type EvacuatedBackends} from './evacuated-backends.js';
import {type Announcement, type TicketOutcome, ticketOutcomes} from './requests.js';

/** How long an announcement is valid, in milliseconds. */
export const ANNOUNCEMENT_LEASE_MS = 3500;
/** Consecutive failures after which a backend server is ejected. */
const EJECT_AFTER_FAILURES = 5;
/** Failure rate (0 to 1) above which a backend server is ejected. */
const MAX_FAILURE_RATE = 0.5;
/** Number of outcomes before the failure rate is taken into account. */
const MIN_OUTCOMES_FOR_RATE = 10;
/** Weight of the newest outcome in the failure rate. */
const RATE_GAIN = 0.1;
/** Length of the first ejection, in milliseconds; doubles each time up to {@link MAX_EJECTION_MS}. */
const BASE_EJECTION_MS = 2000;
const MAX_EJECTION_MS = 60_000;

/** One backend server. */
export type Backend = {
	readonly instance: string;
	announced: Announcement;
	expiresAtMs: number;
	/** Tickets that were issued and have not ended, by ticket ID. */
	running: Map<string, {team: string; entry: string}>;
	/** Work that no entry reports any more, by ticket ID; removed when the backend server stops reporting it or its deadline passes. */
	orphans: Map<string, {team: string; endsAtMs: number; seenReport: boolean}>;
	/** Connections that each entry may have open, by entry. */
	connections: Map<string, number>;
	consecutiveFailures: number;
	failureRate: number;
	outcomes: number;
	ejections: number;
	ejectedUntilMs: number;
	/** Slots that may be used after an ejection; doubles with each success up to the announced number. */
	rampSlots: number;
	/** True while planned work or its placement in another pool keeps it out. */
	excluded: boolean;
	/** Evacuated data centre that keeps it out. Kept here since each pick of a ticket asks for it of every server. */
	evacuatedIn: string | undefined;
	/** False from a take-over in which some entries did not report until the next announcement. */
	confirmed: boolean;
};

/** Number of requests that still run on a pool's backend servers in an evacuated data centre. */
export type EvacuatedUsage = {dataCentre: string; running: number};

/** Settings of a table. */
export type BackendTableOptions = {
	/** Number of backend servers that may be ejected at once. */
	maxEjected: number;
};

/** The table of one pool. */
export type BackendTable = ReturnType<typeof createBackendTable>;

/** Creates an empty table. */
export const createBackendTable = (options: BackendTableOptions) => {
	const backends = new Map<string, Backend>();
	let {maxEjected} = options;
	let evacuated: EvacuatedBackends = createEvacuatedBackends();

	const isLive = (backend: Backend, nowMs: number): boolean => backend.expiresAtMs > nowMs && backend.announced.healthy && !backend.announced.leaving && !backend.excluded;
	const isEjected = (backend: Backend, nowMs: number): boolean => backend.ejectedUntilMs > nowMs;
	const isEvacuated = (backend: Backend): boolean => backend.evacuatedIn !== undefined;
	const usedSlots = (backend: Backend): number => backend.running.size + backend.orphans.size;

	const usableSlots = (backend: Backend, nowMs: number): number => {
		if (!isLive(backend, nowMs) || isEjected(backend, nowMs) || !backend.confirmed || isEvacuated(backend)) {
			return 0;
		}

		return Math.min(backend.announced.slots, backend.rampSlots);
	};

	const hasConnection = (backend: Backend, entry: string): boolean => {
		const entryRunning = [...backend.running.values()].filter(ticket => ticket.entry === entry).length;
		if (entryRunning < (backend.connections.get(entry) ?? 0)) {
			return true;
		}

		const open = [...backend.connections.values()].reduce((sum, count) => sum + count, 0);
		return open < backend.announced.connections;
	};

	const removeEndedOrphans = (backend: Backend, reported: ReadonlySet<string>, nowMs: number): void => {
		for (const [ticketId, orphan] of backend.orphans) {
			// The first report may have been sent before the work arrived, so a missing ticket counts from the second.
			const isOver = orphan.seenReport && !reported.has(ticketId);
			orphan.seenReport = true;
			if (isOver || (orphan.endsAtMs <= nowMs && !reported.has(ticketId))) {
				backend.orphans.delete(ticketId);
			}
		}
	};

	const eject = (backend: Backend, nowMs: number): void => {
		// Servers of an evacuated data centre serve nothing, so they do not use up the ejections of those that do.
		const ejected = [...backends.values()].filter(other => !isEvacuated(other)).filter(other => isEjected(other, nowMs) || (other.expiresAtMs > nowMs && !isLive(other, nowMs)));
		if (ejected.length >= maxEjected) {
			return;
		}

		backend.ejectedUntilMs = nowMs + Math.min(MAX_EJECTION_MS, BASE_EJECTION_MS * (2 ** backend.ejections));
		backend.ejections += 1;
		backend.rampSlots = 1;
		backend.consecutiveFailures = 0;
		backend.failureRate = 0;
		backend.outcomes = 0;
	};

	const recordFailure = (backend: Backend, nowMs: number): void => {
		backend.consecutiveFailures += 1;
		backend.failureRate += (1 - backend.failureRate) * RATE_GAIN;
		backend.outcomes += 1;
		const failsOften = backend.outcomes >= MIN_OUTCOMES_FOR_RATE && backend.failureRate > MAX_FAILURE_RATE;
		if (!isEjected(backend, nowMs) && (backend.consecutiveFailures >= EJECT_AFTER_FAILURES || failsOften)) {
			eject(backend, nowMs);
		}
	};

	const recordSuccess = (backend: Backend): void => {
		backend.consecutiveFailures = 0;
		backend.failureRate -= backend.failureRate * RATE_GAIN;
		backend.outcomes += 1;
		backend.rampSlots = Math.min(backend.announced.slots, backend.rampSlots * 2);
		if (backend.rampSlots === backend.announced.slots && backend.failureRate < RATE_GAIN) {
			backend.ejections = 0;
		}
	};

	return {
		find: (instance: string) => backends.get(instance),
		list: (): Backend[] => [...backends.values()],
		usableSlots,
		usedSlots,
		isLive,
		isEjected,
		isEvacuated,

		setEvacuated(current: EvacuatedBackends): void {
			evacuated = current;
			for (const backend of backends.values()) {
				backend.evacuatedIn = evacuated.dataCentreOf(backend.announced);
			}
		},

		/** Requests that still run in each evacuated data centre, including work that no entry reports any more. */
		evacuatedUsage: (): EvacuatedUsage[] => evacuated.dataCentres().map(dataCentre => ({
			dataCentre,
			running: [...backends.values()].filter(backend => backend.evacuatedIn === dataCentre).reduce((sum, backend) => sum + usedSlots(backend), 0),
		})),

		setMaxEjected(count: number): void {
			maxEjected = count;
		},

		/** Applies an announcement; `confirmed` is false while the table is being rebuilt. */
		announce(announced: Announcement, nowMs: number, {excluded, confirmed}: {excluded: boolean; confirmed: boolean}): Backend {
			const existing = backends.get(announced.instance);
			const backend: Backend = existing ?? {
				instance: announced.instance,
				announced,
				expiresAtMs: 0,
				running: new Map(),
				orphans: new Map(),
				connections: new Map(),
				consecutiveFailures: 0,
				failureRate: 0,
				outcomes: 0,
				ejections: 0,
				ejectedUntilMs: 0,
				rampSlots: announced.slots,
				excluded,
				evacuatedIn: undefined,
				confirmed,
			};
			const restarted = existing !== undefined && existing.announced.address !== announced.address;
			backend.rampSlots = restarted || backend.rampSlots === backend.announced.slots ? announced.slots : Math.min(backend.rampSlots, announced.slots);
			backend.announced = announced;
			backend.expiresAtMs = nowMs + ANNOUNCEMENT_LEASE_MS;
			backend.excluded = excluded;
			backend.evacuatedIn = evacuated.dataCentreOf(announced);
			backend.confirmed ||= confirmed;
			backends.set(announced.instance, backend);
			removeEndedOrphans(backend, new Set(announced.inFlight), nowMs);
			return backend;
		},

		/** Picks the usable backend server with the highest share of free slots, preferring low failure rates and instances and racks that were not tried. */
		pick(request: {entry: string; tried: readonly string[]}, nowMs: number): Backend | undefined {
			const triedRacks = new Set(request.tried.map(instance => backends.get(instance)?.announced.rack));
			const rank = (backend: Backend): number => {
				const free = 1 - (usedSlots(backend) / usableSlots(backend, nowMs));
				const penalty = (request.tried.includes(backend.instance) ? 4 : 0) + (triedRacks.has(backend.announced.rack) ? 2 : 0);
				return free - penalty - backend.failureRate;
			};

			let best: Backend | undefined;
			let bestRank = -Infinity;
			for (const backend of backends.values()) {
				if (usedSlots(backend) >= usableSlots(backend, nowMs) || !hasConnection(backend, request.entry)) {
					continue;
				}

				const backendRank = rank(backend);
				if (backendRank > bestRank) {
					best = backend;
					bestRank = backendRank;
				}
			}

			return best;
		},

		/** Adds a ticket to a backend server. */
		addTicket(backend: Backend, ticketId: string, team: string, entry: string): void {
			backend.running.set(ticketId, {team, entry});
			const entryRunning = [...backend.running.values()].filter(ticket => ticket.entry === entry).length;
			backend.connections.set(entry, Math.max(entryRunning, backend.connections.get(entry) ?? 0));
		},

		/** Updates a backend server's health from a ticket's outcome. */
		recordOutcome(backend: Backend, outcome: TicketOutcome, nowMs: number): void {
			switch (outcome) {
				case ticketOutcomes.ok: {
					recordSuccess(backend);
					return;
				}

				case ticketOutcomes.failed:
				case ticketOutcomes.notRun:
				case ticketOutcomes.unknown: {
					recordFailure(backend, nowMs);
					break;
				}

				case ticketOutcomes.unused: {
					// An unused ticket says nothing about the backend server.
					break;
				}
			}
		},

		/** Sets the number of connections that an entry has open to a backend server. */
		setConnections(instance: string, entry: string, open: number): void {
			const backend = backends.get(instance);
			if (!backend) {
				return;
			}

			const entryRunning = [...backend.running.values()].filter(ticket => ticket.entry === entry).length;
			const count = Math.max(open, entryRunning);
			if (count === 0) {
				backend.connections.delete(entry);
			} else {
				backend.connections.set(entry, count);
			}
		},

		remove(instance: string): void {
			backends.delete(instance);
		},
	};
};
