/** Who may dispatch each pool and until when, as the leader knows it. */
import type {Assignment} from '@bronzebend/core';
import {DISPATCH_LEASE_MS, LEASE_MARGIN_MS} from './timings.js';

type Lease = {epoch: number; run: string | undefined; openedHere: boolean; untilMs: number; released: boolean};

/** The leases of one leadership. */
export type DispatchLeases = ReturnType<typeof createDispatchLeases>;

/** Creates the record; leases that an earlier leader gave may last until one lease after `startedAtMs`. */
export const createDispatchLeases = (startedAtMs: number) => {
	const leases = new Map<string, Lease>();

	const leaseOf = ({pool, epoch}: Assignment): Lease => {
		const existing = leases.get(pool);
		if (existing?.epoch === epoch) {
			return existing;
		}

		const created: Lease = {
			epoch, run: undefined, openedHere: false, untilMs: startedAtMs + DISPATCH_LEASE_MS + LEASE_MARGIN_MS, released: false,
		};
		leases.set(pool, created);
		return created;
	};

	return {
		/** Notes an assignment made by this leader: nobody has a lease of it yet. */
		open({pool, epoch}: Assignment, nowMs: number): void {
			leases.set(pool, {
				epoch, run: undefined, openedHere: true, untilMs: nowMs + DISPATCH_LEASE_MS + LEASE_MARGIN_MS, released: false,
			});
		},

		/**
		Renews the lease for a run of the holder.

		@param holds Whether the run says that it dispatches this epoch already.
		@returns Whether the run may dispatch.
		*/
		renew(assignment: Assignment, run: string, holds: boolean, nowMs: number): boolean {
			const lease = leaseOf(assignment);
			const mayTake = lease.run === run || (lease.run === undefined && (holds || lease.openedHere));
			if (!mayTake || lease.released) {
				return false;
			}

			lease.run = run;
			lease.untilMs = nowMs + DISPATCH_LEASE_MS + LEASE_MARGIN_MS;
			return true;
		},

		release(assignment: Assignment): void {
			leaseOf(assignment).released = true;
		},

		/** True once no run can dispatch under this assignment. */
		isOver(assignment: Assignment, nowMs: number): boolean {
			const lease = leaseOf(assignment);
			return lease.released || nowMs >= lease.untilMs;
		},
	};
};
