/**
Predicts how many instances and slots each pool would have left if a data centre were evacuated. Changes nothing.

Load: asked by operators, a few times a day; reads every placement once.
*/
import type {Placement} from '../control/placements.js';
import type {Catalogue} from '../declarations/catalogue.js';
import type {PoolEvidence} from './evidence.js';

/** What a pool would have left. */
export type PoolPreview = {
	pool: string;
	/** Instances that work now, and their declared slots. */
	instances: number;
	slots: number;
	/** Instances that would still work, and their declared slots. */
	instancesLeft: number;
	slotsLeft: number;
	/** Instances that the pool wants, and how many of them may be out at once. */
	wanted: number;
	maxOut: number;
	/** Whether more instances would be missing than may be out; planned moves and reboots then wait. */
	exceedsBudget: boolean;
};

/** Prediction for one data centre; `inForce` is true if it is evacuated already. */
export type EvacuationPreview = {dataCentre: string; inForce: boolean; pools: PoolPreview[]};

/** Input of `previewEvacuation`. */
export type EvacuationPreviewInput = {
	dataCentre: string;
	/** Data centres that are evacuated now. */
	evacuated: ReadonlySet<string>;
	catalogue: Catalogue;
	placements: readonly Placement[];
	/** Reports by pool. Without a report, only planned work is known to keep an instance out. */
	evidence: ReadonlyMap<string, PoolEvidence>;
};

/** Predicts what each pool would have left. */
export const previewEvacuation = ({dataCentre, evacuated, catalogue, placements, evidence}: EvacuationPreviewInput): EvacuationPreview => {
	const after = new Set([...evacuated, dataCentre]);
	return {
		dataCentre,
		inForce: evacuated.has(dataCentre),
		pools: catalogue.list('pool').map(({name: pool, capacity, availability, spare}) => {
			// Instances of a spare pool announce nothing, so only planned work counts there.
			const out = spare ? undefined : evidence.get(pool)?.out;
			const working = placements
				.filter(placement => placement.pool === pool && placement.work === undefined && out?.has(placement.instance) !== true)
				.map(placement => catalogue.find('instance', placement.instance)?.dataCentre)
				.filter(home => home !== undefined);
			const instances = working.filter(home => !evacuated.has(home)).length;
			const instancesLeft = working.filter(home => !after.has(home)).length;
			return {
				pool,
				instances,
				slots: instances * capacity.slotsPerInstance,
				instancesLeft,
				slotsLeft: instancesLeft * capacity.slotsPerInstance,
				wanted: capacity.instances,
				maxOut: availability.maxOut,
				exceedsBudget: capacity.instances - instancesLeft > availability.maxOut,
			};
		}),
	};
};
