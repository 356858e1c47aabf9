/** Prometheus metrics of the job scheduler. */
import {
	Counter, Gauge, Histogram, Registry,
} from 'prom-client';

/** Buckets of latencies, in seconds. */
const LATENCY_BUCKETS = [0.003, 0.01, 0.03, 0.1, 0.3, 1, 3, 10, 30];
/** Buckets of planning times, in seconds; fine below 0.1 s, as planning blocks the event loop. */
const PLANNING_BUCKETS = [0.001, 0.003, 0.01, 0.02, 0.03, 0.05, 0.1, 0.3, 1];

/** The registered metrics. */
export type JobMetrics = ReturnType<typeof createJobMetrics>;

/** Creates the metrics and registers them. */
export const createJobMetrics = (registry: Registry = new Registry()) => {
	const registers = [registry];
	return {
		registry,
		calls: new Counter({
			name: 'bronzebend_calls_total', help: 'Calls answered, by call and answer', labelNames: ['call', 'answer'], registers,
		}),
		callSeconds: new Histogram({
			name: 'bronzebend_call_seconds', help: 'Time from a call to its answer', labelNames: ['call'], buckets: LATENCY_BUCKETS, registers,
		}),
		jobs: new Counter({
			name: 'bronzebend_jobs_total', help: 'Jobs by queue and outcome', labelNames: ['queue', 'outcome'], registers,
		}),
		acceptSeconds: new Histogram({
			name: 'bronzebend_job_accept_seconds', help: 'Time to commit a job', buckets: LATENCY_BUCKETS, registers,
		}),
		planSeconds: new Histogram({
			name: 'bronzebend_scheduling_plan_seconds', help: 'Time to plan a scheduling pass, without its commit', buckets: PLANNING_BUCKETS, registers,
		}),
		startSeconds: new Histogram({
			name: 'bronzebend_job_start_seconds', help: 'Time from acceptance to the first order of a job', labelNames: ['queue'], buckets: LATENCY_BUCKETS, registers,
		}),
		orders: new Counter({
			name: 'bronzebend_worker_orders_total', help: 'Orders to workers, by order and result', labelNames: ['order', 'result'], registers,
		}),
		orderSeconds: new Histogram({
			name: 'bronzebend_worker_order_seconds', help: 'Time of an order to a worker', labelNames: ['order'], buckets: LATENCY_BUCKETS, registers,
		}),
		workerCalls: new Counter({
			name: 'bronzebend_worker_calls_total', help: 'Calls to workers that this process made itself, by call and by origin (own, or relayed for the leader)', labelNames: ['call', 'origin'], registers,
		}),
		logWriteSeconds: new Histogram({
			name: 'bronzebend_log_write_seconds', help: 'Time until a write to the replicated log is durable, on each keeper', buckets: LATENCY_BUCKETS, registers,
		}),
		endedRuns: new Counter({
			name: 'bronzebend_runs_over_total', help: 'Runs that ended, by how', labelNames: ['how'], registers,
		}),
		givenUp: new Counter({
			name: 'bronzebend_http_given_up_total', help: 'Connections of clients that were closed, by server and reason', labelNames: ['server', 'reason'], registers,
		}),
		openJobs: new Gauge({name: 'bronzebend_jobs_open', help: 'Jobs that have not ended, at the leader', registers}),
		heldWork: new Gauge({name: 'bronzebend_held_work', help: 'Work units of jobs that the keepers hold in memory, at the leader', registers}),
		untrackedRuns: new Gauge({name: 'bronzebend_runs_without_task', help: 'Recorded runs that no worker session tracks, at the leader', registers}),
		longWaits: new Gauge({name: 'bronzebend_jobs_waiting_long', help: 'Jobs that have waited for seconds with nothing running, at the leader', registers}),
		workers: new Gauge({
			name: 'bronzebend_workers', help: 'Workers by state, at the leader', labelNames: ['state'], registers,
		}),
		evacuatedDataCentres: new Gauge({name: 'bronzebend_evacuated_data_centres', help: 'Data centres whose evacuation is in force, at the leader', registers}),
		evacuatedRuns: new Gauge({
			name: 'bronzebend_evacuated_runs', help: 'Runs left in evacuated data centres, at the leader', labelNames: ['data_centre'], registers,
		}),
		lentReserves: new Gauge({name: 'bronzebend_lent_reserves', help: 'Workers that pools lack of their reserves while another pool lacks workers for urgent work, at the leader', registers}),
		expectedWorkers: new Gauge({
			name: 'bronzebend_expected_turn_workers', help: 'Workers that the next expected turn needs, by its pool, at the leader', labelNames: ['pool'], registers,
		}),
		manifestVersion: new Gauge({name: 'bronzebend_manifest_version', help: 'Version of the manifest in force, at the leader', registers}),
		keepersBehind: new Gauge({name: 'bronzebend_keepers_behind', help: 'Other members of the group that lack entries of the log, at the leader', registers}),
		term: new Gauge({name: 'bronzebend_term', help: 'Term of the leader, at the leader', registers}),
	};
};
