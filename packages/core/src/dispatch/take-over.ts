/** The take-over of a pool by a new dispatcher, which issues no tickets until it knows those of an earlier epoch. */
import type {BackendTable} from './backend-table.js';

/** Options of {@link createTakeOver}. */
export type TakeOverOptions = {
	/** Entries that may hold tickets of an earlier epoch. */
	entries: readonly string[];
	/** Time after which entries that did not report can no longer start work, in milliseconds. */
	rebuildUntilMs: number;
	/** The same time for individual entries for which it is earlier. */
	leaseEnds: ReadonlyArray<{entry: string; untilMs: number}>;
	table: BackendTable;
};

/** Take-over by one dispatcher. */
export type TakeOver = ReturnType<typeof createTakeOver>;

/** Starts a take-over; it is over at once if no entry may hold tickets. */
export const createTakeOver = ({entries, rebuildUntilMs, leaseEnds, table}: TakeOverOptions) => {
	const unreportedEntries = new Set(entries);
	const leaseEndOf = new Map(leaseEnds.map(({entry, untilMs}) => [entry, untilMs]));
	let rebuilding = entries.length > 0;

	const finish = (): void => {
		rebuilding = false;
		// Entries that did not report may have work running, which only the next announcement reveals.
		for (const backend of table.list()) {
			backend.confirmed = unreportedEntries.size === 0;
		}
	};

	return {
		isRebuilding: (): boolean => rebuilding,

		/** Records that an entry has reported what it holds, and that it rejects tickets of earlier epochs. */
		recordReport(entry: string): void {
			unreportedEntries.delete(entry);
			if (rebuilding && unreportedEntries.size === 0) {
				finish();
			}
		},

		/** Ends the take-over once the remaining entries can no longer start work. */
		tick(nowMs: number): void {
			if (rebuilding && [...unreportedEntries].every(entry => nowMs >= (leaseEndOf.get(entry) ?? rebuildUntilMs))) {
				finish();
			}
		},
	};
};
