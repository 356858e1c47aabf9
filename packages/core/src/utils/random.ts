/** Seeded random numbers, so that runs are reproducible. */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Returns a number drawn uniformly from [0, 1). */
export type Random = () => number;

/** Creates a generator; the same seed gives the same sequence. */
export const createRandom = (seed: number): Random => {
	const generator = xoroshiro128plus(seed);
	return () => uniformFloat64(generator);
};
