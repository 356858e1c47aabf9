/** The course of one job or request over the logs of several processes. */

/** One line of a log. */
export type LogLine = {atMs: number; node: string; part: string; level: string; message: string; fields: Record<string, unknown>};

/** What the logs say of an id. */
export type Explanation = {
	lines: LogLine[];
	/** Changes of leader and manifest in the same span, which touch every request. */
	surroundings: LogLine[];
	/** Places where lines are missing, as sentences. */
	gaps: string[];
};

/** Kinds of line that touch every request. */
const surroundings = new Set(['Leading.', 'No longer leading.', 'Lost the leader.', 'Found the leader.', 'Manifest in force.', 'Started.', 'Stopping.', 'Stopped.', 'Changed the members of the group.']);
/** Kinds of line that say that others are missing. */
const losses = new Set(['Left out lines.', 'Dropped lines for a slow reader.']);
/** Span around a job's lines in which surroundings are told, in milliseconds. */
const AROUND_MS = 3000;

const known = new Set(['timestamp', 'node', 'part', 'level', 'message']);

const textOf = (value: unknown): string => (typeof value === 'string' ? value : '');

/** Reads a line; anything before the first brace is another writer's prefix. */
export const parseLogLine = (text: string): LogLine | undefined => {
	const start = text.indexOf('{');
	if (start === -1) {
		return undefined;
	}

	try {
		const raw = JSON.parse(text.slice(start)) as Record<string, unknown>;
		const atMs = Date.parse(String(raw.timestamp));
		return {
			atMs: Number.isNaN(atMs) ? 0 : atMs,
			node: textOf(raw.node),
			part: textOf(raw.part),
			level: textOf(raw.level),
			message: textOf(raw.message),
			fields: Object.fromEntries(Object.entries(raw).filter(([name]) => !known.has(name))),
		};
	} catch {
		// Not a line of ours: other programs may write to the same file.
		return undefined;
	}
};

const mentions = (line: LogLine, id: string): boolean => Object.values(line.fields).some(value => typeof value === 'string' && (value === id || value.startsWith(`${id}.`) || value.endsWith(`/${id}`)));

const startGaps = (lines: readonly LogLine[]): string[] => {
	const placed = new Set(lines.filter(line => line.message === 'Run placed.').map(line => `${String(line.fields.unit)}#${String(line.fields.attempt)}`));
	return lines.filter(line => line.message === 'Run over.' && !placed.has(`${String(line.fields.unit)}#${String(line.fields.attempt)}`))
		.map(line => `The line on the start of ${String(line.fields.unit)}, attempt ${String(line.fields.attempt)}, is missing.`);
};

/** Collects what the lines say of an id, in order of time. */
export const explain = (id: string, texts: Iterable<string>): Explanation => {
	const all = [...texts].flatMap(text => parseLogLine(text) ?? []);
	const lines = all.filter(line => mentions(line, id));
	lines.sort((left, right) => left.atMs - right.atMs);
	const fromMs = (lines[0]?.atMs ?? Infinity) - AROUND_MS;
	const toMs = (lines.at(-1)?.atMs ?? -Infinity) + AROUND_MS;
	const near = all.filter(line => line.atMs >= fromMs && line.atMs <= toMs);
	const around = near.filter(line => surroundings.has(line.message));
	around.sort((left, right) => left.atMs - right.atMs);
	const lost = near.filter(line => losses.has(line.message)).map(line => `${line.node} left out lines near ${new Date(line.atMs).toISOString()}: ${JSON.stringify(line.fields)}`);
	const unseen = lines.length === 0 ? [`No line names ${id}. Give the logs of all entries and keepers, also of processes that ended.`] : [];
	return {lines, surroundings: around, gaps: [...unseen, ...startGaps(lines), ...new Set(lost)]};
};

/** One line for people. */
export const renderLogLine = ({atMs, node, part, message, fields}: LogLine): string => {
	const tail = Object.entries(fields).map(([name, value]) => `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`).join(' ');
	return `${new Date(atMs).toISOString()} ${node} [${part}] ${message} ${tail}`.trimEnd();
};
