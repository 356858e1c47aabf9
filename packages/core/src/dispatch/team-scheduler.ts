/** Fair-share scheduling of one pool's requests across teams, and across the queues of a team. */
import {createFifo, type Fifo, type FifoSlot} from '../utils/fifo.js';
import {weightedMaxMin} from './weighted-share.js';
import type {WaitingRequest} from './requests.js';

/** Time over which a team that lags behind its share catches up, in milliseconds. */
const LAG_HORIZON_MS = 1000;
/** Bound of a team's lag, in milliseconds of its share. */
const MAX_LAG_MS = 5000;
/** Number of urgent starts in a row after which one other request of the team goes first. */
const MAX_URGENT_STREAK = 8;
/** Wait after which a request goes ahead of all others of its team, in milliseconds. */
export const AGEING_MS = 60_000;

/** A waiting request with its time of arrival at the dispatcher. */
export type QueuedRequest = WaitingRequest & {arrivedAtMs: number};

type TeamQueue = {name: string; weight: number; urgent: boolean; waiting: Fifo<QueuedRequest>; running: number};

type TeamState = {
	name: string;
	weight: number;
	/** Units of the team's upper limit that are granted to this pool. */
	cap: number;
	/** Running count at which the team starts nothing more, while its portion is being shrunk; Infinity otherwise. */
	hold: number;
	running: number;
	waiting: number;
	share: number;
	/** How far the team is behind (positive) or ahead of (negative) its share, in slot-milliseconds. */
	lagMs: number;
	urgentStreak: number;
	queues: Map<string, TeamQueue>;
};

/** Usage of this pool by one team. */
export type TeamUsage = {team: string; running: number; waiting: number; share: number; cap: number};

/** Settings of a queue that affect scheduling. */
export type QueueTraits = {weight: number; urgent: boolean};

/** The team scheduler of one pool. */
export type TeamScheduler = ReturnType<typeof createTeamScheduler>;

/** Creates a scheduler without teams. */
export const createTeamScheduler = () => {
	const teams = new Map<string, TeamState>();
	let updatedAtMs = 0;
	let capacity = 0;
	let sharesAreStale = true;

	const ensureTeam = (name: string): TeamState => {
		const existing = teams.get(name);
		if (existing) {
			return existing;
		}

		const created: TeamState = {
			name, weight: 1, cap: 0, hold: Infinity, running: 0, waiting: 0, share: 0, lagMs: 0, urgentStreak: 0, queues: new Map(),
		};
		teams.set(name, created);
		return created;
	};

	const ensureQueue = (team: TeamState, name: string): TeamQueue => {
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
		if (!sharesAreStale) {
			return;
		}

		sharesAreStale = false;
		const list = [...teams.values()];
		const shares = weightedMaxMin(capacity, list.map(team => ({
			weight: team.weight,
			demand: Math.max(team.running, Math.min(team.cap, team.running + team.waiting)),
		})));
		for (const [index, team] of list.entries()) {
			team.share = shares[index]!;
		}
	};

	/** Updates each team's lag up to now. */
	const updateLags = (nowMs: number): void => {
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
		const yieldsToOthers = team.urgentStreak >= MAX_URGENT_STREAK && others.length > 0;
		const eligible = urgent.length > 0 && !yieldsToOthers ? urgent : others;
		if (eligible.length === 0) {
			return undefined;
		}

		return eligible.reduce((best, queue) => (queue.running / queue.weight < best.running / best.weight ? queue : best));
	};

	return {
		updateLags,

		/** Sets the number of slots that can be used now. */
		setCapacity(slots: number): void {
			if (slots !== capacity) {
				capacity = slots;
				sharesAreStale = true;
			}
		},

		configure(weights: ReadonlyMap<string, number>, queues: ReadonlyMap<string, QueueTraits>): void {
			for (const team of teams.values()) {
				team.weight = weights.get(team.name) ?? 1;
				for (const queue of team.queues.values()) {
					Object.assign(queue, queues.get(queue.name));
				}
			}

			sharesAreStale = true;
		},

		setWeight(name: string, weight: number): void {
			ensureTeam(name).weight = weight;
			sharesAreStale = true;
		},

		setCap(name: string, cap: number): void {
			ensureTeam(name).cap = cap;
			sharesAreStale = true;
		},

		/** Holds a team: it starts nothing while `target` or more of its requests are running. Infinity ends the hold. */
		setHold(name: string, target: number): void {
			ensureTeam(name).hold = target;
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
			const team = ensureTeam(request.team);
			const queue = Object.assign(ensureQueue(team, request.queue), traits);
			team.waiting += 1;
			sharesAreStale = true;
			return queue.waiting.push(request);
		},

		cancel(slot: FifoSlot<QueuedRequest>): void {
			const team = ensureTeam(slot.value.team);
			if (slot.live) {
				ensureQueue(team, slot.value.queue).waiting.cancel(slot);
				team.waiting -= 1;
				sharesAreStale = true;
			}
		},

		/** Returns the request that should start next; undefined if no team may start one. */
		next(nowMs: number): QueuedRequest | undefined {
			updateLags(nowMs);
			let best: TeamState | undefined;
			let bestPriority = -Infinity;
			for (const team of teams.values()) {
				if (team.waiting === 0 || team.running >= Math.min(team.cap, team.hold)) {
					continue;
				}

				const priority = (team.share - team.running + (team.lagMs / LAG_HORIZON_MS)) / team.weight;
				if (priority > bestPriority) {
					best = team;
					bestPriority = priority;
				}
			}

			return best && pickQueue(best, nowMs)?.waiting.peek();
		},

		/** Removes the request that {@link next} returned from its queue and counts it as running. */
		start(request: QueuedRequest): void {
			const team = ensureTeam(request.team);
			const queue = ensureQueue(team, request.queue);
			queue.waiting.shift();
			queue.running += 1;
			team.waiting -= 1;
			team.running += 1;
			team.urgentStreak = queue.urgent ? team.urgentStreak + 1 : 0;
			sharesAreStale = true;
		},

		/** Counts work as running that this scheduler did not start, such as work found after a take-over. */
		addRunning(name: string): void {
			ensureTeam(name).running += 1;
			sharesAreStale = true;
		},

		finish(name: string, queueName: string | undefined): void {
			const team = ensureTeam(name);
			team.running -= 1;
			if (queueName !== undefined) {
				const queue = ensureQueue(team, queueName);
				queue.running = Math.max(0, queue.running - 1);
			}

			sharesAreStale = true;
		},

		usage(): TeamUsage[] {
			recomputeShares();
			return [...teams.values()].map(({name, running, waiting, share, cap}) => ({
				team: name, running, waiting, share, cap,
			}));
		},
	};
};
