/** A stand-in worker: one life after another at an address behind a link of its own, and its liveness reports. */
import http from 'node:http';
import type {Clock, Random} from '@bronzebend/core';
import {createLife, type SoakRun, type WorkerLife} from './worker-life.js';
import {createLink} from './link.js';
import {send} from './send.js';

/** Time limit of a liveness report, in milliseconds. */
const REPORT_TIMEOUT_MS = 1000;
/** Longest delay of a report that is held up, in milliseconds. */
const MAX_REPORT_DELAY_MS = 6000;
/** Shortest and longest time for which an order lies at a worker that carries it out late, in milliseconds. */
const LATE_ORDER_MS = {min: 2000, max: 12_000} as const;
/** Share of the calls that such a worker leaves unanswered. */
const LATE_SHARE: Record<string, number> = {'/run-start': 0.5, '/run-stop': 0.5, '/hold': 0.1};
/** Share of the starts that an unhealthy worker rejects. */
const UNHEALTHY_SHARE = 0.5;

/** What a worker does with orders for a while. */
export type WorkerMood = 'late-orders' | 'unhealthy';

export type SoakWorkerOptions = {
	machine: string;
	id: string;
	pool: string;
	zone: string;
	host: string;
	port: number;
	/** Control addresses of the keepers. */
	controls: readonly string[];
	clock: Clock;
	clockRate: number;
	capacity: {cpu: number; 'mem-mb': number; gpu: number};
	labels: readonly string[];
	heartbeatMs: number;
	maxLeaseMs: number;
	random: Random;
	workOf(spec: string): {runMs: number; cpu: number};
	runs: SoakRun[];
	record(who: string, what: string, detail: Record<string, unknown>): void;
};

export type SoakWorker = Awaited<ReturnType<typeof createSoakWorker>>;

