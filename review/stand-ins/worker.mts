/* eslint-disable @typescript-eslint/no-unsafe-call, @typescript-eslint/no-unsafe-assignment, @typescript-eslint/no-unsafe-argument, @typescript-eslint/no-unsafe-return -- plain script without types */
/* eslint-disable @typescript-eslint/restrict-plus-operands, @typescript-eslint/no-confusing-void-expression, @typescript-eslint/use-unknown-in-catch-callback-variable, @typescript-eslint/no-floating-promises -- plain script without types */
// Stand-in for an executor: one life after another of one machine, with a lease, fencing, and the two lists of runs.
import {Buffer} from 'node:buffer';
import http from 'node:http';
import {performance} from 'node:perf_hooks';

/** Finished runs that one response lists at most. */
const FINISHED_PER_LIST = 500;
/** Time limit of a liveness report, in milliseconds. */
const REPORT_TIMEOUT_MS = 1000;

const post = async (address, path, body, timeoutMs) => new Promise((resolve, reject) => {
	const [host, port] = address.split(':');
	const text = JSON.stringify(body);
	const req = http.request({
		method: 'POST', host, port, path, agent: false, timeout: timeoutMs, headers: {'content-type': 'application/json', 'content-length': Buffer.byteLength(text)},
	}, res => {
		let content = '';
		res.on('data', chunk => {
			content += String(chunk);
		});
		res.on('end', () => {
			resolve({status: res.statusCode, body: content === '' ? undefined : JSON.parse(content)});
		});
		res.on('error', reject);
	});
	req.on('timeout', () => req.destroy(new Error('no response in time')));
	req.on('error', reject);
	req.end(text);
});

/** Members of gangs that are present now, by job, occurrence, step and attempt; executors tell each other of them. */
const gangs = new Map();

