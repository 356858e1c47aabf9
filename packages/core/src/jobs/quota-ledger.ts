/** What workspaces use of their limits, with what one decision adds to the record. */
import type {ManifestIndex, Resources} from './fleet-manifest.js';
import type {JobBook} from './job-book.js';

/** Accounting of one decision. */
export type QuotaLedger = ReturnType<typeof createQuotaLedger>;

/** Work units of a size that fit beside what is used; a limit of 0 is none. */
const countWithin = (limit: number, used: number, amount: number): number => (limit === 0 || amount === 0 ? Infinity : Math.max(0, Math.floor((limit - used) / amount)));

/** Creates the accounting from what the record holds. */
export const createQuotaLedger = (book: JobBook, manifest: ManifestIndex | undefined) => {
	const planned = new Map<string, Resources>();
	const usedBy = (name: string): Resources => {
		const used = planned.get(name) ?? {...book.usageOfWorkspace(name)};
		planned.set(name, used);
		return used;
	};

	return {
		/** How many of some alike work units stay within the workspace's limit. */
		most(name: string | undefined, amount: Resources, count: number): number {
			const workspace = name === undefined ? undefined : manifest?.workspace(name);
			if (!workspace) {
				return count;
			}

			const used = usedBy(workspace.name);
			return Math.min(count, countWithin(workspace.cap.cpu, used.cpu, amount.cpu), countWithin(workspace.cap.memoryMb, used.memoryMb, amount.memoryMb), countWithin(workspace.cap.gpu, used.gpu, amount.gpu));
		},

		/** Adds work units; a negative count takes them back. */
		take(name: string | undefined, amount: Resources, count: number): void {
			if (name !== undefined) {
				const used = usedBy(name);
				used.cpu += amount.cpu * count;
				used.memoryMb += amount.memoryMb * count;
				used.gpu += amount.gpu * count;
			}
		},

		/** Cores in use against the workspace's weight. */
		shareOf(name: string | undefined): number {
			const workspace = name === undefined ? undefined : manifest?.workspace(name);
			return workspace ? usedBy(workspace.name).cpu / workspace.weight : 0;
		},
	};
};
