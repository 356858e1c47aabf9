/** Checks of a trace's stated outcomes against the events replayed so far. */
import type {ControlOutcome, ControlState} from '../control/control-state.js';
import type {Placement} from '../control/placements.js';
import type {Catalogue} from '../declarations/catalogue.js';
import {teamOfTicket, type RefusalReason, type Ticket} from '../dispatch/requests.js';
import type {PoolEvidence} from '../plan/evidence.js';
import type {PlannerOutput} from '../plan/planner-types.js';
import {canonicalJson} from '../utils/canonical-json.js';
import type {StatedOutcome} from './trace.js';

/** State that a replay has recorded. */
export type OutcomeState = {
	catalogue: Catalogue;
	control(): ControlState;
	tickets: Array<{ticket: Ticket; atMs: number}>;
	/** Tickets whose work may still run. */
	open: Map<string, Ticket>;
	refusals: Map<string, RefusalReason>;
	/** Announced slots by instance. */
	slots: Map<string, number>;
	/** Outcomes of commands by event number. */
	outcomes: Map<number, ControlOutcome>;
	versions: number[];
	/** Planning step of the current event; undefined if the event is none. */
	plan: {output: PlannerOutput; evidence: ReadonlyMap<string, PoolEvidence>} | undefined;
};

const countBy = (tickets: Iterable<Ticket>, key: (ticket: Ticket) => string | undefined, value: string): number => [...tickets].filter(ticket => key(ticket) === value).length;

const checkSlots = ({open, slots}: OutcomeState): string | undefined => {
	const over = [...slots].find(([instance, count]) => countBy(open.values(), ticket => ticket.instance, instance) > count);
	return over && `instance ${over[0]} runs more work than its ${over[1]} slots`;
};

const checkOneTicket = ({tickets}: OutcomeState): string | undefined => {
	const seen = new Set<string>();
	const twice = tickets.find(({ticket}) => {
		const isAgain = seen.has(ticket.requestId);
		seen.add(ticket.requestId);
		return isAgain;
	});
	return twice && `request ${twice.ticket.requestId} received two tickets`;
};

const checkBudget = (state: OutcomeState, name: string): string | undefined => {
	const pool = state.catalogue.find('pool', name);
	if (!state.plan || !pool || !state.plan.output.starts.some(start => start.pool === name)) {
		return undefined;
	}

	const evidence = state.plan.evidence.get(name);
	const isJoining = ({work}: Placement): boolean => work?.plan.type === 'move' && work.step === 'joining';
	const members = state.control().placements.list().filter(placement => placement.pool === name && !isJoining(placement));
	const out = members.filter(({instance, work}) => work !== undefined || evidence?.out.has(instance));
	const missing = Math.min(out.length, Math.max(0, pool.capacity.instances - (members.length - out.length)));
	return missing > pool.availability.maxOut ? `${missing} instances of pool ${name} are out, but its budget allows ${pool.availability.maxOut}` : undefined;
};

const checkReboots = ({plan, control}: OutcomeState): string | undefined => {
	const early = plan?.output.orders.find(({instance}) => {
		const pool = control().placements.find(instance)?.pool ?? '';
		return plan.evidence.get(pool)?.drained.has(instance) === false;
	});
	return early && `work on instance ${early.instance} was ordered before it was drained`;
};

const checkOnePool = ({control}: OutcomeState): string | undefined => {
	const names = control().placements.list().map(placement => placement.instance);
	return new Set(names).size === names.length ? undefined : 'an instance is placed in two pools';
};

const contains = (value: unknown, part: Record<string, unknown>): boolean => {
	const found = value as Record<string, unknown>;
	return Object.entries(part).every(([key, wanted]) => canonicalJson(found[key]) === canonicalJson(wanted));
};

const describeCommandOutcome = (outcome: ControlOutcome | undefined): unknown => (outcome && outcome.type !== 'applied' ? outcome.outcome : outcome);

const checkCommandOutcome = ({outcomes}: OutcomeState, event: number, equals: Record<string, unknown>): string | undefined => {
	const outcome = describeCommandOutcome(outcomes.get(event));
	return outcome === undefined || contains(outcome, equals) ? undefined : `the outcome of event ${event} is ${JSON.stringify(outcome)}`;
};

