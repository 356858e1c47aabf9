/** Resource use of workspaces against their limits during one decision: the recorded use plus what the decision adds. */
import type {ManifestIndex, Resources} from './fleet-manifest.js';
import type {JobStore} from './job-store.js';

/** Resource use of workspaces during one decision. */
export type QuotaLedger = ReturnType<typeof createQuotaLedger>;

/** Number of work units of a size that fit within a limit, given the current use; a limit of 0 means no limit. */
const countWithin = (limit: number, used: number, amount: number): number => (limit === 0 || amount === 0 ? Infinity : Math.max(0, Math.floor((limit - used) / amount)));

/** Creates the ledger, starting from the use recorded in the store. */
export const createQuotaLedger = (store: JobStore, manifest: ManifestIndex | undefined) => {
	const usage = new Map<string, Resources>();
	const usedBy = (name: string): Resources => {
		const used = usage.get(name) ?? {...store.usageOfWorkspace(name)};
		usage.set(name, used);
		return used;
	};

	return {
		/** Number of identical work units, up to `count`, that stay within the workspace's limit. */
		maxWithinLimit(name: string | undefined, amount: Resources, count: number): number {
			const workspace = name === undefined ? undefined : manifest?.workspace(name);
			if (!workspace) {
				return count;
			}

			const used = usedBy(workspace.name);
			return Math.min(count, countWithin(workspace.cap.cpu, used.cpu, amount.cpu), countWithin(workspace.cap.memoryMb, used.memoryMb, amount.memoryMb), countWithin(workspace.cap.gpu, used.gpu, amount.gpu));
		},

		/** Adds the resources of work units to the workspace's use; a negative count releases them. */
		reserve(name: string | undefined, amount: Resources, count: number): void {
			if (name !== undefined) {
				const used = usedBy(name);
				used.cpu += amount.cpu * count;
				used.memoryMb += amount.memoryMb * count;
				used.gpu += amount.gpu * count;
			}
		},
	};
};
