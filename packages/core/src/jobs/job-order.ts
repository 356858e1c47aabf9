/** Orders the open jobs for a scheduling pass. */
import {groupBy} from '../utils/group-by.js';
import {rankByDelayCost} from './delay-cost.js';
import {compareRanks, type JobRank} from './job-ranking.js';
import {isShort, measureRoom, workMsOf} from './pool-room.js';
import {createQuotaLedger} from './quota-ledger.js';
import type {SchedulingInput} from './scheduling-input.js';

/** Orders ranked jobs: by `compareRanks`, and by the cost of a delay in pools whose ready work exceeds their free room. */
export const orderRanks = (ranks: readonly JobRank[], input: SchedulingInput): JobRank[] => {
	const {store, manifest, estimates, wallMs} = input;
	const compare = input.compare ?? (input.order === 'tiers' ? compareRanks : undefined);
	if (compare) {
		return ranks.toSorted(compare);
	}

	const rooms = measureRoom(input);
	const quota = createQuotaLedger(store, manifest);
	const byPool = groupBy(ranks, ({job}) => (manifest.queue(job.order.queue) ?? job.queue).pool);
	const adjusted = [...byPool].flatMap(([pool, list]) => {
		const room = rooms.get(pool);
		if (!room || !isShort(list.map(({job}) => job), room, quota, wallMs)) {
			return list;
		}

		return rankByDelayCost(list, ({job}) => workMsOf(job, room, estimates), wallMs);
	});
	return adjusted.toSorted(compareRanks);
};
