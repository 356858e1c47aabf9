/** Writes the traces that check each promise to the users and each failure case, for both example deployments. */
import {mkdirSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import {
	TRACE_SCHEMA_VERSION, type ControlCommand, type Declaration, type DispatchEvent, type StatedOutcome, type TraceEvent,
} from '@bronzebend/core';
import {readExample} from './local-cluster.js';
import {root} from './process-cluster.js';

type Deployment = {name: string; pool: string; teams: [string, string]; otherPool: string; start: number};

const deployments: Deployment[] = [
	{
		name: 'schaumwerk', pool: 'diagnosis', teams: ['hotel-chain', 'service-desk'], otherPool: 'parts', start: Date.parse('2026-12-07T00:00:00Z'),
	},
	{
		name: 'udrtina', pool: 'quote', teams: ['insurers', 'dealers'], otherPool: 'booking', start: Date.parse('2026-12-07T12:00:00Z'),
	},
];

/** Builds the events of one trace. */
const createBuilder = ({pool, teams}: Deployment, {epoch = 1, entries = [] as string[], rebuildUntilMs = 0, caps = [100, 100], backends = 2, slots = 2} = {}) => {
	const events: TraceEvent[] = [];
	let atMs = 0;
	let requestNumber = 0;

	const dispatch = (event: DispatchEvent): void => {
		events.push({
			type: 'dispatch', atMs, pool, epoch, event,
		});
	};

	const builder = {
		events,
		dispatch,
		at(time: number): void {
			atMs = time;
		},
		tick(): void {
			dispatch({type: 'tick'});
		},
		announce(instance: string, {inFlight = [] as string[], leaving = false} = {}): void {
			dispatch({
				type: 'announce', announcement: {
					instance, service: pool, address: `http://${instance}`, dataCentre: 'dc-a', rack: `rack-${instance}`, slots, connections: 64, healthy: true, leaving, inFlight,
				},
			});
		},
		enqueue(team: string, {entry = 'n1', deadlineMs = 30_000} = {}): string {
			requestNumber += 1;
			const requestId = `r${requestNumber}`;
			dispatch({
				type: 'enqueue', reportSeq: 1, request: {
					requestId, entry, team, queue: pool, deadlineMs, tried: [],
				},
			});
			return requestId;
		},
		ticketId: (team: string, number: number): string => `${pool}:${team}:${epoch}:${number}`,
		release(ticketId: string, outcome: 'ok' | 'failed' | 'unknown' = 'ok', ranMs = 20): void {
			dispatch({
				type: 'release', ticketId, outcome, ranMs,
			});
		},
		report(entry: string, seq: number, held: Array<{ticketId: string; instance: string}>, waiting: string[]): void {
			dispatch({
				type: 'report', report: {
					entry, seq, epoch, held, waiting, connections: [],
				},
			});
		},
	};
	events.push({
		type: 'open-dispatcher', atMs, pool, epoch, entries, rebuildUntilMs,
	});
	dispatch({
		type: 'configure', configuration: {
			queues: [{
				name: pool, weight: 1, urgent: true, maxWaiting: 10, maxDeadlineMs: 60_000,
			}], weights: teams.map((team, index) => ({team, weight: index + 1})), maxOut: 1, excluded: [],
		},
	});
	dispatch({type: 'grants', grants: teams.map((team, index) => ({team, amount: caps[index]!}))});
	dispatch({type: 'lease', untilMs: 1e12});
	for (let index = 1; index <= backends; index += 1) {
		builder.announce(`i${index}`);
	}

	return builder;
};

type Scenario = {name: string; write(deployment: Deployment): {events: TraceEvent[]; outcomes: StatedOutcome[]; declarations?: Declaration[]}};

const command = (atMs: number, value: ControlCommand): TraceEvent => ({type: 'command', atMs, command: value});

const publish = (publicationId: string, base: number, upserts: Declaration[], contentDigest = publicationId): ControlCommand => ({
	type: 'publish', publicationId, base, contentDigest, delta: {upserts, removals: []}, author: publicationId, atMs: 0,
});

const slotsHold: StatedOutcome = {type: 'slots-not-exceeded', words: 'Work lands on healthy instances within their slots.'};
const oneTicketPerRequest: StatedOutcome = {type: 'one-ticket-a-request', words: 'Nothing is started twice.'};

const wave = (pool: string, start: number): Declaration => ({
	kind: 'wave', name: 'w', pools: [pool], start: new Date(start).toISOString(), paused: false, windows: [],
});

/** Creates planning steps, one second apart by default. */
const planSteps = ({start}: Deployment, pool: string, count: number, shape: (step: number) => {out?: string[]; undrained?: string[]; demand?: number; newLeader?: boolean; platformAnswers?: boolean; gapMs?: number}): TraceEvent[] => {
	let atMs = start;
	return Array.from({length: count}, (_, step): TraceEvent => {
		const {out = [], undrained = [], demand = 0, newLeader = false, platformAnswers = true, gapMs = 1000} = shape(step);
		atMs += gapMs;
		return {
			type: 'plan', atMs, newLeader, platformAnswers, evidence: [{
				pool, atMs, out, undrained, demand,
			}],
		};
	});
};

const planOutcomes = (pool: string): StatedOutcome[] => [
	{type: 'budget-holds', words: 'Every pool\'s availability budget holds through moves, waves and maintenance.', pool},
	{type: 'reboot-only-drained', words: 'Every planned stop is a graceful shutdown: it cuts no request.'},
	{type: 'one-pool-each', words: 'An instance belongs to exactly one pool at any moment.'},
];

const scenarios: Scenario[] = [
	{
		name: 'promise-availability-budget',
		write: deployment => ({
			declarations: [wave(deployment.pool, deployment.start)],
			events: planSteps(deployment, deployment.pool, 80, step => ({out: step > 3 && step < 30 ? [`${deployment.pool}-7`] : [], undrained: step < 3 ? [`${deployment.pool}-1`] : []})),
			outcomes: [...planOutcomes(deployment.pool), {type: 'wave-done', words: 'Maintenance goes on after the failure and finishes.', wave: 'w'}],
		}),
	},
	{
		name: 'promise-one-pool',
		write: deployment => ({
			events: planSteps(deployment, deployment.pool, 20, step => ({out: step > 0 ? [`${deployment.pool}-2`] : [], gapMs: 120_000, newLeader: step === 9})),
			outcomes: planOutcomes(deployment.pool),
		}),
	},
	{
		name: 'promise-withdrawn-key',
		write: ({teams}) => ({
			events: [
				command(0, publish('one', 1, [{
					kind: 'key', name: 'extra', sha256: 'a'.repeat(64), purpose: 'submit', team: teams[0],
				}])),
				command(1, {
					type: 'withdraw-key', publicationId: 'two', sha256: 'a'.repeat(64), author: 'x', atMs: 1,
				}),
				command(2, publish('three', 3, [{
					kind: 'key', name: 'again', sha256: 'a'.repeat(64), purpose: 'submit', team: teams[0],
				}])),
				{type: 'restart-state', atMs: 3},
			],
			outcomes: [{type: 'key-withdrawn', words: 'A withdrawn key stops working, also when it is declared again.', sha256: 'a'.repeat(64)}, {type: 'version-never-falls', words: 'An accepted configuration never reverts.'}],
		}),
	},
	{
		name: 'promise-upper-limit',
		write(deployment) {
			const [team] = deployment.teams;
			const builder = createBuilder(deployment, {caps: [2, 100], backends: 4});
			for (let index = 0; index < 6; index += 1) {
				builder.enqueue(team);
			}

			builder.release(builder.ticketId(team, 1), 'unknown');
			builder.dispatch({type: 'grants', grants: [{team, amount: 1}]});
			builder.release(builder.ticketId(team, 2));
			return {
				events: builder.events, outcomes: [{
					type: 'running-at-most', words: 'No team ever has more running than its upper limit, late and cut answers included.', team, count: 2,
				}, slotsHold],
			};
		},
	},
	{
		name: 'promise-grants-within-limit',
		write({pool, otherPool, teams}) {
			const grant = (changes: Array<{pool: string; team: string; amount: number; promise?: {epoch: number; number: number}}>): ControlCommand => ({type: 'grants', changes});
			const [team] = teams;
			return {
				events: [
					command(0, {
						type: 'assign', pool, node: 'n1', epoch: 1,
					}),
					command(0, {
						type: 'assign', pool: otherPool, node: 'n2', epoch: 1,
					}),
					command(1, grant([{pool, team, amount: 60}])),
					command(2, grant([{pool: otherPool, team, amount: 10}])),
					command(3, grant([{
						pool, team, amount: 40, promise: {epoch: 1, number: 1},
					}])),
					command(4, grant([{pool: otherPool, team, amount: 20}])),
					command(5, grant([{
						pool, team, amount: 0, promise: {epoch: 9, number: 2},
					}])),
					command(6, grant([{pool: otherPool, team, amount: 60}])),
				],
				outcomes: [{
					type: 'granted-at-most', words: 'What is granted over the whole fleet never passes the limit, whoever claims a portion back.', team, count: 60,
				}, {
					type: 'portion-is', words: 'A portion shrinks only on the word of its present dispatcher.', pool, team, count: 40,
				}],
			};
		},
	},
	{
		name: 'promise-at-most-once',
		write: () => ({
			events: [...['a', 'b', 'a'].map((attemptId, index) => command(index, {
				type: 'claim', claimId: 'order-1', requestDigest: 'd', attemptId, atMs: index,
			})),
			command(3, {
				type: 'settle', claimId: 'order-1', attemptId: 'b', outcome: {type: 'released'}, atMs: 3,
			}),
			{type: 'restart-state', atMs: 4},
			command(5, {
				type: 'settle', claimId: 'order-1', attemptId: 'a', outcome: {type: 'answered', answer: {status: 201}}, atMs: 5,
			}),
			command(6, {
				type: 'claim', claimId: 'order-1', requestDigest: 'd', attemptId: 'c', atMs: 6,
			}),
			command(7, {
				type: 'claim', claimId: 'order-1', requestDigest: 'other', attemptId: 'c', atMs: 7,
			})],
			outcomes: [
				{
					type: 'outcome-of', words: 'The first comer runs.', event: 1, equals: {type: 'granted'},
				},
				{
					type: 'outcome-of', words: 'A resend through another entry does not run.', event: 2, equals: {type: 'in-progress'},
				},
				{
					type: 'outcome-of', words: 'A second comer gets the recorded outcome.', event: 7, equals: {type: 'answered'},
				},
				{
					type: 'outcome-of', words: 'A key used for another request is refused.', event: 8, equals: {type: 'key-reused'},
				},
			],
		}),
	},
	{
		name: 'promise-leaving-server',
		write(deployment) {
			const [team] = deployment.teams;
			const builder = createBuilder(deployment);
			builder.enqueue(team);
			builder.at(100);
			builder.announce('i1', {leaving: true});
			builder.at(200);
			for (let index = 0; index < 4; index += 1) {
				builder.enqueue(team);
			}

			return {
				events: builder.events, outcomes: [{
					type: 'no-ticket-to', words: 'A backend server that is leaving gets no new work.', instance: 'i1', fromMs: 101,
				}, slotsHold],
			};
		},
	},
	{
		name: 'promise-configuration-never-reverts',
		write: ({teams}) => ({
			events: [...Array.from({length: 300}, (_, index) => command(index, publish(`p${index}`, index + 1, [{
				kind: 'limit', name: `${teams[0]}-limit`, team: teams[0], running: 60 + index,
			}]))), {type: 'restart-state', atMs: 300}, command(301, publish('p299', 300, [], 'p299'))],
			outcomes: [
				{type: 'version-never-falls', words: 'An accepted configuration never reverts, also after a restart after hundreds of changes.'},
				{
					type: 'outcome-of', words: 'A resend after a lost answer gets the recorded answer.', event: 302, equals: {type: 'accepted', version: 301},
				},
			],
		}),
	},
	{
		name: 'failure-operators-race',
		write: ({teams}) => ({
			events: [...['anna', 'boris'].map((author, index) => command(index, publish(author, 1, [{
				kind: 'limit', name: `${teams[0]}-limit`, team: teams[0], running: 70 + index,
			}]))), command(2, publish('anna', 1, [], 'anna')), command(3, publish('anna', 2, [], 'something else'))],
			outcomes: [
				{
					type: 'outcome-of', words: 'Of two operators with equal version numbers one wins.', event: 1, equals: {type: 'accepted', version: 2},
				},
				{
					type: 'outcome-of', words: 'The other learns the winner and what differs.', event: 2, equals: {type: 'conflict', winner: 'anna', differs: [`limit/${teams[0]}-limit`]},
				},
				{
					type: 'outcome-of', words: 'A resend is safe.', event: 3, equals: {type: 'accepted', version: 2},
				},
				{
					type: 'outcome-of', words: 'A resend with other content is refused.', event: 4, equals: {type: 'publication-id-reused'},
				},
			],
		}),
	},
	{
		name: 'failure-worker-fails-everything',
		write(deployment) {
			const [team] = deployment.teams;
			const builder = createBuilder(deployment, {backends: 2, slots: 1});
			let number = 0;
			for (let index = 0; index < 12; index += 1) {
				builder.enqueue(team);
				builder.enqueue(team);
				builder.release(builder.ticketId(team, number + 1), index < 6 ? 'failed' : 'ok');
				builder.release(builder.ticketId(team, number + 2));
				number += 2;
				builder.at((index + 1) * 10);
			}

			builder.at(130);
			builder.enqueue(team);
			return {
				events: builder.events, outcomes: [slotsHold, oneTicketPerRequest, {
					type: 'tickets-at-least', words: 'A worker that fails everything does not stop the pool.', team, count: 20,
				}],
			};
		},
	},
	{
		name: 'failure-cancellations-in-waves',
		write(deployment) {
			const [team, other] = deployment.teams;
			const builder = createBuilder(deployment, {backends: 1, slots: 1});
			const ids = Array.from({length: 10}, () => builder.enqueue(team));
			const last = builder.enqueue(other);
			for (const requestId of ids.slice(1)) {
				builder.dispatch({type: 'cancel', requestId});
			}

			builder.release(builder.ticketId(team, 1));
			return {events: builder.events, outcomes: [{type: 'ticket-for', words: 'Cancelled callers free their place at once.', requestId: last}, {type: 'no-ticket-for', words: 'What was cancelled does not run.', requestId: ids[5]!}, oneTicketPerRequest]};
		},
	},
	{
		name: 'failure-silent-partition-of-an-entry',
		write(deployment) {
			const [team, other] = deployment.teams;
			const builder = createBuilder(deployment, {backends: 1, slots: 1});
			builder.enqueue(team, {entry: 'n1'});
			const waiting = builder.enqueue(other, {entry: 'n2'});
			for (let second = 1; second <= 5; second += 1) {
				builder.at(second * 1000);
				builder.report('n2', second + 1, [], [waiting]);
				builder.announce('i1', {inFlight: second < 4 ? [builder.ticketId(team, 1)] : []});
				builder.tick();
			}

			builder.release(builder.ticketId(team, 1));
			return {events: builder.events, outcomes: [{type: 'ticket-for', words: 'Others go on once the isolated entry\'s work is known to be over.', requestId: waiting}, oneTicketPerRequest]};
		},
	},
	{
		name: 'failure-dispatcher-lost',
		write(deployment) {
			const [team, other] = deployment.teams;
			const builder = createBuilder(deployment, {
				epoch: 2, entries: ['n1', 'n2'], rebuildUntilMs: 2200, backends: 1, slots: 1,
			});
			const early = builder.enqueue(other, {entry: 'n2'});
			builder.report('n2', 2, [], [early]);
			builder.at(2300);
			builder.tick();
			builder.announce('i1', {inFlight: [`${deployment.pool}:${team}:1:4`]});
			builder.announce('i1', {inFlight: []});
			return {events: builder.events, outcomes: [slotsHold, {type: 'ticket-for', words: 'Work goes on after the dispatcher is lost.', requestId: early}]};
		},
	},
	{
		name: 'failure-run-times-far-off',
		write(deployment) {
			const [team] = deployment.teams;
			const builder = createBuilder(deployment, {backends: 1, slots: 1});
			builder.enqueue(team);
			builder.release(builder.ticketId(team, 1), 'ok', 8000);
			for (let index = 0; index < 4; index += 1) {
				builder.enqueue(team);
			}

			const late = builder.enqueue(team, {deadlineMs: 3000});
			return {
				events: builder.events, outcomes: [{
					type: 'refused', words: 'What cannot start in time is refused early, by run times that were seen.', requestId: late, reason: 'would-miss-deadline',
				}],
			};
		},
	},
	{
		name: 'failure-second-loss-after-repair',
		write: deployment => ({
			declarations: [wave(deployment.pool, deployment.start)],
			events: planSteps(deployment, deployment.pool, 60, step => ({out: step % 7 === 3 ? [`${deployment.pool}-5`] : (step % 7 === 4 ? [`${deployment.pool}-5`, `${deployment.pool}-6`] : []), platformAnswers: step % 3 !== 0})),
			outcomes: planOutcomes(deployment.pool),
		}),
	},
	{
		name: 'failure-correlated-in-a-wave',
		write: deployment => ({
			declarations: [wave(deployment.pool, deployment.start)],
			events: planSteps(deployment, deployment.pool, 90, step => ({out: step > 2 && step < 40 ? ['1', '5', '2'].map(number => `${deployment.pool}-${number}`) : [], newLeader: step % 5 === 0})),
			outcomes: [...planOutcomes(deployment.pool), {type: 'wave-done', words: 'The wave finishes after the rack is back.', wave: 'w'}],
		}),
	},
	{
		name: 'failure-turns-of-demand',
		write(deployment) {
			const [first, second] = deployment.teams;
			const builder = createBuilder(deployment, {backends: 2, slots: 2});
			let given = 0;
			for (let round = 0; round < 20; round += 1) {
				builder.at(round * 20);
				for (let index = 0; index < 2; index += 1) {
					builder.enqueue(first);
				}

				builder.enqueue(second);
				if (round > 1) {
					given += 1;
					builder.release(builder.ticketId(first, given));
					builder.release(builder.ticketId(second, given));
				}
			}

			return {events: builder.events, outcomes: [slotsHold, oneTicketPerRequest]};
		},
	},
];

for (const deployment of deployments) {
	const folder = path.join(root, 'traces', deployment.name);
	mkdirSync(folder, {recursive: true});
	for (const scenario of scenarios) {
		const {events, outcomes, declarations = []} = scenario.write(deployment);
		const header = {
			type: 'header', schema: TRACE_SCHEMA_VERSION, seed: 20_261_204, deployment: deployment.name, declarations: [...readExample(path.join(root, 'examples', deployment.name)), ...declarations], outcomes,
		};
		writeFileSync(path.join(folder, `${scenario.name}.jsonl`), `${[header, ...events].map(line => JSON.stringify(line)).join('\n')}\n`);
	}
}
