/** What the entries last reported to a pool's dispatcher, and which of them have gone silent. */
import type {HeldReport} from './dispatch-events.js';

/** Time without a report after which an entry is considered gone, in milliseconds. */
export const ENTRY_TIMEOUT_MS = 3000;

/** Reports of one pool's entries. */
export type EntryReports = ReturnType<typeof createEntryReports>;

/** Creates the record of a dispatcher that has heard of no entry yet. */
export const createEntryReports = () => {
	const lastReports = new Map<string, {seq: number; atMs: number}>();
	const connectionsByEntry = new Map<string, ReadonlyMap<string, number>>();

	const lastSeqOf = (entry: string): number => lastReports.get(entry)?.seq ?? 0;

	return {
		/** Sequence number of an entry's latest report; 0 if there is none. */
		lastSeqOf,

		/** Records that an entry has sent a request after its report `seq`. */
		recordRequest(entry: string, seq: number, nowMs: number): void {
			lastReports.set(entry, {seq: Math.max(lastSeqOf(entry), seq), atMs: nowMs});
		},

		/** Records a report; returns false if a later one has arrived before it. */
		recordReport({entry, seq}: HeldReport, nowMs: number): boolean {
			const previous = lastReports.get(entry);
			if (previous && seq <= previous.seq) {
				return false;
			}

			lastReports.set(entry, {seq, atMs: nowMs});
			return true;
		},

		/** Records the connections that an entry has open, by instance. */
		setConnections(entry: string, open: ReadonlyMap<string, number>): void {
			connectionsByEntry.set(entry, open);
		},

		/** Connections to an instance that each entry reported, also before the backend server announced itself. */
		connectionsTo: (instance: string): Array<{entry: string; open: number}> => [...connectionsByEntry].map(([entry, open]) => ({entry, open: open.get(instance) ?? 0})),

		/** Forgets the entries that have gone silent and returns them. */
		removeSilent(nowMs: number): string[] {
			const silent = [...lastReports].filter(([, {atMs}]) => nowMs - atMs >= ENTRY_TIMEOUT_MS).map(([entry]) => entry);
			for (const entry of silent) {
				lastReports.delete(entry);
				connectionsByEntry.delete(entry);
			}

			return silent;
		},
	};
};
