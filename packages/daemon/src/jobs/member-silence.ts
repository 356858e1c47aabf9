/** A leader's measure of how long members have been silent. Time in which the leader did not run is no silence. */

/** Longest time between two observations that counts as silence, in milliseconds; what goes beyond it is a pause of this process, after which answers may still be unread. */
const MAX_COUNTED_GAP_MS = 300;

/** What is known of a member: its last contact on the clock, and when that was in time that counts. */
type Contact = {contactMs: number; listenedMs: number};

/** Creates the measure of one leader. */
export const createMemberSilence = () => {
	const contacts = new Map<string, Contact>();
	let listenedMs = 0;
	let lastObservationMs = -Infinity;
	let leadingSinceMs = Infinity;
	let term = -1;

	return {
		/** Takes note of the members' last contacts; called at least five times a second while this process runs. */
		observe(nowMs: number, {term: currentTerm, members, lastContactMs}: {term: number; members: readonly string[]; lastContactMs(id: string): number}): void {
			if (currentTerm !== term) {
				term = currentTerm;
				leadingSinceMs = nowMs;
				contacts.clear();
			}

			listenedMs += Math.min(MAX_COUNTED_GAP_MS, nowMs - lastObservationMs);
			lastObservationMs = nowMs;
			for (const id of [...contacts.keys()].filter(known => !members.includes(known))) {
				contacts.delete(id);
			}

			for (const id of members) {
				const contactMs = lastContactMs(id);
				const known = contacts.get(id);
				if (!known) {
					contacts.set(id, {contactMs, listenedMs});
				} else if (contactMs > known.contactMs) {
					contacts.set(id, {contactMs, listenedMs: listenedMs - Math.min(MAX_COUNTED_GAP_MS, nowMs - contactMs)});
				}
			}
		},

		/** When the current term was observed first, in milliseconds. */
		leadingSinceMs: () => leadingSinceMs,

		/** Time since a member last answered, or since this replica leads, in milliseconds; 0 for one that was never observed. */
		silenceMs(id: string): number {
			const known = contacts.get(id);
			return known ? listenedMs - known.listenedMs : 0;
		},

		/** Clock time of a member's last answer to this leader, in milliseconds; undefined if there is none. */
		answeredAtMs(id: string): number | undefined {
			const contactMs = contacts.get(id)?.contactMs ?? -Infinity;
			// A new leader's record starts with the time of its election, which is no answer.
			return contactMs > leadingSinceMs ? contactMs : undefined;
		},
	};
};
