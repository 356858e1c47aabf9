/* eslint-disable @typescript-eslint/no-unsafe-call, @typescript-eslint/no-unsafe-assignment, @typescript-eslint/no-unsafe-argument, @typescript-eslint/no-unsafe-return -- plain script without types */
/* eslint-disable @typescript-eslint/restrict-plus-operands -- plain script without types */
/** A sound stand-in executor: liveness reports, orders, a lease, and lists of its runs. */
/* eslint-disable no-await-in-loop, no-unmodified-loop-condition -- steps of a case follow one another; names of the settings file */
import {listen, pause, send} from './http.mjs';

const HEARTBEAT_MS = 1500;
const MAX_LEASE_MS = 10_000;
const MAX_WAIT_MS = 2000;

/**
Starts one life of an executor.

The text of a job's `spec` holds `{"ms": …, "cpu": …}`: how long its work units run, and the thousandths of a core that they take; without `ms` they run until they are stopped.
*/
export const startWorker = async ({id, address, service, machine, rack = 'r1-1', capacity, controls, onRun = () => undefined}) => {
	const born = Date.now();
	const bornAtMs = performance.now();
	const active = new Map();
	const closed = new Map();
	const waiting = new Set();
	let finished = [];
	let fence = 0;
	let ends = 0;
	let leaseMs = 0;
	let isOver = false;
	let isDark = false;
	let state = 'ready';
	let seq = 0;
	let reportAddress;
	let turn = 0;

	const clockMs = () => Math.floor(performance.now() - bornAtMs);

	const endRun = (run, how) => {
		active.delete(run.task);
		clearTimeout(run.timer);
		closed.set(run.task, Math.max(closed.get(run.task) ?? 0, run.attempt));
		ends += 1;
		finished.push([ends, run.task, run.attempt, how, '']);
		onRun({
			what: 'end', worker: id, task: run.task, attempt: run.attempt, how,
		});
		for (const wake of waiting) {
			wake();
		}
	};

	const settle = () => {
		if (clockMs() >= leaseMs) {
			for (const run of active.values()) {
				endRun(run, 'lapsed');
			}
		}
	};

	const extend = expiresMs => {
		if (typeof expiresMs === 'number') {
			leaseMs = Math.max(leaseMs, Math.min(expiresMs, clockMs() + MAX_LEASE_MS));
		}
	};

	const answer = (status, reason) => ({status, body: {'clock-ms': clockMs(), born, ...(reason && {reason})}});

	const start = body => {
		const {task, attempt, spec} = body;
		const expiresMs = body['expires-ms'];
		if (active.get(task)?.attempt === attempt) {
			return answer(200);
		}

		if (active.has(task) || attempt <= (closed.get(task) ?? 0)) {
			extend(expiresMs);
			return answer(409, 'old');
		}

		if (expiresMs <= clockMs()) {
			return answer(409, 'late');
		}

		extend(expiresMs);
		const {ms, cpu = 1000} = JSON.parse(spec);
		if ([...active.values()].reduce((sum, run) => sum + run.cpu, cpu) > capacity.cpu) {
			return answer(409, 'room');
		}

		const run = {
			task, attempt, cpu, beganMs: performance.now(), ms,
		};
		active.set(task, run);
		onRun({
			what: 'start', worker: id, task, attempt, fence, spec,
		});
		if (ms !== undefined) {
			run.timer = setTimeout(() => {
				settle();
				if (active.get(task) === run) {
					endRun(run, 'done');
				}
			}, ms);
		}

		return answer(200);
	};

	const stop = ({task, attempt}) => {
		const run = active.get(task);
		closed.set(task, Math.max(closed.get(task) ?? 0, attempt));
		if (run?.attempt === attempt) {
			endRun(run, 'stopped');
		}

		return answer(200);
	};

	const rowOf = run => [run.task, run.attempt, '', run.ms === undefined ? 100 : Math.min(99, Math.floor((performance.now() - run.beganMs) / run.ms * 100)), run.cpu];

	const hold = async body => {
		finished = finished.filter(([number]) => number > (body['ack-seq'] ?? 0));
		extend(body['expires-ms']);
		const waitMs = Math.min(MAX_WAIT_MS, body['wait-ms'] ?? 0);
		if (finished.length === 0 && waitMs > 0) {
			await new Promise(resolve => {
				const wake = () => {
					clearTimeout(timer);
					waiting.delete(wake);
					resolve();
				};

				const timer = setTimeout(wake, waitMs);
				waiting.add(wake);
			});
		}

		settle();
		return {
			status: 200, body: {
				'clock-ms': clockMs(), born, active: [...active.values()].map(run => rowOf(run)), finished: finished.slice(0, 500),
			},
		};
	};

	const calls = {
		'/run-start': start, '/run-stop': stop, '/hold': hold, '/pace': () => answer(200),
	};

	const server = await listen(address, async ({method, path, headers, body}) => {
		if (isOver || isDark) {
			return undefined;
		}

		if (method === 'GET') {
			return {status: 200};
		}

		settle();
		if (headers['x-expect-instance'] !== undefined && headers['x-expect-instance'] !== id) {
			return answer(421);
		}

		const token = body['fencing-token'] ?? 0;
		if (token < fence) {
			return answer(409, 'fence');
		}

		fence = token;
		return calls[path]?.(body) ?? answer(404);
	});

	const report = async () => {
		seq += 1;
		for (let tries = 0; tries < controls.length && !isOver && !isDark; tries += 1) {
			const target = reportAddress ?? controls[turn % controls.length];
			const {status, body} = await send({
				method: 'POST', address: target, path: `/Instances.Heartbeat/${id}`, timeoutMs: 1000, body: {
					service, addr: address, zone: 'bern-a', version: 'v1', slots: 8, state, 'cold-left-ms': 0, capacity, labels: ['a', rack], 'clock-ms': clockMs(), seq, born, 'host-machine': machine,
				},
			});
			if (status >= 200 && status < 300) {
				reportAddress = body?.['heartbeat-addr'] ?? target;
				return;
			}

			reportAddress = undefined;
			turn += 1;
		}
	};

	const beats = setInterval(() => {
		void report();
	}, HEARTBEAT_MS);
	const lapses = setInterval(settle, 20);
	void report();

	return {
		id,
		running: () => active.size,
		tasks: () => [...active.keys()],
		drain() {
			state = 'draining';
			void report();
		},
		/** Loses all that runs, and answers and reports nothing from now on. */
		goDark() {
			isDark = true;
			for (const run of active.values()) {
				clearTimeout(run.timer);
				onRun({
					what: 'end', worker: id, task: run.task, attempt: run.attempt, how: 'gone',
				});
			}

			active.clear();
		},
		/** Ends the life at once, with all that runs. */
		async end() {
			isOver = true;
			clearInterval(beats);
			clearInterval(lapses);
			for (const run of active.values()) {
				clearTimeout(run.timer);
				onRun({
					what: 'end', worker: id, task: run.task, attempt: run.attempt, how: 'gone',
				});
			}

			active.clear();
			server.close();
			await pause(0);
		},
	};
};
