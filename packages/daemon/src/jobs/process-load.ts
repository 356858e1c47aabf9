/** Logs the load of this process: processor time, calls to workers and messages to other nodes. */
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import type {Clock} from '@bronzebend/core';
import type {NetworkStats} from '@bronzebend/wire';
import type {Log} from '../utils/log.js';
import type {JobMetrics} from './job-metrics.js';
import type {WorkerConnector, WorkerPort} from './ports.js';

/** Interval of the log lines on the load of this process, in milliseconds. */
const LOG_INTERVAL_MS = 1000;

/** Share of time the event loop was busy (0 to 1), and processor time in milliseconds, since the previous reading. */
export type LoadReading = {loopBusy: number; processorMs: number};

/** Creates a meter; each reading covers the time since the previous one. */
export const createLoadMeter = () => {
	let loop = performance.eventLoopUtilization();
	let processor = process.cpuUsage();

	return {
		read(): LoadReading {
			const loopNow = performance.eventLoopUtilization();
			const used = process.cpuUsage(processor);
			const reading = {
				loopBusy: Math.round(100 * performance.eventLoopUtilization(loopNow, loop).utilization) / 100,
				processorMs: Math.round((used.user + used.system) / 1000),
			};
			loop = loopNow;
			processor = process.cpuUsage();
			return reading;
		},
	};
};

/** Whose calls to workers a process makes: the leader's that it relays, or its own while it leads. */
export type WorkerCallOrigin = 'relayed' | 'own';

/** Wraps a connector so that calls to workers made by this process are counted. */
export const countWorkerCalls = (connect: WorkerConnector, metrics: JobMetrics, origin: WorkerCallOrigin): WorkerConnector => life => {
	const port = connect(life);
	const counted = (call: keyof WorkerPort): void => {
		metrics.workerCalls.inc({call, origin});
	};

	return {
		async hold(request) {
			counted('hold');
			return port.hold(request);
		},
		async start(order, maySend) {
			counted('start');
			return port.start(order, maySend);
		},
		async stop(order) {
			counted('stop');
			return port.stop(order);
		},
		async pace(order) {
			counted('pace');
			return port.pace(order);
		},
		close: port.close,
	};
};

/** Starts logging the load, one line a second; returns a function that stops it. */
export const startLoadLogging = (options: {clock: Clock; log: Log; metrics: JobMetrics; network: NetworkStats}): (() => void) => {
	const {clock, log, metrics, network} = options;
	const meter = createLoadMeter();
	let loggedMs = clock.monotonicMs();
	let loggedCalls = {workerCalls: 0, ownWorkerCalls: 0};
	let loggedNetwork = {...network};

	const logLoad = async (): Promise<void> => {
		const nowMs = clock.monotonicMs();
		const {values} = await metrics.workerCalls.get();
		const count = (counters: typeof values): number => counters.reduce((sum, {value}) => sum + value, 0);
		const calls = {workerCalls: count(values), ownWorkerCalls: count(values.filter(({labels}) => labels.origin === 'own'))};
		log.info('Process load.', {
			forMs: Math.round(nowMs - loggedMs),
			...meter.read(),
			workerCalls: calls.workerCalls - loggedCalls.workerCalls,
			ownWorkerCalls: calls.ownWorkerCalls - loggedCalls.ownWorkerCalls,
			messagesOut: network.messagesSent - loggedNetwork.messagesSent,
			writes: network.writes - loggedNetwork.writes,
			bytesOut: network.bytesSent - loggedNetwork.bytesSent,
			bytesIn: network.bytesReceived - loggedNetwork.bytesReceived,
		});
		loggedMs = nowMs;
		loggedCalls = calls;
		loggedNetwork = {...network};
	};

	const timer = setInterval(() => {
		logLoad().catch((error: unknown) => {
			log.warn('Could not log the process load.', {cause: String(error)});
		});
	}, LOG_INTERVAL_MS);
	timer.unref();
	return () => {
		clearInterval(timer);
	};
};
