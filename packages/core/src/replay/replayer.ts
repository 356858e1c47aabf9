/** Feeds a trace to the decisions that the daemons run and checks each stated outcome after every event. */
import {createControlState, type ControlOutcome, type ControlState} from '../control/control-state.js';
import {createCatalogue, type Catalogue} from '../declarations/catalogue.js';
import {createPoolDispatcher, type PoolDispatcher} from '../dispatch/pool-dispatcher.js';
import type {Ticket} from '../dispatch/requests.js';
import {createPlanner, type Planner} from '../plan/planner.js';
import type {PlannerOutput} from '../plan/planner-types.js';
import type {PlatformWork, PoolEvidence} from '../plan/evidence.js';
import {canonicalJson, sha256Hex} from '../utils/canonical-json.js';
import {checkOutcome, type OutcomeState} from './outcomes.js';
import type {StatedOutcome, Trace, TraceEvent} from './trace.js';

/** What became of one stated outcome. */
export type OutcomeResult = {
	outcome: StatedOutcome;
	passed: boolean;
	/** Number of the first event at which it broke, from 1; absent where it was never reached. */
	event?: number;
	detail?: string;
};

/** What a replay gave. */
export type ReplayResult = {
	results: OutcomeResult[];
	events: number;
	/** Digest of all decisions; the same trace gives the same one. */
	digest: string;
};

const initialCommand = (declarations: Trace['header']['declarations']) => ({
	type: 'publish' as const, publicationId: 'trace-declarations', base: 0, contentDigest: 'trace', delta: {upserts: declarations, removals: []}, author: 'trace', atMs: 0,
});

/** Creates the machines that a trace drives. */
const createMachines = (trace: Trace) => {
	const catalogue: Catalogue = createCatalogue(trace.header.declarations);
	const dispatchers = new Map<string, PoolDispatcher>();
	const platform = new Map<string, PlatformWork>();
	let control: ControlState = createControlState();
	let planner: Planner = createPlanner();
	let last: PlannerOutput | undefined;
	const seen: OutcomeState = {
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

	const noteTicket = (ticket: Ticket, atMs: number): void => {
		seen.tickets.push({ticket, atMs});
		seen.open.set(ticket.ticketId, ticket);
	};

	const runDispatch = (event: TraceEvent & {type: 'dispatch'}): unknown => {
		const dispatcher = dispatchers.get(`${event.pool}/${event.epoch}`);
		if (event.event.type === 'announce') {
			seen.slots.set(event.event.announcement.instance, event.event.announcement.slots);
		}

		if (event.event.type === 'release' && event.event.outcome !== 'unknown') {
			seen.open.delete(event.event.ticketId);
		}

		const effects = dispatcher?.handle(event.event, event.atMs) ?? [];
		for (const effect of effects) {
			if (effect.type === 'ticket') {
				noteTicket(effect.ticket, event.atMs);
			} else if (effect.type === 'refusal') {
				seen.refusals.set(effect.requestId, effect.reason);
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
			for (const order of last?.orders ?? []) {
				platform.set(order.workId, 'done');
			}
		}

		const evidence = evidenceOf(event);
		last = planner.plan({
			catalogue, placements: control.placements.list(), evidence, platform, wallMs: event.atMs,
		});
		for (const command of last.commands) {
			control.apply(command);
		}

		seen.plan = {output: last, evidence};
		return last;
	};

	const run = (event: TraceEvent, number: number): unknown => {
		seen.plan = undefined;
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
				seen.outcomes.set(number, outcome);
				seen.versions.push(control.publications.version());
				return outcome;
			}

			case 'restart-state': {
				control = createControlState(structuredClone(control.snapshot()));
				seen.versions.push(control.publications.version());
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

	return {run, seen};
};

/** Replays a trace. */
export const replayTrace = (trace: Trace): ReplayResult => {
	const {run, seen} = createMachines(trace);
	const results = trace.header.outcomes.map((outcome): OutcomeResult => ({outcome, passed: true}));
	const decisions: unknown[] = [];

	const check = (number: number, isEnd: boolean): void => {
		for (const result of results.filter(item => item.passed)) {
			const detail = checkOutcome(result.outcome, seen, isEnd);
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
