/** Decides when a replica takes a snapshot and truncates its log. */

/** Growth of the log after which a snapshot is due however few the entries are, in bytes. */
const MIN_LOG_GROWTH_BYTES = 16 * 1024 * 1024;
/** The same as a multiple of the last snapshot, so that a large state is not written out for each small part of it that changed. */
const LOG_GROWTH_FACTOR = 2;

/** Number of applied entries after which a snapshot is due by default. */
export const SNAPSHOT_INTERVAL_ENTRIES = 1000;

/** What has been written since the last snapshot. */
export type LogGrowth = {
	/** Applied entries that the snapshot does not cover. */
	entries: number;
	bytes: number;
	/** Size of the last snapshot, in bytes. */
	snapshotBytes: number;
};

/** True if the log has grown by `maxEntries`, or by more bytes than the state justifies; entries may be as large as callers make them. */
export const isSnapshotDue = ({entries, bytes, snapshotBytes}: LogGrowth, maxEntries: number): boolean => entries >= maxEntries
	|| (entries > 0 && bytes >= Math.max(MIN_LOG_GROWTH_BYTES, LOG_GROWTH_FACTOR * snapshotBytes));
