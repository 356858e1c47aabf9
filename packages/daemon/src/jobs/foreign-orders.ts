/** What a holder of machine orders knows about the orders that other holders gave before its term. */
import type {Clock, JobStore, MachineOrderKind} from '@bronzebend/core';

/** Time after its commit within which an order must be sent, in milliseconds; a later one is withheld. */
export const SEND_TIMEOUT_MS = 500;
/** Added to the wait after the commit of another holder's order, in milliseconds; that order may have been sent at the last allowed moment. */
const HOLDER_MARGIN_MS = SEND_TIMEOUT_MS + 250;
/** Largest difference between the wall clocks of two nodes, in milliseconds; a clock may be stepped by seconds. */
const MAX_CLOCK_DIFFERENCE_MS = 4000;

/** The last order to a machine, if another holder gave it. */
export type ForeignOrder = {
	lastHolder: string;
	/** Lower bound of its age, on the steady clock, in milliseconds. */
	lastAgeMs: number;
	/** Start of that age: the moment this process applied the order's record, or the start of this term. */
	lastAgeSince: 'record' | 'term';
	/** Its age by the wall clocks of both holders, in milliseconds; wrong by the difference between them. */
	lastWallAgeMs: number;
};

/** Options of {@link createForeignOrders}. */
export type ForeignOrdersOptions = {
	store: JobStore;
	holder: string;
	/** Time after another holder's last order to a machine in which this holder must not give it any, in milliseconds. */
	holderLeaseMs: number;
	/** When this process applied the last order to a machine, on its steady clock in milliseconds; undefined if it did not, or only again after a restart. */
	orderAppliedMs(machine: string): number | undefined;
	clock: Clock;
};

/** Starts with the orders on record at the beginning of a term. */
export const createForeignOrders = ({store, holder, holderLeaseMs, orderAppliedMs, clock}: ForeignOrdersOptions) => {
	const startedMs = clock.monotonicMs();
	const spanMs = holderLeaseMs + HOLDER_MARGIN_MS;

	const last = (machine: string): ForeignOrder | undefined => {
		const order = store.machineOrder(machine);
		if (!order || order.holder === holder) {
			return undefined;
		}

		// The other holder applied the record before this process did, and sent the order within SEND_TIMEOUT_MS of that or not at all.
		const appliedMs = orderAppliedMs(machine);
		return {
			lastHolder: order.holder,
			lastAgeMs: Math.round(clock.monotonicMs() - (appliedMs ?? startedMs)),
			lastAgeSince: appliedMs === undefined ? 'term' : 'record',
			lastWallAgeMs: Math.round(clock.wallMs() - order.atMs),
		};
	};

	return {
		last,

		/** Returns true if no other holder can have given this machine an order recently. */
		isClear(machine: string): boolean {
			const order = last(machine);
			// Wall clocks of two nodes are compared only if this process has not applied the record itself.
			return order === undefined || order.lastAgeMs > spanMs || (order.lastAgeSince === 'term' && Math.abs(order.lastWallAgeMs) > spanMs + MAX_CLOCK_DIFFERENCE_MS);
		},

		/** Kinds of the orders of earlier terms that may still be on their way, by machine; `ordered` has the machines to which this term has given orders. An order of unknown kind counts as upkeep. */
		underWay: (ordered: ReadonlySet<string>): Array<[string, MachineOrderKind]> => [...store.machineOrders()]
			.filter(([machine]) => !ordered.has(machine) && clock.monotonicMs() - (orderAppliedMs(machine) ?? startedMs) <= spanMs)
			.map(([machine, order]) => [machine, order.kind ?? 'upkeep']),

		/** Time on the steady clock, in milliseconds, from which on no order on record can be sent any more, unless this term gave it. */
		settledMs: (machine: string): number => (orderAppliedMs(machine) ?? startedMs) + SEND_TIMEOUT_MS,
	};
};
