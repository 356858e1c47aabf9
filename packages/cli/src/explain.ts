/** Collects the history of one job or request from the logs of several processes. */

/** A parsed log line; `atMs` is its wall-clock time, or 0 where it has none. */
export type LogLine = {atMs: number; node: string; part: string; level: string; message: string; fields: Record<string, unknown>};

/** History of a job or request in the logs. */
export type Explanation = {
	lines: LogLine[];
	/** Changes of leader, manifest, processes and group members around the same time, which affect every request. */
	surroundings: LogLine[];
	/** Descriptions of gaps in the logs, one sentence each. */
	gaps: string[];
};

/** Log messages of events that affect every request. */
const surroundings = new Set(['Leading.', 'No longer leading.', 'Lost the leader.', 'Found the leader.', 'Manifest in force.', 'Started.', 'Stopping.', 'Stopped.', 'Changed the members of the group.']);
/** Log messages that report dropped log lines. */
const losses = new Set(['Left out lines.', 'Dropped lines for a slow reader.']);
/** Time before the first and after the last line of a job from which surroundings are included, in milliseconds. */
const CONTEXT_SPAN_MS = 3000;

const known = new Set(['timestamp', 'node', 'part', 'level', 'message']);

const textOf = (value: unknown): string => (typeof value === 'string' ? value : '');

/** Parses a log line; undefined where it is not one. Text before the first brace is ignored: it is a prefix of another program, such as a log collector. */
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
		// Not a log line of this project: other programs may write to the same file.
		return undefined;
	}
};

const mentions = (line: LogLine, id: string): boolean => Object.values(line.fields).some(value => typeof value === 'string' && (value === id || value.startsWith(`${id}.`) || value.endsWith(`/${id}`) || value.includes(` ${id}.`)));

const findMissingStarts = (lines: readonly LogLine[]): string[] => {
	const placed = new Set(lines.filter(line => line.message === 'Run placed.').map(line => `${String(line.fields.unit)}#${String(line.fields.attempt)}`));
	return lines.filter(line => line.message === 'Run over.' && !placed.has(`${String(line.fields.unit)}#${String(line.fields.attempt)}`))
		.map(line => `The logs contain the end of ${String(line.fields.unit)}, attempt ${String(line.fields.attempt)}, but not its start.`);
};

/** Collects the log lines of a job or request by its ID, in order of time. */
export const explain = (id: string, texts: Iterable<string>): Explanation => {
	const all = [...texts].flatMap(text => parseLogLine(text) ?? []);
	const lines = all.filter(line => mentions(line, id));
	lines.sort((left, right) => left.atMs - right.atMs);
	const fromMs = (lines[0]?.atMs ?? Infinity) - CONTEXT_SPAN_MS;
	const toMs = (lines.at(-1)?.atMs ?? -Infinity) + CONTEXT_SPAN_MS;
	const linesInSpan = all.filter(line => line.atMs >= fromMs && line.atMs <= toMs);
	const surroundingLines = linesInSpan.filter(line => surroundings.has(line.message));
	surroundingLines.sort((left, right) => left.atMs - right.atMs);
	const lost = linesInSpan.filter(line => losses.has(line.message)).map(line => `${line.node} dropped log lines near ${new Date(line.atMs).toISOString()}: ${JSON.stringify(line.fields)}`);
	const notFound = lines.length === 0 ? [`No log line contains the ID ${id}. Pass the logs of all entries and keepers, including processes that have ended.`] : [];
	return {lines, surroundings: surroundingLines, gaps: [...notFound, ...findMissingStarts(lines), ...new Set(lost)]};
};

/** Formats a log line as text for people. */
export const renderLogLine = ({atMs, node, part, message, fields}: LogLine): string => {
	const tail = Object.entries(fields).map(([name, value]) => `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`).join(' ');
	return `${new Date(atMs).toISOString()} ${node} [${part}] ${message} ${tail}`.trimEnd();
};