const isWaveDone = (state: OutcomeState, name: string): boolean => {
	const wave = state.catalogue.find('wave', name);
	return state.control().placements.list().filter(placement => wave?.pools.includes(placement.pool)).every(placement => placement.doneWaves.includes(name));
};

type Check<Type extends StatedOutcome['type']> = (outcome: Extract<StatedOutcome, {type: Type}>, state: OutcomeState, isEnd: boolean) => string | undefined;

const checks: {[Type in StatedOutcome['type']]: Check<Type>} = {
	'running-at-most'(outcome, state) {
		const running = countBy(state.open.values(), ticket => teamOfTicket(ticket.ticketId), outcome.team);
		return running > outcome.count ? `team ${outcome.team} has ${running} requests running` : undefined;
	},
	'slots-not-exceeded': (_, state) => checkSlots(state),
	'ticket-for': (outcome, state, isEnd) => isEnd && !state.tickets.some(({ticket}) => ticket.requestId === outcome.requestId) ? `request ${outcome.requestId} received no ticket` : undefined,
	'no-ticket-for': (outcome, state) => state.tickets.some(({ticket}) => ticket.requestId === outcome.requestId) ? `request ${outcome.requestId} received a ticket` : undefined,
	'no-ticket-to': (outcome, state) => state.tickets.some(({ticket, atMs}) => ticket.instance === outcome.instance && atMs >= outcome.fromMs) ? `${outcome.instance} received a ticket` : undefined,
	'tickets-at-least'(outcome, state, isEnd) {
		const given = state.tickets.filter(({ticket}) => teamOfTicket(ticket.ticketId) === outcome.team).length;
		return isEnd && given < outcome.count ? `team ${outcome.team} received ${given} tickets` : undefined;
	},
	'one-ticket-a-request': (_, state) => checkOneTicket(state),
	'refused'(outcome, state, isEnd) {
		const reason = state.refusals.get(outcome.requestId);
		return isEnd && reason !== outcome.reason ? `the refusal reason of request ${outcome.requestId} is ${reason ?? 'none'}` : undefined;
	},
	'version-never-falls'(_, state) {
		const falls = state.versions.some((version, index) => index > 0 && version < state.versions[index - 1]!);
		return falls ? `versions were ${state.versions.join(', ')}` : undefined;
	},
	'outcome-of'(outcome, state, isEnd) {
		const missing = isEnd && !state.outcomes.has(outcome.event) ? `event ${outcome.event} is not a command` : undefined;
		return missing ?? checkCommandOutcome(state, outcome.event, outcome.equals);
	},
	'granted-at-most'(outcome, state) {
		const granted = state.control().grants.totalOf(outcome.team);
		return granted > outcome.count ? `${granted} units are granted to team ${outcome.team}` : undefined;
	},
	'portion-is'(outcome, state, isEnd) {
		const amount = state.control().grants.amountOf(outcome.pool, outcome.team);
		return isEnd && amount !== outcome.count ? `pool ${outcome.pool} has a portion of ${amount} units of team ${outcome.team}` : undefined;
	},
	'key-withdrawn': (outcome, state, isEnd) => isEnd && !state.control().publications.isWithdrawn(outcome.sha256) ? 'the key is not withdrawn' : undefined,
	'budget-holds': (outcome, state) => checkBudget(state, outcome.pool),
	'reboot-only-drained': (_, state) => checkReboots(state),
	'one-pool-each': (_, state) => checkOnePool(state),
	'wave-done': (outcome, state, isEnd) => isEnd && !isWaveDone(state, outcome.wave) ? 'the wave is not done' : undefined,
};

/** Describes how an outcome is violated; undefined if it is not. Outcomes about the whole trace are checked only at its end. */
export const checkOutcome = (outcome: StatedOutcome, state: OutcomeState, isEnd: boolean): string | undefined => {
	const check = checks[outcome.type] as Check<StatedOutcome['type']>;
	return check(outcome, state, isEnd);
};
