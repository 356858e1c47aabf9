/** What this process does besides decisions: its processor time, its calls to workers and its messages to other nodes. */
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import type {Clock} from '@bronzebend/core';
import type {NetworkStats} from '@bronzebend/wire';
import type {Log} from '../utils/log.js';
import type {JobMetrics} from './job-metrics.js';
import type {WorkerConnector, WorkerPort} from './ports.js';

/** Pause between two lines on the load of this process, in milliseconds. */
const LOAD_MS = 1000;

/** Share of the time in which the event loop was busy, and processor time in milliseconds, since the last reading. */
export type LoadReading = {loopBusy: number; processorMs: number};

/** Creates a meter; each reading covers the time since the one before. */
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

/** Counts the calls that this process makes to workers itself. */
export const countWorkerCalls = (connect: WorkerConnector, metrics: JobMetrics): WorkerConnector => life => {
	const port = connect(life);
	const counted = (call: keyof WorkerPort): void => {
		metrics.workerCalls.inc({call});
	};

	return {
		async hold(request) {
			counted('hold');
			return port.hold(request);
		},
		async start(order) {
			counted('start');
			return port.start(order);
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

/** Starts to tell the load, one line a second; call the result to stop. */
export const tellProcessLoad = (options: {clock: Clock; log: Log; metrics: JobMetrics; network: NetworkStats}): (() => void) => {
	const {clock, log, metrics, network} = options;
	const meter = createLoadMeter();
	let toldMs = clock.monotonicMs();
	let callsTold = 0;
	let networkTold = {...network};

	const tell = async (): Promise<void> => {
		const nowMs = clock.monotonicMs();
		const {values} = await metrics.workerCalls.get();
		const calls = values.reduce((sum, {value}) => sum + value, 0);
		log.info('Process load.', {
			forMs: Math.round(nowMs - toldMs),
			...meter.read(),
			workerCalls: calls - callsTold,
			messagesOut: network.messagesSent - networkTold.messagesSent,
			writes: network.writes - networkTold.writes,
			bytesOut: network.bytesSent - networkTold.bytesSent,
			bytesIn: network.bytesReceived - networkTold.bytesReceived,
		});
		toldMs = nowMs;
		callsTold = calls;
		networkTold = {...network};
	};

	const timer = setInterval(() => {
		tell().catch((error: unknown) => {
			log.warn('Could not tell the load.', {cause: String(error)});
		});
	}, LOAD_MS);
	timer.unref();
	return () => {
		clearInterval(timer);
	};
};
