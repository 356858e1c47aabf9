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

/** Jump of the wall clock against the steady one that counts as a suspension, in milliseconds. */
const SUSPENSION_MS = 50;

/**
A clock whose steady time also counts spans in which the machine was suspended.

The steady clock of the system stands still meanwhile, so a lease measured on it alone would seem to
hold after others have seen it end. A wall clock that is set forward looks the same and only ends
leases early.
*/
export const createSuspendAwareClock = (base: Clock): Clock => {
	let wallMs = base.wallMs();
	let steadyMs = base.monotonicMs();
	let suspendedMs = 0;

	return {
		wallMs: () => base.wallMs(),
		monotonicMs() {
			const wallNow = base.wallMs();
			const steadyNow = base.monotonicMs();
			const jump = (wallNow - wallMs) - (steadyNow - steadyMs);
			if (jump > SUSPENSION_MS) {
				suspendedMs += jump;
			}

			wallMs = wallNow;
			steadyMs = steadyNow;
			return steadyNow + suspendedMs;
		},
	};
};
