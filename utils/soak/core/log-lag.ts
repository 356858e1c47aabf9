/**
Finds keepers whose log is not the leader's although they have had the time to catch up, from what the keepers log.
Programs from before the lines `A keeper lacks entries of the log.` and `Opened the log.` show only keepers that know no leader.
*/
import {readLogs, type LogLine} from '../breaks.js';
import {CATCH_UP_MS, type Disturbance, type Life} from './group.js';

type Fields = {keeper?: string; replica?: string; term?: number; role?: string; votes?: boolean; forMs?: number; matchIndex?: number; lastIndex?: number; answeredMsAgo?: number; heardMsAgo?: number};
type Line = LogLine & Fields & {host: string; atMs: number};

const LACKS = 'A keeper lacks entries of the log.';
const OPENED = 'Opened the log.';
const LEADERLESS = 'No leader is known.';
const STARTED = 'Started.';
const LEADING = 'Leading.';

/** What is known of the machines of a soak; times in Unix milliseconds. */
export type LagSeen = {
	disturbances: readonly Disturbance[];
	/** When each keeper was part of the core. */
	lives: ReadonlyMap<string, Life>;
	startMs: number;
};

const describe = (fields: Fields): string => Object.entries(fields).filter(([, value]) => value !== undefined).map(([key, value]) => `${key} ${value}`).join(', ');

/** Time of the last line of a host with some text up to a time; -Infinity if there is none. */
const lastLineMs = (lines: readonly Line[], text: string, {host, atMs}: {host: string; atMs: number}): number => lines.findLast(line => line.message === text && line.host === host && line.atMs <= atMs)?.atMs ?? -Infinity;

/** Time since which a machine runs undisturbed; Infinity if it is disturbed at a time, is not part of the core yet, or is no more. A process runs from its first line, as a busy machine may take seconds to start it. */
const quietSinceMs = (lines: readonly Line[], {disturbances, lives}: LagSeen, {host, atMs}: {host: string; atMs: number}): number => {
	const life = lives.get(host);
	if (!life || atMs < life.startMs || atMs > life.endMs) {
		return Infinity;
	}

	const ends = disturbances.filter(({startMs, hosts}) => startMs <= atMs && (hosts?.includes(host) ?? true)).map(({endMs}) => (endMs > atMs ? Infinity : endMs));
	return Math.max(life.startMs, lastLineMs(lines, STARTED, {host, atMs}), ...ends);
};

/** Finds keepers that the leader says to be behind; the time to catch up also begins anew with each leader. */
const checkLacking = (lines: readonly Line[], seen: LagSeen): string[] => {
	const found = new Map<string, {first: Line; count: number}>();
	for (const line of lines.filter(each => each.message === LACKS)) {
		const keeper = line.keeper!.split(':')[0]!;
		const leadingMs = lastLineMs(lines, LEADING, line);
		const sinceMs = Math.max(leadingMs, quietSinceMs(lines, seen, {host: keeper, atMs: line.atMs}), quietSinceMs(lines, seen, line));
		if (line.atMs > sinceMs + CATCH_UP_MS) {
			const key = `${keeper} at ${line.host}, which leads since ${leadingMs - seen.startMs} ms`;
			const {first, count} = found.get(key) ?? {first: line, count: 0};
			found.set(key, {first, count: count + 1});
		}
	}

	return [...found].map(([key, {first, count}]) => {
		const {replica, votes, forMs, matchIndex, lastIndex, answeredMsAgo, heardMsAgo} = first;
		return `${key}: first at ${first.atMs - seen.startMs} ms, ${count} lines; ${describe({
			replica, votes, forMs, matchIndex, lastIndex, answeredMsAgo, heardMsAgo,
		})}`;
	});
};

/** Finds keepers that have known no leader for longer than the time to catch up although one leads, so that elections on a busy machine do not count; no line of the leader names those that are no members by its log. */
const checkLeaderless = (lines: readonly Line[], seen: LagSeen): string[] => {
	const found = new Map<string, {first: Line; count: number}>();
	for (const line of lines.filter(each => each.message === LEADERLESS)) {
		const leading = lines.findLast(({message, atMs}) => message === LEADING && atMs <= line.atMs);
		if (!leading || lastLineMs(lines, STARTED, {host: leading.host, atMs: line.atMs}) > leading.atMs) {
			// The last leader has been started again, so there may be none.
			continue;
		}

		const sinceMs = Math.max(leading.atMs, quietSinceMs(lines, seen, line), quietSinceMs(lines, seen, {host: leading.host, atMs: line.atMs}));
		if (line.atMs > sinceMs + CATCH_UP_MS && line.forMs! > CATCH_UP_MS) {
			const key = `${line.host} knows no leader, ${leading.host} was elected at ${leading.atMs - seen.startMs} ms`;
			const {first, count} = found.get(key) ?? {first: line, count: 0};
			found.set(key, {first, count: count + 1});
		}
	}

	return [...found].map(([key, {first, count}]) => {
		const {term, role, votes, forMs, lastIndex} = first;
		return `${key}: first at ${first.atMs - seen.startMs} ms, ${count} lines; ${describe({
			term, role, votes, forMs, lastIndex,
		})}`;
	});
};

/**
Finds keepers whose disk lacks more than the entries of the time to catch up when all are started again at once. Entries have no
time, so those of that time are reckoned from the mean rate of the soak.
*/
const checkRestarts = (lines: readonly Line[], seen: LagSeen): string[] => seen.disturbances.flatMap(({what, startMs, restarted = []}) => {
	const hosts = restarted.filter(host => startMs > quietSinceMs(lines, seen, {host, atMs: startMs - 1}) + CATCH_UP_MS);
	const opened = hosts.flatMap(host => lines.find(line => line.message === OPENED && line.host === host && line.atMs >= startMs) ?? []);
	const lastIndex = Math.max(0, ...opened.map(line => line.lastIndex!));
	const allowed = lastIndex * CATCH_UP_MS / (startMs - seen.startMs);
	return opened.filter(line => lastIndex - line.lastIndex! > allowed).map(line => `${line.host} has ${line.lastIndex} of ${lastIndex} entries on its disk, ${what} at ${startMs - seen.startMs} ms; ${Math.round(allowed)} may be missing`);
});

/** Describes each keeper that was behind, from the lines of all keepers. */
export const findLag = (lines: readonly LogLine[], seen: LagSeen): string[] => {
	const parsed = (lines as Array<LogLine & Fields>).filter(({message}) => [LACKS, OPENED, LEADERLESS, STARTED, LEADING].includes(message))
		.map(line => ({...line, host: line.node.replace(/^keeper-/u, '').split(':')[0]!, atMs: Date.parse(line.timestamp)}))
		.toSorted((one, other) => one.atMs - other.atMs);
	return [...checkLacking(parsed, seen), ...checkLeaderless(parsed, seen), ...checkRestarts(parsed, seen)];
};

/** Reads the logs of a soak; see {@link findLag}. */
export const findLagInLogs = (folder: string, seen: LagSeen): string[] => findLag(readLogs(folder), seen);
