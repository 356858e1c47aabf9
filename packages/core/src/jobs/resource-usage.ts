/** Amounts of resources in use, by key. */
import {NO_RESOURCES, type Resources} from './fleet-manifest.js';

/** Creates an empty table. */
export const createResourceUsage = () => {
	const table = new Map<string, Resources>();

	return {
		/** Adds an amount to a key's usage; a factor of -1 subtracts it. */
		add(key: string, {cpu, memoryMb, gpu}: Resources, factor: number): void {
			const used = table.get(key) ?? {...NO_RESOURCES};
			used.cpu += cpu * factor;
			used.memoryMb += memoryMb * factor;
			used.gpu += gpu * factor;
			table.set(key, used);
		},

		delete(key: string): void {
			table.delete(key);
		},

		of: (key: string): Resources => table.get(key) ?? NO_RESOURCES,
	};
};
