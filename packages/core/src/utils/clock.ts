/** Source of time, passed in so that decisions replay exactly. */

/** Reads time. Implementations: {@link systemClock}, and fakes in tests. */
export type Clock = {
	/** Milliseconds since the Unix epoch; may jump when the wall clock is set. */
	wallMs(): number;
	/** Milliseconds from an arbitrary origin; never goes backwards. Leases use this one. */
	monotonicMs(): number;
};

/** The clock of this machine. */
export const systemClock: Clock = {
	wallMs: () => Date.now(),
	monotonicMs: () => performance.now(),
};