/** Creates the worker of one machine; it is off until it boots. */
export const createSoakWorker = async (options: SoakWorkerOptions) => {
	const {random, clock, controls, runs} = options;
	const moods = new Map<WorkerMood, number>();
	const timers = new Set<NodeJS.Timeout>();
	let {id, pool} = options;
	let life: WorkerLife | undefined;
	let beatTimer: NodeJS.Timeout | undefined;
	let settleTimer: NodeJS.Timeout | undefined;
	let beats = 0;
	let reportAddress: string | undefined;
	let nextControl = 0;
	let isClosed = false;
	let isDraining = false;
	/** Calls that arrived while the worker was paused; undefined while it is not. */
	let paused: Array<() => void> | undefined;

	const record = (what: string, detail: Record<string, unknown> = {}): void => {
		options.record(id, what, detail);
	};

	const later = (delayMs: number, action: () => void): void => {
		const timer = setTimeout(() => {
			timers.delete(timer);
			action();
		}, delayMs);
		timers.add(timer);
	};

	const whenAwake = (action: () => void): void => {
		if (paused) {
			paused.push(action);
		} else {
			action();
		}
	};

	const carryOutLate = async (of: WorkerLife, call: string, expected: string | undefined, body: Record<string, unknown>): Promise<void> => {
		if (!of.isOver()) {
			const {status, body: answer} = await of.handle(call, expected, {...body, 'wait-ms': 0}, true);
			record('carried out late', {
				call, task: body.task, attempt: body.attempt, status, reason: answer.reason,
			});
		}
	};

	const carryOut = async (of: WorkerLife, req: http.IncomingMessage, text: string, res: http.ServerResponse): Promise<void> => {
		const call = req.url ?? '';
		const body = JSON.parse(text) as Record<string, unknown>;
		const expected = req.headers['x-expect-instance'] as string | undefined;
		if (moods.has('late-orders') && random() < (LATE_SHARE[call] ?? 0)) {
			const delayMs = LATE_ORDER_MS.min + (random() * (LATE_ORDER_MS.max - LATE_ORDER_MS.min));
			record('left unanswered', {call, body, delayMs});
			later(delayMs, () => {
				whenAwake(() => {
					void carryOutLate(of, call, expected, body);
				});
			});
			return;
		}

		if (moods.has('unhealthy') && call === '/run-start' && random() < UNHEALTHY_SHARE) {
			record('unhealthy', {task: body.task, attempt: body.attempt});
			res.writeHead(random() < 0.5 ? 429 : 503, {'content-type': 'application/json'}).end(JSON.stringify({'clock-ms': of.clockMs()}));
			return;
		}

		const answer = await of.handle(call, expected, body);
		if (call !== '/hold' || answer.status !== 200) {
			record('order', {
				call, task: body.task, attempt: body.attempt, fence: body['fencing-token'], status: answer.status, reason: answer.body.reason,
			});
		}

		whenAwake(() => {
			if (!of.isOver()) {
				res.writeHead(answer.status, {'content-type': 'application/json'}).end(JSON.stringify(answer.body));
			}
		});
	};

	const server = http.createServer({keepAliveTimeout: 60_000}, (req, res) => {
		let text = '';
		req.setEncoding('utf8');
		req.on('data', (chunk: string) => {
			text += chunk;
		});
		req.on('end', () => {
			whenAwake(() => {
				const of = life;
				if (of) {
					carryOut(of, req, text, res).catch((error: unknown) => {
						record('fault', {cause: String(error)});
						res.destroy();
					});
				}
			});
		});
		req.on('error', () => undefined);
		res.on('error', () => undefined);
	});
	const link = await createLink({
		host: options.host, port: options.port, random, onConnection(stream) {
			server.emit('connection', stream);
		},
	});

	const sendReport = async (address: string, body: unknown, of: string): Promise<{isOk: boolean; next?: string}> => {
		const answer = await send({
			method: 'POST', address, path: `/Instances.Heartbeat/${of}`, body, timeoutMs: REPORT_TIMEOUT_MS,
		});
		return {isOk: answer.status >= 200 && answer.status < 300, next: (answer.body as {'heartbeat-addr'?: string} | undefined)?.['heartbeat-addr']};
	};

	const report = async (tries = 0): Promise<void> => {
		const of = life;
		if (!of || paused) {
			return;
		}

		beats += 1;
		const address = reportAddress ?? controls[nextControl % controls.length]!;
		const body = {
			service: pool, addr: `${options.host}:${options.port}`, zone: options.zone, version: 'v1', slots: 8, state: isDraining ? 'draining' : 'ready', 'cold-left-ms': 0, capacity: options.capacity, labels: options.labels, 'clock-ms': of.clockMs(), seq: beats, born: of.born, 'host-machine': options.machine,
		};
		switch (link.reportFate()) {
			case 'lost': {
				break;
			}

			case 'late': {
				// It may arrive after the life that sent it is over.
				later(random() * MAX_REPORT_DELAY_MS, () => {
					void sendReport(address, body, of.id);
				});
				break;
			}

			case 'unanswered': {
				await sendReport(address, body, of.id);
				break;
			}

			case 'sent': {
				const {isOk, next} = await sendReport(address, body, of.id);
				if (isOk) {
					reportAddress = next ?? address;
					return;
				}
			}
		}

		reportAddress = undefined;
		nextControl += 1;
		if (tries + 1 < controls.length && life === of) {
			await report(tries + 1);
		}
	};

	const worker = {
		machine: options.machine,
		link,
		id: () => id,
		pool: () => pool,
		isUp: () => life !== undefined,
		running: () => life?.running() ?? 0,

		/** Begins a life, under a new ID or in another pool where one is named. */
		boot(nextId = id, nextPool = pool): void {
			worker.crash();
			if (isClosed) {
				return;
			}

			id = nextId;
			pool = nextPool;
			life = createLife({
				id, clock, clockRate: options.clockRate, cpu: options.capacity.cpu, maxLeaseMs: options.maxLeaseMs, workOf: options.workOf, runs, record,
			});
			beats = 0;
			isDraining = false;
			reportAddress = undefined;
			record('life', {born: life.born, pool, clockRate: options.clockRate});
			void report();
			beatTimer = setInterval(() => {
				void report();
			}, options.heartbeatMs);
			settleTimer = setInterval(() => {
				whenAwake(() => life?.settle());
			}, 10);
		},

		/** Ends the life at once, with all that runs. */
		crash(): void {
			if (!life) {
				return;
			}

			record('crash', {running: life.running()});
			clearInterval(beatTimer);
			clearInterval(settleTimer);
			life.end();
			life = undefined;
			paused = undefined;
			link.reset();
		},

		/** Stands still; timers and calls wait. */
		async pause(forMs: number): Promise<void> {
			const of = life;
			if (!of || paused) {
				return;
			}

			record('paused', {forMs});
			const waited: Array<() => void> = [];
			paused = waited;
			const beganMs = clock.monotonicMs();
			await new Promise<void>(resolve => {
				later(forMs, resolve);
			});
			if (paused !== waited) {
				return;
			}

			paused = undefined;
			of.resume(clock.monotonicMs() - beganMs);
			record('awake');
			for (const action of waited) {
				action();
			}
		},

		setMood(mood: WorkerMood, isOn: boolean): void {
			// Overlapping faults of one kind count.
			const count = (moods.get(mood) ?? 0) + (isOn ? 1 : -1);
			if (count > 0) {
				moods.set(mood, count);
			} else {
				moods.delete(mood);
			}
		},

		/** Drains for a time, in milliseconds, announces the end and ends, with all that still runs. */
		async leave(drainMs: number): Promise<void> {
			const of = life;
			if (!of) {
				return;
			}

			isDraining = true;
			await report();
			await new Promise<void>(resolve => {
				later(drainMs, resolve);
			});
			clearInterval(beatTimer);
			for (const address of life === of ? controls : []) {
				const {status} = await send({
					method: 'POST', address, path: `/Instances.Deregister/${of.id}`, body: {born: of.born}, timeoutMs: REPORT_TIMEOUT_MS,
				});
				record('leave', {address, status});
				if (status >= 200 && status < 300) {
					break;
				}
			}

			if (life === of) {
				worker.crash();
			}
		},

		close(): void {
			isClosed = true;
			worker.crash();
			for (const timer of timers) {
				clearTimeout(timer);
			}

			link.close();
			server.closeAllConnections();
		},
	};
	return worker;
};
