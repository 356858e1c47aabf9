/** Carries out the faults of a soak. */
import type {LinkEffect} from './link.js';
import type {Machines} from './machines.js';
import type {Addresses, Processes} from './processes.js';
import type {Fault, ProcessKind, WorkerKind} from './schedule.js';
import type {SoakWorker} from './worker.js';

/** Time for which a worker serves on after it has announced that it leaves, in milliseconds. */
const DRAIN_MS = 2000;

const pause = async (milliseconds: number): Promise<void> => new Promise(resolve => {
	setTimeout(resolve, milliseconds);
});

/** Effects of the kinds of fault that harm the link; `luck` is in [0, 1). */
const effects: Partial<Record<WorkerKind, (luck: number) => LinkEffect>> = {
	refuse: luck => ({refuses: true, stopsReports: luck < 0.5}),
	reset: luck => ({refuses: true, resets: true, stopsReports: luck < 0.5}),
	blink: luck => ({refuses: true, resets: true, stopsReports: luck < 0.5}),
	'answers-lost': () => ({resetsAfterStart: 0.3}),
	silence: () => ({blocks: ['down', 'up'], after: 'lost'}),
	'silence-late': () => ({blocks: ['down', 'up'], after: 'late'}),
	deaf: luck => ({blocks: ['down'], after: luck < 0.5 ? 'late' : 'lost'}),
	mute: luck => ({blocks: ['up'], after: luck < 0.5 ? 'late' : 'lost'}),
	slow: luck => ({delayMs: 30 + (luck * 400)}),
	'held-up': luck => ({delayMs: 500 + (luck * 5500), delayedShare: 0.4, delays: luck < 0.7 ? 'down' : 'up'}),
	crash: () => ({refuses: true, resets: true}),
	'power-loss': () => ({blocks: ['down', 'up'], after: 'lost'}),
	replace: () => ({blocks: ['down', 'up'], after: 'lost'}),
	'reborn-unseen': () => ({blocks: ['down', 'up'], after: 'lost'}),
};

/** Kinds after which a worker is started, if it is not up, and those after which it has another ID. */
const starts: ReadonlySet<WorkerKind> = new Set(['crash', 'power-loss', 'replace', 'leave']);
const newIds: ReadonlySet<WorkerKind> = new Set(['replace', 'leave']);

export type Injector = ReturnType<typeof createInjector>;

export const createInjector = ({processes, addresses, workers, machines, nextId, record}: {
	processes: Processes; addresses: Addresses; workers: readonly SoakWorker[]; machines: Machines;
	nextId(worker: SoakWorker): string;
	record(who: string, what: string, detail?: Record<string, unknown>): void;
}) => {
	/** What the worker itself does while the fault lasts. */
	const act = async (worker: SoakWorker, type: WorkerKind, luck: number, forMs: number): Promise<void> => {
		switch (type) {
			case 'late-orders':
			case 'unhealthy': {
				worker.setMood(type, true);
				await pause(forMs);
				worker.setMood(type, false);
				return;
			}

			case 'pause': {
				await worker.pause(forMs);
				return;
			}

			case 'crash':
			case 'power-loss': {
				worker.crash();
				await pause(forMs);
				return;
			}

			case 'replace': {
				// Another worker takes the address, almost at once.
				worker.crash();
				await pause(forMs * luck * 0.2);
				return;
			}

			case 'reborn-unseen': {
				await pause(forMs * luck);
				worker.crash();
				worker.boot();
				await pause(forMs * (1 - luck));
				return;
			}

			case 'leave': {
				await worker.leave(DRAIN_MS);
				await pause(forMs);
				return;
			}

			case 'gone': {
				machines.lost(worker);
				worker.crash();
				return;
			}

			default: {
				await pause(forMs);
			}
		}
	};

	const hitWorker = async (worker: SoakWorker, type: WorkerKind, luck: number, forMs: number): Promise<void> => {
		if (!machines.isUp(worker)) {
			return;
		}

		record(worker.id(), 'fault', {type, forMs, luck});
		const effect = effects[type]?.(luck);
		const heal = effect && await worker.link.begin(effect);
		await act(worker, type, luck, forMs);
		await heal?.();
		if (starts.has(type) && !worker.isUp()) {
			worker.boot(newIds.has(type) ? nextId(worker) : worker.id());
		}

		record(worker.id(), 'fault over', {type});
	};

	const hitProcess = async (type: ProcessKind, index: number, forMs: number): Promise<void> => {
		const [who, how] = type.split('-') as ['leader' | 'keeper' | 'entry', 'kill' | 'pause' | 'stop'];
		const hosts = {leader: processes.leader() ?? addresses.keepers[index]!, keeper: addresses.keepers[index]!, entry: addresses.entries[index]!};
		await processes.disturb(hosts[who], how, forMs);
	};

	/** Injects a fault now; resolves once it is over. */
	return async (fault: Fault): Promise<void> => {
		await ('process' in fault
			? hitProcess(fault.type, fault.process, fault.forMs)
			: Promise.all(fault.workers.map(async index => hitWorker(workers[index]!, fault.type, fault.luck, fault.forMs))));
	};
};
