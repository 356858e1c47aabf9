/** What the operator of a soak must not see; each check names the case. */
import type {Violation} from '../ledger.js';
import {CONTACT_MS, type Disturbance} from './group.js';
import {
	isSame, type Change, type Probe, type Reading,
} from './operator.js';

/** Time of calm in which a change must be answered, in milliseconds. */
const ACK_MS = 4000;
/** Time after its acknowledgement until a change is in force, in milliseconds. */
const APPLY_MS = 2000;

/** A broken promise of the core. */
export type CoreBreak = {rule: 'change-unanswered' | 'change-refused' | 'invalid-accepted' | 'read-older' | 'read-other' | 'read-back' | 'route-missing' | 'route-kept' | 'voters' | 'log-behind' | 'job-unknown' | 'job-idle' | 'memory-exceeded' | 'process-ended' | Violation['rule']; detail: string};

/** What was seen in a soak; times in Unix milliseconds. */
export type CoreSeen = {
	changes: readonly Change[]; readings: readonly Reading[]; probes: readonly Probe[]; disturbances: readonly Disturbance[]; startMs: number; endMs: number;
};

type Span = {startMs: number; endMs: number};

/** The spans in which nothing was disturbed, nor shortly before. */
export const calmSpans = ({disturbances, startMs, endMs}: Pick<CoreSeen, 'disturbances' | 'startMs' | 'endMs'>): Span[] => {
	const ordered = disturbances.toSorted((one, other) => one.startMs - other.startMs);
	let freeMs = startMs;
	const spans: Span[] = [];
	for (const {startMs: beginMs, endMs: overMs} of [...ordered, {startMs: endMs, endMs}]) {
		if (beginMs > freeMs) {
			spans.push({startMs: freeMs, endMs: beginMs});
		}

		freeMs = Math.max(freeMs, overMs + CONTACT_MS);
	}

	return spans;
};

const isAcknowledged = (change: Change): boolean => change.status === 200;
const overlapMs = (one: Span, other: Span): number => Math.min(one.endMs, other.endMs) - Math.max(one.startMs, other.startMs);
const describeAttempts = ({attempts, sentMs}: Change): string => attempts.map(({atMs, address, status}) => `${address} ${status} after ${atMs - sentMs} ms`).slice(-6).join(', ');

const checkChanges = ({changes, startMs, endMs}: CoreSeen, calm: readonly Span[]): CoreBreak[] => changes.flatMap((change): CoreBreak[] => {
	const detail = `version ${change.version} sent at ${change.sentMs - startMs} ms, status ${change.status}, attempts ${describeAttempts(change)}`;
	const waitMs = Math.max(0, ...calm.map(span => overlapMs(span, {startMs: change.sentMs, endMs: Math.min(change.answeredMs, endMs)})));
	return [
		...(waitMs > ACK_MS ? [{rule: 'change-unanswered' as const, detail: `${detail}; calm for ${waitMs} ms`}] : []),
		...(change.isValid && change.status >= 400 ? [{rule: 'change-refused' as const, detail}] : []),
		...(!change.isValid && isAcknowledged(change) ? [{rule: 'invalid-accepted' as const, detail}] : []),
	];
});

/** Newest version that had been acknowledged for long enough when a call was sent. */
const dueVersion = (changes: readonly Change[], sentMs: number, ms = APPLY_MS): number => Math.max(0, ...changes.filter(change => isAcknowledged(change) && change.answeredMs + ms < sentMs).map(change => change.version));

const checkReadings = ({changes, readings, startMs}: CoreSeen): CoreBreak[] => {
	const firstRead = new Map<number, Reading>();
	return readings.flatMap((reading): CoreBreak[] => {
		const {manifest, sentMs, address} = reading;
		if (!manifest) {
			return [];
		}

		const due = dueVersion(changes, sentMs);
		const detail = `version ${manifest.version} read at ${address}, sent at ${sentMs - startMs} ms`;
		const earlier = firstRead.get(manifest.version) ?? reading;
		firstRead.set(manifest.version, earlier);
		const isSent = manifest.version === 1 || changes.some(change => change.isValid && change.version === manifest.version && isSame(manifest, change.manifest));
		return [
			...(manifest.version < due ? [{rule: 'read-older' as const, detail: `${detail}; version ${due} was acknowledged`}] : []),
			...(isSent && isSame(manifest, earlier.manifest!) ? [] : [{rule: 'read-other' as const, detail}]),
		];
	});
};

const checkProbes = ({changes, probes, startMs}: CoreSeen, calm: readonly Span[]): CoreBreak[] => probes.flatMap((probe): CoreBreak[] => {
	const isCalm = calm.some(span => span.startMs < probe.sentMs && probe.doneMs < span.endMs);
	const due = dueVersion(changes, probe.sentMs);
	// All versions that may be in force at the entry must agree on the route.
	const possible = changes.filter(change => change.isValid && change.version >= due && change.sentMs < probe.doneMs);
	const detail = `route of version ${probe.route} at ${probe.entry}, sent at ${probe.sentMs - startMs} ms, status ${probe.status}; version ${due} was acknowledged`;
	if (!isCalm || probe.isServed === undefined || due === 0) {
		return [];
	}

	const isMissing = !probe.isServed && possible.every(change => change.added.includes(probe.route));
	const isKept = probe.isServed && possible.every(change => !change.added.includes(probe.route));
	return [
		...(isMissing ? [{rule: 'route-missing' as const, detail}] : []),
		...(isKept ? [{rule: 'route-kept' as const, detail}] : []),
	];
});

/** Finds what the operator must not have seen. */
export const findCoreBreaks = (seen: CoreSeen): CoreBreak[] => {
	const calm = calmSpans(seen);
	return [...checkChanges(seen, calm), ...checkReadings(seen), ...checkProbes(seen, calm)];
};

/** Checks the last reading, after the last fault. */
export const checkReadBack = ({changes}: CoreSeen, last: Reading | undefined): CoreBreak[] => {
	const due = dueVersion(changes, Infinity, 0);
	const version = last?.manifest?.version;
	return version === undefined || version < due ? [{rule: 'read-back', detail: `version ${version ?? 'none'} was read at the end, ${due} was acknowledged`}] : [];
};
