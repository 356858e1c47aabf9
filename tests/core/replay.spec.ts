import assert from 'node:assert/strict';
import {readdirSync, readFileSync} from 'node:fs';
import path from 'node:path';
import {describe, it} from 'node:test';
import {
	parseTrace, replayTrace, TraceError, type StatedOutcome,
} from '@bronzebend/core';

const folder = new URL('../../../traces', import.meta.url).pathname;
const files = readdirSync(folder, {recursive: true, encoding: 'utf8'}).filter(name => name.endsWith('.jsonl')).sort();
const read = (name: string): string => readFileSync(path.join(folder, name), 'utf8');

describe('replay', () => {
	for (const file of files) {
		it(`should meet every stated outcome of ${file}, with the same decisions on each replay`, () => {
			const trace = parseTrace(read(file));
			const first = replayTrace(trace);
			assert.deepEqual(first.results.filter(result => !result.passed), []);
			assert.ok(first.results.length > 0);
			assert.equal(replayTrace(parseTrace(read(file))).digest, first.digest);
		});
	}

	const strengthened: Array<[string, (outcome: StatedOutcome) => StatedOutcome]> = [
		['schaumwerk/promise-upper-limit.jsonl', outcome => (outcome.type === 'running-at-most' ? {...outcome, count: 1} : outcome)],
		['schaumwerk/promise-grants-within-limit.jsonl', outcome => (outcome.type === 'granted-at-most' ? {...outcome, count: 50} : outcome)],
		['schaumwerk/promise-leaving-server.jsonl', outcome => (outcome.type === 'no-ticket-to' ? {...outcome, fromMs: 0} : outcome)],
		['udrtina/promise-at-most-once.jsonl', outcome => (outcome.type === 'outcome-of' ? {...outcome, equals: {type: 'granted'}} : outcome)],
		['udrtina/failure-run-times-far-off.jsonl', outcome => (outcome.type === 'refused' ? {...outcome, reason: 'queue-full'} : outcome)],
		['udrtina/failure-cancellations-in-waves.jsonl', outcome => (outcome.type === 'ticket-for' ? {...outcome, requestId: 'r6'} : outcome)],
	];
	for (const [file, change] of strengthened) {
		it(`should report the first event at which a false outcome of ${file} was violated`, () => {
			const trace = parseTrace(read(file));
			const result = replayTrace({...trace, header: {...trace.header, outcomes: trace.header.outcomes.map(outcome => change(outcome))}});
			assert.ok(result.results.some(item => !item.passed && item.event !== undefined));
		});
	}

	it('should report a wave that had no time to finish', () => {
		const trace = parseTrace(read('schaumwerk/promise-availability-budget.jsonl'));
		const result = replayTrace({...trace, events: trace.events.slice(0, 10)});
		assert.ok(result.results.some(item => item.outcome.type === 'wave-done' && !item.passed));
	});

	it('should start no planned work if the budget is 0', () => {
		const trace = parseTrace(read('schaumwerk/promise-availability-budget.jsonl'));
		const declarations = trace.header.declarations.map(item => (item.kind === 'pool' && item.name === 'diagnosis' ? {...item, availability: {maxOut: 0}} : item));
		const loose = parseTrace(read('schaumwerk/promise-availability-budget.jsonl'));
		assert.ok(replayTrace(loose).results.every(item => item.passed));
		const strict = replayTrace({...trace, header: {...trace.header, declarations}});
		assert.ok(strict.results.some(item => item.outcome.type === 'wave-done' && !item.passed), 'no reboot starts with a budget of 0');
	});

	it('should report the line of a damaged trace or one of another version', () => {
		const text = read('schaumwerk/promise-at-most-once.jsonl');
		const lines = text.split('\n');
		lines[2] = lines[2]!.slice(0, 20);
		assert.throws(() => parseTrace(lines.join('\n')), (error: TraceError) => error instanceof TraceError && error.line === 3);
		assert.throws(() => parseTrace('{"type":"header","schema":99}\n'), (error: TraceError) => error.line === 1);
	});
});
