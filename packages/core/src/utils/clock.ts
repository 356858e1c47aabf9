/** Sources of time, passed in so that decisions can be replayed exactly. */

/** Source of time. Implementations: {@link systemClock}, {@link createSuspendAwareClock} and fakes in tests. */
export type Clock = {
	/** Milliseconds since the Unix epoch; may jump when the wall clock is set. */
	wallMs(): number;
	/** Milliseconds from an arbitrary origin; never goes backwards. Used for leases. */
	monotonicMs(): number;
};

/** The clock of this machine. */
export const systemClock: Clock = {
	wallMs: () => Date.now(),
	monotonicMs: () => performance.now(),
};

/** Advance of the wall clock over the monotonic clock above which the machine counts as suspended, in milliseconds. */
const SUSPENSION_MS = 50;

/**
Creates a clock whose monotonic time includes the time that the machine was suspended.

The system's monotonic clock stops during a suspension, so a lease measured on it alone would seem
valid after other nodes have seen it expire. Setting the wall clock forward has the same effect as a
suspension, which only ends leases early.
*/
export const createSuspendAwareClock = (base: Clock): Clock => {
	let lastWallMs = base.wallMs();
	let lastMonotonicMs = base.monotonicMs();
	let suspendedMs = 0;

	return {
		wallMs: () => base.wallMs(),
		monotonicMs() {
			const wallNow = base.wallMs();
			const monotonicNow = base.monotonicMs();
			const jumpMs = (wallNow - lastWallMs) - (monotonicNow - lastMonotonicMs);
			if (jumpMs > SUSPENSION_MS) {
				suspendedMs += jumpMs;
			}

			lastWallMs = wallNow;
			lastMonotonicMs = monotonicNow;
			return monotonicNow + suspendedMs;
		},
	};
};