/**
Creates the stand-in for one host machine.

`stepOf(task)` returns the step of a work unit as its client sent it, with `runMs`, the duration of its work.
*/
export const createWorker = ({id, machine, host, port, zone, pool, labels, capacity, controls, bounds, heartbeatMs, stepOf, isTicketValid, record}) => {
	/** All runs of all lives, as the executor saw them. */
	const runs = [];
	let life;
	let beatTimer;
	let beatAddress;
	let nextControl = 0;
	let currentId = id;
	let currentPool = pool;

	const clockMs = of => Math.floor(performance.now() - of.startedMs);

	const notifyHolds = of => {
		for (const wake of of.waiting) {
			wake();
		}
	};

	const endRun = (of, run, how) => {
		if (of.active.get(run.task) !== run) {
			return;
		}

		clearTimeout(run.timer);
		of.active.delete(run.task);
		of.closed.set(run.task, Math.max(of.closed.get(run.task) ?? 0, run.attempt));
		of.ends += 1;
		run.seen.endMs = Date.now();
		run.seen.how = how;
		run.seen.seq = of.ends;
		of.finished.push([of.ends, run.task, run.attempt, how, '']);
		record(currentId, 'end', {
			task: run.task, attempt: run.attempt, how, n: of.ends,
		});
		if (run.gang) {
			leaveGang(run, how);
		}

		notifyHolds(of);
	};

	const leaveGang = (run, how) => {
		const gang = gangs.get(run.gang);
		gang?.delete(run.task);
		if (gang?.size === 0) {
			gangs.delete(run.gang);
		}

		// A gang ends `done` together; any other end of a member breaks it.
		for (const other of gang?.values() ?? []) {
			other.end(how === 'done' ? 'done' : 'broken');
		}
	};

	const startWork = (of, run, step) => {
		run.workingMs = performance.now();
		run.timer = setTimeout(() => endRun(of, run, 'done'), step.runMs);
	};

	const joinGang = (of, run, step) => {
		const [job, occurrence, number] = run.task.split('.');
		run.gang = `${job}.${occurrence}.${number}#${run.attempt}`;
		const gang = gangs.get(run.gang) ?? new Map();
		gangs.set(run.gang, gang);
		gang.set(run.task, {
			begin() {
				clearTimeout(run.timer);
				startWork(of, run, step);
			},
			end: how => endRun(of, run, how),
		});
		if (gang.size === step.count) {
			for (const member of gang.values()) {
				member.begin();
			}

			return;
		}

		run.timer = setTimeout(() => endRun(of, run, 'alone'), bounds['gang-timeout-ms']);
	};

	const lapse = of => {
		for (const seen of runs.filter(each => each.life === of.born && each.endMs !== undefined && !each.noted)) {
			seen.lapsed = true;
		}

		for (const run of of.active.values()) {
			endRun(of, run, 'lapsed');
		}
	};

	const extendLease = (of, expiresMs) => {
		if (typeof expiresMs !== 'number') {
			return;
		}

		const untilMs = Math.min(expiresMs, clockMs(of) + bounds['hold-max-ms']);
		if (untilMs <= of.leaseMs) {
			return;
		}

		of.leaseMs = untilMs;
		clearTimeout(of.leaseTimer);
		of.leaseTimer = setTimeout(lapse, Math.max(0, untilMs - clockMs(of)), of);
	};

	const used = of => [...of.active.values()].reduce((sum, {step}) => ({cpu: sum.cpu + (step.cpu ?? 0), memory: sum.memory + (step['mem-mb'] ?? 0)}), {cpu: 0, memory: 0});

	const refuse = (of, reason) => ({status: 409, body: {'clock-ms': clockMs(of), reason}});

	const start = (of, body) => {
		const {task, attempt} = body;
		if (of.active.get(task)?.attempt === attempt) {
			return {status: 200, body: {'clock-ms': clockMs(of)}};
		}

		if (attempt <= (of.closed.get(task) ?? 0) || of.active.has(task)) {
			extendLease(of, body['expires-ms']);
			return refuse(of, 'old');
		}

		if (body['expires-ms'] <= clockMs(of)) {
			return refuse(of, 'late');
		}

		if (isTicketValid && !isTicketValid(task, currentId, body.ticket)) {
			return refuse(of, 'ticket');
		}

		const step = stepOf(task);
		const {cpu, memory} = used(of);
		if (cpu + (step.cpu ?? 0) > capacity.cpu || memory + (step['mem-mb'] ?? 0) > capacity['mem-mb']) {
			extendLease(of, body['expires-ms']);
			return refuse(of, 'room');
		}

		extendLease(of, body['expires-ms']);
		const seen = {
			task, attempt, worker: currentId, life: of.born, startMs: Date.now(), fence: body['fencing-token'],
		};
		runs.push(seen);
		const run = {
			task, attempt, step, seen,
		};
		of.active.set(task, run);
		record(currentId, 'start', {task, attempt, fence: body['fencing-token']});
		if (step.gang) {
			joinGang(of, run, step);
		} else {
			startWork(of, run, step);
		}

		return {status: 200, body: {'clock-ms': clockMs(of)}};
	};

	const percentOf = run => (run.workingMs === undefined ? 0 : Math.min(99, Math.floor(100 * (performance.now() - run.workingMs) / run.step.runMs)));

	const hold = async (of, body) => {
		const ackSeq = body['ack-seq'] ?? 0;
		for (const seen of runs) {
			if (seen.life === of.born && seen.seq <= ackSeq && !seen.noted && !seen.lapsed) {
				seen.noted = true;
				record(currentId, 'noted', {
					task: seen.task, attempt: seen.attempt, how: seen.how, n: seen.seq,
				});
			}
		}

		of.finished = of.finished.filter(([n]) => n > ackSeq);
		extendLease(of, body['expires-ms']);
		const waitMs = Math.min(2000, body['wait-ms'] ?? 0);
		if (of.finished.length === 0 && waitMs > 0) {
			await new Promise(resolve => {
				const wake = () => {
					clearTimeout(timer);
					of.waiting.delete(wake);
					resolve();
				};

				const timer = setTimeout(wake, waitMs);
				of.waiting.add(wake);
			});
		}

		return {
			status: 200,
			body: {
				'clock-ms': clockMs(of),
				born: of.born,
				active: [...of.active.values()].map(run => [run.task, run.attempt, '', percentOf(run), run.step.cpu ?? 0]),
				finished: of.finished.slice(0, FINISHED_PER_LIST),
			},
		};
	};

	const stop = (of, {task, attempt}) => {
		const run = of.active.get(task);
		of.closed.set(task, Math.max(of.closed.get(task) ?? 0, attempt));
		if (run?.attempt === attempt) {
			endRun(of, run, 'stopped');
		}

		return {status: 200, body: {'clock-ms': clockMs(of)}};
	};

	const handle = async (of, req, text) => {
		if (req.headers['x-expect-instance'] !== undefined && req.headers['x-expect-instance'] !== currentId) {
			return {status: 421, body: {'clock-ms': clockMs(of)}};
		}

		const body = JSON.parse(text);
		const fence = body['fencing-token'] ?? 0;
		if (fence < of.fence) {
			return refuse(of, 'fence');
		}

		of.fence = fence;
		switch (req.url) {
			case '/run-start': {
				return start(of, body);
			}

			case '/run-stop': {
				return stop(of, body);
			}

			case '/hold': {
				return hold(of, body);
			}

			case '/pace': {
				return {status: 200, body: {'clock-ms': clockMs(of)}};
			}

			default: {
				return {status: 404, body: {}};
			}
		}
	};

	let server;
	const sockets = new Set();

	const resetSockets = () => {
		for (const socket of sockets) {
			socket.resetAndDestroy();
		}
	};

	const listen = async () => {
		server = http.createServer({keepAliveTimeout: 60_000}, (req, res) => {
			let text = '';
			req.on('data', chunk => {
				text += String(chunk);
			});
			req.on('end', () => {
				// Requests and responses that meet a silent cut, or a machine without power, are lost.
				const of = life;
				if (!of || of.isSilent) {
					return;
				}

				const {cuts} = of;
				handle(of, req, text).then(({status, body}) => {
					if (life !== of || of.cuts !== cuts) {
						return;
					}

					if (req.url !== '/hold' || status !== 200) {
						record(currentId, 'order', {
							call: req.url, body: JSON.parse(text), status, reason: body.reason,
						});
					}

					res.writeHead(status, {'content-type': 'application/json'}).end(JSON.stringify(body));
				}).catch(error => {
					record(currentId, 'fault', {cause: String(error)});
					res.destroy();
				});
			});
		});
		server.on('connection', socket => {
			sockets.add(socket);
			socket.on('close', () => sockets.delete(socket));
			socket.on('error', () => socket.destroy());
		});
		await new Promise((resolve, reject) => {
			server.once('error', reject);
			server.listen(port, host, 512, resolve);
		});
	};

	const stopListening = async () => {
		const closing = server;
		server = undefined;
		resetSockets();
		await new Promise(resolve => {
			closing.close(resolve);
		});
	};

	const report = async () => {
		const of = life;
		if (!of || of.isCut) {
			return;
		}

		of.beats += 1;
		const address = beatAddress ?? controls[nextControl % controls.length];
		try {
			const {status, body} = await post(address, `/Instances.Heartbeat/${currentId}`, {
				service: currentPool, addr: `${host}:${port}`, zone, version: 'v1', slots: 8, state: 'ready', 'cold-left-ms': 0, capacity, labels, 'clock-ms': clockMs(of), seq: of.beats, born: of.born, 'host-machine': machine,
			}, REPORT_TIMEOUT_MS);
			if (status >= 200 && status < 300) {
				beatAddress = body?.['heartbeat-addr'] ?? address;
				return;
			}
		} catch {
			// The next node is called below.
		}

		beatAddress = undefined;
		nextControl += 1;
		of.misses = (of.misses ?? 0) + 1;
		if (of.misses % controls.length !== 0 && life === of) {
			await report();
		}
	};

	return {
		runs,
		id: () => currentId,
		machine,
		/** Address that the system named for the next liveness reports. */
		beatAddress: () => beatAddress,
		running: () => life?.active.size ?? 0,
		/** Begins a life; it knows nothing of the lives before. */
		async boot(nextId = currentId, nextPool = currentPool) {
			currentId = nextId;
			currentPool = nextPool;
			resetSockets();
			if (!server) {
				await listen();
			}

			life = {
				born: Date.now(), startedMs: performance.now(), fence: 0, ends: 0, beats: 0, leaseMs: -1, active: new Map(), closed: new Map(), finished: [], waiting: new Set(), cuts: 0, isCut: false, isSilent: false,
			};
			record(currentId, 'life', {born: life.born});
			beatAddress = undefined;
			report();
			clearInterval(beatTimer);
			beatTimer = setInterval(report, heartbeatMs);
		},

		/** Ends the life at once, with all that runs. A dark machine answers nothing, not even with a reset. */
		async crash({isDark = false} = {}) {
			const of = life;
			life = undefined;
			clearInterval(beatTimer);
			clearTimeout(of.leaseTimer);
			record(currentId, 'crash', {isDark, running: of.active.size});
			for (const run of of.active.values()) {
				clearTimeout(run.timer);
				run.seen.endMs = Date.now();
				run.seen.how = 'gone';
				of.active.delete(run.task);
				if (run.gang) {
					leaveGang(run, 'gone');
				}
			}

			if (!isDark) {
				await stopListening();
			}
		},

		/** Cuts the machine off from all machines of the system; it runs on. `how` is `silent` or `reset`. */
		async cut(how) {
			const of = life;
			of.isCut = true;
			record(currentId, 'cut', {how, running: of.active.size});
			if (how === 'silent') {
				of.isSilent = true;
				of.cuts += 1;
				return;
			}

			await stopListening();
		},

		/** Ends a cut. What was held up by it is lost. */
		async heal() {
			const of = life;
			if (of.isSilent) {
				of.isSilent = false;
				resetSockets();
			} else {
				await listen();
			}

			of.isCut = false;
			record(currentId, 'healed', {running: of.active.size});
		},

		async close() {
			if (life) {
				await this.crash({isDark: true});
			}

			if (server) {
				await stopListening();
			}
		},
	};
};
