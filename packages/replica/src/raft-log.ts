/** The in-memory part of the replicated log, from the last snapshot on. */
import {encodeEntry, type LogEntry, type Member} from '@bronzebend/wire';

/** Position and members that precede the first entry of the log. */
export type LogBase = {index: number; term: number; members: Member[]};

/** The log of one replica. */
export type RaftLog = ReturnType<typeof createRaftLog>;

/** Creates a log that starts after `base`. */
export const createRaftLog = (base: LogBase, initial: readonly LogEntry[] = []) => {
	let start = base;
	let entries = [...initial];

	const lastIndex = (): number => start.index + entries.length;
	const entryAt = (index: number): LogEntry | undefined => entries[index - start.index - 1];
	const termAt = (index: number): number | undefined => (index === start.index ? start.term : entryAt(index)?.term);

	const membersAt = (index: number): {index: number; members: Member[]} => {
		for (let at = Math.min(index, lastIndex()); at > start.index; at -= 1) {
			const {payload} = entryAt(at)!;
			if (payload.type === 'members') {
				return {index: at, members: payload.members};
			}
		}

		return {index: start.index, members: start.members};
	};

	let latest = membersAt(lastIndex());

	return {
		lastIndex,
		lastTerm: (): number => termAt(lastIndex())!,
		startIndex: () => start.index,
		entryAt,
		/** Term at an index; undefined if the log does not hold it. */
		termAt,
		/** Last index before the term that the entry at an index has, so that a term which does not match is passed over at once; the end of the log if it is before that index. */
		lastBeforeTermOf(index: number): number {
			const term = termAt(index);
			if (term === undefined) {
				return Math.min(lastIndex(), index - 1);
			}

			let at = index;
			while (at > start.index && termAt(at) === term) {
				at -= 1;
			}

			return at;
		},

		/** Current members; a change of members takes effect when it is appended, before it is committed. */
		members: (): Member[] => latest.members,
		/** Index of the entry that set the members. */
		membersIndex: (): number => latest.index,
		membersAt: (index: number): Member[] => membersAt(index).members,

		slice: (from: number): LogEntry[] => entries.slice(from - start.index - 1),

		/** Entries from an index on that fit into one message: at least one, if there is one. */
		sliceForMessage(from: number, maxCount: number, maxBytes: number): LogEntry[] {
			const candidates = entries.slice(from - start.index - 1, from - start.index - 1 + maxCount);
			let bytes = 0;
			const tooMany = candidates.findIndex((entry, position) => {
				bytes += encodeEntry(entry).length;
				return position > 0 && bytes > maxBytes;
			});
			return tooMany === -1 ? candidates : candidates.slice(0, tooMany);
		},

		/** Appends entries; existing entries from the first one's index on are removed. */
		append(added: readonly LogEntry[]): void {
			const first = added[0];
			if (!first) {
				return;
			}

			const truncates = first.index <= lastIndex();
			entries = truncates ? entries.slice(0, first.index - start.index - 1) : entries;
			entries.push(...added);
			const setsMembers = added.some(entry => entry.payload.type === 'members');
			if (truncates || setsMembers) {
				latest = membersAt(lastIndex());
			}
		},

		/** Drops entries up to an index that a snapshot covers. */
		compact(index: number): void {
			if (index <= start.index) {
				return;
			}

			const term = termAt(index)!;
			const {members} = membersAt(index);
			entries = entries.slice(index - start.index);
			start = {index, term, members};
			latest = membersAt(lastIndex());
		},

		/** Replaces the whole log by a snapshot's position. */
		reset(next: LogBase): void {
			start = next;
			entries = [];
			latest = {index: next.index, members: next.members};
		},

		size: () => entries.length,
	};
};
