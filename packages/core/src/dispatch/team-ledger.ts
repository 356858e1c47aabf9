/** Teams of one pool: who waits, who runs, who is owed a slot. */
import {createFifo, type Fifo, type FifoSlot} from '../utils/fifo.js';
import {weightedMaxMin} from './weighted-share.js';
import type {WaitingRequest} from './requests.js';

/** Time over which a lag behind the share is made up, in milliseconds. */
const LAG_HORIZON_MS = 1000;
/** Largest lag that is remembered, in share times milliseconds. */
const MAX_LAG_MS = 5000;
/** Urgent starts after which one other request of the team goes first. */
const URGENT_RUN = 8;
/** Wait after which a request goes before all others of its team, in milliseconds. */
export const AGEING_MS = 60_000;

/** A waiting request with the times that decisions need. */
export type QueuedRequest = WaitingRequest & {arrivedAtMs: number};

type TeamQueue = {name: string; weight: number; urgent: boolean; waiting: Fifo<QueuedRequest>; running: number};

type TeamState = {
	name: string;
	weight: number;
	/** Units of the upper limit granted to this pool. */
	cap: number;
	/** Running count from which nothing starts while the portion is being shrunk. */
	hold: number;
	running: number;
	waiting: number;
	share: number;
	/** Slot-milliseconds owed (positive) or overdrawn (negative). */
	lagMs: number;
	urgentRun: number;
	queues: Map<string, TeamQueue>;
};

/** What one team has in this pool. */
export type TeamUsage = {team: string; running: number; waiting: number; share: number; cap: number};

/** Traits of a queue that the ledger needs. */
export type QueueTraits = {weight: number; urgent: boolean};

/** The ledger of one pool. */
export type TeamLedger = ReturnType<typeof createTeamLedger>;

