/** Counts of violated guarantees in a fault run; all must be 0 at the end. */
import type {IncomingMessage} from 'node:http';

/** Number of violations of each guarantee. */
export type FaultCounts = {
	doubledRequests: number;
	lostPublications: number;
	revertedVersions: number;
	wrongAnswers: number;
	falseNotRun: number;
	cutByPlannedStop: number;
	limitExcess: number;
};

/** Creates the ledger of one run; `limits` are the maximum numbers of running requests by team. */
export const createLedger = (limits: ReadonlyMap<string, number>) => {
	const counts: FaultCounts = {
		doubledRequests: 0, lostPublications: 0, revertedVersions: 0, wrongAnswers: 0, falseNotRun: 0, cutByPlannedStop: 0, limitExcess: 0,
	};
	const details: string[] = [];
	const runsOfKey = new Map<string, number>();
	const ranRequests = new Set<string>();
	const running = new Map<string, number>();
	const tally = new Map<string, number>();

	const recordFault = (count: keyof FaultCounts, detail: string): void => {
		counts[count] += 1;
		if (details.length < 30) {
			details.push(`${count}: ${detail}`);
		}
	};

	return {
		counts,
		details,
		tally,
		recordFault,

		note(what: string): void {
			tally.set(what, (tally.get(what) ?? 0) + 1);
		},

		/** Records that a backend server starts work on a request. */
		onRun(id: string, req: IncomingMessage): void {
			ranRequests.add(id);
			const key = req.headers['idempotency-key'];
			if (typeof key === 'string') {
				const runs = (runsOfKey.get(key) ?? 0) + 1;
				runsOfKey.set(key, runs);
				if (runs > 1) {
					recordFault('doubledRequests', key);
				}
			}

			const team = String(req.headers['bronzebend-ticket']).split(':')[1] ?? '';
			const now = (running.get(team) ?? 0) + 1;
			running.set(team, now);
			req.once('close', () => undefined);
			if (now > (limits.get(team) ?? Infinity)) {
				recordFault('limitExcess', `team ${team} has ${now} requests running`);
			}
		},

		onEnd(ticket: string): void {
			const team = ticket.split(':')[1] ?? '';
			running.set(team, (running.get(team) ?? 0) - 1);
		},

		/** Records an answer to a caller that its request did not run. */
		onNotRun(id: string): void {
			if (ranRequests.has(id)) {
				recordFault('falseNotRun', id);
			}
		},
	};
};

/** The ledger of one run. */
export type Ledger = ReturnType<typeof createLedger>;
