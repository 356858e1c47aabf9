/** What others ask of a pool's dispatcher about its backend servers: whether one is drained or ready, and the health of all. */
import type {BackendTable} from './backend-table.js';
import type {DispatchSettings} from './dispatch-settings.js';
import type {TakeOver} from './take-over.js';

/** Creates the answers for one pool. */
export const createPoolStatus = ({table, settings, takeOver}: {table: BackendTable; settings: DispatchSettings; takeOver: TakeOver}) => ({
	/** Whether no work that this pool started can be running on the instance. */
	isDrained(instance: string, nowMs: number): boolean {
		const backend = table.find(instance);
		if (takeOver.isRebuilding()) {
			return false;
		}

		if (!backend) {
			return settings.isExcluded(instance);
		}

		const reportsIdle = backend.announced.inFlight.length === 0 || backend.expiresAtMs <= nowMs;
		return backend.excluded && backend.confirmed && table.usedSlots(backend) === 0 && reportsIdle;
	},

	/** Whether a backend server announces itself as healthy, regardless of planned work. */
	isReady(instance: string, nowMs: number): boolean {
		const backend = table.find(instance);
		return backend !== undefined && backend.expiresAtMs > nowMs && backend.announced.healthy && !backend.announced.leaving;
	},

	/** Health summary: counts of live and ejected backend servers, the instances known and out, and the usable slots. */
	health(nowMs: number) {
		const list = table.list();
		return {
			live: list.filter(backend => table.isLive(backend, nowMs) && !table.isEjected(backend, nowMs) && !table.isEvacuated(backend)).length,
			ejected: list.filter(backend => table.isEjected(backend, nowMs)).length,
			known: list.map(backend => backend.instance),
			out: list.filter(backend => !table.isLive(backend, nowMs) || table.isEjected(backend, nowMs)).map(backend => backend.instance),
			slots: list.map(backend => table.usableSlots(backend, nowMs)).reduce((sum, count) => sum + count, 0),
		};
	},
});