/** Creates an empty ledger. */
export const createTeamLedger = () => {
	const teams = new Map<string, TeamState>();
	let updatedAtMs = 0;
	let capacity = 0;
	let stale = true;

	const teamOf = (name: string): TeamState => {
		const existing = teams.get(name);
		if (existing) {
			return existing;
		}

		const created: TeamState = {
			name, weight: 1, cap: 0, hold: Infinity, running: 0, waiting: 0, share: 0, lagMs: 0, urgentRun: 0, queues: new Map(),
		};
		teams.set(name, created);
		return created;
	};

	const queueOf = (team: TeamState, name: string): TeamQueue => {
		const existing = team.queues.get(name);
		if (existing) {
			return existing;
		}

		const created: TeamQueue = {
			name, weight: 1, urgent: false, waiting: createFifo<QueuedRequest>(), running: 0,
		};
		team.queues.set(name, created);
		return created;
	};

	const recomputeShares = (): void => {
		if (!stale) {
			return;
		}

		stale = false;
		const list = [...teams.values()];
		const shares = weightedMaxMin(capacity, list.map(team => ({
			weight: team.weight,
			demand: Math.max(team.running, Math.min(team.cap, team.running + team.waiting)),
		})));
		for (const [index, team] of list.entries()) {
			team.share = shares[index]!;
		}
	};

	/** Integrates how far each team is from its share up to now. */
	const advance = (nowMs: number): void => {
		recomputeShares();
		const elapsedMs = Math.max(0, nowMs - updatedAtMs);
		updatedAtMs = Math.max(updatedAtMs, nowMs);
		if (elapsedMs === 0) {
			return;
		}

		for (const team of teams.values()) {
			if (team.waiting === 0 && team.running === 0) {
				team.lagMs = 0;
				continue;
			}

			const bound = Math.max(1, team.share) * MAX_LAG_MS;
			const lagMs = team.lagMs + ((team.share - team.running) * elapsedMs);
			team.lagMs = Math.max(-bound, Math.min(bound, lagMs));
		}
	};

	const pickQueue = (team: TeamState, nowMs: number): TeamQueue | undefined => {
		const candidates = [...team.queues.values()].filter(queue => queue.waiting.size() > 0);
		const aged = candidates.filter(queue => nowMs - queue.waiting.peek()!.arrivedAtMs > AGEING_MS);
		if (aged.length > 0) {
			return aged.reduce((best, queue) => (queue.waiting.peek()!.arrivedAtMs < best.waiting.peek()!.arrivedAtMs ? queue : best));
		}

		const urgent = candidates.filter(queue => queue.urgent);
		const others = candidates.filter(queue => !queue.urgent);
		const yieldsToOthers = team.urgentRun >= URGENT_RUN && others.length > 0;
		const eligible = urgent.length > 0 && !yieldsToOthers ? urgent : others;
		if (eligible.length === 0) {
			return undefined;
		}

		return eligible.reduce((best, queue) => (queue.running / queue.weight < best.running / best.weight ? queue : best));
	};

	return {
		advance,

		/** Sets slots that can be used now. */
		setCapacity(slots: number): void {
			if (slots !== capacity) {
				capacity = slots;
				stale = true;
			}
		},

		configure(shares: ReadonlyMap<string, number>, queues: ReadonlyMap<string, QueueTraits>): void {
			for (const team of teams.values()) {
				team.weight = shares.get(team.name) ?? 1;
				for (const queue of team.queues.values()) {
					Object.assign(queue, queues.get(queue.name));
				}
			}

			stale = true;
		},

		setWeight(name: string, weight: number): void {
			teamOf(name).weight = weight;
			stale = true;
		},

		setCap(name: string, cap: number): void {
			teamOf(name).cap = cap;
			stale = true;
		},

		/** Holds a team's starts at a count; Infinity ends that. */
		setHold(name: string, hold: number): void {
			teamOf(name).hold = hold;
		},

		/** Teams that are held. */
		heldTeams: (): string[] => [...teams.values()].filter(team => team.hold < Infinity).map(team => team.name),

		waitingOf: (name: string): number => teams.get(name)?.waiting ?? 0,
		runningOf: (name: string): number => teams.get(name)?.running ?? 0,
		capOf: (name: string): number => teams.get(name)?.cap ?? 0,

		shareOf(name: string): number {
			recomputeShares();
			return teams.get(name)?.share ?? 0;
		},

		enqueue(request: QueuedRequest, traits: QueueTraits): FifoSlot<QueuedRequest> {
			const team = teamOf(request.team);
			const queue = Object.assign(queueOf(team, request.queue), traits);
			team.waiting += 1;
			stale = true;
			return queue.waiting.push(request);
		},

		cancel(slot: FifoSlot<QueuedRequest>): void {
			const team = teamOf(slot.value.team);
			if (slot.live) {
				queueOf(team, slot.value.queue).waiting.cancel(slot);
				team.waiting -= 1;
				stale = true;
			}
		},

		/** The request that should start next, or none where no team may start one. */
		next(nowMs: number): QueuedRequest | undefined {
			advance(nowMs);
			let best: TeamState | undefined;
			let bestClaim = -Infinity;
			for (const team of teams.values()) {
				if (team.waiting === 0 || team.running >= Math.min(team.cap, team.hold)) {
					continue;
				}

				const claim = (team.share - team.running + (team.lagMs / LAG_HORIZON_MS)) / team.weight;
				if (claim > bestClaim) {
					best = team;
					bestClaim = claim;
				}
			}

			return best && pickQueue(best, nowMs)?.waiting.peek();
		},

		/** Takes the request that {@link next} named out of its queue and counts it as running. */
		start(request: QueuedRequest): void {
			const team = teamOf(request.team);
			const queue = queueOf(team, request.queue);
			queue.waiting.shift();
			queue.running += 1;
			team.waiting -= 1;
			team.running += 1;
			team.urgentRun = queue.urgent ? team.urgentRun + 1 : 0;
			stale = true;
		},

		/** Counts work as running that was not started here, such as after a take-over. */
		adopt(name: string): void {
			teamOf(name).running += 1;
			stale = true;
		},

		finish(name: string, queueName: string | undefined): void {
			const team = teamOf(name);
			team.running -= 1;
			if (queueName !== undefined) {
				const queue = queueOf(team, queueName);
				queue.running = Math.max(0, queue.running - 1);
			}

			stale = true;
		},

		usage(): TeamUsage[] {
			recomputeShares();
			return [...teams.values()].map(({name, running, waiting, share, cap}) => ({
				team: name, running, waiting, share, cap,
			}));
		},
	};
};
