/** Dispatch leases by pool, as the leader records them. */
import type {Assignment} from '@bronzebend/core';
import {DISPATCH_LEASE_MS, LEASE_MARGIN_MS} from './timings.js';

type Lease = {epoch: number; run: string | undefined; assignedHere: boolean; untilMs: number; released: boolean};

/** Dispatch leases of one leadership. */
export type DispatchLeases = ReturnType<typeof createDispatchLeases>;

/** Creates the lease table. Leases granted by an earlier leader may last for one lease duration after `startedAtMs`. */
export const createDispatchLeases = (startedAtMs: number) => {
	const leases = new Map<string, Lease>();

	const leaseOf = ({pool, epoch}: Assignment): Lease => {
		const existing = leases.get(pool);
		if (existing?.epoch === epoch) {
			return existing;
		}

		const created: Lease = {
			epoch, run: undefined, assignedHere: false, untilMs: startedAtMs + DISPATCH_LEASE_MS + LEASE_MARGIN_MS, released: false,
		};
		leases.set(pool, created);
		return created;
	};

	return {
		/** Records an assignment made by this leader, for which no lease has been granted yet. */
		open({pool, epoch}: Assignment, nowMs: number): void {
			leases.set(pool, {
				epoch, run: undefined, assignedHere: true, untilMs: nowMs + DISPATCH_LEASE_MS + LEASE_MARGIN_MS, released: false,
			});
		},

		/**
		Renews the lease for a run of the assigned node.

		@param isDispatching Whether the run reports that it already dispatches this epoch.
		@returns Whether the run may dispatch.
		*/
		renew(assignment: Assignment, run: string, isDispatching: boolean, nowMs: number): boolean {
			const lease = leaseOf(assignment);
			const mayRenew = lease.run === run || (lease.run === undefined && (isDispatching || lease.assignedHere));
			if (!mayRenew || lease.released) {
				return false;
			}

			lease.run = run;
			lease.untilMs = nowMs + DISPATCH_LEASE_MS + LEASE_MARGIN_MS;
			return true;
		},

		release(assignment: Assignment): void {
			leaseOf(assignment).released = true;
		},

		/** Returns true once no run can dispatch under this assignment any more. */
		isOver(assignment: Assignment, nowMs: number): boolean {
			const lease = leaseOf(assignment);
			return lease.released || nowMs >= lease.untilMs;
		},
	};
};
