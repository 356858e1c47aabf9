/**
Decides which connection is closed when the clients of a process reach a limit.

Load: clients that hold many connections, requests or bodies without finishing them, beside ordinary callers that may share an address
with them, because all callers may come through one load balancer.
*/

/** What the decision needs to know of a connection. */
export type RoomCandidate = {
	/** Address of the client. */
	address: string;
	/** Whether the client waits for this process; such a connection is closed only if its address has no other that holds anything. */
	isServed: boolean;
};

/**
Returns the connection to close: of the address that holds the most, the one that has made the least progress.

@param held Returns what a connection holds of the resource that ran out; connections that hold nothing are not closed.
@param progress Returns a measure that is lower for a connection that has made less progress.
*/
export const chooseForRoom = <Candidate extends RoomCandidate>(
	candidates: Iterable<Candidate>,
	held: (candidate: Candidate) => number,
	progress: (candidate: Candidate) => number,
): Candidate | undefined => {
	const totals = new Map<string, number>();
	let heaviest: string | undefined;
	for (const candidate of candidates) {
		const amount = held(candidate);
		if (amount > 0) {
			const total = (totals.get(candidate.address) ?? 0) + amount;
			totals.set(candidate.address, total);
		}
	}

	for (const [address, total] of totals) {
		if (heaviest === undefined || total > totals.get(heaviest)!) {
			heaviest = address;
		}
	}

	let chosen: Candidate | undefined;
	for (const candidate of candidates) {
		if (candidate.address !== heaviest || held(candidate) <= 0) {
			continue;
		}

		const isBefore = chosen === undefined || (candidate.isServed === chosen.isServed ? progress(candidate) < progress(chosen) : chosen.isServed);
		if (isBefore) {
			chosen = candidate;
		}
	}

	return chosen;
};
