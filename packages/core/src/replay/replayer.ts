/** Replays a trace through the decision code of the daemons and checks each stated outcome after every event. */
import {createControlState, type ControlOutcome, type ControlState} from '../control/control-state.js';
import {createCatalogue, type Catalogue} from '../declarations/catalogue.js';
import {createPoolDispatcher, type PoolDispatcher} from '../dispatch/pool-dispatcher.js';
import type {Ticket} from '../dispatch/requests.js';
import {createPlanner, type Planner} from '../plan/planner.js';
import type {PlannerOutput} from '../plan/planner-types.js';
import type {PlatformWorkState, PoolEvidence} from '../plan/evidence.js';
import {canonicalJson, sha256Hex} from '../utils/canonical-json.js';
import {checkOutcome, type OutcomeState} from './outcomes.js';
import type {StatedOutcome, Trace, TraceEvent} from './trace.js';

/** Result of one stated outcome. */
export type OutcomeResult = {
	outcome: StatedOutcome;
	passed: boolean;
	/** Number of the event, from 1, after which the outcome was first violated; absent if it was not violated. */
	event?: number;
	detail?: string;
};

/** Result of a replay. */
export type ReplayResult = {
	results: OutcomeResult[];
	events: number;
	/** Digest of all decisions; the same trace always gives the same digest. */
	digest: string;
};

const initialCommand = (declarations: Trace['header']['declarations']) => ({
	type: 'publish' as const, publicationId: 'trace-declarations', base: 0, contentDigest: 'trace', delta: {upserts: declarations, removals: []}, author: 'trace', atMs: 0,
});

/** Creates the dispatchers, control state and planner that a trace drives, and the state recorded for the checks. */
const createReplay = (trace: Trace) => {
	const catalogue: Catalogue = createCatalogue(trace.header.declarations);
	const dispatchers = new Map<string, PoolDispatcher>();
	const platform = new Map<string, PlatformWorkState>();
	let control: ControlState = createControlState();
	let planner: Planner = createPlanner();
	let lastOutput: PlannerOutput | undefined;
	const state: OutcomeState = {
		catalogue,
		control: () => control,
		tickets: [],
		open: new Map(),
		refusals: new Map(),
		slots: new Map(),
		outcomes: new Map(),
		versions: [],
		plan: undefined,
	};
	control.apply(initialCommand(trace.header.declarations));

	const recordTicket = (ticket: Ticket, atMs: number): void => {
		state.tickets.push({ticket, atMs});
		state.open.set(ticket.ticketId, ticket);
	};

	const runDispatch = (event: TraceEvent & {type: 'dispatch'}): unknown => {
		const dispatcher = dispatchers.get(`${event.pool}/${event.epoch}`);
		if (event.event.type === 'announce') {
			state.slots.set(event.event.announcement.instance, event.event.announcement.slots);
		}

		if (event.event.type === 'release' && event.event.outcome !== 'unknown') {
			state.open.delete(event.event.ticketId);
		}

		const effects = dispatcher?.handle(event.event, event.atMs) ?? [];
		for (const effect of effects) {
			if (effect.type === 'ticket') {
				recordTicket(effect.ticket, event.atMs);
			} else if (effect.type === 'refusal') {
				state.refusals.set(effect.requestId, effect.reason);
			}
		}

		return effects;
	};

	const evidenceOf = (event: TraceEvent & {type: 'plan'}): Map<string, PoolEvidence> => new Map(event.evidence.map(item => {
		const members = control.placements.list().map(placement => placement.instance);
		return [item.pool, {
			atMs: item.atMs,
			out: new Set(item.out),
			drained: new Set(members.filter(name => !item.undrained.includes(name))),
			ready: new Set(members.filter(name => !item.out.includes(name))),
			demand: item.demand,
		}];
	}));

	const runPlan = (event: TraceEvent & {type: 'plan'}): unknown => {
		planner = event.newLeader ? createPlanner() : planner;
		if (event.platformAnswers) {
			for (const order of lastOutput?.orders ?? []) {
				platform.set(order.workId, 'done');
			}
		}

		const evidence = evidenceOf(event);
		lastOutput = planner.plan({
			catalogue, placements: control.placements.list(), evidence, platform, evacuated: control.evacuations.names(), wallMs: event.atMs,
		});
		for (const command of lastOutput.commands) {
			control.apply(command);
		}

		state.plan = {output: lastOutput, evidence};
		return lastOutput;
	};

	const run = (event: TraceEvent, number: number): unknown => {
		state.plan = undefined;
		switch (event.type) {
			case 'open-dispatcher': {
				const {pool, epoch, entries, rebuildUntilMs, leaseEnds} = event;
				dispatchers.set(`${pool}/${epoch}`, createPoolDispatcher({
					pool, epoch, entries, rebuildUntilMs, leaseEnds,
				}));
				return undefined;
			}

			case 'dispatch': {
				return runDispatch(event);
			}

			case 'command': {
				const outcome: ControlOutcome = control.apply(event.command);
				state.outcomes.set(number, outcome);
				state.versions.push(control.publications.version());
				return outcome;
			}

			case 'restart-state': {
				control = createControlState(structuredClone(control.snapshot()));
				state.versions.push(control.publications.version());
				return undefined;
			}

			case 'plan': {
				return runPlan(event);
			}

			case 'end': {
				return undefined;
			}
		}
	};

	return {run, state};
};

/** Replays a trace and checks its stated outcomes. */
export const replayTrace = (trace: Trace): ReplayResult => {
	const {run, state} = createReplay(trace);
	const results = trace.header.outcomes.map((outcome): OutcomeResult => ({outcome, passed: true}));
	const decisions: unknown[] = [];

	const check = (number: number, isEnd: boolean): void => {
		for (const result of results.filter(item => item.passed)) {
			const detail = checkOutcome(result.outcome, state, isEnd);
			if (detail !== undefined) {
				result.passed = false;
				result.event = number;
				result.detail = detail;
			}
		}
	};

	for (const [index, event] of trace.events.entries()) {
		decisions.push(run(event, index + 1) ?? null);
		check(index + 1, false);
	}

	check(trace.events.length, true);
	return {results, events: trace.events.length, digest: sha256Hex(canonicalJson(decisions))};
};
